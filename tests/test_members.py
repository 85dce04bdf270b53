"""Membership on the virtual clock: messages, the verdict, seeded runs, and defects planted one by one."""

import random

import json5
import msgspec
import pytest

from finchcart.cli.settings_file import check_settings
from finchcart.errors import SettingsError
from finchcart.fault_injection.run import judge as judge_plan
from finchcart.fault_injection.run import on_virtual
from finchcart.fault_injection.script import Script, lay_out
from finchcart.fault_injection.seeds import Breach, Run
from finchcart.fault_injection.virtual import Fleet
from finchcart.membership import member as module
from finchcart.membership import view, wire
from finchcart.membership.figures import SECOND, Figures
from finchcart.membership.member import Member

ROW = wire.Row("a", "127.0.0.2:7400", 5, 1000, 1000, 0, 0, [])


# ---- messages and settings


def test_what_cannot_be_read_or_is_impossible_is_counted_by_reason_and_dropped():
    one = Member("me", "f", "127.0.0.1:7400", [], Figures(), random.Random(1), 1000, 0)
    good = wire.pack("f", wire.Beat(ROW, 1, 0, 0, 0, []))
    spoilt = good[:1] + bytes([good[1] ^ 1]) + good[2:]
    far = msgspec.structs.replace(ROW, incarnation=2**50)
    placeless = msgspec.structs.replace(ROW, address="127.0.0.2:99999")
    negative = wire.encoded([1, "f", [1, ["a", "1:1", 5, -1, 0, 0, 0, []], 1, 0, 0, 0, []]])
    for data, reason in [
        (spoilt, "spoilt"),
        (b"", "spoilt"),
        (b"x" * 2000, "too long"),
        (wire.pack("g", wire.Rows([ROW])), "another fleet"),
        (b"M" + wire.xxh64_digest(negative) + negative, "not valid"),
        (b"M" + wire.xxh64_digest(b"\xc1") + b"\xc1", "unreadable"),
        (wire.pack("f", wire.Beat(far, 1, 0, 0, 0, [])), "impossible incarnation"),
        (wire.pack("f", wire.Rows([placeless])), "impossible address"),
        (wire.pack("f", wire.Told(1, 0, 1, {})), "not asked for"),
    ]:
        before = one.counts.get(reason, 0)
        assert not [e for e in one.reduce(1, ("got", ("127.0.0.2", 7400), data)) if e[0] == "change"]
        assert one.counts[reason] == before + 1, reason
    assert list(one.known) == [one.me]
    assert ("change", "a", "alive", 1000) in one.reduce(2, ("got", ("127.0.0.2", 7400), good))


def test_all_mistakes_of_a_settings_file_are_told_at_once_with_path_and_nearest_name():
    with pytest.raises(SettingsError) as wrong:
        check_settings(
            {"fleet": {"nam": "x", "listen": "127.0.0.1:7400", "period_ms": 1, "seeds": "y"}, "flet": 1}, "F"
        )
    lines = wrong.value.mistakes
    assert len(lines) == 5 and all(line.startswith("F: ") for line in lines)
    assert "F: fleet.nam: no such setting; the nearest is name" in lines
    for field in (
        {"patience": 9, "patience_most": 5},
        {"datagrams": 30},
        {"remember_s": 10},
        {"listen": "0.0.0.0:1"},
        {"seeds": ["127.0.0.1:0"]},
    ):
        with pytest.raises(SettingsError):
            check_settings({"fleet": {"name": "x", "listen": "127.0.0.1:7400", **field}}, "F")
    assert check_settings({"fleet": {"name": "x", "listen": "127.0.0.1:7400"}}, "F").fleet.name == "x"
    with open("deploy/finchcart.json5", encoding="utf-8") as file:
        check_settings(json5.load(file), "deploy/finchcart.json5")


