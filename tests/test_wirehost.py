"""Tests of the simulator adapter: its codec, and short batches that are sent to an adapter process."""

import subprocess
import sys

import pytest

from finchcart.decisions.gauges import Gauges
from finchcart.decisions.outcome import Outcome
from finchcart.simulator import codec, events

CREATE = (
    "CREATE\twho=3\trandomSeed=7\tround=2000\tcontract.overloadFactor=8.0\tfamilyInfo.cores=2"
    "\tfamilyInfo.memoryKb=45882.0\tfamilyInfo.runFactor=8.0\tservices.count=1\tservices.0.name=fetch"
    "\tservices.0.deadline=4600000\tservices.0.target=1800000\tservices.0.effect=read_like"
    "\tservices.0.worth=1.0"
    "\tunheard.of=1\n"
)
KNOCK = "KNOCK\twho=3\tcall=dff354305d3a91c4\tneighbour=1\tfootprint=24.5\tprofile=fetch\n"


def run_adapter(text):
    """Run an adapter process to its end with this text on standard input; return the completed process."""
    command = [sys.executable, "-m", "finchcart.wirehost"]
    return subprocess.run(command, input=text, capture_output=True, text=True)


def test_an_rpc_runs_to_completion_and_later_events_of_it_are_ignored():
    result = run_adapter(
        f"TICK\twall=1000\n{CREATE}END\nTICK\twall=3000\n{KNOCK}END\nTICK\twall=9000\n"
        "WOUND_UP\twho=3\tcall=dff354305d3a91c4\tspent=6000\thow=200\n"
        "LEFT\twho=3\tcall=dff354305d3a91c4\nEND\n"
    )
    assert (result.returncode, result.stderr) == (0, "")
    replies = result.stdout.split("FINISHED\n")
    assert replies[1] == "TAKE\twho=3\tcall=dff354305d3a91c4\n"
    assert replies[2:] == ["", ""]


@pytest.mark.parametrize(
    "batch, expected",
    [
        ("TICK\twall=1\nNEWS\twho=3\nEND\n", "'NEWS'"),
        (f"TICK\twall=1\n{KNOCK}END\n", "who=3"),
        (f"TICK\twall=1\n{CREATE}{KNOCK.replace('24.5', 'much')}END\n", "footprint='much'"),
        (f"TICK\twall=1\n{CREATE}{KNOCK.replace('call=dff354305d3a91c4', 'x=1')}END\n", "call is missing"),
        (f"TICK\twall=1\n{CREATE}", "inside a batch"),
        ("END\n", "expected TICK"),
    ],
)
def test_invalid_input_ends_the_process_with_a_one_line_error(batch, expected):
    result = run_adapter(batch)
    assert result.returncode == 2
    assert expected in result.stderr and result.stderr.count("\n") == 1


def test_an_exception_in_the_decision_module_is_reported_and_other_instances_continue():
    unknown_method = KNOCK.replace("profile=fetch", "profile=unheard")
    other = (CREATE + KNOCK).replace("who=3", "who=4")
    result = run_adapter(f"TICK\twall=1\n{CREATE}{unknown_method}{other}END\n")
    assert result.returncode == 0 and "Traceback" in result.stderr
    assert "BROKEN\twho=3\twhat=KeyError" in result.stdout
    assert "TAKE\twho=4\tcall=dff354305d3a91c4" in result.stdout


INVALID_SETTINGS = ("services.count=many", "services.count=3\tfamilyInfo.worthWithout=0.5,0")


@pytest.mark.parametrize("setting", INVALID_SETTINGS)
def test_invalid_settings_fail_only_their_own_instance(setting):
    broken = CREATE.replace("services.count=1", setting)
    other = (CREATE + KNOCK).replace("who=3", "who=4")
    result = run_adapter(f"TICK\twall=1\n{broken}{other}END\n")
    assert result.returncode == 0 and "Traceback" in result.stderr
    assert "BROKEN\twho=3\twhat=" in result.stdout
    assert "TAKE\twho=4\tcall=dff354305d3a91c4" in result.stdout


# ---- The codec

RPC = "dff354305d3a91c4"
FIRST_RPC = "0000000000000001"
FEEDBACK = "core_use:0.5,on_cores:3,heap_share:0.1"


