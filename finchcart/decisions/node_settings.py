"""The settings of a node and of its methods, as typed fields with their units and defaults.

Owns each field, what it means and its default. It must never know the external name of a setting:
finchcart/settings.py makes these types from a configuration or from the simulator's pairs.
"""

from enum import Enum
from typing import NamedTuple

from finchcart.decisions.units import MS, SECOND

UNLIMITED_CALLS = 1e9
UNLIMITED_MEMORY_KB = 1e12

# For fields that are None by default, as not all users of these want the same value in its place.
DEFAULT_CRITICALITY = 1
DEFAULT_DEADLINE_US = 5 * SECOND
DEFAULT_CALLS_LINGER_US = 200 * MS


class MethodKind(Enum):
    """How often a method may run for one request."""

    IDEMPOTENT = "idempotent"  # any number of times
    KEYED = "keyed"  # once for each idempotency key
    NON_IDEMPOTENT = "non_idempotent"  # once


class Feedback(Enum):
    """What a node publishes to its callers with each answer."""

    LEVEL = "level"  # the shed level: the criticality below which callers hold RPCs back
    CREDIT = "credit"  # how many RPCs each caller may have open
    WEIGHT = "weight"  # accepted as a setting; as with SILENT, nothing is published
    SILENT = "silent"


class Dependency(Enum):
    """What limits the calls that runs make."""

    SHARED = "shared"  # one limit for all nodes, of which each has a share
    TIER = "tier"  # a tier of nodes that decides for itself: no share is kept to here
    SILENT = "silent"  # nothing is known of it; as with TIER


class MethodSettings(NamedTuple):
    """Settings of one method."""

    name: str
    kind: MethodKind = MethodKind.NON_IDEMPOTENT
    criticality: float | None = None  # the higher, the later it is shed; None: not configured
    deadline_us: int | None = None  # from its arrival, where an RPC carries none; None: not configured
    latency_objective_us: int | None = None  # None: the deadline
    key_window_us: int = 0  # a duplicate may arrive so long after the first RPC of its idempotency key
    late_value: float = 0  # value of an answer after the objective; 0: such a run may be stopped
    makes_call: bool = False  # a run calls the dependency
    degraded_value: float = 0  # value of an answer without its optional call; 0: the call is not optional


class NodeSettings(NamedTuple):
    """Settings of a node. Memory is in units of 1024 bytes."""

    methods: tuple[MethodSettings, ...] = ()

    # The machine and what runs RPCs
    cores: float = 1
    memory_kb: float = UNLIMITED_MEMORY_KB
    run_memory_factor: float = 1  # memory of a running RPC over that of a queued one
    key_entry_kb: float = 0  # memory of one stored idempotency key
    tick_us: int = MS  # resolution of timers
    gauges: tuple[str, ...] = ()  # names of the worker pool's gauges that are read
    can_stop: bool = False  # running work can be stopped
    can_pause: bool = False  # with it: a run that is stopped before its answer keeps its work and its memory

    # Overload and cold start
    overload_factor: float = 4  # runs that a core survives
    fresh_start: bool = False  # the node starts cold
    cold_start_speed: float = 1  # part of its full speed at which a cold start begins
    warm_up_us: int = 1  # a cold start reaches its full speed after this
    drain_grace_us: int = 0  # RPCs are served for so long after the drain notice

    # Calls to the dependency
    dependency: Dependency = Dependency.SHARED
    calls_limit: float = UNLIMITED_CALLS  # mean calls in flight that are this node's share, with SHARED
    calls_window_us: int = 5 * SECOND  # the mean is taken over this
    calls_linger_us: int | None = None  # an abandoned call goes on for so long; None: not configured

    # Callers
    feedback: Feedback = Feedback.LEVEL
    feedback_lifetime_us: int = SECOND  # callers heed what is published for so long
    idle_timeout_max_us: int = 8 * SECOND  # of callers' connections
    retry_after_max_us: int = 0  # of the advice in a rejection; 0: none is given
    marks_retries: bool = True  # callers mark their retries

    def warm_up_progress(self, elapsed_us: int) -> float:
        """Return the part of full speed reached after `elapsed_us`, on the slowest ramp allowed."""
        start = self.cold_start_speed
        return min(1.0, start + (1 - start) * elapsed_us / max(1, self.warm_up_us))
