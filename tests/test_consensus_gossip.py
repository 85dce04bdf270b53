"""Merging of reports and overrides in gossip entries, and the entries that are ignored."""

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
from tests.consensus_examples import (
    BAD_SOURCE,
    BLOCKED,
    CONFIG,
    GOOD_SOURCE,
    THROTTLED,
    entry,
    make_member,
    record,
)


def test_gossip_entries_merge_to_the_same_state_when_reordered_and_duplicated():
    rng = random.Random(5)
    entries = []
    for n in range(30):
        name, topic, age_us = rng.choice("bcd"), rng.randrange(3), rng.randrange(1000)
        entries.append((entry(name, topic, n, b"%d" % n, age_us), rng.choice((None, 10, 500))))
    states = []
    for _ in range(20):
        arrivals = entries + rng.choices(entries, k=20)
        rng.shuffle(arrivals)
        member = make_member()
        for each, transit_us in arrivals:
            member.gossip.receive(5000, each, transit_us)
        received = member.gossip.received.items()
        states.append({key: (dated.entry.precedence, dated.written_at) for key, dated in received})
    assert all(each == states[0] for each in states)
    assert len(states[0]) == 9


def test_an_entry_that_does_not_fit_is_relayed_later_and_a_large_fleet_relays_more_often():
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


def test_overrides_merge_to_the_newest_when_reordered_and_duplicated():
    rng = random.Random(6)
    overrides = []
    for n in range(20):
        subject, value = rng.choice((BAD_SOURCE, GOOD_SOURCE)), rng.choice((0, THROTTLED, BLOCKED))
        message = OperatorOverride(subject, value, n // 3, 7, n, 10**9, "w")
        overrides.append((message, rng.randrange(10**8, 10**9)))
    states = []
    for _ in range(20):
        table = OverrideTable(CONFIG.max_overrides)
        arrivals = overrides + rng.choices(overrides, k=10)
        rng.shuffle(arrivals)
        for message, ends_at in arrivals:
            table.receive(0, message, ends_at, "x")
        by_subject = table.by_subject.items()
        states.append({subject: (override.message, override.ends_at) for subject, override in by_subject})
    assert all(each == states[0] for each in states)


def test_reports_on_other_nodes_or_changed_too_often_or_expired_are_ignored():
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
        assert now < 10 * SECOND, "a change every 100 ms was not treated as too often"
    assert consensus.counts["changes too often"]
    assert receive(1, [ObservationReport(BAD_SOURCE, BLOCKED, 1)], now, "c") is not None
    known = member.known_members[name_hash("c")]
    known.state = MemberState.FAILED
    assert collected(now, "c") is None, "the member has failed"
    known.state = MemberState.ALIVE
    assert collected(now + CONFIG.report_lifetime + 1, "c") is None, "the report's lifetime is over"
