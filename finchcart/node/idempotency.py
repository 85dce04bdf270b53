"""The table of tokens, and the results that repeats may share.

Owns which token was seen when, which RPC holds it and what that came to. Bounded: an entry leaves once
nothing that reached the machine in its window can still be read; results by bytes, the oldest first. It must
never let a result go to an RPC with another body, nor lose an entry whose RPC may have run.
"""

from hashlib import blake2b

from finchcart.node.effects import Defer
from finchcart.node.inputs import DuplicateReady

PENDING, FAILED = "pending", "failed"  # a kept result that is not there yet, or came to nothing


def digest_of(body):
    return blake2b(body, digest_size=16).digest()


class Entry:
    """A token's place in the table: the try that holds it, and what that came to."""

    __slots__ = ("key", "index", "digest", "until", "result", "waiting", "ran", "before")

    def __init__(self, key, index, digest):
        self.key, self.index, self.digest = key, index, digest  # digest: of the body, the same for all tries
        self.until, self.result, self.waiting, self.ran = 0, PENDING, [], False
        self.before = None  # the last of the key that ran, while this one has not


class IdempotencyCache:
    """`stays`: how long after its window an entry may still be asked for; `most`: bytes of kept results."""

    def __init__(self, turn, stays, most):
        self.turn, self.stays, self.most = turn, stays, most
        self.table, self.results, self.result_bytes = {}, {}, 0  # results: entries, the oldest first

    def other_body(self, key, digest):
        entry = self.table.get(key)
        return entry is not None and entry.digest != digest

    def entry(self, key, index, digest, reached):
        """The entry that a try which reached the machine at `reached` belongs to, and whether it repeats.
        By the time that it reached the machine, not by when it is read."""
        entry = self.table.get(key)
        if entry and entry.until > reached and (entry.ran or entry.until > self.turn.now):
            return entry, True
        return Entry(key, index, digest), False

    def remember(self, rpc, keep):
        if rpc.entry.index != rpc.index:
            rpc.entry = Entry(rpc.entry.key, rpc.index, rpc.entry.digest)
        entry, before = rpc.entry, self.table.get(rpc.entry.key)
        if before is not None and before is not entry:
            self.drop_result(before)
            # Guards against a try that is read late, after this one was forgotten: it may be a repeat of what
            # ran in the window before.
            entry.before, before.before = before if before.ran else before.before, None
        entry.until = self.turn.now + keep
        self.table[entry.key] = entry
        self.turn.at(entry.until + self.stays, self.expire, entry)

    def forget(self, entry):
        if self.table.get(entry.key) is entry:
            before, entry.before = entry.before, None
            if before and self.turn.now < before.until + self.stays:
                self.table[entry.key] = before
            else:
                del self.table[entry.key]
        entry.result = FAILED
        self.ready(entry)

    def share(self, rpc):
        """The RPC gets what its first try came to: `shared` follows, now or once that is known."""
        if rpc.entry.result is PENDING:
            rpc.entry.waiting.append(rpc.index)
        else:
            self.turn.emit(Defer(DuplicateReady(rpc.index)))

    def settle(self, entry, result):
        """The try that holds the entry is over: its result, or FAILED."""
        entry.result = result
        if result is not FAILED:
            self.results[entry] = None
            self.result_bytes += len(result)
            while self.result_bytes > self.most:
                self.drop_result(next(iter(self.results)))
        self.ready(entry)

    def drop_result(self, entry):
        if entry in self.results:
            del self.results[entry]
            self.result_bytes -= len(entry.result)
            entry.result = FAILED

    def ready(self, entry):
        waiting, entry.waiting = entry.waiting, []
        for index in waiting:
            self.turn.emit(Defer(DuplicateReady(index)))

    def expire(self, entry):
        if self.table.get(entry.key) is entry:
            if self.turn.now < entry.until + self.stays:
                self.turn.at(entry.until + self.stays, self.expire, entry)
                return
            del self.table[entry.key]
        self.drop_result(entry)
