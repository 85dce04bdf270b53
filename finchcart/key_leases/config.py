"""The configuration of key leases and the bounds that follow from it.

Owns times and sizes; filled once from the settings file, whose keys the fields are named after (without the
unit). It must never hold what is learnt while running. Times are whole microseconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from finchcart.fleet import leases
from finchcart.fleet.field_problem import FieldProblem
from finchcart.fleet.units import MS, SECOND

LEASE_BYTES = 500  # memory of one lease at a replica, measured, without its result


@dataclass(frozen=True)
class KeyLeaseConfig:
    """Times and sizes of key leases; see docs/operate/claims.md for how to choose them."""

    keepers: tuple[str, ...] = ()  # addresses of the replicas: 1, 3 or 5, the same everywhere
    life: int = 20 * SECOND  # longest lease: the longest window of a key, and how late a retry may come
    command: int = 1 * SECOND  # a run is commanded within this after its lease was asked for, or not at all
    answer: int = 200 * MS  # an attempt without a quorum of votes fails after this
    again: int = 50 * MS  # an unanswered message is retransmitted after this
    wait: int = 2 * SECOND  # a duplicate waits so long for the outcome of a run elsewhere
    ask: int = 100 * MS  # interval at which it polls the replicas meanwhile
    drift: float = 0.001  # the part by which any two clocks of the fleet may run apart
    result: int = 256  # longest result, in bytes, that replicas keep; a longer one is reported as lost
    entries: int = 200_000  # leases of one replica; when full, new ones are refused and duplicates answered
    batch: int = 16  # leases in one message

    def widened(self, duration: int) -> int:
        """The duration of a lease as its granter counts it, see finchcart/fleet/leases.py."""
        return leases.widened(duration, self.drift)

    @property
    def startup_quiet_period(self) -> int:
        """Microseconds in which a replica that starts answers nobody: it may have voted before."""
        return self.widened(self.life)

    @property
    def quorum(self) -> int:
        """Votes that grant a lease."""
        return leases.quorum(len(self.keepers))

    def run_spacing_bound(self) -> int:
        """Microseconds that two runs of one key are apart at least, whoever fails."""
        return self.life - self.command

    def state_bytes_bound(self) -> int:
        """Memory of a replica that is full, in bytes."""
        return self.entries * (LEASE_BYTES + self.result)


def config_errors(config: KeyLeaseConfig) -> Iterator[FieldProblem]:
    """What cannot be used."""
    yield from leases.group_size_problems("keepers", config.keepers)
    yield from leases.duplicate_problems("keepers", config.keepers)
    if config.command + 2 * config.answer > config.life // 2:
        yield FieldProblem(
            "command_ms",
            f"{config.command // MS} ms and the answer leave less than half of life_ms, "
            f"{config.life // MS} ms, between two runs",
        )
