"""What a host reports of an RPC that was read.

Owns the types alone; it must never decide what becomes of the RPC. Times are whole microseconds on the host's
one clock.
"""

from typing import NamedTuple


class FleetQuota(NamedTuple):
    """What is left here of the fleet's limits on an RPC, of the limit that has the least left."""

    available: int  # RPCs that may be admitted now
    capacity: int  # of how many at most
    retry_after: int  # microseconds until there may be more


class RpcArrival(NamedTuple):
    """An RPC that was read to its end, for `NodeController.admit`."""

    method: str  # its name in the settings
    memory_kb: float  # held until it is completed
    caller: str | int | None = None  # whose connections and retries it shares
    expires_at: int = 0  # its deadline; 0: not sent, the method's deadline stands in
    waited: int = 0  # microseconds from when it reached the machine until it was read
    shed_rank: float | None = None  # 0 to 1, of its user; the lowest are shed first
    service_time_hint: int = 0  # microseconds on a core, by the caller's estimate; 0: no hint
    is_retry: bool = False
    duplicate_of: int | None = None  # index of the first RPC of its key; -1: released; None: no duplicate
    quota: FleetQuota | None = None  # what is left here of the fleet's limits on it
