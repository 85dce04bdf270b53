"""Tests of the list of tests that are known to fail: its format, and its effect on a test session."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRed, read_known_red

CONFTEST = Path("tests/conftest.py").read_text(encoding="utf-8")
CASES = "def test_fails():\n    assert False\n\n\ndef test_passes():\n    pass\n"


@pytest.mark.parametrize("text", ["a test\n", "a | b | c |\n", "a | b | c\n", "a | b | c | d | e\n"])
def test_a_line_with_missing_or_extra_fields_is_an_error(text):
    with pytest.raises(ValueError, match="expected test"):
        read_known_red(text)


def test_entries_are_read_with_and_without_the_intermittent_mark():
    assert read_known_red("\nt.py::x | pytest, seed 2 | lost | 42\n") == [
        KnownRed("t.py::x", "pytest, seed 2", "lost", "42")
    ]
    assert read_known_red("t.py::x | a | b | 42 | intermittent\n") == [
        KnownRed("t.py::x", "a", "b", "42", is_intermittent=True)
    ]


@pytest.mark.parametrize(
    "listed, mark, status, printed, result",
    [
        ("test_fails", "", 0, "1 passed, 1 xfailed", "xfailed"),
        ("test_passes", "", 1, "2 failed", "failed"),
        ("test_none", "", 4, "no such test", "not run"),
        ("test_fails", " | intermittent", 0, "1 passed, 1 xfailed", "xfailed"),
        ("test_passes", " | intermittent", 1, "1 failed, 1 xpassed", "xpassed"),
        ("test_none", " | intermittent", 4, "no such test", "not run"),
        (None, "", 1, "1 failed, 1 passed", ""),
    ],
)
def test_a_session_tolerates_only_listed_failures(tmp_path, listed, mark, status, printed, result):
    (tmp_path / "test_case.py").write_text(CASES)
    (tmp_path / "conftest.py").write_text(CONFTEST)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    if listed:
        (tmp_path / "KNOWN-RED.txt").write_text(
            f"test_case.py::{listed} | pytest, seed 2 | lost | 42{mark}\n"
        )
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "--rootdir", str(tmp_path), str(tmp_path)],
        capture_output=True,
        text=True,
    )
    assert completed.returncode == status
    assert printed in completed.stdout + completed.stderr
    line = f"known red: test_case.py::{listed} | pytest, seed 2 | lost | 42{mark}: {result}\n"
    assert (line in completed.stdout) == (listed is not None)
