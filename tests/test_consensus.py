"""Consensus: the rule, entries that merge, rounds on a virtual clock, the core; planted defects."""

import random
import re
from dataclasses import replace
from pathlib import Path
from statistics import median

import json5
import msgspec
import pytest

from finchcart.consensus import active_decisions, decision, subjects
from finchcart.consensus.active_decisions import ActiveDecision
from finchcart.consensus.config import SECOND, ConsensusConfig, config_errors, config_warnings
from finchcart.consensus.decision import decide, median_without
from finchcart.consensus.effects import DecisionsChanged
from finchcart.consensus.fleet_decisions import FleetDecisions
from finchcart.consensus.messages import (
    CODEC,
    ConsensusStatusResponse,
    ObservationReport,
    OperatorOverride,
    OverrideRequest,
)
from finchcart.consensus.observations import MILLION, Observer
from finchcart.consensus.overrides import Override, OverrideTable
from finchcart.consensus.store import ConsensusStore
from finchcart.consensus.subjects import (
    LEVEL_SUBJECT,
    STORE_SUBJECT,
    ZONE_SUBJECT,
    Restriction,
    StoreHealth,
    SubjectKind,
)
from finchcart.decisions.outcome import Outcome
from finchcart.decisions.rpc import RpcState
from finchcart.errors import SettingsError
from finchcart.fault_injection.consensus.fault_run import SeededRun
from finchcart.fault_injection.consensus.simulation import ConsensusSimulation
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fleet.codec import MAX_DATAGRAM_BYTES, encode_value, name_hash
from finchcart.fleet_settings.configs import consensus_config
from finchcart.fleet_settings.file import check_settings
from finchcart.membership.config import MembershipConfig
from finchcart.membership.gossip import GossipEntryStore
from finchcart.membership.member import Member
from finchcart.membership.messages import DeclaredStatus, GossipEntry, GossipTopic, MemberRecord
from finchcart.membership.records import MemberState
from finchcart.node.fleet_inputs import fleet_input
from finchcart.node.inputs import MessagesReceived
from finchcart.node.limiter_set import LimiterSet
from finchcart.node.observer import NodeObserver
from finchcart.protocol.messages import HeartbeatCall
from finchcart.quota.effects import LimitAllowance
from finchcart.quota.limits import Limit
from tests.core_harness import CoreHarness
from tests.decision_runs import PLAIN, one_step
from tests.harness import MS, Node, draw_settings
from tests.test_core import GAUGES, plain_harness, play

CONFIG = ConsensusConfig()
SHORT = replace(  # rounds end sooner
    CONFIG, restriction_time=6 * SECOND, source_span=4 * SECOND, recurrence_window=6 * SECOND
)
BAD = subjects.source_subject("10.0.0.7")
GOOD = subjects.source_subject("10.0.0.8")
WORKING, SLOW, DOWN = StoreHealth.WORKING, StoreHealth.SLOW, StoreHealth.DOWN
THROTTLED, BLOCKED = Restriction.THROTTLED, Restriction.BLOCKED


def by_member(*reports):
    """Each member's reports by its id; members stand in three zones in turn."""
    return {n: [ObservationReport(ZONE_SUBJECT, n % 3, 0), *each] for n, each in enumerate(reports)}


def store_report(value, fresh=1):
    return [ObservationReport(STORE_SUBJECT, value, fresh)]


def source_report(subject, percent=1, value=BLOCKED):
    return [ObservationReport(subject, value, percent * MILLION + 5)]


def node_report(n, percent_failed=0, time=1000):
    return [ObservationReport(subjects.node_subject(f"n{n}"), percent_failed, time)]


def decided_values(*reports, config=CONFIG):
    """subject -> value decided from the reports of as many members."""
    decisions = decide(by_member(*reports), config, len(reports))
    return {subject: made.value for subject, made in decisions.items()}


# ---- the rule


