"""The configuration of key leases and the bounds that follow from it.

Owns the times and sizes that operators set; `FIELDS_BY_SETTING` maps the keys of the settings file to its
fields. This module must never hold state that is learnt at run time. Times are whole microseconds.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from finchcart.fleet import leases
from finchcart.fleet.field_problem import FieldProblem
from finchcart.fleet.units import MS, SECOND

LEASE_BYTES = 500  # memory of one lease on a replica, without its result

# Maps the key of a setting, without its unit, to the name of its field where the two differ.
FIELDS_BY_SETTING = {
    "life": "lease_duration",
    "command": "command_timeout",
    "answer": "quorum_timeout",
    "again": "retransmit_interval",
    "wait": "outcome_timeout",
    "ask": "poll_interval",
    "result": "max_result_bytes",
    "entries": "max_leases",
    "batch": "max_batch",
}


@dataclass(frozen=True)
class KeyLeaseConfig:
    """Times and sizes of key leases; see docs/operate/claims.md for how to choose them."""

    replicas: tuple[str, ...] = ()  # addresses of the 1, 3 or 5 replicas, the same on all nodes and replicas
    lease_duration: int = 20 * SECOND  # longest window of a key, and the latest time for a retry of it
    command_timeout: int = 1 * SECOND  # a run is commanded within this time after the proposal, or not at all
    quorum_timeout: int = 200 * MS  # an attempt without a quorum of votes fails after this time
    retransmit_interval: int = 50 * MS  # an unanswered message is retransmitted after this time
    outcome_timeout: int = 2 * SECOND  # a duplicate waits this long for the outcome of a run elsewhere
    poll_interval: int = 100 * MS  # a duplicate that waits polls the replicas at this interval
    drift: float = 0.001  # upper bound on the relative difference in rate between two clocks of the fleet
    max_result_bytes: int = 256  # longest result that replicas keep; a longer one is reported as `FAILED`
    max_leases: int = 200_000  # most leases on a replica; a full one refuses others but answers duplicates
    max_batch: int = 16  # most leases in one message

    @classmethod
    def from_settings(cls, replicas: tuple[str, ...], settings: Mapping[str, Any]) -> "KeyLeaseConfig":
        """Return the configuration for settings given by key without unit; times are microseconds."""
        return cls(replicas, **{FIELDS_BY_SETTING.get(key, key): value for key, value in settings.items()})

    def widened(self, duration: int) -> int:
        """Return the duration of a lease on its granter's clock; see finchcart/fleet/leases.py."""
        return leases.widened(duration, self.drift)

    @property
    def startup_quiet_period(self) -> int:
        """The microseconds for which a replica doesn't answer after its start.

        An earlier process at its address may have voted for leases that this one doesn't know.
        """
        return self.widened(self.lease_duration)

    @property
    def quorum(self) -> int:
        """The number of votes that grant a lease."""
        return leases.quorum(len(self.replicas))

    def run_spacing_bound(self) -> int:
        """Return the shortest time in microseconds between two runs of one key, whichever process fails."""
        return self.lease_duration - self.command_timeout

    def state_bytes_bound(self) -> int:
        """Return the most memory that the leases of a replica take, in bytes."""
        return self.max_leases * (LEASE_BYTES + self.max_result_bytes)


def config_errors(config: KeyLeaseConfig) -> Iterator[FieldProblem]:
    """Yield each combination of values that cannot be used."""
    yield from leases.group_size_problems("keepers", config.replicas)
    yield from leases.duplicate_problems("keepers", config.replicas)
    if config.command_timeout + 2 * config.quorum_timeout > config.lease_duration // 2:
        yield FieldProblem(
            "command_ms",
            f"{config.command_timeout // MS} ms and the answer leave less than half of life_ms, "
            f"{config.lease_duration // MS} ms, between two runs",
        )
