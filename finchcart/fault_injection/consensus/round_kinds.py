"""Kinds of consensus rounds, and the record of how long an event took in a round."""

from enum import StrEnum
from typing import NamedTuple


class RoundKind(StrEnum):
    """What happens in a round; the values appear in result tables."""

    STORE_DOWN = "down"
    STORE_DOWN_IN_ZONE = "zone"
    STORE_DOWN_FOR_NODE = "one"
    STORE_SLOW_FOR_HALF = "slow"
    STORE_FLAPS = "flaps"
    SOURCE_FLOODS = "flood"
    MANY_SOURCES_FLOOD = "many"
    FEW_FAULTY_REPORTERS = "few_lie"
    THIRD_FAULTY_REPORTERS = "third"
    RESUMED_AFTER_RECOVERY = "woken"
    HALVES_CUT_OFF = "halves"
    ONE_WAY_CUT = "one_way"
    ALL_RESTARTED = "restarted"
    ROLLING_RESTART = "replaced"
    OVERRIDES = "words"
    DELAYED_MESSAGES = "late"
    FAILING_RUNS = "fail"
    SHED_LEVEL = "one_level"


class Timing(NamedTuple):
    """How long an event took in a round, and its bound; both in microseconds."""

    kind: RoundKind
    event: str
    took: int
    bound: int