def test_the_store_is_down_where_most_of_those_that_know_report_it_and_never_by_one():
    def decided(*reports, config=CONFIG):
        return decided_values(*reports, config=config).get(STORE_SUBJECT)

    down, slow, working = store_report(DOWN), store_report(SLOW), store_report(WORKING)
    remembered_down = store_report(DOWN, fresh=0)
    assert decided(down, down, working) == DOWN
    assert decided(down, working, working) == WORKING
    assert decided(down, [], []) is None, "one alone"
    assert decided(*[down] * 4, *[working] * 4) == WORKING, "neither half speaks for all"
    assert decided(down, slow, working) == SLOW
    # Those who tried lately know better than those who remember.
    assert decided(working, working, *[remembered_down] * 6) == WORKING
    assert decided(down, *[remembered_down] * 6) == DOWN
    assert decided(down, [], [], down, config=replace(CONFIG, min_zones=2)) is None, "of one zone"


def test_a_source_needs_many_reports_and_what_carries_much_is_not_blocked_by_reports():
    nobody = [[]] * 9
    bad = source_report(BAD)
    assert decided_values(*[bad] * 3, *nobody) == {BAD: BLOCKED}
    assert decided_values(*[bad] * 2, *nobody) == {}
    assert decided_values(*[source_report(BAD, 40)] * 5, *nobody) == {}, "two fifths of all RPCs come from it"
    both = [*source_report(BAD, 12), *source_report(GOOD, 11)]
    assert decided_values(*[both] * 6, *nobody) == {BAD: BLOCKED, GOOD: THROTTLED}, (
        "together more than may be"
    )
    throttled = source_report(BAD, 1, THROTTLED)
    assert decided_values(*[throttled] * 4, *nobody) == {BAD: THROTTLED}


def test_an_outlier_is_ejected_and_only_a_part_of_the_nodes_may_be():
    def ejected(*reports):
        return {subject for subject, value in decided_values(*reports).items() if value == subjects.EJECTED}

    first = {subjects.node_subject("n0")}
    assert ejected(node_report(0, 100), *map(node_report, range(1, 8))) == first
    assert ejected(node_report(0, 0, 9000), *map(node_report, range(1, 8))) == first
    three_failing = [node_report(n, 100) for n in range(3)]
    assert len(ejected(*three_failing, *map(node_report, range(3, 10)))) == 2, "a fifth at most"
    assert ejected(*(node_report(n, 100) for n in range(8))) == set(), "all fail: it is not the node"


def test_the_level_is_the_lower_median_which_fewer_than_half_can_not_move():
    def level(*values):
        return decided_values(*([ObservationReport(LEVEL_SUBJECT, value, 0)] for value in values)).get(
            LEVEL_SUBJECT, 0
        )

    assert level(0, 0, 0, 1000, 1000) == 0
    assert level(300, 300, 300, 0, 0) == 300
    assert level(200, 400, 600, 800) == 400


def test_reports_are_of_what_was_observed_and_bounded():
    observer = Observer(subjects.node_subject("n0"), CONFIG)

    def observe(now, **seen):
        observer.observe(now, {"calls": (0, 0, 0), "runs": (0, 0, 0), **seen})

    def reported(now):
        """(value, weight) of the store."""
        return next((each[1:] for each in observer.reports(now) if each.subject == STORE_SUBJECT), None)

    for n in range(8):
        observe(n * 250 * MS, calls=(3, 0, 60_000))
    assert reported(1750 * MS) == (WORKING, 1)
    observe(2000 * MS, calls=(0, 2, 0))
    assert reported(2000 * MS) == (WORKING, 1), "a few failed"
    for n in range(9, 18):
        observe(n * 250 * MS, calls=(0, 3, 0))
    assert reported(4250 * MS) == (DOWN, 1)
    observe(9 * SECOND)
    assert reported(9 * SECOND) == (DOWN, 0), "nothing was tried lately"
    observe(9 * SECOND + 1, calls=(1, 0, 20_000))
    assert reported(9 * SECOND + 1) == (WORKING, 1), "one probe call tells"
    for n in range(18, 26):
        observe(10 * SECOND + n * 250 * MS, calls=(3, 0, 3_000_000))
    assert reported(16 * SECOND + 250 * MS)[0] == SLOW
    observe(60 * SECOND)
    assert reported(60 * SECOND) is None
    for n in range(3000):
        source = subjects.source_subject(f"10.{n // 250}.0.{n % 250}")
        observe(70 * SECOND, sources={source: (30 if n % 2 else 1, 0, 0)})
    assert len(observer.sources) == CONFIG.max_sources
    assert len(observer.reports(70 * SECOND)) <= CONFIG.max_source_reports + 4
    observe(150 * SECOND)
    assert not observer.sources


