"""The observer, which collects evidence for the consensus of the fleet and applies the consensus in the node.

`NodeObserver` owns the counts since the last evidence and the consensus that is in force in this node. It
must never decide what the consensus is. It must never reject an RPC: the decision module does, by the quota
that `NodeObserver` reports.

A source of traffic is identified by the address from which its connection comes. The number that a dispatcher
states as its own is counted only for complete RPCs, so that unreadable data can't incriminate another
dispatcher.
"""

from collections.abc import Mapping

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.evidence import CallCounts, Evidence, RunOutcomeCounts, SourceCounts
from finchcart.consensus.subjects import Restriction, StoreHealth, SubjectKind, make_subject, source_subject
from finchcart.decisions.arrival import FleetQuota
from finchcart.decisions.outcome import Outcome

SECOND = 1_000_000
# Indices of the counts, in the order of the fields of `SourceCounts`, `CallCounts` and `RunOutcomeCounts`.
INVALID, OVER_LIMIT, RPCS = range(3)
SUCCEEDED, FAILED, TIME = range(3)
ENDED, ENDED_IN_ERROR = range(2)  # the third field, the duration of the runs, has the index TIME


class NodeObserver:
    """The counts, and the consensus on each subject. Times are whole microseconds.

    Bounds: one evidence counts at most `config.max_sources` sources. The consensus and the throttles have one
    entry for each source on which the fleet has a consensus.
    """

    def __init__(self, config: ConsensusConfig) -> None:
        self.config = config
        self.ejected = False
        self.min_shed_level = 0.0
        self.blocked_rpcs = 0
        self._dependency_state: int = StoreHealth.WORKING
        self._source_states: Mapping[int, int] = {}
        self._throttles: dict[int, tuple[float, int]] = {}  # subject -> (tokens, time of the last refill)
        self._collected_at: int | None = None
        self._reset_counts()

    def _reset_counts(self) -> None:
        self._calls = [0, 0, 0]
        self._runs = [0, 0, 0]
        self._rpcs = 0
        self._sources: dict[int, list[int]] = {}

    # ---- Evidence

    def collect_evidence(self, now: int, shed_level: float) -> Evidence | None:
        """Return the evidence since the last call, or None if the interval is not over yet."""
        if self._collected_at is not None and now - self._collected_at < self.config.evidence_interval:
            return None
        evidence = Evidence(
            CallCounts(*self._calls),
            RunOutcomeCounts(*self._runs),
            self._rpcs,
            {subject: SourceCounts(*counts) for subject, counts in self._sources.items()},
            shed_level,
        )
        self._collected_at = now
        self._reset_counts()
        return evidence

    def call_ended(self, outcome: Outcome, spent_us: int, time_cut: bool) -> None:
        """Count a call to the store.

        `time_cut`: the allowance of this node shortened the timeout of the call, so that a timeout is no
        evidence against the store.
        """
        if outcome is Outcome.OK:
            self._calls[SUCCEEDED] += 1
            self._calls[TIME] += spent_us
        elif outcome is not Outcome.REJECTED and not (time_cut and outcome is Outcome.TIMEOUT):
            self._calls[FAILED] += 1

    def run_ended(self, outcome: Outcome, spent_us: int) -> None:
        """Count a run that completed or failed; other outcomes are ignored."""
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._runs[ENDED] += 1
            self._runs[ENDED_IN_ERROR] += outcome is Outcome.ERROR
            self._runs[TIME] += spent_us

    def record_invalid_traffic(self, host: str | None) -> None:
        """Count an unreadable message, or a connection that sent no RPC, against its host."""
        if host:
            self._count(source_subject(host), INVALID)

    def record_over_limit(self, caller: str | int) -> None:
        """Count an RPC that exceeds a limit of its dispatcher."""
        self._count(self._dispatcher_subject(caller), OVER_LIMIT)

    def _count(self, subject: int | None, item: int) -> None:
        if subject is not None and (subject in self._sources or len(self._sources) < self.config.max_sources):
            self._sources.setdefault(subject, [0, 0, 0])[item] += 1

    @staticmethod
    def _dispatcher_subject(caller: str | int) -> int | None:
        text = str(caller)
        return make_subject(SubjectKind.DISPATCHER, int(text)) if text.isdecimal() else None

    # ---- The consensus

    def apply_consensus(
        self,
        dependency_state: int,
        ejected: bool,
        min_shed_level: float,
        source_states: Mapping[int, int],
    ) -> None:
        """Apply the consensus of the fleet from now on; see `ConsensusChanged`."""
        self._dependency_state = dependency_state
        self.ejected = ejected
        self.min_shed_level = min_shed_level
        self._source_states = source_states
        self._throttles = {
            subject: bucket for subject, bucket in self._throttles.items() if subject in self._source_states
        }

    @property
    def dependency_down(self) -> bool:
        """Whether the consensus of the fleet is that the store is down."""
        return self._dependency_state == StoreHealth.DOWN

    def quota_for(self, now: int, host: str | None, caller: str | int) -> FleetQuota | None:
        """Count an RPC, and return the quota of its source; None: the source is not restricted."""
        self._rpcs += 1
        subjects = source_subject(host) if host else None, self._dispatcher_subject(caller)
        for subject in subjects:
            self._count(subject, RPCS)
        if not self._source_states:
            return None
        state, subject = max(
            (
                (self._source_states.get(subject, Restriction.NONE), subject)
                for subject in subjects
                if subject is not None
            ),
            default=(Restriction.NONE, 0),
        )
        if state == Restriction.BLOCKED:
            self.blocked_rpcs += 1
            return FleetQuota(0, 0, self.config.restriction_time)
        if state != Restriction.THROTTLED:
            return None
        return self._throttled_quota(now, subject)

    def _throttled_quota(self, now: int, subject: int) -> FleetQuota:
        """Return the quota of a source that is throttled to `config.throttled_rate` RPCs per second."""
        rate = self.config.throttled_rate
        tokens, filled_at = self._throttles.get(subject, (rate, now))
        tokens = min(rate, tokens + (now - filled_at) * rate / SECOND)
        self._throttles[subject] = max(0.0, tokens - 1), now
        return FleetQuota(int(tokens), 1, SECOND // rate)
