"""Kinds of consensus rounds, and how long things took in them."""

from enum import StrEnum
from typing import NamedTuple


class RoundKind(StrEnum):
    """What happens in a round; the values stand in result tables."""

    STORE_DOWN = "down"
    ONE_ZONE = "zone"
    ONE_NODE = "one"
    SLOW_FOR_HALF = "slow"
    FLAPS = "flaps"
    FLOOD = "flood"
    MANY_SOURCES = "many"
    FEW_LIE = "few_lie"
    THIRD_LIES = "third"
    RESUMED = "woken"
    HALVES = "halves"
    ONE_WAY_CUT = "one_way"
    ALL_RESTARTED = "restarted"
    ROLLING_RESTART = "replaced"
    OVERRIDES = "words"
    DELAYED = "late"
    FAILING_RUNS = "fail"
    SHED_LEVEL = "one_level"


class Timing(NamedTuple):
    """How long something took in a round, against its bound."""

    kind: RoundKind
    event: str
    took: int
    bound: int