@pytest.mark.parametrize(
    "line, event",
    [
        ("TICK wall=7", events.BatchStarted(7)),
        ("END", events.BatchEnded()),
        ("KILL who=3", events.InstanceKilled(3)),
        ("DRAIN who=3 expires=9", events.DrainNotice(3, 9)),
        ("WAKE who=3 name=sweep", events.TimerFired(3, Gauges())),
        (f"WAKE who=3 name=sweep feedback={FEEDBACK}", events.TimerFired(3, Gauges(0.5, 3.0))),
        (f"LEFT who=3 call={RPC}", events.CallerGone(3, RPC)),
        (f"WANTS_CALL who=3 call={RPC}", events.CallAwaited(3, RPC)),
        (f"WOUND_UP who=3 call={RPC} how=444 spent=5", events.RunEnded(3, RPC, Outcome.STOPPED, 5)),
        (f"DOWNSTREAM who=3 call={RPC} how=521", events.CallEnded(3, RPC, Outcome.UNREACHABLE, 0)),
        (
            f"KNOCK who=3 call={RPC} profile=a footprint=2.5 repeats=0 place= odd=1",
            events.RpcArrived(3, RPC, "a", 2.5),
        ),
        (
            f"KNOCK who=3 call={RPC} profile=a footprint=2.5 neighbour=1 org=x place=0.5 isWrite=1 "
            f"repeats={FIRST_RPC} estimate=40 expires=99 againByClient=1 item=y backlogTime=6",
            events.RpcArrived(3, RPC, "a", 2.5, 1, 0.5, FIRST_RPC, 40, 99, True, 6),
        ),
    ],
)
def test_a_line_is_parsed_into_an_event(line, event):
    parsed = codec.parse_line(line.replace(" ", "\t"))
    assert parsed == event
    assert type(parsed) is type(event)


def test_the_event_of_a_started_instance_holds_its_settings():
    event = codec.parse_line(CREATE.rstrip("\n"))
    assert (event.instance, event.seed) == (3, 7)
    assert event.settings["familyInfo.cores"] == "2"


@pytest.mark.parametrize(
    "line, expected",
    [
        ("NEWS who=3", "message 'NEWS': expected one of CREATE, KILL, KNOCK"),
        ("KILL", "KILL: field who is missing, expected a whole number"),
        ("KILL who", "KILL: part 'who': expected name=value"),
        ("DRAIN who=3 expires=soon", "DRAIN: field expires='soon': expected a whole number"),
        ("LEFT who=3 call=DFF354305D3A91C4", "LEFT: field call='DFF354305D3A91C4': expected 16 hex digits"),
        (f"WOUND_UP who=3 call={RPC} how=201", "WOUND_UP: field how='201': expected a known outcome code"),
        ("WAKE who=3", "WAKE: field name is missing, expected text"),
        ("WAKE who=3 name=x feedback=a:b", "WAKE: field feedback='a:b': expected name:value pairs"),
        (
            f"KNOCK who=3 call={RPC} profile=a footprint=1 isWrite=maybe",
            "KNOCK: field isWrite='maybe': expected 1 or 0",
        ),
    ],
)
def test_the_error_for_an_invalid_line_names_what_was_expected(line, expected):
    with pytest.raises(codec.WireError) as raised:
        codec.parse_line(line.replace(" ", "\t"))
    assert expected in str(raised.value)


@pytest.mark.parametrize(
    "formatted, line",
    [
        (codec.reject(3, RPC, 0, False), f"BUSY who=3 call={RPC}"),
        (codec.reject(3, RPC, 50, True), f"BUSY who=3 call={RPC} wait=50 last=1"),
        (codec.set_health(3, True, False), "READINESS who=3 want=1 stored=0"),
        (codec.publish_feedback(3, 0.123456), "HINT_OUT who=3 x=0.1235"),
        (codec.set_timer(3, 40), "NOTIFY_ME who=3 fromNow=40 name=sweep"),
        (codec.instance_failed(3, KeyError("a\nb")), "BROKEN who=3 what=KeyError: 'a\\nb'"),
    ],
)
def test_a_line_is_formatted_with_the_names_of_the_protocol(formatted, line):
    assert formatted.replace("\t", " ") == line
