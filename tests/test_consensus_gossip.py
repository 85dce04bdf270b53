"""Reports and overrides in gossip entries, and what is left out of them."""

import random

from finchcart.consensus import subjects
from finchcart.consensus.config import SECOND
from finchcart.consensus.messages import (
    ObservationReport,
    OperatorOverride,
)
from finchcart.consensus.overrides import OverrideTable
from finchcart.consensus.store import ConsensusStore
from finchcart.fleet.codec import encode_value, name_hash
from finchcart.membership.messages import GossipTopic
from finchcart.membership.records import MemberState
from tests.consensus_examples import BAD, BLOCKED, CONFIG, GOOD, THROTTLED, entry, make_member, record


def test_gossip_entries_merge_alike_in_any_order_and_any_number_of_times():
    rng = random.Random(5)
    entries = []
    for n in range(30):
        name, topic, age_us = rng.choice("bcd"), rng.randrange(3), rng.randrange(1000)
        entries.append((entry(name, topic, n, b"%d" % n, age_us), rng.choice((None, 10, 500))))
    held = []
    for _ in range(20):
        some = entries + rng.choices(entries, k=20)
        rng.shuffle(some)
        member = make_member()
        for each, transit_us in some:
            member.gossip.receive(5000, each, transit_us)
        received = member.gossip.received.items()
        held.append({key: (dated.entry.precedence, dated.written_at) for key, dated in received})
    assert all(each == held[0] for each in held)
    assert len(held[0]) == 9


def test_an_entry_that_does_not_fit_is_relayed_later_and_more_often_in_a_large_fleet():
    member = make_member()
    for name in "bcd":
        member.gossip.receive(0, entry(name, 1, 1, b"x" * 300), 0)
    before = dict(member.gossip.relays_left)
    taken = member.gossip.take(0, 1, 700)
    assert len(taken) == 2
    assert sum(before.values()) - sum(member.gossip.relays_left.values()) == 2
    for n in range(60):
        member.learn(0, record(f"m{n}", f"10.0.1.{n}:1"))
    member.gossip.receive(0, entry("m5", 1, 1, b"x"), 0)
    assert member.gossip.relays_left[name_hash("m5"), 1] > 2


def test_overrides_merge_alike_in_any_order_and_the_newer_stands():
    rng = random.Random(6)
    overrides = []
    for n in range(20):
        subject, value = rng.choice((BAD, GOOD)), rng.choice((0, THROTTLED, BLOCKED))
        message = OperatorOverride(subject, value, n // 3, 7, n, 10**9, "w")
        overrides.append((message, rng.randrange(10**8, 10**9)))
    held = []
    for _ in range(20):
        table = OverrideTable(CONFIG.max_overrides)
        some = overrides + rng.choices(overrides, k=10)
        rng.shuffle(some)
        for message, ends_at in some:
            table.receive(0, message, ends_at, "x")
        by_subject = table.by_subject.items()
        held.append({subject: (override.message, override.ends_at) for subject, override in by_subject})
    assert all(each == held[0] for each in held)


def test_a_member_that_reports_for_others_or_too_often_is_ignored():
    member = make_member()
    consensus = ConsensusStore("a", "f", CONFIG, 0)
    consensus.member = member

    def collected(now, name):
        return consensus.collect_reports(now, member, is_alone=False).get(name_hash(name))

    def receive(number, reports, now, name="b"):
        payload = encode_value(reports)
        member.gossip.receive(now, entry(name, GossipTopic.OBSERVATIONS, number, payload), 0)
        return collected(now, name)

    own = ObservationReport(subjects.node_subject("b"), 0, 5)
    assert receive(1, [ObservationReport(subjects.node_subject("c"), 100, 5), own], 0) == [own]
    now = 0
    while receive(now // 1000 + 2, [], now) is not None:
        now += 100_000
        assert now < 10 * SECOND, "a change every 100 ms is not noticed"
    assert consensus.counts["changes too often"]
    assert receive(1, [ObservationReport(BAD, BLOCKED, 1)], now, "c") is not None
    known = member.known_members[name_hash("c")]
    known.state = MemberState.FAILED
    assert collected(now, "c") is None, "of a failed member"
    known.state = MemberState.ALIVE
    assert collected(now + CONFIG.report_lifetime + 1, "c") is None, "void after its lifetime"
