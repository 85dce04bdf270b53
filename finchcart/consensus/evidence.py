"""The types of the evidence that a node's core hands to its consensus store."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class CallCounts(NamedTuple):
    """Counts of this node's calls to the store."""

    succeeded: int = 0
    failed: int = 0
    time_us: int = 0  # total duration of the successful calls


class RunOutcomeCounts(NamedTuple):
    """Counts of this node's runs of RPCs."""

    ended: int = 0
    failed: int = 0  # a part of `ended`
    time_us: int = 0  # total duration of the runs that ended


class SourceCounts(NamedTuple):
    """Counts of the traffic from one source."""

    bad_messages: int = 0
    over_limit: int = 0  # RPCs beyond a limit that applies to the source itself
    rpcs: int = 0


class Evidence(NamedTuple):
    """The observations of a core since it handed over its previous evidence."""

    calls: CallCounts = CallCounts()
    runs: RunOutcomeCounts = RunOutcomeCounts()
    rpcs: int = 0  # well-formed RPCs received
    sources: Mapping[int, SourceCounts] = MappingProxyType({})  # by subject
    level: float = 0.0  # the core's load-shedding level, 0 to 1
