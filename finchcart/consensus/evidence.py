"""The evidence that a node's core hands to its observer.

Owns the type alone.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class CallCounts(NamedTuple):
    """Calls to the store."""

    succeeded: int = 0
    failed: int = 0
    time_us: int = 0  # of the successful ones together


class RunOutcomeCounts(NamedTuple):
    """Runs of this node."""

    ended: int = 0
    failed: int = 0  # of those that ended
    time_us: int = 0  # together


class SourceCounts(NamedTuple):
    """What came from one source."""

    bad_messages: int = 0
    over_limit: int = 0  # RPCs over a limit of the source's own
    rpcs: int = 0


class Evidence(NamedTuple):
    """What a core observed since the last evidence."""

    calls: CallCounts = CallCounts()
    runs: RunOutcomeCounts = RunOutcomeCounts()
    rpcs: int = 0  # admitted
    sources: Mapping[int, SourceCounts] = MappingProxyType({})  # by subject
    level: float = 0.0  # of load shedding, 0 to 1
