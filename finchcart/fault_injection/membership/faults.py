"""Kinds of faults that a seeded run of members chooses from."""

from enum import StrEnum


class MembershipFault(StrEnum):
    """Kinds of faults."""

    KILL = "kill"
    STOP = "stop"
    TERMINATE = "term"
    STARVE = "starve"  # the ticks of a member are delayed, as without CPU time
    CUT = "cut"
    LOSS = "loss"
    DUPLICATE_NAME = "twin"
    CLOCK_SET_BACK = "back"  # the member is killed, and restarted with its wall clock set back
    FORGE = "forge"  # a member receives invalid datagrams


class CutKind(StrEnum):
    """Which links are cut."""

    ONE_WAY = "pair"
    BOTH_WAYS = "both"
    FLAPPING = "flap"
    MEMBER = "star"  # all links of a member
    MEMBER_IN = "deaf"  # all inbound links of a member
    MEMBER_OUT = "mute"  # all outbound links of a member
    ZONE = "zone"
    ZONE_IN = "zone deaf"
    ZONE_OUT = "zone mute"
    RING = "ring"  # the link from each member to the next one


# A kind that is listed twice is chosen twice as often.
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
