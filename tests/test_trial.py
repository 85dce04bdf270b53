"""Fault injection itself: simulated network, checker, and a short script on real processes."""

import json
import socket
import subprocess
import sys
import time

import msgspec
import pytest

from finchcart.fault_injection.scripted_runs.checker import Event, EventKind, History, check
from finchcart.fault_injection.scripted_runs.plan import Plan, PlannedExpectation, make_plan
from finchcart.fault_injection.scripted_runs.process_fleet import ProcessFleet
from finchcart.fault_injection.scripted_runs.runner import RunOptions, play
from finchcart.fault_injection.scripted_runs.script import read_script, shipped_scripts
from finchcart.fault_injection.scripted_runs.virtual_run import play_on_virtual_clock
from finchcart.fault_injection.virtual_time.simulated_network import SimulatedNetwork
from finchcart.fleet.inputs import DatagramReceived, Shutdown, Tick
from finchcart.fleet_queries import query_members
from finchcart.net.datagrams import DatagramEndpoint


def until(true, within=20):
    """Waits for what must come; the bound only ends a run that failed."""
    end = time.monotonic() + within
    while not true():
        assert time.monotonic() < end, "it never came"
        time.sleep(0.02)


def test_the_simulated_network_does_to_each_directed_link_what_its_rule_says_and_replays():
    first_counts = {}

    def run(rule, count=2000):
        network = SimulatedNetwork(5)
        delivered = network.set_rule(0, "a", "b", rule)
        for number in range(count):
            delivered += network.send(number * 1000, "a", "b", b"%08d" % number)
            delivered += network.send(number * 1000, "b", "a", b"back")
        delivered += network.advance(10**9)
        from_a = [datagram.data for datagram in delivered if datagram.origin == "a"]
        assert len(delivered) - len(from_a) == count, "the other direction has no rule"
        assert first_counts.setdefault(str(rule), network.total_counts()) == network.total_counts()
        return from_a, network.link("a", "b").counts

    for _ in range(2):
        from_a, counts = run({"lose": 0.3, "double": 0.1})
        assert 500 < counts["lost"] < 700 and len(from_a) == 2000 - counts["lost"] + counts["doubled"]
        from_a, counts = run({"burst": 0.02, "burst_length": 20_000})
        assert counts["lost"] > 400
        from_a, counts = run({"swap": 0.2, "swap_by": 5000, "delay": 2000, "jitter": 3000})
        assert len(from_a) == 2000 and from_a != sorted(from_a) and counts["swapped"] > 300
        from_a, counts = run({"spoil": 0.5})
        wrong = sum(not data.isdigit() or int(data) != number for number, data in enumerate(from_a))
        assert 900 < wrong <= counts["spoilt"]
        assert run({"cut": True})[0] == [] and len(run({"flap": 700_000})[0]) in range(900, 1301)


AGREEMENT = PlannedExpectation("x", "agree", ["b"], ["a"], 1.0, 2.0, 9.0, ["failed"])


def judged(events, **changed):
    """What becomes of an expectation, by events of member `a` as (second, kind, value)."""
    history = [Event(0, "a", EventKind.STARTED)]
    history += [Event(int(second * 1e6), "a", EventKind(kind), "b", value) for second, kind, value in events]
    return check(History(history), msgspec.structs.replace(AGREEMENT, **changed), 0)


def test_the_checker_finds_what_is_late_changes_or_never_comes():
    assert judged([(2, "state", "failed")]).breach is None
    assert judged([(2, "state", "failed")]).times == [1.0]
    assert judged([(4, "state", "failed")]).breach and judged([]).breach
    flaps = judged([(2, "state", "failed"), (5, "state", "alive"), (6, "state", "failed")])
    assert flaps.breach and flaps.changes == 1
    assert judged([(0.5, "state", "failed")]).times == [0.0]
    assert judged([(5, "state", "failed")], what="never").breach
    assert judged([(0.5, "state", "failed")], what="never").breach, "it holds already"
    assert judged([(9.5, "state", "failed")], what="never").breach is None
    assert judged([(2, "isolated", True)], what="isolated", of=["a"]).breach is None
    assert judged([(2, "isolated", True)], what="connected", of=["a"]).breach


def test_all_shipped_scripts_lay_out_the_same_for_a_seed():
    for name, script in shipped_scripts():
        one = make_plan(script, 4)
        two = make_plan(read_script(name), 4)
        assert isinstance(one, Plan) and one == two, name
        assert one.expectations or script.limits or script.claims, name
        assert one != make_plan(script, 5) or name in ("cuts", "halves", "loss", "half-lost", "replace")


