"""Event types of the simulator adapter: one type for each message that the simulator sends.

This module holds types and no logic. An instance is identified by a number, and an RPC by an identifier that
the simulator assigns. Times are whole microseconds on the simulator's clock, which all instances share.
"""

from collections.abc import Mapping
from typing import NamedTuple

from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome


class BatchStarted(NamedTuple):
    """A batch begins; all events up to the next `BatchEnded` are handled as of the time `now`."""

    now: int


class BatchEnded(NamedTuple):
    """The batch is complete, and the simulator waits for the response to it."""


class InstanceStarted(NamedTuple):
    """An instance starts and replaces any earlier instance with the same number.

    `settings` holds all `name=value` pairs of the message; finchcart/settings.py reads them.
    """

    instance: int
    seed: int
    settings: Mapping[str, str]


class InstanceKilled(NamedTuple):
    """An instance was killed."""

    instance: int


class DrainNotice(NamedTuple):
    """An instance must drain; it is killed at the time `kill_at`."""

    instance: int
    kill_at: int


class TimerFired(NamedTuple):
    """The timer that an instance set has fired."""

    instance: int
    gauges: Gauges = Gauges()


class RpcArrived(NamedTuple):
    """An RPC was read completely."""

    instance: int
    rpc: str
    method: str
    memory_kb: float
    caller: int | None = None
    shed_rank: float | None = None  # from 0 to 1, derived from the RPC's user
    first_rpc: str | None = None  # if this RPC is a duplicate: the first RPC with its idempotency key
    service_time_hint: int = 0  # microseconds; 0: the RPC carries no hint
    expires_at: int = 0  # the RPC's deadline; 0: the RPC carries no deadline
    is_retry: bool = False
    waited: int = 0  # microseconds between the arrival at the machine and the time when it was read


class RunEnded(NamedTuple):
    """A run ended, or a duplicate's wait for the result of the first RPC ended."""

    instance: int
    rpc: str
    outcome: Outcome
    duration: int = 0  # microseconds


class CallerGone(NamedTuple):
    """The caller of an RPC no longer waits for the response."""

    instance: int
    rpc: str


class CallAwaited(NamedTuple):
    """A run has reached its call to the dependency and cannot continue before the call is made or skipped."""

    instance: int
    rpc: str


class CallEnded(NamedTuple):
    """The call of a run to the dependency succeeded, failed or was abandoned."""

    instance: int
    rpc: str
    outcome: Outcome
    duration: int = 0  # microseconds


RpcEvent = RunEnded | CallerGone | CallAwaited | CallEnded  # events of an RPC that arrived earlier
InstanceEvent = RpcArrived | RpcEvent | TimerFired | DrainNotice  # events of an instance that was started
Event = InstanceEvent | InstanceStarted | InstanceKilled | BatchStarted | BatchEnded