def test_a_full_table_lets_failed_ones_go_first_and_then_refuses():
    fleet = Fleet([f"n{n}" for n in range(5)], 1, Figures(members=4))
    for name in list(fleet.places)[:4]:
        fleet.start(name)
    fleet.run(3 * SECOND)
    fleet.start("n4")
    fleet.run(fleet.now + 2 * SECOND)
    member = fleet.places["n0"].member
    assert len(member.known) == 4 and member.counts["no room"] > 0 and fleet.state("n0", "n4") is None
    fleet.kill("n3")
    fleet.run(fleet.now + 5 * SECOND)
    assert fleet.state("n0", "n4") == "alive" and fleet.state("n0", "n3") is None and len(member.known) == 4


# ---- the verdict


def test_judge_gives_the_same_to_all_that_are_connected():
    chance = random.Random(7)
    for n in range(300):
        ids = list(range(chance.randrange(2, 40)))
        graph = view.watched(ids, chance.choice([4, 8, 48]))
        assert all(a in graph[b] for a in ids for b in graph[a])
        down = {a: [b for b in graph[a] if chance.random() < chance.choice([0.0, 0.1, 0.4])] for a in ids}
        parts = {a: view.judge(a, down, graph) for a in ids}
        for a in ids:
            for b in parts[a]:
                assert parts[b] == parts[a], (n, a, b)


def test_judge_plain_cases():
    ids = range(9)
    graph = view.watched(ids, 24)
    assert view.judge(0, {1: [2]}, graph) == set(ids)  # one link
    assert view.judge(0, {n: [8] for n in range(5)}, graph) == set(range(8))  # most links of one
    assert view.judge(8, {n: [8] for n in range(5)}, graph) == set(range(8))  # and it knows
    halves = {a: [b for b in ids if a % 2 != b % 2] for a in (0, 2, 4, 6, 8)}  # told by one side alone
    assert view.judge(0, halves, graph) == {0, 2, 4, 6, 8} and view.judge(1, halves, graph) == {1, 3, 5, 7}


# ---- seeded runs


def test_seeded_runs_keep_all_properties_and_replay_identically():
    traces = [Run(seed).play() for seed in (3, 3, 18)]
    assert traces[0] == traces[1] != traces[2]


