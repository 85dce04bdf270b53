"""Watch mode: what other settings would have decided, beside what is decided.

Owns a second `NodeController` with the watched settings and random numbers of its own, on a port that only
records, and the counts of where it decided otherwise. `ShadowController` is called like a
`NodeController` and hands everything to the active one first; nothing of the shadow reaches a wire. It must
never change what the active one does: a fault in the shadow is logged and ends the watching alone.

What the counts can't show: the course that was not taken is not played. The shadow is notified how the active
one's runs end, so the work it would have saved or added, what callers would have done after another answer
(retries, connections) and the health of others under it are missing; an RPC that it would have run and the
active one rejected ends for it immediately, one that it paused goes on running. Read the counts as a rate of
differing decisions under today's traffic, not as the traffic after the move.
"""

from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from finchcart.decisions.arrival import RpcArrival
from finchcart.decisions.controller import NodeController
from finchcart.decisions.gauges import Gauges
from finchcart.decisions.node_settings import NodeSettings
from finchcart.decisions.outcome import Outcome
from finchcart.decisions.port import Port
from finchcart.decisions.rpc import RpcHandle, RpcState
from finchcart.node.recording_port import RecordedDecisions, RecordingPort
from finchcart.node.supported_settings import ShadowSettings

# What is counted, as the log line names it.
ADMITTED_WOULD_REJECT = "admitted, would be rejected"
REJECTED_WOULD_ADMIT = "rejected, would be admitted"
FAILED_OR_PAUSED = "failed or paused"
ADVICE = "advice"
FEEDBACK = "feedback"
HEALTH = "health"
KINDS = (ADMITTED_WOULD_REJECT, REJECTED_WOULD_ADMIT, FAILED_OR_PAUSED, ADVICE, FEEDBACK, HEALTH)

T = TypeVar("T")

MAX_FAULT_CHARACTERS = 200  # of a fault in its log line


class ShadowedHandle:
    """The handle of one RPC: both instances are notified of what happens to it."""

    __slots__ = ("active", "owner", "shadow")

    def __init__(self, owner: "ShadowController", active: RpcHandle) -> None:
        self.owner = owner
        self.active = active
        self.shadow: RpcHandle | None = None

    def run_ended(self, now: int, outcome: Outcome, spent: int) -> None:
        """Report the end of its run, or of its wait as a duplicate."""
        self.active.run_ended(now, outcome, spent)
        if self.shadow is not None:
            self.owner.mirror(now, self.shadow.run_ended, now, outcome, spent)

    def caller_gone(self, now: int) -> None:
        """Report the loss of its caller."""
        self.active.caller_gone(now)
        if self.shadow is not None:
            self.owner.mirror(now, self.shadow.caller_gone, now)

    def awaiting_call(self, now: int) -> None:
        """Report that its run awaits a call."""
        self.active.awaiting_call(now)
        if self.shadow is not None:
            self.owner.mirror(now, self.shadow.awaiting_call, now)

    def call_ended(self, now: int, outcome: Outcome, spent: int) -> None:
        """Report the end of its call."""
        self.active.call_ended(now, outcome, spent)
        if self.shadow is not None:
            self.owner.mirror(now, self.shadow.call_ended, now, outcome, spent)


