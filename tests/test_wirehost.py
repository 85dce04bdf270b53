"""The adapter on short hand-written batches, as a process."""

import subprocess
import sys

import pytest

CREATE = (
    "CREATE\twho=3\trandomSeed=7\tround=2000\tcontract.overloadFactor=8.0\tfamilyInfo.cores=2"
    "\tfamilyInfo.memoryKb=45882.0\tfamilyInfo.runFactor=8.0\tservices.count=1\tservices.0.name=fetch"
    "\tservices.0.deadline=4600000\tservices.0.target=1800000\tservices.0.effect=read_like"
    "\tservices.0.worth=1.0"
    "\tunheard.of=1\n"
)
KNOCK = "KNOCK\twho=3\tcall=dff354305d3a91c4\tneighbour=1\tfootprint=24.5\tprofile=fetch\n"


def run_adapter(text):
    """The finished process of an adapter that was given this input."""
    command = [sys.executable, "-m", "finchcart.wirehost"]
    return subprocess.run(command, input=text, capture_output=True, text=True)


def test_an_rpc_is_run_and_its_end_reported():
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
def test_a_line_that_cannot_be_read_ends_it_plainly(batch, expected):
    result = run_adapter(batch)
    assert result.returncode == 2
    assert expected in result.stderr and result.stderr.count("\n") == 1


def test_an_exception_in_the_decision_module_is_reported_and_other_instances_go_on():
    unknown_method = KNOCK.replace("profile=fetch", "profile=unheard")
    other = (CREATE + KNOCK).replace("who=3", "who=4")
    result = run_adapter(f"TICK\twall=1\n{CREATE}{unknown_method}{other}END\n")
    assert result.returncode == 0 and "Traceback" in result.stderr
    assert "BROKEN\twho=3\twhat=KeyError" in result.stdout
    assert "TAKE\twho=4\tcall=dff354305d3a91c4" in result.stdout
