"""What is known of one idempotency key: the RPC that holds it, and the result that duplicates may share.

Owns the type of an entry alone; the entries are the idempotency cache's (idempotency.py).
"""

from enum import Enum

IdempotencyKey = tuple[str, str]  # method and key


class NoResult(Enum):
    """Why an entry has no result."""

    PENDING = "pending"  # not there yet
    FAILED = "failed"  # the run failed, or its result is no longer cached


class KeyEntry:
    """One idempotency key: the RPC that holds it, and its result."""

    __slots__ = ("digest", "expires_at", "index", "key", "previous", "ran", "result", "waiting")

    def __init__(self, key: IdempotencyKey, index: int, digest: bytes) -> None:
        self.key = key
        self.index = index  # of the RPC that holds it
        self.digest = digest  # of the body, the same for all RPCs of the key
        self.expires_at = 0
        self.result: bytes | NoResult = NoResult.PENDING
        self.waiting: list[int] = []  # indices of the duplicates that wait for the result
        self.ran = False
        self.previous: KeyEntry | None = None  # the last of the key that ran, while this one has not