# ---- gossip entries and overrides

CLOCK_MS = 10**12  # started_ms and incarnation of all members


def record(name, address):
    return MemberRecord(name, address, 1, CLOCK_MS, CLOCK_MS, 0, DeclaredStatus.ALIVE, [])


def entry(name, topic, sequence, payload, age_us=0):
    return GossipEntry(name_hash(name), topic, CLOCK_MS, sequence, age_us, [], payload)


def make_member():
    """Member a, which knows b, c and d."""
    member = Member("a", "f", "10.0.0.1:1", [], MembershipConfig(), random.Random(1), CLOCK_MS, 0)
    for name in "bcd":
        member.learn(0, record(name, f"10.0.0.{ord(name)}:1"))
    return member


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
    assert all(each == held[0] for each in held) and len(held[0]) == 9


def test_an_entry_that_does_not_fit_is_relayed_later_and_more_often_in_a_large_fleet():
    member = make_member()
    for name in "bcd":
        member.gossip.receive(0, entry(name, 1, 1, b"x" * 300), 0)
    before = dict(member.gossip.relays_left)
    taken = member.gossip.take(0, 1, 700)
    assert len(taken) == 2 and sum(before.values()) - sum(member.gossip.relays_left.values()) == 2
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


def test_a_bound_of_every_number_of_members_and_loss_grows_with_both():
    membership = MembershipConfig()
    sizes = 3, 16, 24, 200, 2000
    bounds = [CONFIG.acts_within(membership, count, loss) for count in sizes for loss in (0.0, 0.3)]
    calm, lossy = bounds[::2], bounds[1::2]
    assert all(less < more for less, more in zip(calm, lossy, strict=True)) and bounds[8] > bounds[4]


# ---- rounds on the virtual clock


@pytest.mark.parametrize("kind", SeededRun.KINDS)
def test_a_round_of_each_kind_holds_its_bounds(kind):
    run = SeededRun(1, 6, (kind,), 1, consensus_config=SHORT)
    run.play()
    assert all(took <= bound for _, _, took, bound in run.timings)


def test_a_seed_replays_identically():
    assert len({SeededRun(3, 5, ("flood",), 1, consensus_config=SHORT).play() for _ in range(2)}) == 1


def planted(kinds, seeds=range(3), count=8, changes=(), config=SHORT, **more):
    """Whether a seed of these rounds finds it."""
    before = [(where, name, getattr(where, name)) for where, name, _ in changes]
    try:
        for where, name, new in changes:
            setattr(where, name, new)
        for seed in seeds:
            try:
                SeededRun(seed, count, kinds, 2, consensus_config=config, **more).play()
            except InvariantError:
                return True
        return False
    finally:
        for where, name, old in before:
            setattr(where, name, old)


entry_store_receive = GossipEntryStore.receive
entry_store_take = GossipEntryStore.take
decide_nodes = decision.decide_nodes


def receive_without_transit_time(self, now, entry, transit_us):
    entry_store_receive(self, now, entry, 0)


def take_as_new(self, now, receiver_id, max_bytes):
    taken = entry_store_take(self, now, receiver_id, max_bytes)
    return [msgspec.structs.replace(entry, age_us=0) for entry in taken]


def keep_what_stood(self, now):
    self.count("gaps")


class DecisionWithoutHold(ActiveDecision):
    def __init__(self, now, *rest):
        super().__init__(now, *rest)
        self.until = now


def receive_the_latest(self, now, message, ends_at, origin):
    self.by_subject[message.subject] = Override(message, ends_at, origin)
    return False


