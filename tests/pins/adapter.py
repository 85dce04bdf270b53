"""Drives the simulator adapter as a process over its line protocol, whose names never change."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


class WireLink:
    """Drives one instance in an adapter process, which serves many instances."""

    def __init__(self, adapter, instance):
        self.adapter = adapter
        self.instance = instance

    def exchange(self, now, events):
        lines = [f"TICK\twall={now}\n"]
        lines += [self.format_line(message, fields) for message, fields in events]
        self.adapter.stdin.write("".join(lines) + "END\n")
        self.adapter.stdin.flush()
        actions = []
        while (line := self.adapter.stdout.readline()) != "FINISHED\n":
            name, instance, *pairs = line.rstrip("\n").split("\t")
            assert instance == f"who={self.instance}", line
            actions.append((name, dict(pair.split("=", 1) for pair in pairs)))
        return actions

    def format_line(self, message, fields):
        parts = [message, f"who={self.instance}"]
        for name, value in fields.items():
            if isinstance(value, dict):
                value = ",".join(f"{gauge}:{number}" for gauge, number in value.items())
            parts.append(f"{name}={as_text(value)}")
        return "\t".join(parts) + "\n"


def start_adapter():
    command = [sys.executable, "-m", "finchcart.wirehost"]
    return subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, cwd=ROOT)


def as_text(value):
    if isinstance(value, bool):
        return str(int(value))
    return str(round(value, 6)) if isinstance(value, float) else str(value)
