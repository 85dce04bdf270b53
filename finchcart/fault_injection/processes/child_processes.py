"""Starts the child processes of a test run, each with its own log file, and kills them by process id."""

import os
import signal
import subprocess
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path

END_TIMEOUT_S = 10
CHILD_ENV = {"MALLOC_ARENA_MAX": "2", "PYTHONPATH": str(Path(__file__).parents[3])}
# utime and stime in /proc/PID/stat, counted from the first field after the command name.
CPU_FIELDS = slice(11, 13)
KB_PER_MB = 1024


class ChildProcesses:
    """The child processes of one test run; their log files are in `folder`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.children: list[subprocess.Popen] = []
        self.env = {**os.environ, **CHILD_ENV}
        self.env.pop("FINCHCART_SETTINGS", None)

    def spawn(
        self, name: str, command: list[str], env: Mapping[str, str] | None = None, **more: object
    ) -> subprocess.Popen:
        """Start a process that appends its standard error to NAME.log; `more` is passed to `Popen`."""
        with (self.folder / f"{name}.log").open("ab") as log:
            child = subprocess.Popen(
                command, stderr=log, env={**self.env, **(env or {})}, start_new_session=True, **more
            )
        self.children.append(child)
        return child

    def end(self) -> None:
        """Kill all children, including those that SIGSTOP has suspended, and wait for them."""
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        end = time.monotonic() + END_TIMEOUT_S
        for child in self.children:
            with suppress(subprocess.TimeoutExpired):
                child.wait(max(0.1, end - time.monotonic()))


def cpu_and_peak_memory(pid: int) -> tuple[float, float]:
    """Return the CPU time of a process in seconds and its peak resident memory in MB."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    peak = next(line for line in status if line.startswith("VmHWM"))
    cpu_s = sum(map(int, stat[CPU_FIELDS])) / os.sysconf("SC_CLK_TCK")
    return cpu_s, int(peak.split()[1]) / KB_PER_MB
