"""The configuration of key leases and the bounds that follow from it.

Owns times and sizes, by the names of the code; `FIELDS_BY_SETTING` has the words of the settings file. It
must never hold what is learnt while running. Times are whole microseconds.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from finchcart.fleet import leases
from finchcart.fleet.field_problem import FieldProblem
from finchcart.fleet.units import MS, SECOND

LEASE_BYTES = 500  # memory of one lease at a replica, without its result

# Key of a setting (without its unit) -> the field, where they differ.
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

    replicas: tuple[str, ...] = ()  # addresses of the replicas: 1, 3 or 5, the same everywhere
    lease_duration: int = 20 * SECOND  # the longest window of a key, and how late a retry may come
    command_timeout: int = 1 * SECOND  # a run is commanded within this after the request, or not at all
    quorum_timeout: int = 200 * MS  # an attempt without a quorum of votes fails after this
    retransmit_interval: int = 50 * MS  # an unanswered message is retransmitted after this
    outcome_timeout: int = 2 * SECOND  # a duplicate waits so long for the outcome of a run elsewhere
    poll_interval: int = 100 * MS  # interval at which it polls the replicas meanwhile
    drift: float = 0.001  # the part by which any two clocks of the fleet may run apart
    max_result_bytes: int = 256  # that replicas keep; a longer result is reported as lost
    max_leases: int = 200_000  # of one replica; when full, it refuses new ones and answers duplicates
    max_batch: int = 16  # leases in one message

    @classmethod
    def from_settings(cls, replicas: tuple[str, ...], settings: Mapping[str, Any]) -> "KeyLeaseConfig":
        """Return the configuration of settings by key (without its unit); times are microseconds."""
        return cls(replicas, **{FIELDS_BY_SETTING.get(key, key): value for key, value in settings.items()})

    def widened(self, duration: int) -> int:
        """Return the duration of a lease as its granter counts it, see finchcart/fleet/leases.py."""
        return leases.widened(duration, self.drift)

    @property
    def startup_quiet_period(self) -> int:
        """The microseconds in which a replica that starts answers nobody: it may have voted before."""
        return self.widened(self.lease_duration)

    @property
    def quorum(self) -> int:
        """The number of votes that grant a lease."""
        return leases.quorum(len(self.replicas))

    def run_spacing_bound(self) -> int:
        """Return the microseconds between two runs of one key, at least, whoever fails."""
        return self.lease_duration - self.command_timeout

    def state_bytes_bound(self) -> int:
        """Return the memory of a full replica, in bytes."""
        return self.max_leases * (LEASE_BYTES + self.max_result_bytes)


def config_errors(config: KeyLeaseConfig) -> Iterator[FieldProblem]:
    """Yield what cannot be used."""
    yield from leases.group_size_problems("keepers", config.replicas)
    yield from leases.duplicate_problems("keepers", config.replicas)
    if config.command_timeout + 2 * config.quorum_timeout > config.lease_duration // 2:
        yield FieldProblem(
            "command_ms",
            f"{config.command_timeout // MS} ms and the answer leave less than half of life_ms, "
            f"{config.lease_duration // MS} ms, between two runs",
        )
