"""Tests that deliberately planted defects of membership are detected.

For each defect there is a scenario that finds no violation with the correct code and at least one with the
defect. A scenario returns the violations that it found.
"""

import random

import json5
import msgspec
import pytest

from finchcart.fault_injection.membership.fault_run import MembershipFaultRun
from finchcart.fault_injection.membership.simulation import MembershipSimulation
from finchcart.fault_injection.scripted_runs.checker import check_plan
from finchcart.fault_injection.scripted_runs.plan import make_plan
from finchcart.fault_injection.scripted_runs.script import Script
from finchcart.fault_injection.scripted_runs.virtual_run import play_on_virtual_clock
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fleet.codec import name_hash, parse_address
from finchcart.fleet.inputs import DatagramReceived, Tick
from finchcart.membership import failure_detection, messages, view
from finchcart.membership.anti_entropy import AntiEntropy
from finchcart.membership.config import SECOND, MembershipConfig
from finchcart.membership.effects import MemberChanged
from finchcart.membership.failure_detection import FailureDetector
from finchcart.membership.heartbeats import HeartbeatSender
from finchcart.membership.isolation import IsolationMonitor
from finchcart.membership.member import Member
from finchcart.membership.messages import CODEC, DeclaredStatus, Heartbeat, MemberRecords
from finchcart.membership.name_contest import NameContest
from finchcart.membership.outbox import Outbox
from finchcart.membership.records import MemberTable
from finchcart.membership.update_queue import UpdateQueue
from tests.test_membership import RECORD


def scenario(text, nodes=8, **fleet):
    script = msgspec.convert({"about": "", "nodes": nodes, "fleet": fleet, **json5.loads(text)}, Script)

    def play():
        plan = make_plan(script, 1)
        events, start, facts = play_on_virtual_clock(plan)
        return [result.breach for result in check_plan(plan, events, start) if result.breach]

    return play


SUSPENDED_MEMBER = scenario("""{seconds: 30, rounds: [{at: 0, steps: [
    {at: 0, do: "stop", who: ["n03"], as: "x"},
    {at: 12, do: "go_on", who: "x"}], expect: [
    {what: "never", by: "x", of: {rest: "x"}, states: ["failed", "suspect"], after: 12, until: 28},
    {what: "agree", by: {rest: "x"}, of: "x", states: ["alive"], after: 12, within: 3, until: 28},
    {what: "isolated", of: "x", after: 12.2, within: 0.1, until: 12.4}]}]}""")
MEMBER_RECEIVES_NOTHING = scenario("""{seconds: 20, rounds: [{at: 0, steps: [
    {at: 0, do: "mark", who: ["n03"], as: "x"},
    {at: 0, do: "rule", from: {rest: "x"}, to: "x", set: {cut: true}}], expect: [
    {what: "agree", by: {rest: "x"}, of: "x", states: ["failed"], after: 0, within: 4, until: 20},
    {what: "isolated", of: "x", after: 0, within: 4, until: 20}]}]}""")
ONE_LINK_CUT = scenario("""{seconds: 20, rounds: [{at: 0, steps: [
    {at: 0, do: "rule", from: ["n03"], to: ["n04"], set: {cut: true}}], expect: [
    {what: "never", by: "all", of: "all", states: ["suspect", "failed"], after: 0, until: 20}]}]}""")
ZONE_CUT_OFF = scenario(
    """{seconds: 150, rounds: [{at: 0, count: 4, every: 36, steps: [{at: 0, do: "mark", who:
{zone: 1}, as: "x"},
    {at: 0, do: "rule", from: "x", to: {rest: "x"}, both: true, set: {cut: true}}, {at: 21, do: "clear"}],
    expect: [ {what: "never", by: "x", of: "x", after: 0, until: 20}, {what: "agree", by: "x", of: {rest:
    "x"}, states: ["failed"], after: 0, within: 4, until: 20}]}]}""",
    18,
)
PARTITION_THEN_HEALED = scenario("""{seconds: 40, rounds: [{at: 0, steps: [
    {at: 0, do: "mark", who: {half: 1}, as: "x"},
    {at: 0, do: "rule", from: "x", to: {rest: "x"}, both: true, set: {cut: true}}, {at: 20, do: "clear"}],
    expect: [ {what: "agree", by: "all", of: "all", states: ["alive"], after: 20, within: 5, until:
    40}]}]}""")
