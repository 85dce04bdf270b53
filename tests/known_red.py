"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet, one line each: test, cause, issue.

The session passes over just these, prints them, and fails where one of them passes or is not there.
"""

from pathlib import Path
from typing import NamedTuple

PATH = Path("KNOWN-RED.txt")
MOST_LINES = 3


class KnownRed(NamedTuple):
    test: str  # the node id, as pytest prints it
    cause: str
    issue: str


def read_known_red(text):
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST_LINES:
        raise ValueError(f"{len(lines)} lines, {MOST_LINES} at most")
    entries = []
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"{line!r}: expected test | cause | issue")
        entries.append(KnownRed(*fields))
    return entries
