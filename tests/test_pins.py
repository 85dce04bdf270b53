"""Pins: what the program decided, wrote and said before the refactoring for readability began.

Three kinds. *Decisions*: a seeded simulated host drives the decision module, through the adapter's wire and,
for what the wire does not carry, directly; the hash of all that came back must stay. *Bytes*: one example of
each message of each codec. *Settings*: what a good file gives, and the text of each mistake. Present names of
the code stand in pins/decision_module.py and pins/codec_examples.py alone.

`python -m tests.test_pins transcript SCENARIO SEED` prints what a hash was made of, to be compared with the
same of an older commit; `python -m tests.test_pins record` writes the hashes anew. They were recorded with
Python 3.11; from 3.12 on the interpreter adds floats up in another way.
"""

import hashlib
import json
import sys
from pathlib import Path

import pytest

from tests.pins.adapter import WireLink, start_adapter
from tests.pins.decision_module import DirectLink
from tests.pins.scenarios import SCENARIOS, SEEDS
from tests.pins.simulated_host import SimulatedHost

DATA = Path(__file__).parent / "pins"


def transcript_of(name, seed, adapter):
    link = DirectLink() if SCENARIOS[name].fleet else WireLink(adapter, 1 + seed)
    return SimulatedHost(link, name, seed).play()


def hashes_of(name, adapter):
    texts = ("\n".join(transcript_of(name, seed, adapter)) for seed in range(SEEDS))
    return [hashlib.sha256(text.encode()).hexdigest() for text in texts]


@pytest.fixture(scope="module")
def adapter():
    with start_adapter() as process:
        yield process
        process.stdin.close()


def pinned(file):
    return json.loads((DATA / file).read_text(encoding="utf-8"))


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_same_calls_come_in_the_same_order(name, adapter):
    assert hashes_of(name, adapter) == pinned("decisions.json")[name]


# ---- Writing the data files


def write(file, values):
    (DATA / file).write_text(json.dumps(values, indent=1) + "\n", encoding="utf-8")


def main(command, *arguments):
    with start_adapter() as process:
        if command == "transcript":
            print("\n".join(transcript_of(arguments[0], int(arguments[1]), process)))
        elif command == "record":
            DATA.mkdir(exist_ok=True)
            write("decisions.json", {name: hashes_of(name, process) for name in SCENARIOS})
        process.stdin.close()


if __name__ == "__main__":
    main(*sys.argv[1:])