RESTART_BESIDE_FAILED_MEMBER = scenario("""{seconds: 30, rounds: [{at: 0, steps: [
    {at: 0, do: "kill", who: ["n05"], as: "dead"},
    {at: 6, do: "kill", who: ["n06"], as: "x"}, {at: 12, do: "start", who: "x"}], expect: [
    {what: "never", by: "x", of: "dead", states: ["alive"], after: 12.05, until: 30}]}]}""")


def forgotten_member_returns():
    """A forgotten member must not return because of an outdated record that is delayed by 10 s or more."""
    changes, names = [], [f"n{n}" for n in range(6)]
    fleet = MembershipSimulation(
        names,
        1,
        MembershipConfig(forget_after=6 * SECOND),
        watch=lambda now, name, effect: changes.append((now, name, effect)),
    )
    for name in names:
        fleet.start(name)
    fleet.run(4 * SECOND)
    old = CODEC.encode("virtual", MemberRecords([fleet.processes["n5"].machine.record]))
    fleet.kill("n5")
    fleet.run(fleet.now + 14 * SECOND)
    fleet.feed("n1", DatagramReceived(("10.0.0.3", 7400), old))
    fleet.run(fleet.now + SECOND)
    return [
        (when, name, effect)
        for when, name, effect in changes
        if when > 5 * SECOND and isinstance(effect, MemberChanged) and effect[:2] == ("n5", "alive")
    ]


def clock_set_back():
    """A member restarted with its wall clock set back by an hour must be alive in all views within 4 s."""
    fleet = MembershipSimulation([f"n{n}" for n in range(6)], 1)
    for name in fleet.processes:
        fleet.start(name)
    fleet.run(4 * SECOND)
    fleet.kill("n2")
    fleet.run(fleet.now + 6 * SECOND)
    fleet.start("n2", wall_clock_offset_ms=-3_600_000)
    fleet.run(fleet.now + 4 * SECOND)
    return [name for name, seen in fleet.views().items() if seen["n2"] != "alive"]


def two_processes_of_one_name():
    """Of two processes with one name, the older one must step down and be isolated; the newer one stays."""
    fleet = MembershipSimulation([f"n{n}" for n in range(6)], 1)
    for name in fleet.processes:
        fleet.start(name)
    fleet.add("twin")
    fleet.run(4 * SECOND)
    fleet.start("twin", member_name="n2")
    fleet.run(fleet.now + 5 * SECOND)
    old, new = fleet.processes["n2"].machine, fleet.processes["twin"].machine
    return (
        []
        if old.has_stepped_down and old.isolated and not new.has_stepped_down
        else ["no process stepped down"]
    )


def suspended_while_replaced():
    """A process suspended while another took its name must step down within 2 s after it resumes."""
    fleet = MembershipSimulation([f"n{n}" for n in range(6)], 1)
    for name in fleet.processes:
        fleet.start(name)
    fleet.add("twin")
    fleet.run(4 * SECOND)
    fleet.stop("n2")
    fleet.run(fleet.now + 5 * SECOND)
    fleet.start("twin", member_name="n2")
    fleet.run(fleet.now + 15 * SECOND)
    fleet.resume("n2")
    fleet.run(fleet.now + 2 * SECOND)
    old, new = fleet.processes["n2"].machine, fleet.processes["twin"].machine
    return [] if old.has_stepped_down and not new.has_stepped_down else ["it did not step down"]


def forged_incarnation():
    """A forged record with an impossibly high incarnation must not prevent its member from being alive."""
    fleet = MembershipSimulation([f"n{n}" for n in range(6)], 1)
    for name in fleet.processes:
        fleet.start(name)
    fleet.run(4 * SECOND)
    record = msgspec.structs.replace(
        fleet.processes["n2"].machine.record, incarnation=2**53 - 1, status=DeclaredStatus.LEFT
    )
    for name in ("n0", "n1", "n3"):
        fleet.feed(name, DatagramReceived(("10.0.0.9", 1), CODEC.encode("virtual", MemberRecords([record]))))
    fleet.run(fleet.now + 4 * SECOND)
    return [name for name, seen in fleet.views().items() if seen["n2"] != "alive"]


