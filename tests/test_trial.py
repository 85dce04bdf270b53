"""Tests of the fault-injection tools: network simulation, checker, plans, and a run on real processes."""

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


def wait_until(condition, timeout=20):
    """Polls a condition that must become true; the timeout only ends a test that has failed."""
    end = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < end, "the condition did not become true in time"
        time.sleep(0.02)


def test_simulated_network_applies_the_rule_of_each_directed_link_and_repeats_for_a_seed():
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
        corrupted = sum(not data.isdigit() or int(data) != number for number, data in enumerate(from_a))
        assert 900 < corrupted <= counts["spoilt"]
        assert run({"cut": True})[0] == [] and len(run({"flap": 700_000})[0]) in range(900, 1301)


AGREEMENT = PlannedExpectation("x", "agree", ["b"], ["a"], 1.0, 2.0, 9.0, ["failed"])


def check_events(events, **changed):
    """Checks an expectation against events of the observer `a`, given as (second, kind, value)."""
    history = [Event(0, "a", EventKind.STARTED)]
    history += [Event(int(second * 1e6), "a", EventKind(kind), "b", value) for second, kind, value in events]
    return check(History(history), msgspec.structs.replace(AGREEMENT, **changed), 0)


def test_checker_finds_states_that_are_late_change_again_or_are_never_reached():
    assert check_events([(2, "state", "failed")]).breach is None
    assert check_events([(2, "state", "failed")]).times == [1.0]
    assert check_events([(4, "state", "failed")]).breach and check_events([]).breach
    flaps = check_events([(2, "state", "failed"), (5, "state", "alive"), (6, "state", "failed")])
    assert flaps.breach and flaps.changes == 1
    assert check_events([(0.5, "state", "failed")]).times == [0.0]
    assert check_events([(5, "state", "failed")], what="never").breach
    assert check_events([(0.5, "state", "failed")], what="never").breach, "the state was already held"
    assert check_events([(9.5, "state", "failed")], what="never").breach is None
    assert check_events([(2, "isolated", True)], what="isolated", of=["a"]).breach is None
    assert check_events([(2, "isolated", True)], what="connected", of=["a"]).breach


def test_all_shipped_scripts_give_the_same_plan_for_the_same_seed():
    for name, script in shipped_scripts():
        first = make_plan(script, 4)
        second = make_plan(read_script(name), 4)
        assert isinstance(first, Plan) and first == second, name
        assert first.expectations or script.limits or script.claims, name
        assert first != make_plan(script, 5) or name in ("cuts", "halves", "loss", "half-lost", "replace")


def test_breach_gives_status_1_and_is_printed_with_its_log_line(tmp_path, capsys):
    script = tmp_path / "wrong.json5"
    script.write_text("""{about: "", nodes: 4, seconds: 8, rounds: [{at: 0, name: "r", steps: [
        {at: 0, do: "kill", who: ["n02"], as: "x"}], expect: [
        {what: "never", by: "all", of: "x", after: 0, until: 7}]}]}""")
    assert play(RunOptions(str(script), out=str(tmp_path / "out"), virtual=True)) == 1
    printed = capsys.readouterr().out
    assert "BREACH r (never): n0" in printed and "'n02', 'failed'" in printed
    assert (tmp_path / "out" / "timeline.png").stat().st_size > 1000
    first, second = (play_on_virtual_clock(make_plan(read_script(script), 1)) for _ in range(2))
    assert first.events == second.events


def test_short_script_on_real_processes(tmp_path):
    assert play(RunOptions("short", out=str(tmp_path))) == 0


@pytest.fixture
def fleet(tmp_path):
    process_fleet = ProcessFleet(tmp_path, ["n0", "n1"], 1, {"period_ms": 200})
    yield process_fleet
    process_fleet.end()
    assert all(child.poll() is not None for child in process_fleet.children)


def test_settings_are_taken_whole_or_not_at_all_and_rubbish_is_counted(fleet, tmp_path):
    for name in fleet.names:
        fleet.start(name)

    def view(name):
        return query_members(fleet.addresses.member(name), 5.0)

    wait_until(
        lambda: [m["state"] for m in view("n0")["members"]] == ["alive"] * 2 and not view("n0")["isolated"]
    )
    path, log = tmp_path / "n0.json5", tmp_path / "n0.1.log"
    valid = path.read_text()
    for text, line in [
        (valid.replace("200", "2"), "fleet.period_ms: 2: Expected `int` >= 100"),
        (valid.replace(":7400", ":7401"), "fleet.listen: waits for the next start"),
        (valid.replace("200", "300"), "settings applied from"),
    ]:
        path.write_text(text)
        fleet.reload_settings("n0")
        wait_until(lambda: line in log.read_text())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(20):
            sock.sendto(b"rubbish", fleet.addresses.member("n0"))
            sock.sendto(b"Mrubbish", fleet.addresses.member("n0"))
    wait_until(lambda: view("n0")["counts"].get("spoilt") == 20)
    wait_until(lambda: view("n0")["counts"].get("of an unknown channel") == 20)
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
    wait_until(lambda: {m["name"]: m["state"] for m in view("n0")["members"]}["n1"] == "left")


def test_ticks_are_not_delayed_by_a_steady_stream_of_datagrams():
    class Machine:
        ended, ticks, received = False, 0, 0

        def reduce(self, now, event):
            self.ticks += isinstance(event, Tick)
            self.received += isinstance(event, DatagramReceived)
            self.ended = self.ended or isinstance(event, Shutdown)
            return []

    machine = Machine()
    endpoint = DatagramEndpoint(
        ("127.0.0.1", 0), lambda now: {b"x": machine}, lambda change: None, lambda: []
    )
    endpoint.start()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        # A datagram arrives every 5 ms, a twentieth of the tick interval. An endpoint that ticks only when a
        # receive times out would never tick.
        while machine.ticks < 8 and machine.received < 2000:
            sock.sendto(b"x", endpoint.sock.getsockname())
            time.sleep(0.005)
    assert machine.ticks >= 8 and machine.received > 8
    endpoint.stop()


def test_node_without_arguments_imports_no_fleet_or_fault_injection_module():
    code = (
        "import finchcart.__main__, sys\n"
        "excluded = ('finchcart.membership', 'finchcart.fault_injection', 'finchcart.cli',\n"
        "       'finchcart.fleet_settings', 'finchcart.fleet_queries',\n"
        "       'finchcart.simulated_peers',\n"
        "       'finchcart.quota', 'finchcart.consensus', 'finchcart.key_leases', 'finchcart.fleet.',\n"
        "       'finchcart.node.observer', 'finchcart.node.limiters', 'finchcart.node.key_leases',\n"
        "       'finchcart.node.fleet_inputs',\n"
        "       'finchcart.net.datagrams', 'msgspec', 'click', 'json5', 'xxhash')\n"
        "print([name for name in sys.modules if name.startswith(excluded)])"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]"
