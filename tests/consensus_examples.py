"""Subjects, values, configurations and members shared by the consensus tests."""

import random
from dataclasses import replace

from finchcart.consensus import subjects
from finchcart.consensus.config import SECOND, ConsensusConfig
from finchcart.consensus.subjects import (
    Restriction,
    StoreHealth,
)
from finchcart.fleet.codec import name_hash
from finchcart.membership.config import MembershipConfig
from finchcart.membership.member import Member
from finchcart.membership.messages import DeclaredStatus, GossipEntry, MemberRecord

CONFIG = ConsensusConfig()
SHORT = replace(  # shorter times than the defaults, so that a round of faults ends sooner
    CONFIG, restriction_time=6 * SECOND, source_span=4 * SECOND, recurrence_window=6 * SECOND
)
BAD_SOURCE = subjects.source_subject("10.0.0.7")
GOOD_SOURCE = subjects.source_subject("10.0.0.8")
WORKING, SLOW, DOWN = StoreHealth.WORKING, StoreHealth.SLOW, StoreHealth.DOWN
THROTTLED, BLOCKED = Restriction.THROTTLED, Restriction.BLOCKED
CLOCK_MS = 10**12  # started_ms and incarnation of all members


def record(name, address):
    return MemberRecord(name, address, 1, CLOCK_MS, CLOCK_MS, 0, DeclaredStatus.ALIVE, [])


def entry(name, topic, sequence, payload, age_us=0):
    return GossipEntry(name_hash(name), topic, CLOCK_MS, sequence, age_us, [], payload)


def make_member():
    """Return the member a, which knows the members b, c and d."""
    member = Member("a", "f", "10.0.0.1:1", [], MembershipConfig(), random.Random(1), CLOCK_MS, 0)
    for name in "bcd":
        member.learn(0, record(name, f"10.0.0.{ord(name)}:1"))
    return member
