"""Regression tests against recorded results, which a refactoring must not change.

The results were recorded before a refactoring for readability. There are three kinds:

- Decisions: a seeded simulated host drives the decision module, through the line protocol of the simulator
  adapter or, for inputs that the protocol lacks, by direct calls. The hash of all actions must not change.
- Bytes: one example of each message of each codec.
- Settings: the result of a valid file, and the error text for each mistake.

Names of the program's code are used only in pins/decision_module.py, pins/codec_examples.py and
pins/settings_files.py, so that a rename changes no recorded result.

`python -m tests.test_pins transcript SCENARIO SEED` prints the transcript behind a hash, for comparison with
another commit. `python -m tests.test_pins record` records all results again. The hashes are valid for
Python 3.11; from 3.12 on, `sum()` of floats rounds differently.
"""

import hashlib
import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

import pytest

from tests.pins.adapter import ROOT, WireLink, start_adapter
from tests.pins.codec_examples import ENCODED, RECEIVED, decode_example, read_rpc_fields
from tests.pins.decision_module import DirectLink
from tests.pins.scenarios import SCENARIOS, SEEDS
from tests.pins.settings_files import INVALID_CONFIGS, PYTHON_ERROR_CASES, SETTINGS_FILES, example_config
from tests.pins.simulated_host import SimulatedHost

PROCESS_TIMEOUT_S = 60  # a node that accepted an invalid configuration would run forever
DATA_DIRECTORY = Path(__file__).parent / "pins"


def record_transcript(name, seed, adapter):
    link = DirectLink() if SCENARIOS[name].fleet_inputs else WireLink(adapter, 1 + seed)
    return SimulatedHost(link, name, seed).run()


def transcript_hashes(name, adapter):
    texts = ("\n".join(record_transcript(name, seed, adapter)) for seed in range(SEEDS))
    return [hashlib.sha256(text.encode()).hexdigest() for text in texts]


@pytest.fixture(scope="module")
def adapter():
    with start_adapter() as process:
        yield process
        process.stdin.close()


def read_recorded(file):
    return json.loads((DATA_DIRECTORY / file).read_text(encoding="utf-8"))


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_decision_module_returns_the_recorded_actions(name, adapter):
    assert transcript_hashes(name, adapter) == read_recorded("decisions.json")[name]


# ---- Bytes


def encode_example(name):
    return RECEIVED[name] if name in RECEIVED else ENCODED[name]()


def encoded_and_decoded(name):
    data = encode_example(name)
    return {"bytes": data.hex(), "read": decode_example(name, data)}


@pytest.mark.parametrize("name", [*ENCODED, *RECEIVED])
def test_a_message_has_the_recorded_bytes_and_is_decoded_to_the_recorded_values(name):
    assert encoded_and_decoded(name) == read_recorded("bytes.json")[name]


RPC_FIELDS = {"c": "book", "k": "key-1", "i": "9b1f03aa5c7e2d41", "f": "17", "s": "1699999999990"}
RPC_FIELDS |= {"r": "1", "h": "12.5", "m": "24.5", "p": "0.625"}
RPC_FIELD_CASES = {
    "all told": {},
    "a read": {"c": "look-up"},
    "no rank, no estimate, no mark": {"p": None, "h": None, "r": None},
    "ahead of the clock": {"s": "1700000000900"},
    "no such method": {"c": "x" * 60},
    "no method": {"c": None},
    "name too short": {"i": "9b1f"},
    "name not hex": {"i": "X" * 16},
    "no key": {"k": None},
    "key too long": {"k": "k" * 65},
    "arrival not a number": {"s": "soon"},
    "arrival too old": {"s": "1699999994000"},
    "arrival too far ahead": {"s": "1700000001001"},
    "dispatcher not a number": {"f": "a"},
    "rank too high": {"p": "1"},
    "rank not a number": {"p": "x"},
    "estimate too long": {"h": "600000"},
    "footprint missing": {"m": None},
    "footprint nothing": {"m": "0"},
}


def read_rpc_case(name):
    fields = RPC_FIELDS | RPC_FIELD_CASES[name]
    return read_rpc_fields({word: text for word, text in fields.items() if text is not None}, b"body")


@pytest.mark.parametrize("name", RPC_FIELD_CASES)
def test_the_fields_of_an_rpc_are_read_as_recorded(name):
    assert read_rpc_case(name) == read_recorded("rpc_fields.json")[name]


def test_an_rpc_without_fields_or_body_or_with_too_large_a_body_is_rejected_with_the_same_text():
    refusals = [read_rpc_fields(None, b""), read_rpc_fields(RPC_FIELDS, None)]
    refusals.append(read_rpc_fields(RPC_FIELDS, b"x" * 2049))
    missing = "the call carries no fields or no body"
    assert refusals == [missing, missing, "body: 2049 bytes, 2048 at most"]