def traffic_without_changes():
    """Long after the last change, members must send little, because updates are gossiped only a few times."""
    fleet = MembershipSimulation([f"n{n}" for n in range(8)], 1)
    for name in fleet.processes:
        fleet.start(name)
    fleet.run(20 * SECOND)
    before = sum(process.machine.counts["bytes sent"] for process in fleet.processes.values())
    fleet.run(fleet.now + 10 * SECOND)
    bytes_per_second = (
        sum(process.machine.counts["bytes sent"] for process in fleet.processes.values()) - before
    ) / 80
    # Each of the 8 members sends 14 heartbeats per second.
    return [bytes_per_second] if bytes_per_second > 14 * 150 else []


def flood_of_requests():
    """A member that receives a flood of requests must send no more than `max_datagrams` replies."""
    fleet = MembershipSimulation(["n0"], 1, MembershipConfig(max_datagrams=100))
    fleet.start("n0")
    for n in range(2000):
        fleet.feed("n0", DatagramReceived(("10.0.0.9", 1), CODEC.encode("", messages.ViewRequest(n, 0))))
    return (
        [fleet.processes["n0"].machine.counts] if fleet.processes["n0"].machine.counts["sent"] > 100 else []
    )


def echo_of_another_session():
    """A heartbeat that echoes another session must not prove contact with the sender."""
    member = Member("me", "f", "127.0.0.1:7400", [], MembershipConfig(), random.Random(1), 1000, 0)
    successor_record = msgspec.structs.replace(RECORD, session=6, started_ms=2000, incarnation=2000)

    def receive(record, sequence, echo_session, echo_sequence, now):
        heartbeat = Heartbeat(record, sequence, echo_session, echo_sequence, 0, [])
        member.reduce(now, DatagramReceived(("127.0.0.2", 7400), CODEC.encode("f", heartbeat)))

    receive(RECORD, 1, 0, 0, 1)
    for n in range(1, 20):
        member.reduce(n * 100_000, Tick())
    receive(successor_record, 1, 0, 0, 2_000_000)
    for n in range(21, 30):
        member.reduce(n * 100_000, Tick())
    receive(successor_record, 2, 12345, 99, 3_000_000)  # echoes a heartbeat of another process
    return ["contact"] if member.links[name_hash("a")].confirmed_at is not None else []


update_queue_take = UpdateQueue.take
table_receive = MemberTable.receive
table_forget = MemberTable.forget
outbox_send = Outbox.send
detector_on_heartbeat = FailureDetector.on_heartbeat
member_reduce = Member.reduce


def do_nothing(self, *arguments, **keywords):
    pass


def gossip_updates_without_end(self, excluded, record_of, max_bytes):
    taken = update_queue_take(self, excluded, record_of, max_bytes)
    self._remaining.update(dict.fromkeys(self.all_ids, 9))
    return taken


def push_and_remember_id(self, member_id, member_count, push=UpdateQueue.push):
    push(self, member_id, member_count)
    self.all_ids = getattr(self, "all_ids", set()) | {member_id}


def receive_older_records_too(self, now, record, is_direct=False):
    known = self.members.get(name_hash(record.name))
    if known is not None and record.precedence < known.record.precedence:
        self.put(name_hash(record.name), record, now)
    return table_receive(self, now, record, is_direct)


def forget_without_tombstone(self, member_id):
    table_forget(self, member_id)
    self.tombstones.clear()


def digest_with_failed_members(self):
    digest = 0
    for known in self.members.values():
        digest ^= known.digest
    return digest


def send_all_records(self, message):
    for known in self.table.members.values():
        self.outbox.send(parse_address(message.record.address), MemberRecords([known.record]))


def send_without_bound(self, address, message):
    self.sent_in_period = 0
    return outbox_send(self, address, message)


def accept_any_echo(self, now, member_id, heartbeat):
    echoed = msgspec.structs.replace(heartbeat, echo_session=self.table.own_record.session)
    return detector_on_heartbeat(self, now, member_id, echoed)


