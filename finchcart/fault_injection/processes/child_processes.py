"""Child processes of a run: started with a log each, and all of them ended by their own ids."""

import os
import signal
import subprocess
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path

END_TIMEOUT_S = 10
CHILD_ENV = {"MALLOC_ARENA_MAX": "2", "PYTHONPATH": str(Path(__file__).parents[3])}
CPU_FIELDS = slice(11, 13)  # of /proc/PID/stat behind the command: user and system time
KB_PER_MB = 1024


class ChildProcesses:
    """All children of one run; logs go to `folder`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.children: list[subprocess.Popen] = []
        self.env = {**os.environ, **CHILD_ENV}
        self.env.pop("FINCHCART_SETTINGS", None)

    def spawn(
        self, name: str, command: list[str], env: Mapping[str, str] | None = None, **more: object
    ) -> subprocess.Popen:
        """Start a process whose standard error goes to NAME.log; `more` goes to `Popen`."""
        with (self.folder / f"{name}.log").open("ab") as log:
            child = subprocess.Popen(
                command, stderr=log, env={**self.env, **(env or {})}, start_new_session=True, **more
            )
        self.children.append(child)
        return child

    def end(self) -> None:
        """End all of them, stopped ones too."""
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        end = time.monotonic() + END_TIMEOUT_S
        for child in self.children:
            with suppress(subprocess.TimeoutExpired):
                child.wait(max(0.1, end - time.monotonic()))


def cpu_and_peak_memory(pid: int) -> tuple[float, float]:
    """Return the CPU seconds of a process and its peak resident memory in MB."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    peak = next(line for line in status if line.startswith("VmHWM"))
    cpu_s = sum(map(int, stat[CPU_FIELDS])) / os.sysconf("SC_CLK_TCK")
    return cpu_s, int(peak.split()[1]) / KB_PER_MB
