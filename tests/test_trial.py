"""The trial itself: fabric, checker, and a short script on real processes."""

import json
import socket
import subprocess
import sys
import time

import msgspec
import pytest

from finchcart.cli.queries import query_members
from finchcart.fault_injection.check import Event, History, check
from finchcart.fault_injection.fabric import Fabric
from finchcart.fault_injection.processes import Processes
from finchcart.fault_injection.run import on_virtual, play
from finchcart.fault_injection.script import Held, Plan, lay_out, read, shipped
from finchcart.net.datagrams import DatagramEndpoint


def until(true, within=20):
    """Waits for what must come; the bound only ends a run that failed."""
    end = time.monotonic() + within
    while not true():
        assert time.monotonic() < end, "it never came"
        time.sleep(0.02)


def test_the_fabric_does_to_each_directed_pair_what_its_rule_says_and_replays():
    def run(rule, count=2000):
        fabric, out = Fabric(5), []
        fabric.reduce(0, ("rule", "a", "b", rule))
        for n in range(count):
            out += fabric.reduce(n * 1000, ("datagram", "a", "b", b"%08d" % n))
            out += fabric.reduce(n * 1000, ("datagram", "b", "a", b"back"))
        out += fabric.reduce(10**9, ("time",))
        there = [data for _, a, _, data in out if a == "a"]
        assert len(out) - len(there) == count, "the other direction has no rule"
        assert run.counts.setdefault(str(rule), fabric.total()) == fabric.total()
        return there, fabric.pair("a", "b").counts

    run.counts = {}
    for _ in range(2):
        there, counts = run({"lose": 0.3, "double": 0.1})
        assert 500 < counts["lost"] < 700 and len(there) == 2000 - counts["lost"] + counts["doubled"]
        there, counts = run({"burst": 0.02, "burst_length": 20_000})
        assert counts["lost"] > 400
        there, counts = run({"swap": 0.2, "swap_by": 5000, "delay": 2000, "jitter": 3000})
        assert len(there) == 2000 and there != sorted(there) and counts["swapped"] > 300
        there, counts = run({"spoil": 0.5})
        wrong = sum(not data.isdigit() or int(data) != n for n, data in enumerate(there))
        assert 900 < wrong <= counts["spoilt"]
        assert run({"cut": True})[0] == [] and len(run({"flap": 700_000})[0]) in range(900, 1301)


def test_the_checker_finds_what_is_late_changes_or_never_comes():
    def held(events, **changed):
        hold = msgspec.structs.replace(Held("x", "agree", ["b"], ["a"], 1.0, 2.0, 9.0, ["failed"]), **changed)
        return check(
            History(
                [Event(0, "a", "began")]
                + [Event(int(t * 1e6), "a", kind, "b", value) for t, kind, value in events]
            ),
            hold,
            0,
        )

    assert held([(2, "state", "failed")]).breach is None
    assert held([(2, "state", "failed")]).times == [1.0]
    assert held([(4, "state", "failed")]).breach and held([]).breach
    flaps = held([(2, "state", "failed"), (5, "state", "alive"), (6, "state", "failed")])
    assert flaps.breach and flaps.changes == 1
    assert held([(0.5, "state", "failed")]).times == [0.0]
    assert held([(5, "state", "failed")], what="never").breach
    assert held([(0.5, "state", "failed")], what="never").breach, "it holds already"
    assert held([(9.5, "state", "failed")], what="never").breach is None
    assert held([(2, "isolated", True)], what="isolated", of=["a"]).breach is None
    assert held([(2, "isolated", True)], what="connected", of=["a"]).breach


def test_all_shipped_scripts_lay_out_the_same_for_a_seed():
    for name, script in shipped():
        one, two = lay_out(script, 4), lay_out(read(name), 4)
        assert isinstance(one, Plan) and one == two and (one.holds or script.limits or script.claims), name
        assert one != lay_out(script, 5) or name in ("cuts", "halves", "loss", "half-lost", "replace")