def test_patience_follows_a_loss_that_comes_at_once():
    """Links wrongly down 4 to 8 s after 30 % of the messages begin to be lost: 2.6 %, and 6 % with a window
    of 200 messages, as it was; four of seven of them put a member out (seed 310 of the seeded runs)."""
    wrong = 0
    for seed in range(3):
        fleet = Fleet([f"n{n}" for n in range(12)], seed)
        for name in fleet.places:
            fleet.start(name)
        fleet.run(8 * SECOND)
        fleet.fabric.reduce(fleet.now, ("rule", None, None, {"lose": 0.3}))
        fleet.run(12 * SECOND)
        for _ in range(40):
            fleet.run(fleet.now + SECOND // 10)
            wrong += len(
                {
                    frozenset((place.member.me, one))
                    for place in fleet.places.values()
                    for one in place.member.row.down
                }
            )
    assert wrong / (3 * 40 * 66) < 0.04


def test_a_large_fleet_with_few_links_agrees_on_a_death_and_a_newcomer():
    fleet = Fleet([f"n{n}" for n in range(80)], 1, Figures(watch=10))
    for name in fleet.places:
        fleet.start(name)
    fleet.run(12 * SECOND)
    assert all(set(seen.values()) == {"alive"} and len(seen) == 80 for seen in fleet.views().values())
    bound = fleet.figures.failed_within(80)
    fleet.kill("n40")
    fleet.run(fleet.now + bound)
    assert all(seen["n40"] == "failed" for seen in fleet.views().values())
    fleet.start("n40")
    fleet.run(fleet.now + 4 * SECOND)
    assert all(seen["n40"] == "alive" for seen in fleet.views().values())


# ---- planted defects: each has a scenario that a sound member passes and the planted one does not


def scenario(text, nodes=8, **fleet):
    script = msgspec.convert({"about": "", "nodes": nodes, "fleet": fleet, **json5.loads(text)}, Script)

    def play(make):
        plan = lay_out(script, 1)
        events, start, facts = on_virtual(plan, make)
        return [result.breach for result in judge_plan(plan, events, start) if result.breach]

    return play


STOP = scenario("""{seconds: 30, rounds: [{at: 0, steps: [{at: 0, do: "stop", who: ["n03"], as: "x"},
    {at: 12, do: "go_on", who: "x"}], expect: [
    {what: "never", by: "x", of: {rest: "x"}, states: ["failed", "suspect"], after: 12, until: 28},
    {what: "agree", by: {rest: "x"}, of: "x", states: ["alive"], after: 12, within: 3, until: 28},
    {what: "isolated", of: "x", after: 12.2, within: 0.1, until: 12.4}]}]}""")
DEAF = scenario("""{seconds: 20, rounds: [{at: 0, steps: [{at: 0, do: "mark", who: ["n03"], as: "x"},
    {at: 0, do: "rule", from: {rest: "x"}, to: "x", set: {cut: true}}], expect: [
    {what: "agree", by: {rest: "x"}, of: "x", states: ["failed"], after: 0, within: 4, until: 20},
    {what: "isolated", of: "x", after: 0, within: 4, until: 20}]}]}""")
PAIR = scenario("""{seconds: 20, rounds: [{at: 0, steps: [
    {at: 0, do: "rule", from: ["n03"], to: ["n04"], set: {cut: true}}], expect: [
    {what: "never", by: "all", of: "all", states: ["suspect", "failed"], after: 0, until: 20}]}]}""")
ZONE = scenario(
    """{seconds: 150, rounds: [{at: 0, count: 4, every: 36, steps: [{at: 0, do: "mark", who:
{zone: 1}, as: "x"},
    {at: 0, do: "rule", from: "x", to: {rest: "x"}, both: true, set: {cut: true}}, {at: 21, do: "clear"}],
    expect: [ {what: "never", by: "x", of: "x", after: 0, until: 20}, {what: "agree", by: "x", of: {rest:
    "x"}, states: ["failed"], after: 0, within: 4, until: 20}]}]}""",
    18,
)
HALVES = scenario("""{seconds: 40, rounds: [{at: 0, steps: [{at: 0, do: "mark", who: {half: 1}, as: "x"},
    {at: 0, do: "rule", from: "x", to: {rest: "x"}, both: true, set: {cut: true}}, {at: 20, do: "clear"}],
    expect: [ {what: "agree", by: "all", of: "all", states: ["alive"], after: 20, within: 5, until:
    40}]}]}""")
JOIN = scenario("""{seconds: 30, rounds: [{at: 0, steps: [{at: 0, do: "kill", who: ["n05"], as: "dead"},
    {at: 6, do: "kill", who: ["n06"], as: "x"}, {at: 12, do: "start", who: "x"}], expect: [
    {what: "never", by: "x", of: "dead", states: ["alive"], after: 12.05, until: 30}]}]}""")


def forget(make):
    """A forgotten one does not come back by old rows that are on their way for 10 s and more."""
    changes, names = [], [f"n{n}" for n in range(6)]
    fleet = Fleet(
        names,
        1,
        Figures(remember=6 * SECOND),
        make=make,
        watch=lambda now, name, effect: changes.append((now, name, effect)),
    )
    for name in names:
        fleet.start(name)
    fleet.run(4 * SECOND)
    old = wire.pack("virtual", wire.Rows([fleet.places["n5"].member.row]))
    fleet.kill("n5")
    fleet.run(fleet.now + 14 * SECOND)
    fleet.feed("n1", ("got", ("10.0.0.3", 7400), old))
    fleet.run(fleet.now + SECOND)
    return [c for c in changes if c[0] > 5 * SECOND and c[2][:3] == ("change", "n5", "alive")]


def clock_back(make):
    """Started again with its clock an hour back, it is known again within 4 s."""
    fleet = Fleet([f"n{n}" for n in range(6)], 1, make=make)
    for name in fleet.places:
        fleet.start(name)
    fleet.run(4 * SECOND)
    fleet.kill("n2")
    fleet.run(fleet.now + 6 * SECOND)
    fleet.start("n2", wall_off=-3_600_000)
    fleet.run(fleet.now + 4 * SECOND)
    return [name for name, seen in fleet.views().items() if seen["n2"] != "alive"]


def twins(make):
    """Of two processes of one name the younger stands and the elder knows it is not in the fleet."""
    fleet = Fleet([f"n{n}" for n in range(6)], 1, make=make)
    for name in fleet.places:
        fleet.start(name)
    fleet.add("twin")
    fleet.run(4 * SECOND)
    fleet.start("twin", as_name="n2")
    fleet.run(fleet.now + 5 * SECOND)
    old, new = fleet.places["n2"].member, fleet.places["twin"].member
    return [] if old.yielded and old.isolated and not new.yielded else ["both stand"]


def sleeper(make):
    """One that slept while its name was started elsewhere yields within 2 s of waking."""
    fleet = Fleet([f"n{n}" for n in range(6)], 1, make=make)
    for name in fleet.places:
        fleet.start(name)
    fleet.add("twin")
    fleet.run(4 * SECOND)
    fleet.stop("n2")
    fleet.run(fleet.now + 5 * SECOND)
    fleet.start("twin", as_name="n2")
    fleet.run(fleet.now + 15 * SECOND)
    fleet.go_on("n2")
    fleet.run(fleet.now + 2 * SECOND)
    old, new = fleet.places["n2"].member, fleet.places["twin"].member
    return [] if old.yielded and not new.yielded else ["it stands"]


def absurd(make):
    """A forged row with an absurd incarnation does not put its name out of reach."""
    fleet = Fleet([f"n{n}" for n in range(6)], 1, make=make)
    for name in fleet.places:
        fleet.start(name)
    fleet.run(4 * SECOND)
    row = msgspec.structs.replace(fleet.places["n2"].member.row, incarnation=2**53 - 1, duty=wire.LEFT)
    for name in ("n0", "n1", "n3"):
        fleet.feed(name, ("got", ("10.0.0.9", 1), wire.pack("virtual", wire.Rows([row]))))
    fleet.run(fleet.now + 4 * SECOND)
    return [name for name, seen in fleet.views().items() if seen["n2"] != "alive"]


def bytes_calm(make):
    """Long after the last change a member sends little: news age."""
    fleet = Fleet([f"n{n}" for n in range(8)], 1, make=make)
    for name in fleet.places:
        fleet.start(name)
    fleet.run(20 * SECOND)
    before = sum(place.member.counts["bytes sent"] for place in fleet.places.values())
    fleet.run(fleet.now + 10 * SECOND)
    each = (sum(place.member.counts["bytes sent"] for place in fleet.places.values()) - before) / 80
    return [each] if each > 14 * 150 else []  # 14 beats a second


def flood(make):
    """One that is asked without end sends no more than its bound."""
    fleet = Fleet(["n0"], 1, Figures(datagrams=100), make=make)
    fleet.start("n0")
    for n in range(2000):
        fleet.feed("n0", ("got", ("10.0.0.9", 1), wire.pack("", wire.Ask(n, 0))))
    return [fleet.places["n0"].member.counts] if fleet.places["n0"].member.counts["sent"] > 100 else []


def successor(make):
    """What a predecessor heard proves no contact with its successor."""
    one = make("me", "f", "127.0.0.1:7400", [], Figures(), random.Random(1), 1000, 0)
    two = msgspec.structs.replace(ROW, session=6, began=2000, incarnation=2000)
    got = lambda row, seq, session, echo, now: one.reduce(
        now, ("got", ("127.0.0.2", 7400), wire.pack("f", wire.Beat(row, seq, session, echo, 0, [])))
    )
    got(ROW, 1, 0, 0, 1)
    for n in range(1, 20):
        one.reduce(n * 100_000, ("tick",))
    got(two, 1, 0, 0, 2_000_000)
    for n in range(21, 30):
        one.reduce(n * 100_000, ("tick",))
    got(two, 2, 12345, 99, 3_000_000)  # echoes what another process sent
    return ["contact"] if one.peers[wire.id_of("a")].confirmed is not None else []


def planted(**methods):
    return type("Planted", (Member,), methods)


def no_raise(self, incarnation):
    pass


def news_for_ever(self, now, one, peer):
    Member.beat(self, now, one, peer)
    for known in self.known.values():
        known.news = 9
    self.news.update(dict.fromkeys((other for other in self.known if other != self.me), True))
    return True


def takes_any(self, now, row, direct=False):
    known = self.known.get(wire.id_of(row.name))
    if known is not None and row.name != self.name and row.age < known.row.age:
        self.keep(wire.id_of(row.name), row)
    return Member.learn(self, now, row, direct)


def no_tombs(self, one):
    Member.forget(self, one)
    self.tombs.clear()


def any_age(self, now, row, direct=False):
    self.wall = 2**53
    return Member.learn(self, now, row, direct)


def no_keeping(self, digest):
    pass


def sum_of_all(self):
    """Failed ones are news for newcomers."""
    out = 0
    for known in self.known.values():
        out ^= known.hash
    return out


def tells_all(self, said):
    for known in self.known.values():
        self.send(wire.place_of(said.row.address), wire.Rows([known.row]))


def no_bound(self, place, said):
    self.sent_now = 0
    return Member.send(self, place, said)


def any_echo(self, now, one, said):
    Member.on_beat(self, now, one, msgspec.structs.replace(said, echo_session=self.row.session))


def stopped_clock(self, now, what):
    """A clock that does not count suspension."""
    self.slept = getattr(self, "slept", 0)
    if now - self.slept - self.last > self.figures.gap:
        self.slept = now - self.last - self.figures.tick
    return Member.reduce(self, now - self.slept, what)


def judge_anyone(me, down, graph, out=frozenset()):
    """Any one link that is down puts out."""
    hurt = {b for ones in down.values() for b in ones}
    return {one for one in graph if one not in hurt} | {me}


def judge_alone(me, down, graph, out=frozenset()):
    """What others see of it is not asked."""
    return set(graph) - set(down[me])


def judge_for_me(me, down, graph, out=frozenset()):
    """Who is out itself accuses all the same."""
    return view.judge(me, down, graph, out) | {me}


DEFECTS = {
    "incarnation not raised over what is remembered": (clock_back, planted(raise_over=no_raise)),
    "two of one name: none yields": (twins, planted(give_way=lambda self, row: None)),
    "a sleeper is not told that its name is taken": (sleeper, planted(give_way=lambda self, row: None)),
    "trusts what it believed before a pause": (STOP, planted(on_gap=lambda self, now, gap: None)),
    "a clock that does not count suspension": (STOP, planted(reduce=stopped_clock)),
    "isolation is not told": (DEAF, planted(set_isolated=lambda self, isolated, why: None)),
    "failed ones are not sought": (HALVES, planted(seek=lambda self, now: None)),
    "news never age": (bytes_calm, planted(beat=news_for_ever)),
    "a forgotten one comes back": (forget, planted(forget=no_tombs)),
    "any incarnation is taken": (absurd, planted(learn=any_age)),
    "newcomers are told of the failed": (
        JOIN,
        planted(digest=property(sum_of_all, no_keeping), on_sync=tells_all),
    ),
    "no bound on datagrams": (flood, planted(send=no_bound)),
    "an echo of another session counts": (successor, planted(on_beat=any_echo)),
}
VERDICTS = {
    "only the own links count": (PAIR, judge_alone),
    "one observer is enough": (PAIR, judge_anyone),
    "who is out accuses": (ZONE, judge_for_me),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    play, make = DEFECTS[name]
    assert not play(Member)
    assert play(make)


@pytest.mark.parametrize("name", VERDICTS)
def test_a_planted_verdict_is_found(name, monkeypatch):
    play, judge = VERDICTS[name]
    assert not play(Member)
    monkeypatch.setattr(module, "judge", judge)
    assert play(Member)


def test_seeded_runs_find_an_older_row_taken():
    with pytest.raises(Breach):
        for seed in range(4):
            Run(seed, planted(learn=takes_any)).play()
