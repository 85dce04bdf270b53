"""Settings of a node and of its methods, as typed fields with their units and defaults.

This module defines the meaning and the default of each setting, but not its external name:
finchcart/settings.py builds these types from a configuration file or from the simulator's name-value pairs.
"""

from enum import Enum
from typing import NamedTuple

from finchcart.decisions.units import MS, SECOND

UNLIMITED_CALLS = 1e9
UNLIMITED_MEMORY_KB = 1e12

# Defaults of settings that are None if not configured. They can be None because some modules need other
# defaults than these.
DEFAULT_CRITICALITY = 1
DEFAULT_DEADLINE_US = 5 * SECOND
DEFAULT_CALLS_LINGER_US = 200 * MS


class MethodKind(Enum):
    """How often a method may be executed for one request."""

    IDEMPOTENT = "idempotent"  # any number of times
    KEYED = "keyed"  # once for each idempotency key
    NON_IDEMPOTENT = "non_idempotent"  # once


class Feedback(Enum):
    """What a node publishes to its callers with each response."""

    LEVEL = "level"  # the shed level: callers do not send RPCs of a criticality below it
    CREDIT = "credit"  # how many RPCs each caller may have open
    WEIGHT = "weight"  # a valid setting, but nothing is published, as with SILENT
    SILENT = "silent"


class Dependency(Enum):
    """How the calls to the dependency are limited."""

    SHARED = "shared"  # all nodes share one limit; each node keeps to its share
    TIER = "tier"  # the dependency is a tier of nodes that does its own admission; no limit is kept here
    SILENT = "silent"  # the dependency's limit is unknown; treated like TIER


class MethodSettings(NamedTuple):
    """Settings of one method."""

    name: str
    kind: MethodKind = MethodKind.NON_IDEMPOTENT
    criticality: float | None = None  # methods of lower criticality are shed first; None: not configured
    deadline_us: int | None = None  # time from the arrival, if an RPC carries none; None: not configured
    latency_objective_us: int | None = None  # None: the objective is the deadline
    key_window_us: int = 0  # duplicates may arrive for this long after the first RPC with their key
    late_value: float = 0  # value of a response after the objective; 0: a late run may be stopped
    makes_call: bool = False  # whether a run calls the dependency
    degraded_value: float = 0  # value of a response without the optional call; 0: the call is required


class NodeSettings(NamedTuple):
    """Settings of a node. Memory is in units of 1024 bytes."""

    methods: tuple[MethodSettings, ...] = ()

    # The machine and its worker pool
    cores: float = 1
    memory_kb: float = UNLIMITED_MEMORY_KB
    run_memory_factor: float = 1  # ratio of a running RPC's memory to a queued RPC's
    key_entry_kb: float = 0  # memory of one stored idempotency key
    tick_us: int = MS  # resolution of timers
    gauges: tuple[str, ...] = ()  # names of the worker pool's gauges that are read
    can_stop: bool = False  # whether runs can be stopped
    can_pause: bool = False  # needs `can_stop`; a run stopped before its response keeps its work and memory

    # Overload and cold start
    overload_factor: float = 4  # concurrent runs per core that the node survives
    fresh_start: bool = False  # whether the node starts cold
    cold_start_speed: float = 1  # fraction of the full speed at which a cold start begins
    warm_up_us: int = 1  # time from a cold start to the full speed
    drain_grace_us: int = 0  # grace period: RPCs are served for this long after the drain notice

    # Calls to the dependency
    dependency: Dependency = Dependency.SHARED
    calls_limit: float = UNLIMITED_CALLS  # this node's share of the mean calls in flight; only with SHARED
    calls_window_us: int = 5 * SECOND  # window of that mean
    calls_linger_us: int | None = None  # an abandoned call still runs for this long; None: not configured

    # Callers
    feedback: Feedback = Feedback.LEVEL
    feedback_lifetime_us: int = SECOND  # callers apply a published value for this long
    idle_timeout_max_us: int = 8 * SECOND  # upper bound of the idle timeout of callers' connections
    retry_after_max_us: int = 0  # upper bound of the retry advice in a rejection; 0: no advice is given
    marks_retries: bool = True  # whether callers mark their retries

    def warm_up_progress(self, elapsed_us: int) -> float:
        """Return the fraction of full speed reached after `elapsed_us`, on the slowest ramp allowed."""
        start = self.cold_start_speed
        return min(1.0, start + (1 - start) * elapsed_us / max(1, self.warm_up_us))