def test_a_breach_gives_status_1_with_its_lines(tmp_path, capsys):
    script = tmp_path / "wrong.json5"
    script.write_text("""{about: "", nodes: 4, seconds: 8, rounds: [{at: 0, name: "r", steps: [
        {at: 0, do: "kill", who: ["n02"], as: "x"}], expect: [
        {what: "never", by: "all", of: "x", after: 0, until: 7}]}]}""")
    assert play(str(script), 1, None, str(tmp_path / "out"), True) == 1
    said = capsys.readouterr().out
    assert "BREACH r (never): n0" in said and "'n02', 'failed'" in said
    assert (tmp_path / "out" / "timeline.png").stat().st_size > 1000
    assert on_virtual(lay_out(read(str(script)), 1))[0] == on_virtual(lay_out(read(str(script)), 1))[0]


def test_a_short_script_on_real_processes(tmp_path):
    assert play("short", 1, None, str(tmp_path), False) == 0


@pytest.fixture
def fleet(tmp_path):
    made = Processes(tmp_path, ["n0", "n1"], 1, {"period_ms": 200})
    yield made
    made.end()
    assert all(child.poll() is not None for child in made.children)


def test_settings_are_taken_whole_or_not_at_all_and_rubbish_is_counted(fleet, tmp_path):
    for name in fleet.names:
        fleet.start(name)
    view = lambda name: query_members((fleet.own(name), 7400), 5.0)
    until(lambda: [m["state"] for m in view("n0")["members"]] == ["alive"] * 2 and not view("n0")["isolated"])
    path, log = tmp_path / "n0.json5", tmp_path / "n0.1.log"
    good = path.read_text()
    for text, line in [
        (good.replace("200", "2"), "fleet.period_ms: 2: Expected `int` >= 100"),
        (good.replace(":7400", ":7401"), "fleet.listen: waits for the next start"),
        (good.replace("200", "300"), "settings taken"),
    ]:
        path.write_text(text)
        fleet.hang_up("n0")
        until(lambda: line in log.read_text())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(20):
            sock.sendto(b"rubbish", (fleet.own("n0"), 7400))
            sock.sendto(b"Mrubbish", (fleet.own("n0"), 7400))
    until(lambda: view("n0")["counts"].get("spoilt") == 20)
    until(lambda: view("n0")["counts"].get("of an unknown channel") == 20)
    said = subprocess.run(
        [sys.executable, "-m", "finchcart", "fleet", "members", f"{fleet.own('n0')}:7400", "--json"],
        capture_output=True,
        text=True,
        check=True,
    )
    told = json.loads(said.stdout)
    assert set(told) >= {"name", "incarnation", "isolated", "age_ms", "members"} and told["name"] == "n0"
    assert set(told["members"][0]) == {"name", "address", "state", "incarnation", "age_ms"}
    fleet.term("n1")
    until(lambda: {m["name"]: m["state"] for m in view("n0")["members"]}["n1"] == "left")


def test_ticks_are_not_held_back_by_datagrams_that_keep_coming():
    class Machine:
        ended, ticks, got = False, 0, 0

        def reduce(self, now, what):
            self.ticks += what[0] == "tick"
            self.got += what[0] == "got"
            self.ended = self.ended or what[0] == "end"
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
        "       'finchcart.simulated_peers',\n"
        "       'finchcart.quota', 'finchcart.consensus', 'finchcart.key_leases',\n"
        "       'finchcart.node.observer', 'finchcart.node.limiters', 'finchcart.node.key_leases',\n"
        "       'finchcart.node.fleet_inputs',\n"
        "       'finchcart.net.datagrams', 'msgspec', 'click', 'json5', 'xxhash')\n"
        "print([name for name in sys.modules if name.startswith(new)])"
    )
    said = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert said.stdout.strip() == "[]"
