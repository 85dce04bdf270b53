"""Kinds of faults that a seeded run of members chooses from."""

from enum import StrEnum


class MembershipFault(StrEnum):
    """What a fault does."""

    KILL = "kill"
    STOP = "stop"
    TERMINATE = "term"
    STARVE = "starve"
    CUT = "cut"
    LOSS = "loss"
    DUPLICATE_NAME = "twin"
    CLOCK_SET_BACK = "back"  # killed, and started with its wall clock set back
    FORGE = "forge"


class CutKind(StrEnum):
    """Which links are cut."""

    ONE_WAY = "pair"
    BOTH_WAYS = "both"
    FLAPPING = "flap"
    MEMBER = "star"
    MEMBER_IN = "deaf"
    MEMBER_OUT = "mute"
    ZONE = "zone"
    ZONE_IN = "zone deaf"
    ZONE_OUT = "zone mute"
    RING = "ring"


KINDS = (
    MembershipFault.KILL,
    MembershipFault.STOP,
    MembershipFault.TERMINATE,
    MembershipFault.STARVE,
    MembershipFault.CUT,
    MembershipFault.CUT,
    MembershipFault.LOSS,
    MembershipFault.DUPLICATE_NAME,
    MembershipFault.CLOCK_SET_BACK,
    MembershipFault.FORGE,
)
CUT_KINDS = (
    CutKind.ONE_WAY,
    CutKind.BOTH_WAYS,
    CutKind.MEMBER,
    CutKind.MEMBER_IN,
    CutKind.MEMBER_OUT,
    CutKind.ZONE,
    CutKind.ZONE_OUT,
    CutKind.ZONE_IN,
    CutKind.FLAPPING,
    CutKind.RING,
)
PAIR_CUTS = (CutKind.ONE_WAY, CutKind.BOTH_WAYS, CutKind.FLAPPING)
ZONE_CUTS = (CutKind.ZONE, CutKind.ZONE_IN, CutKind.ZONE_OUT)
INBOUND_CUTS = (CutKind.MEMBER_IN, CutKind.ZONE_IN)
OUTBOUND_CUTS = (CutKind.MEMBER_OUT, CutKind.ZONE_OUT)
PROCESS_FAULTS = (
    MembershipFault.KILL,
    MembershipFault.STOP,
    MembershipFault.TERMINATE,
    MembershipFault.CLOCK_SET_BACK,
    MembershipFault.DUPLICATE_NAME,
)