class ShadowController:
    """Called like a `NodeController`. `shadow`: what is watched; `log(text)`: one line.

    Bounds: handles by what the active instance has open, and the shadow's own memory of idempotency keys.
    """

    def __init__(
        self,
        port: Port,
        settings: NodeSettings,
        shadow: ShadowSettings,
        seed: int,
        log: Callable[[str], None],
    ) -> None:
        self.port = RecordingPort(port)
        self.shadow_port = RecordingPort()
        self.active = NodeController(self.port, settings, seed)
        self.period_us = shadow.period_us
        self.log = log
        self.logged_at = 0
        self.counts: Counter[str] = Counter()
        self.rpcs_seen = 0
        self.handles: dict[int, ShadowedHandle] = {}  # by index, of what the active instance has open
        # None: the watching is over.
        self.shadow: NodeController | None = self._guarded(
            NodeController, self.shadow_port, shadow.settings, seed
        )

    def _guarded(self, act: Callable[..., T], *arguments: object, **keywords: object) -> T | None:
        """Have the shadow act; its faults end the watching, and never reach the active instance."""
        try:
            return act(*arguments, **keywords)
        except Exception as error:  # guards against any fault of the shadow: the active one goes on
            self.shadow = None
            self.handles.clear()
            self.port.disable()
            text = f"watching ended by a fault: {type(error).__name__}: {error}"
            self.log(text[:MAX_FAULT_CHARACTERS])
            return None

    def mirror(self, now: int, act: Callable[..., None], *arguments: object) -> None:
        """Have the shadow do what the active one did, and compare what is completed."""
        if self.shadow:
            self._guarded(act, *arguments)
        self._settle(now)

    # ---- As NodeController has it

    @property
    def own_shed_level(self) -> float:
        """Of the active instance."""
        return self.active.own_shed_level

    def start(self, now: int) -> None:
        """See `NodeController`."""
        self.logged_at = now
        self.active.start(now)
        if self.shadow:
            self.mirror(now, self.shadow.start, now)

    def worker_pool_restarted(self, now: int, cold: bool) -> None:
        """See `NodeController`."""
        self.active.worker_pool_restarted(now, cold)
        if self.shadow:
            self.mirror(now, self.shadow.worker_pool_restarted, now, cold)

    def drain(self, now: int, kill_at: int) -> None:
        """See `NodeController`."""
        self.active.drain(now, kill_at)
        if self.shadow:
            self.mirror(now, self.shadow.drain, now, kill_at)

    def on_timer(self, now: int, gauges: Gauges) -> None:
        """See `NodeController`; also counts what is published otherwise, and logs the counts each period."""
        self.active.on_timer(now, gauges)
        if self.shadow:
            self.mirror(now, self.shadow.on_timer, now, gauges)
        self.counts[FEEDBACK] += self.port.feedback != self.shadow_port.feedback
        self.counts[HEALTH] += self.port.healthy != self.shadow_port.healthy
        if self.shadow and now - self.logged_at >= self.period_us:
            self.logged_at = now
            counts = ", ".join(f"{kind} {self.counts[kind]}" for kind in KINDS)
            self.log(f"watching: of {self.rpcs_seen} RPCs, would differ: {counts}")
            self.counts = Counter()
            self.rpcs_seen = 0

    def admit(self, now: int, index: int, arrival: RpcArrival) -> ShadowedHandle:
        """See `NodeController`."""
        handle = ShadowedHandle(self, self.active.admit(now, index, arrival))
        if self.shadow:
            handle.shadow = self._guarded(self.shadow.admit, now, index, arrival)
        if self.shadow:
            self.rpcs_seen += 1
            self.handles[index] = handle
        self._settle(now)  # an arrival may push others out of the queue
        return handle

    # ---- The comparison

    def _settle(self, now: int) -> None:
        """Compare what is completed for the active instance, and end it for the shadow too."""
        completed = [
            index for index, handle in self.handles.items() if handle.active.state is RpcState.COMPLETED
        ]
        for index in completed:
            if not self.shadow:
                return  # one of those before it was the shadow's end
            handle = self.handles.pop(index).shadow
            self._compare(self.port.take(index), self.shadow_port.take(index))
            if handle is not None:
                self._end_in_shadow(handle, now)
            self.shadow_port.take(index)  # of what ended it

    def _compare(self, active: RecordedDecisions, shadow: RecordedDecisions) -> None:
        rejected = active.rejection is not None
        would_reject = shadow.rejection is not None
        self.counts[ADMITTED_WOULD_REJECT] += would_reject and not rejected
        self.counts[REJECTED_WOULD_ADMIT] += rejected and not would_reject
        self.counts[ADVICE] += rejected and would_reject and active.rejection != shadow.rejection
        self.counts[FAILED_OR_PAUSED] += active.failed_or_paused != shadow.failed_or_paused

    def _end_in_shadow(self, handle: RpcHandle, now: int) -> None:
        if self.shadow and handle.state is not RpcState.COMPLETED:
            self._guarded(handle.caller_gone, now)
        if self.shadow and handle.state is not RpcState.COMPLETED:
            self._guarded(handle.run_ended, now, Outcome.NOT_STARTED, 0)
