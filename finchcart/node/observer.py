"""What the core saw of others lately, for the fleet's consensus, and what that consensus is.

Owns counts since the last evidence, and the consensus in force here. It must never decide what the consensus
is, nor reject an RPC: the decision module does, by the quota that it is given. Sources differ by where a
connection comes from; the number that a dispatcher gives of itself counts where a complete RPC carries it, so
that no random bytes accuse another.
"""

from collections.abc import Mapping

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.evidence import CallCounts, Evidence, RunOutcomeCounts, SourceCounts
from finchcart.consensus.subjects import Restriction, StoreHealth, SubjectKind, make_subject, source_subject
from finchcart.decisions.arrival import FleetQuota
from finchcart.decisions.outcome import Outcome

SECOND = 1_000_000
INVALID, OVER_LIMIT, RPCS = range(3)  # what is counted of a source, in the order in which it is published
SUCCEEDED, FAILED, TIME = range(3)  # what is counted of calls
ENDED, ENDED_IN_ERROR = range(2)  # what is counted of runs; then TIME


class NodeObserver:
    """The counts, and the consensus on each subject. Times are whole microseconds.

    Bounds: counts by `config.max_sources` sources in one evidence; the consensus by the number of sources of
    which the fleet has one.
    """

    def __init__(self, config: ConsensusConfig) -> None:
        self.config = config
        self.ejected = False
        self.min_shed_level = 0.0
        self.blocked_rpcs = 0
        self._dependency_state: int = StoreHealth.WORKING
        self._source_states: Mapping[int, int] = {}
        self._throttles: dict[int, tuple[float, int]] = {}  # subject -> (tokens, filled at)
        self._collected_at: int | None = None
        self._reset_counts()

    def _reset_counts(self) -> None:
        self._calls = [0, 0, 0]
        self._runs = [0, 0, 0]
        self._rpcs = 0
        self._sources: dict[int, list[int]] = {}

    # ---- What was seen

    def collect_evidence(self, now: int, shed_level: float) -> Evidence | None:
        """Return the evidence since the last one, or None where it is too soon."""
        if self._collected_at is not None and now - self._collected_at < self.config.evidence_interval:
            return None
        evidence = Evidence(
            CallCounts(*self._calls),
            RunOutcomeCounts(*self._runs),
            self._rpcs,
            {name: SourceCounts(*counts) for name, counts in self._sources.items()},
            shed_level,
        )
        self._collected_at = now
        self._reset_counts()
        return evidence

    def call_ended(self, outcome: Outcome, spent_us: int, time_cut: bool) -> None:
        """Count a call.

        `time_cut`: its time was cut short by this node's own allowance, so that a timeout proves nothing of
        the store.
        """
        if outcome is Outcome.OK:
            self._calls[SUCCEEDED] += 1
            self._calls[TIME] += spent_us
        elif outcome is not Outcome.REJECTED and not (time_cut and outcome is Outcome.TIMEOUT):
            self._calls[FAILED] += 1

    def run_ended(self, outcome: Outcome, spent_us: int) -> None:
        """Count a run that ended by itself."""
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._runs[ENDED] += 1
            self._runs[ENDED_IN_ERROR] += outcome is Outcome.ERROR
            self._runs[TIME] += spent_us

    def record_invalid_traffic(self, host: str | None) -> None:
        """Count a message that can't be read, or a connection without an RPC."""
        if host:
            self._count(source_subject(host), INVALID)

    def record_over_limit(self, caller: str | int) -> None:
        """Count an RPC beyond a limit of its dispatcher."""
        self._count(self._number_of(caller), OVER_LIMIT)

    def _count(self, name: int | None, item: int) -> None:
        if name is not None and (name in self._sources or len(self._sources) < self.config.max_sources):
            self._sources.setdefault(name, [0, 0, 0])[item] += 1

    @staticmethod
    def _number_of(caller: str | int) -> int | None:
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
        """Apply what the fleet holds from now on, see `ConsensusChanged`."""
        self._dependency_state = dependency_state
        self.ejected = ejected
        self.min_shed_level = min_shed_level
        self._source_states = source_states
        self._throttles = {
            name: bucket for name, bucket in self._throttles.items() if name in self._source_states
        }

    @property
    def dependency_down(self) -> bool:
        """Whether the fleet's consensus is that the store is down."""
        return self._dependency_state == StoreHealth.DOWN

    def quota_for(self, now: int, host: str | None, caller: str | int) -> FleetQuota | None:
        """Return what an RPC of this source may use; None: as much as any."""
        self._rpcs += 1
        names = source_subject(host) if host else None, self._number_of(caller)
        for name in names:
            self._count(name, RPCS)
        if not self._source_states:
            return None
        state, name = max(
            ((self._source_states.get(name, Restriction.NONE), name) for name in names if name is not None),
            default=(Restriction.NONE, 0),
        )
        if state == Restriction.BLOCKED:
            self.blocked_rpcs += 1
            return FleetQuota(0, 0, self.config.restriction_time)
        if state != Restriction.THROTTLED:
            return None
        return self._throttled(now, name)

    def _throttled(self, now: int, name: int) -> FleetQuota:
        """Return what is left to a source that is throttled to so many RPCs a second."""
        rate = self.config.throttled_rate
        tokens, filled_at = self._throttles.get(name, (rate, now))
        tokens = min(rate, tokens + (now - filled_at) * rate / SECOND)
        self._throttles[name] = max(0.0, tokens - 1), now
        return FleetQuota(int(tokens), 1, SECOND // rate)