# ---- Settings


def run_programs(runs):
    """Run the node program once for each entry of `runs`, and return the output and exit status of each run.

    `runs` maps the name of a run to its arguments and environment; the result has the same keys.
    """
    command = [sys.executable, "-m", "tests.pins.run_many"]
    request = json.dumps(list(runs.values()))
    completed = subprocess.run(
        command, input=request, capture_output=True, text=True, cwd=ROOT, timeout=PROCESS_TIMEOUT_S
    )
    assert completed.returncode == 0, completed.stderr
    return dict(zip(runs, json.loads(completed.stdout), strict=True))


def run_settings_cases(directory):
    """Return the results of checking each settings file, and of starting with each invalid configuration."""
    absent = str(directory / "absent")
    runs = {
        "start without a configuration": ([], {}),
        "start with an absent configuration": ([], {"ROUTER_CONFIG": absent}),
        "check without a file": (["check"], {}),
        "check of an absent file": (["check", "--settings", absent], {}),
    }
    for name, text in SETTINGS_FILES.items():
        path = directory / name / "settings.json5"
        runs[f"check: {name}"] = ["check", "--settings", str(path)], {}
        path.parent.mkdir()
        path.write_text(text, encoding="utf-8")
    for name, text in INVALID_CONFIGS.items():
        path = directory / name / "config.json"
        runs[f"start: {name}"] = [], {"ROUTER_CONFIG": str(path)}
        path.parent.mkdir(exist_ok=True)
        path.write_text(text, encoding="utf-8")
    return {name: normalize_result(name, result, directory) for name, result in run_programs(runs).items()}


def normalize_result(name, result, directory):
    """Remove what may differ: the directory, the names of error types, and messages of the interpreter."""
    case = name.partition(": ")[2]
    for stream in ("out", "err"):
        text = result[stream].replace(f"{directory}/", "").replace(f"{case}/", "")
        text = re.sub(r"(config\.json: )[A-Z]\w+: ", r"\1", text)
        if case in PYTHON_ERROR_CASES and name.startswith("start"):
            text = re.sub(r"(config\.json: ).+\n", r"\1...\n", text)
        result[stream] = text
    return result


@pytest.fixture(scope="module")
def settings_results(tmp_path_factory):
    return run_settings_cases(tmp_path_factory.mktemp("settings"))


@pytest.mark.parametrize("name", read_recorded("settings.json"))
def test_a_check_or_a_failed_start_prints_the_recorded_text(name, settings_results):
    assert settings_results[name] == read_recorded("settings.json")[name]


def test_each_settings_file_and_mistake_has_a_recorded_result(settings_results):
    assert set(settings_results) == set(read_recorded("settings.json"))


def test_a_process_that_cannot_start_exits_with_the_recorded_status(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(INVALID_CONFIGS["cores"], encoding="utf-8")
    environment = os.environ | {"ROUTER_CONFIG": str(path)}
    command = [sys.executable, "-m", "finchcart"]
    completed = subprocess.run(
        command, capture_output=True, text=True, cwd=ROOT, env=environment, timeout=PROCESS_TIMEOUT_S
    )
    result = {"status": completed.returncode, "out": completed.stdout, "err": completed.stderr}
    assert (
        normalize_result("start: cores", result, tmp_path) == read_recorded("settings.json")["start: cores"]
    )


def test_the_example_configuration_is_read_as_recorded():
    assert example_config() == read_recorded("example_config.json")


# ---- Recording the results


def write(file, values):
    (DATA_DIRECTORY / file).write_text(
        json.dumps(values, indent=1, ensure_ascii=False) + "\n", encoding="utf-8"
    )


def record_settings():
    with tempfile.TemporaryDirectory() as name:
        write("settings.json", run_settings_cases(Path(name)))
    write("example_config.json", example_config())


def main(command, *arguments):
    with start_adapter() as process:
        if command == "transcript":
            print("\n".join(record_transcript(arguments[0], int(arguments[1]), process)))
        elif command == "record":
            DATA_DIRECTORY.mkdir(exist_ok=True)
            write("decisions.json", {name: transcript_hashes(name, process) for name in SCENARIOS})
            write("bytes.json", {name: encoded_and_decoded(name) for name in [*ENCODED, *RECEIVED]})
            write("rpc_fields.json", {name: read_rpc_case(name) for name in RPC_FIELD_CASES})
            record_settings()
        process.stdin.close()


if __name__ == "__main__":
    main(*sys.argv[1:])
