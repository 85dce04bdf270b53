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


def host(text):
    command = [sys.executable, "-m", "finchcart.wirehost"]
    return subprocess.run(command, input=text, capture_output=True, text=True)


def test_an_rpc_is_run_and_its_end_heard():
    done = host(
        f"TICK\twall=1000\n{CREATE}END\nTICK\twall=3000\n{KNOCK}END\nTICK\twall=9000\n"
        "WOUND_UP\twho=3\tcall=dff354305d3a91c4\tspent=6000\thow=200\n"
        "LEFT\twho=3\tcall=dff354305d3a91c4\nEND\n"
    )
    assert (done.returncode, done.stderr) == (0, "")
    replies = done.stdout.split("FINISHED\n")
    assert replies[1] == "TAKE\twho=3\tcall=dff354305d3a91c4\n"
    assert replies[2:] == ["", ""]


@pytest.mark.parametrize(
    "batch, words",
    [
        ("TICK\twall=1\nNEWS\twho=3\nEND\n", "'NEWS'"),
        (f"TICK\twall=1\n{KNOCK}END\n", "who=3"),
        (f"TICK\twall=1\n{CREATE}{KNOCK.replace('24.5', 'much')}END\n", "footprint='much'"),
        (f"TICK\twall=1\n{CREATE}{KNOCK.replace('call=dff354305d3a91c4', 'x=1')}END\n", "call is missing"),
        (f"TICK\twall=1\n{CREATE}", "inside a batch"),
        ("END\n", "expected TICK"),
    ],
)
def test_a_line_that_cannot_be_read_ends_it_plainly(batch, words):
    done = host(batch)
    assert done.returncode == 2
    assert words in done.stderr and done.stderr.count("\n") == 1


def test_an_exception_in_the_module_is_told_and_the_rest_goes_on():
    odd = KNOCK.replace("profile=fetch", "profile=unheard")
    other = (CREATE + KNOCK).replace("who=3", "who=4")
    done = host(f"TICK\twall=1\n{CREATE}{odd}{other}END\n")
    assert done.returncode == 0 and "Traceback" in done.stderr
    assert "BROKEN\twho=3\twhat=KeyError" in done.stdout
    assert "TAKE\twho=4\tcall=dff354305d3a91c4" in done.stdout