def issue_without_number(self, now, request):
    duration_us = request.duration_us or 60 * SECOND
    message = OperatorOverride(
        request.subject, request.value, 1, 1, self.member.own_id, duration_us, request.reason
    )
    self.overrides.by_subject[message.subject] = Override(message, now + 60 * SECOND, self.name)
    return {"taken": True}


def eject_all_outliers(reports, config, member_count):
    return decide_nodes(reports, replace(config, max_ejected_fraction=1.0), member_count)


DEFECTS = {
    "an entry is dated by its arrival": {
        "kinds": ("late",),
        "changes": [(GossipEntryStore, "receive", receive_without_transit_time)],
    },
    "an entry is passed on as new": {
        "kinds": ("down", "late"),
        "changes": [(GossipEntryStore, "take", take_as_new)],
    },
    "a node that was suspended keeps what stood": {
        "kinds": ("woken",),
        "changes": [(ConsensusStore, "_on_clock_gap", keep_what_stood)],
    },
    "a decision does not stand for a while": {
        "kinds": ("flaps",),
        "changes": [(active_decisions, "ActiveDecision", DecisionWithoutHold)],
    },
    "a few are enough for the store": {"kinds": ("zone",), "config": replace(SHORT, store_quorum=0.05)},
    "one report is enough for a source": {
        "kinds": ("few_lie",),
        "config": replace(SHORT, min_reports=1, source_quorum=0.0),
    },
    "the strictest level counts": {"kinds": ("few_lie",), "changes": [(decision, "median_low", max)]},
    "more may be ejected at once": {
        "kinds": ("fail",),
        "changes": [(decision, "decide_nodes", eject_all_outliers)],
    },
    "a node is ejected before others were heard": {
        "kinds": ("fail",),
        "seeds": range(8),
        "changes": [(FleetDecisions, "acts_within", lambda self, member: 0)],
    },
    "the override received last stands": {
        "kinds": ("words",),
        "changes": [(OverrideTable, "receive", receive_the_latest)],
    },
    "an override is no newer than another": {
        "kinds": ("words",),
        "changes": [(ConsensusStore, "issue_override", issue_without_number)],
    },
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    assert planted(**DEFECTS[name])


# ---- the core and the module


def witnessed(**settings):
    """A harness with verdicts: the trial limit gives this node one call, for ever."""
    limiters = LimiterSet((Limit("trial", 4, counts="trial", mode="loose"),), 20 * MS, 10)
    limiters.recovery_step_us, limiters.probe_timeout_us = CONFIG.recovery_step, CONFIG.probe_timeout
    harness = plain_harness(limiters, NodeObserver(CONFIG), **settings)
    harness.feed(fleet_input(LimitAllowance("trial", 0, 1, harness.now + 10**12)))
    return harness


def holds(harness, **changed):
    good = DecisionsChanged(WORKING, sources={}, is_ejected=False, minimum_level=0.0)
    harness.feed(fleet_input(good._replace(**changed)))


def test_a_store_that_is_down_gets_this_nodes_probe_calls_alone_and_more_by_steps_once_it_is_back():
    harness = witnessed(cores=64, overload_factor=64, calls_limit=100.0)

    def capacity():
        return harness.limiters.call_capacity(harness.core.store)

    assert capacity() is None
    holds(harness, store=DOWN)
    assert capacity() == 1 and harness.limiters.acquire_call(harness.core.store)[1] == CONFIG.probe_timeout
    harness.feed(fleet_input(LimitAllowance("trial", 0, 0, harness.now + 10**12)))
    assert capacity() == 0 and harness.limiters.acquire_call(harness.core.store) is None
    holds(harness)
    capacities = []
    for _ in range(4):
        harness.limiters.set_clock(harness.now)
        capacities.append(capacity())
        harness.now += CONFIG.recovery_step
    assert capacities == [1, 2, 4, 8], "no rush of all at once"
    harness.now += 20 * CONFIG.recovery_step
    harness.limiters.set_clock(harness.now)
    assert capacity() is None


def test_unreadable_and_silent_connections_count_against_the_address_and_never_a_number():
    harness = witnessed()
    harness.submit(harness.open("10.0.0.7"), 1, c="unheard")
    silent, check, ours = harness.open("10.0.0.7"), harness.open("10.0.0.8"), harness.open("10.0.0.9")
    harness.deliver(check, HeartbeatCall(1))
    harness.feed(MessagesReceived(ours, [], harness.now))
    harness.frontend.closer.announce(harness.frontend.table.connections[ours])
    for _ in range(60):
        harness.step(40 * MS)
    bad = {}
    for seen in harness.evidence:
        for subject, (count, _, _) in seen["sources"].items():
            bad[subject] = bad.get(subject, 0) + count
    assert silent and bad == {BAD: 2}, "no health check, nor a connection that we told to close"


def test_a_blocked_source_is_rejected_at_once_and_a_throttled_one_beyond_its_rate():
    harness = witnessed(retry_after_max=1000 * MS, cores=64, overload_factor=64)
    holds(
        harness,
        sources={
            BAD: BLOCKED,
            subjects.make_subject(SubjectKind.DISPATCHER, 5): BLOCKED,
            GOOD: THROTTLED,
        },
    )
    tries = [
        harness.submit(harness.open("10.0.0.7")),
        harness.submit(harness.open("10.0.0.9"), f="5"),
        harness.submit(harness.open("10.0.0.9")),
    ]
    link = harness.open("10.0.0.8")
    tries += [harness.submit(link) for _ in range(8)]
    harness.step(MS)
    how = [harness.attempts[name].outcome for name in tries]
    assert how[:3] == ["rejected", "rejected", None]
    assert how[3:].count("rejected") == 8 - CONFIG.throttled_rate
    assert not harness.runs.keys() & {tries[0], tries[1]}, "it never ran"


@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_with_decisions_that_come_and_go(seed):
    rng = random.Random(seed)
    limiters = LimiterSet(
        (Limit("trial", 4, counts="trial", mode="loose"), Limit("calls", 40, 1)), 20 * MS, 10
    )
    limiters.recovery_step_us, limiters.probe_timeout_us = CONFIG.recovery_step, CONFIG.probe_timeout
    harness = CoreHarness(
        {**draw_settings(rng), **GAUGES}, seed, limiters=limiters, observer=NodeObserver(CONFIG)
    )
    step = harness.step

    def stepped(dt):
        step(dt)
        if rng.random() < 0.05 and not harness.ended:
            here = subjects.source_subject("127.0.0.1")
            holds(
                harness,
                store=rng.choice((WORKING, SLOW, DOWN)),
                minimum_level=rng.choice((0.0, 0.0, 0.3, 0.9)),
                is_ejected=rng.random() < 0.2,
                sources=rng.choice(({}, {}, {here: THROTTLED}, {here: BLOCKED})),
            )
        if rng.random() < 0.05 and not harness.ended:
            name = rng.choice(("trial", "calls"))
            harness.feed(fleet_input(LimitAllowance(name, 0, rng.randrange(3), harness.now + SECOND)))

    harness.step = stepped
    play(harness, rng)
    assert harness.evidence


@pytest.mark.parametrize("seed", range(8))
def test_rules_hold_in_the_module_with_decisions_by_chance(seed):
    rng = random.Random(seed)
    settings = {**draw_settings(rng), "memory_kb": 200_000}
    node = Node(settings, seed)
    for _ in range(500):
        if rng.random() < 0.05:
            node.fleet_gauges = rng.choice(
                (
                    {},
                    {"dependency_down": True, "call_capacity": rng.randrange(3)},
                    {"min_shed_level": rng.random()},
                    {"ejected": True},
                )
            )
        node.step(node.settings["tick"] * rng.randint(1, 4))
        node.check()
        one_step(node, rng, rng.choice((2, 6)))
    assert node.count > 100


def test_the_module_rejects_what_needs_a_store_that_is_down_and_keeps_to_the_fleets_level():
    node = Node({**PLAIN, "cores": 8, "method_calls": (True, True), "degraded_value": (0.0, 0.5)})
    node.fleet_gauges = {"dependency_down": True, "call_capacity": 1}
    node.step(40 * MS)
    first, second, poorer = node.arrive(0), node.arrive(0), node.arrive(1)
    states = [node.rpcs[index].state for index in (first, second, poorer)]
    expected = [RpcState.RUNNING, RpcState.COMPLETED, RpcState.RUNNING]
    assert states == expected, "as many as may try it; others answer poorer"
    node.fleet_gauges = {"min_shed_level": 1.0, "ejected": True}
    node.step(40 * MS)
    assert not node.healthy and node.control.control_loop.feedback.published == 1.0
    assert node.rpcs[node.arrive(0)].state is RpcState.COMPLETED, "though cores are free"
    node.fleet_gauges = {}
    node.step(40 * MS)
    assert node.healthy and node.control.control_loop.feedback.published == 0.0


def test_settings_are_checked_and_the_check_warns_of_a_single_report():
    tree = {"fleet": {"name": "x", "listen": "127.0.0.1:1"}, "verdicts": {"count": 1, "life_ms": 20_000}}
    config = consensus_config(check_settings(tree, "f"))
    assert config.report_lifetime == 20 * SECOND
    assert [problem.field for problem in config_warnings(config)] == ["count"]
    errors = config_errors(replace(config, report_lifetime=SECOND, max_hold_time=1))
    assert [error.field for error in errors] == ["life_ms", "hold_most_ms"]
    with pytest.raises(SettingsError) as wrong:
        check_settings({"verdicts": {"life_ms": 3000, "cuont": 2}}, "f")
    assert "the nearest is count" in str(wrong.value)
    with pytest.raises(SettingsError) as wrong:
        check_settings({"verdicts": {"life_ms": 3000}}, "f")
    assert "opinions ride" in str(wrong.value) and "3 x span_ms" in str(wrong.value)


def test_the_example_of_the_settings_shows_the_defaults():
    text = Path("deploy/finchcart.json5").read_text(encoding="utf-8")
    head, _, tail = text.partition("  // verdicts: {\n")
    body, _, rest = tail.partition("  // },\n")
    tree = json5.loads(head + "  verdicts: {\n" + re.sub(r"(?m)^  // ", "  ", body) + "  },\n" + rest)
    assert consensus_config(check_settings(tree, "example")) == replace(CONFIG, zone="a")


def test_a_median_without_one_is_that_of_the_others():
    rng = random.Random(2)
    for _ in range(300):
        values = sorted(rng.randrange(9) for _ in range(rng.randrange(2, 12)))
        value = rng.choice(values)
        others = list(values)
        others.remove(value)
        assert median_without(values, value) == median(others)


def test_decisions_on_many_sources_are_shown_page_by_page():
    fleet = ConsensusSimulation(3, 1)
    fleet.start_all()
    fleet.run(6 * SECOND)
    consensus = fleet.processes["n000"].machine.board
    for n in range(14):
        consensus.issue_override(
            fleet.now,
            OverrideRequest(n, subjects.source_subject(f"10.0.1.{n}"), BLOCKED, 60 * SECOND, "w" * 60),
        )
    view = consensus.status(fleet.now)
    rows = [row for page in range(view["pages"]) for row in consensus.status(fleet.now, page)["verdicts"]]
    assert len(rows) == 14 and len({row["name"] for row in rows}) == 14
    for page in range(view["pages"]):
        response = ConsensusStatusResponse(1, consensus.status(fleet.now, page))
        assert len(CODEC.encode("f", response)) <= MAX_DATAGRAM_BYTES


def test_a_call_cut_short_by_a_grant_is_no_evidence_of_the_store():
    witness = NodeObserver(CONFIG)
    witness.call_ended(Outcome.TIMEOUT, 5, True)
    witness.call_ended(Outcome.REJECTED, 5, False)
    witness.call_ended(Outcome.CONNECTION_LOST, 5, True)
    assert witness.collect_evidence(0, 0.0)["calls"] == (0, 1, 0)