def test_a_breach_gives_status_1_with_its_lines(tmp_path, capsys):
    script = tmp_path / "wrong.json5"
    script.write_text("""{about: "", nodes: 4, seconds: 8, rounds: [{at: 0, name: "r", steps: [
        {at: 0, do: "kill", who: ["n02"], as: "x"}], expect: [
        {what: "never", by: "all", of: "x", after: 0, until: 7}]}]}""")
    assert play(RunOptions(str(script), out=str(tmp_path / "out"), virtual=True)) == 1
    printed = capsys.readouterr().out
    assert "BREACH r (never): n0" in printed and "'n02', 'failed'" in printed
    assert (tmp_path / "out" / "timeline.png").stat().st_size > 1000
    one, two = (play_on_virtual_clock(make_plan(read_script(script), 1)) for _ in range(2))
    assert one.events == two.events


def test_a_short_script_on_real_processes(tmp_path):
    assert play(RunOptions("short", out=str(tmp_path))) == 0


@pytest.fixture
def fleet(tmp_path):
    made = ProcessFleet(tmp_path, ["n0", "n1"], 1, {"period_ms": 200})
    yield made
    made.end()
    assert all(child.poll() is not None for child in made.children)


def test_settings_are_taken_whole_or_not_at_all_and_rubbish_is_counted(fleet, tmp_path):
    for name in fleet.names:
        fleet.start(name)

    def view(name):
        return query_members(fleet.addresses.member(name), 5.0)

    until(lambda: [m["state"] for m in view("n0")["members"]] == ["alive"] * 2 and not view("n0")["isolated"])
    path, log = tmp_path / "n0.json5", tmp_path / "n0.1.log"
    good = path.read_text()
    for text, line in [
        (good.replace("200", "2"), "fleet.period_ms: 2: Expected `int` >= 100"),
        (good.replace(":7400", ":7401"), "fleet.listen: waits for the next start"),
        (good.replace("200", "300"), "settings applied from"),
    ]:
        path.write_text(text)
        fleet.reload_settings("n0")
        until(lambda: line in log.read_text())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(20):
            sock.sendto(b"rubbish", fleet.addresses.member("n0"))
            sock.sendto(b"Mrubbish", fleet.addresses.member("n0"))
    until(lambda: view("n0")["counts"].get("spoilt") == 20)
    until(lambda: view("n0")["counts"].get("of an unknown channel") == 20)
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "finchcart",
            "fleet",
            "members",
            f"{fleet.addresses.own_host('n0')}:7400",
            "--json",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    answer = json.loads(completed.stdout)
    assert set(answer) >= {"name", "incarnation", "isolated", "age_ms", "members"} and answer["name"] == "n0"
    assert set(answer["members"][0]) == {"name", "address", "state", "incarnation", "age_ms"}
    fleet.terminate("n1")
    until(lambda: {m["name"]: m["state"] for m in view("n0")["members"]}["n1"] == "left")


def test_ticks_are_not_held_back_by_datagrams_that_keep_coming():
    class Machine:
        ended, ticks, got = False, 0, 0

        def reduce(self, now, what):
            self.ticks += isinstance(what, Tick)
            self.got += isinstance(what, DatagramReceived)
            self.ended = self.ended or isinstance(what, Shutdown)
            return []

    machine = Machine()
    made = DatagramEndpoint(("127.0.0.1", 0), lambda now: {b"x": machine}, lambda change: None, lambda: [])
    made.start()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        # One every 5 ms, a twentieth of a tick: a tick that waits for a pause between them never comes.
        while machine.ticks < 8 and machine.got < 2000:
            sock.sendto(b"x", made.sock.getsockname())
            time.sleep(0.005)
    assert machine.ticks >= 8 and machine.got > 8
    made.stop()


def test_a_node_without_arguments_imports_none_of_this():
    code = (
        "import finchcart.__main__, sys\n"
        "new = ('finchcart.membership', 'finchcart.fault_injection', 'finchcart.cli',\n"
        "       'finchcart.fleet_settings', 'finchcart.fleet_queries',\n"
        "       'finchcart.simulated_peers',\n"
        "       'finchcart.quota', 'finchcart.consensus', 'finchcart.key_leases', 'finchcart.fleet.',\n"
        "       'finchcart.node.observer', 'finchcart.node.limiters', 'finchcart.node.key_leases',\n"
        "       'finchcart.node.fleet_inputs',\n"
        "       'finchcart.net.datagrams', 'msgspec', 'click', 'json5', 'xxhash')\n"
        "print([name for name in sys.modules if name.startswith(new)])"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]"
