"""What the simulator reports: one type for each message that is read.

Owns the types alone. An instance is named by a number, and an RPC by an identifier of the simulator's. Times
are whole microseconds on the simulator's one clock.
"""

from collections.abc import Mapping
from typing import NamedTuple

from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome


class BatchStarted(NamedTuple):
    """The events up to `BatchEnded` happened; all are acted on at this time."""

    now: int


class BatchEnded(NamedTuple):
    """The batch is complete and is to be answered."""


class InstanceStarted(NamedTuple):
    """An instance starts, in place of an earlier one of the same number."""

    instance: int
    seed: int
    settings: Mapping[str, str]  # all pairs of the message, see finchcart/settings.py


class InstanceKilled(NamedTuple):
    """An instance is gone."""

    instance: int


class DrainNotice(NamedTuple):
    """An instance is to leave."""

    instance: int
    kill_at: int


class TimerFired(NamedTuple):
    """The timer that an instance asked for is due."""

    instance: int
    gauges: Gauges = Gauges()


class RpcArrived(NamedTuple):
    """An RPC was read to its end."""

    instance: int
    rpc: str
    method: str
    memory_kb: float
    caller: int | None = None
    shed_rank: float | None = None  # 0 to 1, of its user
    first_rpc: str | None = None  # of its idempotency key, where this is a duplicate
    service_time_hint: int = 0  # microseconds; 0: no hint
    expires_at: int = 0  # its deadline; 0: not sent
    is_retry: bool = False
    waited: int = 0  # microseconds from when it reached the machine until it was read


class RunEnded(NamedTuple):
    """A run, or the wait of a duplicate, ended."""

    instance: int
    rpc: str
    outcome: Outcome
    spent: int = 0  # microseconds


class CallerGone(NamedTuple):
    """The caller of an RPC waits no longer."""

    instance: int
    rpc: str


class CallAwaited(NamedTuple):
    """A run needs its call to the dependency to go on."""

    instance: int
    rpc: str


class CallEnded(NamedTuple):
    """The call of a run returned, failed or was abandoned."""

    instance: int
    rpc: str
    outcome: Outcome
    spent: int = 0  # microseconds


RpcEvent = RunEnded | CallerGone | CallAwaited | CallEnded  # of an RPC that arrived before
InstanceEvent = RpcArrived | RpcEvent | TimerFired | DrainNotice  # of an instance that is running
Event = InstanceEvent | InstanceStarted | InstanceKilled | BatchStarted | BatchEnded
