"""The entry of one idempotency key: the RPC that holds the key, and the result that duplicates may share.

This module contains only types; the idempotency cache (idempotency.py) owns the entries.
"""

from enum import Enum

IdempotencyKey = tuple[str, str]  # method and key


class NoResult(Enum):
    """Why an entry has no result."""

    PENDING = "pending"  # the RPC has not completed yet
    FAILED = "failed"  # the RPC failed or never ran, or its result is no longer cached


class KeyEntry:
    """An idempotency key, the RPC that holds it, and that RPC's result."""

    __slots__ = ("digest", "expires_at", "index", "key", "previous", "ran", "result", "waiting")

    def __init__(self, key: IdempotencyKey, index: int, digest: bytes) -> None:
        self.key = key
        self.index = index  # index of the RPC that holds the key
        self.digest = digest  # digest of the body; all RPCs of the key have the same body
        self.expires_at = 0
        self.result: bytes | NoResult = NoResult.PENDING
        self.waiting: list[int] = []  # indices of the duplicates that wait for the result
        self.ran = False  # whether the RPC that holds the key was started
        self.previous: KeyEntry | None = None  # the key's last entry whose RPC ran; `evict` restores it
