"""Tests of membership: invalid messages, settings, the member table, and seeded runs on the virtual clock."""

import random
from pathlib import Path

import json5
import msgspec
import pytest

from finchcart.errors import SettingsError
from finchcart.fault_injection.membership.fault_run import MembershipFaultRun
from finchcart.fault_injection.membership.simulation import MembershipSimulation
from finchcart.fleet.codec import encode_value, xxh64_digest
from finchcart.fleet.inputs import DatagramReceived
from finchcart.fleet_settings.file import check_settings
from finchcart.membership import messages
from finchcart.membership.config import SECOND, MembershipConfig
from finchcart.membership.effects import MemberChanged
from finchcart.membership.member import Member
from finchcart.membership.messages import CODEC, Heartbeat, MemberRecord, MemberRecords

RECORD = MemberRecord("a", "127.0.0.2:7400", 5, 1000, 1000, 0, 0, [])


def test_invalid_datagrams_and_records_are_counted_by_reason_and_dropped():
    member = Member("me", "f", "127.0.0.1:7400", [], MembershipConfig(), random.Random(1), 1000, 0)
    good = CODEC.encode("f", Heartbeat(RECORD, 1, 0, 0, 0, []))
    corrupted = good[:1] + bytes([good[1] ^ 1]) + good[2:]
    far_ahead = msgspec.structs.replace(RECORD, incarnation=2**50)
    without_valid_port = msgspec.structs.replace(RECORD, address="127.0.0.2:99999")
    negative = encode_value([1, "f", [1, ["a", "1:1", 5, -1, 0, 0, 0, []], 1, 0, 0, 0, []]])
    for data, reason in [
        (corrupted, "spoilt"),
        (b"", "spoilt"),
        (b"x" * 2000, "too long"),
        (CODEC.encode("g", MemberRecords([RECORD])), "another fleet"),
        (b"M" + xxh64_digest(negative) + negative, "not valid"),
        (b"M" + xxh64_digest(b"\xc1") + b"\xc1", "unreadable"),
        (CODEC.encode("f", Heartbeat(far_ahead, 1, 0, 0, 0, [])), "impossible incarnation"),
        (CODEC.encode("f", MemberRecords([without_valid_port])), "impossible address"),
        (CODEC.encode("f", messages.ViewPage(1, 0, 1, {})), "not asked for"),
    ]:
        before = member.counts.get(reason, 0)
        effects = member.reduce(1, DatagramReceived(("127.0.0.2", 7400), data))
        assert not [effect for effect in effects if isinstance(effect, MemberChanged)]
        assert member.counts[reason] == before + 1, reason
    assert list(member.known_members) == [member.own_id]
    effects = member.reduce(2, DatagramReceived(("127.0.0.2", 7400), good))
    changes = [effect for effect in effects if isinstance(effect, MemberChanged)]
    assert MemberChanged("a", "alive", 1000) in changes


def test_all_mistakes_in_a_settings_file_are_reported_together_with_path_and_similar_name():
    with pytest.raises(SettingsError) as raised:
        check_settings(
            {"fleet": {"nam": "x", "listen": "127.0.0.1:7400", "period_ms": 1, "seeds": "y"}, "flet": 1}, "F"
        )
    lines = raised.value.mistakes
    assert len(lines) == 5
    assert all(line.startswith("F: ") for line in lines)
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
    deployed = Path("deploy/finchcart.json5")
    check_settings(json5.loads(deployed.read_text(encoding="utf-8")), str(deployed))


def test_a_full_table_rejects_new_members_until_a_failed_one_can_be_evicted():
    fleet = MembershipSimulation([f"n{n}" for n in range(5)], 1, MembershipConfig(max_members=4))
    for name in list(fleet.processes)[:4]:
        fleet.start(name)
    fleet.run(3 * SECOND)
    fleet.start("n4")
    fleet.run(fleet.now + 2 * SECOND)
    member = fleet.processes["n0"].machine
    assert len(member.known_members) == 4
    assert member.counts["no room"] > 0
    assert fleet.state_seen("n0", "n4") is None
    fleet.kill("n3")
    fleet.run(fleet.now + 5 * SECOND)
    assert fleet.state_seen("n0", "n4") == "alive"
    assert fleet.state_seen("n0", "n3") is None
    assert len(member.known_members) == 4


def test_seeded_fault_runs_hold_all_invariants_and_replay_identically():
    traces = [MembershipFaultRun(seed).play() for seed in (3, 3, 18)]
    assert traces[0] == traces[1] != traces[2]


def test_link_timeout_adapts_to_a_sudden_increase_of_message_loss():
    """Guards against links that are taken as down because the loss estimate lags behind the real loss.

    4 to 8 s after 30 % of the messages begin to be lost, 2.6 % of the links are wrongly down. With a loss
    window of 200 messages it was 6 %, and four of seven such links excluded a member (seed 310 of the seeded
    runs).
    """
    wrongly_down = 0
    for seed in range(3):
        fleet = MembershipSimulation([f"n{n}" for n in range(12)], seed)
        for name in fleet.processes:
            fleet.start(name)
        fleet.run(8 * SECOND)
        fleet.network.set_rule(fleet.now, None, None, {"lose": 0.3})
        fleet.run(12 * SECOND)
        for _ in range(40):
            fleet.run(fleet.now + SECOND // 10)
            wrongly_down += len(
                {
                    frozenset((process.machine.own_id, member_id))
                    for process in fleet.processes.values()
                    for member_id in process.machine.record.unreachable
                }
            )
    assert wrongly_down / (3 * 40 * 66) < 0.04


def test_a_large_fleet_with_few_links_agrees_on_a_failed_and_a_restarted_member():
    fleet = MembershipSimulation([f"n{n}" for n in range(80)], 1, MembershipConfig(watch_degree=10))
    for name in fleet.processes:
        fleet.start(name)
    fleet.run(12 * SECOND)
    assert all(set(seen.values()) == {"alive"} and len(seen) == 80 for seen in fleet.views().values())
    bound = fleet.config.detection_bound(80)
    fleet.kill("n40")
    fleet.run(fleet.now + bound)
    assert all(seen["n40"] == "failed" for seen in fleet.views().values())
    fleet.start("n40")
    fleet.run(fleet.now + 4 * SECOND)
    assert all(seen["n40"] == "alive" for seen in fleet.views().values())
