"""Watch mode, which compares the decisions of other settings with the decisions of the settings in force.

`ShadowController` has the interface of a `NodeController` and runs two of them. The active controller decides
about the RPCs. The shadow controller has the watched settings and its own random numbers, and receives the
same inputs after the active one. Its port only records, so no decision of the shadow has an effect outside
this module. `ShadowController` owns both, and the counts of the decisions in which they differ. It must never
change what the active controller does: an exception in the shadow is logged and only ends watch mode.

The counts have limits, because the consequences of the shadow's decisions are not simulated. The shadow is
notified of how the runs of the active controller end. The counts therefore lack the work that the shadow
would have saved or added, the retries and connections of callers after a different answer, and the effect on
the health of other nodes. An RPC that the shadow would run and the active controller rejects ends immediately
for the shadow; a run that the shadow pauses continues. The counts are the rate of differing decisions under
the present traffic, and don't predict the traffic after a change of the settings.
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

# The kinds of differences that are counted, as the log line names them.
ADMITTED_WOULD_REJECT = "admitted, would be rejected"
REJECTED_WOULD_ADMIT = "rejected, would be admitted"
FAILED_OR_PAUSED = "failed or paused"
ADVICE = "advice"
FEEDBACK = "feedback"
HEALTH = "health"
DIFFERENCE_KINDS = (ADMITTED_WOULD_REJECT, REJECTED_WOULD_ADMIT, FAILED_OR_PAUSED, ADVICE, FEEDBACK, HEALTH)

T = TypeVar("T")

MAX_FAULT_CHARACTERS = 200  # length limit of the log line of a fault


class ShadowedHandle:
    """The handle of one RPC, which notifies the active and the shadow controller of the events of the RPC."""

    __slots__ = ("active", "owner", "shadow")

    def __init__(self, owner: "ShadowController", active: RpcHandle) -> None:
        self.owner = owner
        self.active = active
        self.shadow: RpcHandle | None = None

    def run_ended(self, now: int, outcome: Outcome, spent: int) -> None:
        """Report the end of the run, or the end of the wait of a duplicate."""
        self.active.run_ended(now, outcome, spent)
        if self.shadow is not None:
            self.owner.mirror(now, self.shadow.run_ended, now, outcome, spent)

    def caller_gone(self, now: int) -> None:
        """Report the loss of the caller."""
        self.active.caller_gone(now)
        if self.shadow is not None:
            self.owner.mirror(now, self.shadow.caller_gone, now)

    def awaiting_call(self, now: int) -> None:
        """Report that the run awaits a call."""
        self.active.awaiting_call(now)
        if self.shadow is not None:
            self.owner.mirror(now, self.shadow.awaiting_call, now)

    def call_ended(self, now: int, outcome: Outcome, spent: int) -> None:
        """Report the end of the call."""
        self.active.call_ended(now, outcome, spent)
        if self.shadow is not None:
            self.owner.mirror(now, self.shadow.call_ended, now, outcome, spent)


class ShadowController:
    """An active and a shadow controller behind the interface of a `NodeController`.

    `shadow` holds the watched settings; `log(text)` writes one log line. Bounds: one handle for each open RPC
    of the active controller. The shadow keeps its own records of idempotency keys.
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
        self.handles: dict[int, ShadowedHandle] = {}  # open RPCs of the active controller, by index
        # None: an exception in the shadow ended watch mode.
        self.shadow: NodeController | None = self._call_shadow(
            NodeController, self.shadow_port, shadow.settings, seed
        )

    def _call_shadow(self, method: Callable[..., T], *arguments: object, **keywords: object) -> T | None:
        """Call a method of the shadow; an exception ends watch mode and is not propagated."""
        try:
            return method(*arguments, **keywords)
        except Exception as error:  # no fault of the shadow may affect the active controller
            self.shadow = None
            self.handles.clear()
            self.port.disable()
            text = f"watching ended by a fault: {type(error).__name__}: {error}"
            self.log(text[:MAX_FAULT_CHARACTERS])
            return None

    def mirror(self, now: int, method: Callable[..., None], *arguments: object) -> None:
        """Pass an input that the active controller has handled to the shadow, and compare completed RPCs."""
        if self.shadow:
            self._call_shadow(method, *arguments)
        self._compare_completed(now)

    # ---- The interface of NodeController

    @property
    def own_shed_level(self) -> float:
        """The shed level of the active controller."""
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
        """See `NodeController`.

        Also count differences of the published values, and log the counts once in each period.
        """
        self.active.on_timer(now, gauges)
        if self.shadow:
            self.mirror(now, self.shadow.on_timer, now, gauges)
        self.counts[FEEDBACK] += self.port.feedback != self.shadow_port.feedback
        self.counts[HEALTH] += self.port.healthy != self.shadow_port.healthy
        if self.shadow and now - self.logged_at >= self.period_us:
            self.logged_at = now
            counts = ", ".join(f"{kind} {self.counts[kind]}" for kind in DIFFERENCE_KINDS)
            self.log(f"watching: of {self.rpcs_seen} RPCs, would differ: {counts}")
            self.counts = Counter()
            self.rpcs_seen = 0

    def admit(self, now: int, index: int, arrival: RpcArrival) -> ShadowedHandle:
        """See `NodeController`."""
        handle = ShadowedHandle(self, self.active.admit(now, index, arrival))
        if self.shadow:
            handle.shadow = self._call_shadow(self.shadow.admit, now, index, arrival)
        if self.shadow:
            self.rpcs_seen += 1
            self.handles[index] = handle
        self._compare_completed(now)  # the admission may have evicted other RPCs from the queue
        return handle

    # ---- The comparison

    def _compare_completed(self, now: int) -> None:
        """Compare the decisions on each RPC completed by the active controller, then end it in the shadow."""
        completed = [
            index for index, handle in self.handles.items() if handle.active.state is RpcState.COMPLETED
        ]
        for index in completed:
            if not self.shadow:
                return  # ending an earlier RPC raised an exception in the shadow, which ended watch mode
            handle = self.handles.pop(index).shadow
            self._compare(self.port.pop_decisions(index), self.shadow_port.pop_decisions(index))
            if handle is not None:
                self._end_in_shadow(handle, now)
            self.shadow_port.pop_decisions(index)  # discards records of the forced end

    def _compare(self, active: RecordedDecisions, shadow: RecordedDecisions) -> None:
        rejected = active.rejection is not None
        would_reject = shadow.rejection is not None
        self.counts[ADMITTED_WOULD_REJECT] += would_reject and not rejected
        self.counts[REJECTED_WOULD_ADMIT] += rejected and not would_reject
        self.counts[ADVICE] += rejected and would_reject and active.rejection != shadow.rejection
        self.counts[FAILED_OR_PAUSED] += active.failed_or_paused != shadow.failed_or_paused

    def _end_in_shadow(self, handle: RpcHandle, now: int) -> None:
        if self.shadow and handle.state is not RpcState.COMPLETED:
            self._call_shadow(handle.caller_gone, now)
        if self.shadow and handle.state is not RpcState.COMPLETED:
            self._call_shadow(handle.run_ended, now, Outcome.NOT_STARTED, 0)