def reduce_with_clock_that_stops(self, now, event):
    """Behave like a clock that stops while the process is suspended."""
    self.suspended = getattr(self, "suspended", 0)
    if now - self.suspended - self.last_input_at > self.config.clock_gap:
        self.suspended = now - self.last_input_at - self.config.tick
    return member_reduce(self, now - self.suspended, event)


def exclude_by_any_link(own_id, unreachable, graph, excluded=frozenset()):
    """Exclude a member if any one of its links is declared down."""
    accused = {other for others in unreachable.values() for other in others}
    return {one for one in graph if one not in accused} | {own_id}


def exclude_by_own_links(own_id, unreachable, graph, excluded=frozenset()):
    """Exclude members by the own links alone, without the links that others declare."""
    return set(graph) - set(unreachable[own_id])


def never_exclude_oneself(own_id, unreachable, graph, excluded=frozenset()):
    """Let a member that is excluded itself suspect others nevertheless."""
    return view.connected_members(own_id, unreachable, graph, excluded) | {own_id}


# name -> (scenario, replacements: (owner, attribute, replacement))
DEFECTS = {
    "incarnation not raised over what is remembered": (
        clock_set_back,
        [(MemberTable, "raise_incarnation_over", do_nothing)],
    ),
    "of two processes with one name none steps down": (
        two_processes_of_one_name,
        [(NameContest, "step_down", do_nothing)],
    ),
    "a resumed process does not step down though its name is taken": (
        suspended_while_replaced,
        [(NameContest, "step_down", do_nothing)],
    ),
    "information from before a suspension is trusted": (
        SUSPENDED_MEMBER,
        [(Member, "_on_clock_gap", do_nothing)],
    ),
    "the clock stops during a suspension": (
        SUSPENDED_MEMBER,
        [(Member, "reduce", reduce_with_clock_that_stops)],
    ),
    "isolation is never set": (MEMBER_RECEIVES_NOTHING, [(IsolationMonitor, "set_isolated", do_nothing)]),
    "failed members are not probed": (
        PARTITION_THEN_HEALED,
        [(HeartbeatSender, "probe_failed_and_seeds", do_nothing)],
    ),
    "updates are gossiped without end": (
        traffic_without_changes,
        [(UpdateQueue, "take", gossip_updates_without_end), (UpdateQueue, "push", push_and_remember_id)],
    ),
    "a forgotten member returns": (
        forgotten_member_returns,
        [(MemberTable, "forget", forget_without_tombstone)],
    ),
    "any incarnation is accepted": (forged_incarnation, [(MemberTable, "is_impossible", do_nothing)]),
    "failed members are announced to new members": (
        RESTART_BESIDE_FAILED_MEMBER,
        [
            (MemberTable, "digest", property(digest_with_failed_members, do_nothing)),
            (AntiEntropy, "on_digests", send_all_records),
        ],
    ),
    "no bound on datagrams": (flood_of_requests, [(Outbox, "send", send_without_bound)]),
    "an echo of another session counts": (
        echo_of_another_session,
        [(FailureDetector, "on_heartbeat", accept_any_echo)],
    ),
}
# name -> (scenario, replacement of `connected_members`)
VIEW_DEFECTS = {
    "only the own links count": (ONE_LINK_CUT, exclude_by_own_links),
    "one declared link is enough to exclude": (ONE_LINK_CUT, exclude_by_any_link),
    "an excluded member suspects others": (ZONE_CUT_OFF, never_exclude_oneself),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_detected(name, monkeypatch):
    play, replacements = DEFECTS[name]
    assert not play()
    for owner, attribute, replacement in replacements:
        monkeypatch.setattr(owner, attribute, replacement, raising=attribute != "digest")
    assert play()


@pytest.mark.parametrize("name", VIEW_DEFECTS)
def test_a_planted_defect_of_the_view_is_detected(name, monkeypatch):
    play, rule = VIEW_DEFECTS[name]
    assert not play()
    monkeypatch.setattr(failure_detection, "connected_members", rule)
    assert play()


def test_seeded_fault_runs_detect_that_older_records_are_accepted(monkeypatch):
    monkeypatch.setattr(MemberTable, "receive", receive_older_records_too)
    with pytest.raises(InvariantError):
        for seed in range(4):
            MembershipFaultRun(seed).play()
