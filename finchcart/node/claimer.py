"""RPCs whose run has to be claimed in the whole fleet first.

Owns the RPCs that wait for the answer of a claim, and the claims that are this node's. It must never let a
run be commanded without its claim, nor past the time until which the claim allows it; nor decide: what was
claimed goes to the module as any RPC, the rest is answered by what a claim's answer means.

`boot` is the boot clock in whole microseconds, set by the driver before each turn.
"""

from finchcart.key_leases import messages
from finchcart.key_leases.messages import LeaseStatus
from finchcart.node.effects import Defer, KeyLeaseCommand
from finchcart.node.inputs import KeyLeasesRequested

MS, SECOND = 1_000, 1_000_000
MOST = 2_000  # that wait for an answer; more are pushed back


class Waiting:
    """One RPC, and how it goes on once its claim is answered: `go_on(rpc, kind, result)`."""

    def __init__(self, rpc, key, due, again, go_on):
        self.rpc, self.key, self.due, self.again, self.go_on = rpc, key, due, again, go_on


class Claimer:
    """`turn`: of the core."""

    def __init__(self, turn, life, strict=True):
        self.turn, self.life, self.strict, self.boot = turn, life, strict, 0
        self.waiting, self.mine = {}, {}  # key -> Waiting; RPC index -> (key, by)
        self.asked = []  # of this turn
        self.end = None  # all is answered by then: the process is killed
        self.counts = {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def ask(self, rpc, token, due, again, go_on):
        """Asks for the claim of an RPC that is not known here. `due`: when it has to be answered at last."""
        key = messages.key_digest(rpc.method, token)
        if key in self.waiting or len(self.waiting) >= MOST:
            self.count("no room")
            go_on(rpc, LeaseStatus.UNAVAILABLE, b"")
            return
        self.waiting[key] = Waiting(rpc, key, due, again, go_on)
        if not self.asked:
            self.turn.emit(Defer(KeyLeasesRequested()))  # those of one batch go in one message
        self.asked.append((key, messages.payload_digest(rpc.body), self.life))
        self.turn.at(due if self.end is None else min(due, self.end), self.late, key, rpc)

    def send(self):
        asked, self.asked = self.asked, []
        if asked:
            self.turn.emit(KeyLeaseCommand(("claim", asked)))

    def end_by(self, when):
        """Guards against RPCs that the module does not know of yet when it answers all before the kill."""
        self.end = when
        for key, waiting in self.waiting.items():
            self.turn.at(when, self.late, key, waiting.rpc)

    def give_up(self, key):
        """Nobody waits for it any more."""
        del self.waiting[key]
        unsent = len(self.asked)
        self.asked = [asked for asked in self.asked if asked[0] != key]
        if len(self.asked) == unsent:
            self.turn.emit(KeyLeaseCommand(("leave_it", key)))
            self.turn.emit(KeyLeaseCommand(("never", key)))

    def late(self, key, rpc):
        """No answer, and the caller waits no longer. Never run: but a repeat may have run elsewhere."""
        waiting = self.waiting.get(key)
        if waiting and waiting.rpc is rpc:
            self.give_up(key)
            self.count("no answer")
            waiting.go_on(rpc, LeaseStatus.UNAVAILABLE if not waiting.again else LeaseStatus.FAILED, b"")

    def left(self, rpc):
        """Its caller has gone. True where it waited for its claim: then nothing more is to come of it."""
        key = next((key for key, waiting in self.waiting.items() if waiting.rpc is rpc), None)
        if key is not None:
            self.give_up(key)
        return key is not None

    def answered(self, key, kind, result, by):
        waiting = self.waiting.pop(key, None)
        if waiting is None:
            if kind == LeaseStatus.GRANTED:
                self.turn.emit(KeyLeaseCommand(("never", key)))  # nobody waits for it any more
            return
        if kind == LeaseStatus.GRANTED and (not waiting.rpc.owed or self.boot >= by):
            self.turn.emit(KeyLeaseCommand(("never", key)))
            kind = LeaseStatus.UNAVAILABLE
        self.count(
            {
                LeaseStatus.GRANTED: "mine",
                LeaseStatus.COMPLETED: "result of a run elsewhere",
                LeaseStatus.UNAVAILABLE: "no majority",
                LeaseStatus.PAYLOAD_MISMATCH: "another body",
            }.get(kind, "failed, or not to be known")
        )
        if kind == LeaseStatus.GRANTED:
            self.mine[waiting.rpc.index] = key, by
        if kind == LeaseStatus.UNAVAILABLE and waiting.again:
            kind = LeaseStatus.FAILED  # an earlier try may have run elsewhere: not told as never run
        waiting.go_on(waiting.rpc, kind, result)

    def may_run(self, index):
        """The last look at the clock before the command. RPCs that need no claim may always."""
        claim = self.mine.get(index)
        if claim is None or self.boot < claim[1]:
            return True
        self.count("commanded too late")
        return False

    def ended(self, index, good, result):
        """Its run is over."""
        claim = self.mine.pop(index, None)
        if claim:
            kind = LeaseStatus.COMPLETED if good else LeaseStatus.FAILED
            self.turn.emit(KeyLeaseCommand(("ended", claim[0], kind, result if good else b"")))

    def never(self, index):
        """It won't run."""
        claim = self.mine.pop(index, None)
        if claim:
            self.turn.emit(KeyLeaseCommand(("never", claim[0])))
