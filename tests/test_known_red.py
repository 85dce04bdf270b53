"""The list of tests that are known to fail: what it may hold, and what a session makes of it."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRed, read_known_red

CONFTEST = Path("tests/conftest.py").read_text(encoding="utf-8")
CASES = "def test_fails():\n    assert False\n\n\ndef test_passes():\n    pass\n"


@pytest.mark.parametrize("text", ["a test\n", "test | cause |\n", "a | b | c | d\n", "a | b | c\n" * 4])
def test_a_line_that_lacks_something_or_a_fourth_one_is_an_error(text):
    with pytest.raises(ValueError):
        read_known_red(text)


def test_it_is_read():
    assert read_known_red("\nt.py::x | why | 42\n") == [KnownRed("t.py::x", "why", "42")]


@pytest.mark.parametrize(
    "listed, status, printed",
    [
        ("test_fails", 0, "1 passed, 1 xfailed"),
        ("test_passes", 1, "2 failed"),
        ("test_none", 4, "no such test"),
        (None, 1, "1 failed, 1 passed"),
    ],
)
def test_a_session_passes_over_a_listed_failure_alone(tmp_path, listed, status, printed):
    (tmp_path / "test_case.py").write_text(CASES)
    (tmp_path / "conftest.py").write_text(CONFTEST)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    if listed:
        (tmp_path / "KNOWN-RED.txt").write_text(f"test_case.py::{listed} | cause | 42\n")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "--rootdir", str(tmp_path), str(tmp_path)],
        capture_output=True,
        text=True,
    )
    assert done.returncode == status and printed in done.stdout + done.stderr
    line = f"known red: test_case.py::{listed} | cause | 42"
    assert (line in done.stdout) == (listed is not None)
