"""Types in which a host reports an RPC that was read.

Times are whole microseconds on the host's clock.
"""

from typing import NamedTuple


class FleetQuota(NamedTuple):
    """This node's remaining quota under the fleet's limits on an RPC.

    Where several limits apply, this is the quota of the limit with the fewest RPCs left.
    """

    available: int  # RPCs that may be admitted now
    capacity: int  # upper bound of `available`
    retry_after: int  # microseconds until more RPCs may be admitted


class RpcArrival(NamedTuple):
    """An RPC that was read completely, for `NodeController.admit`."""

    method: str  # name of the method in the settings
    memory_kb: float  # memory that the RPC holds until its completion, in units of 1024 bytes
    caller: str | int | None = None  # identifies the caller; RPCs of one caller share its connections
    expires_at: int = 0  # deadline of the RPC; 0: none was sent, the method's default deadline applies
    waited: int = 0  # microseconds from when the RPC reached the machine until it was read
    shed_rank: float | None = None  # 0 to 1, by the RPC's user; RPCs of the lowest rank are shed first
    service_time_hint: int = 0  # the caller's estimate of the time on a core, in microseconds; 0: no hint
    is_retry: bool = False
    duplicate_of: int | None = None  # index of the first RPC with the key, -1 if released; None: no duplicate
    quota: FleetQuota | None = None  # remaining quota under the fleet's limits; None: no limit applies
