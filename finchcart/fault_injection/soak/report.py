"""Runs the soak test and the sweep of system calls for the command line, and prints their reports.

This module only formats results: every breach in a report was found by a run.
"""

import os
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from finchcart.fault_injection.soak.call_sweep import CallFault, CallSweep, all_faults
from finchcart.fault_injection.soak.run import SoakResult, run_seeds

Echo = Callable[[str], None]


def play_and_report(seeds: Sequence[int], jobs: int, defect: str | None, out: str | None, echo: Echo) -> int:
    """Run the seeds and print a report; return 1 if a rule was broken, else 0."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(out or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        load_before = os.getloadavg()[0]
        results = run_seeds(seeds, folder, jobs, defect)
    for line in report_lines(results):
        echo(line)
    load = f"{load_before:.1f} before, {os.getloadavg()[0]:.1f} after"
    echo(f"--jobs {jobs} on {os.cpu_count()} cores, load average {load}")
    echo(f"{len(results)} seeds in {time.monotonic() - began:.0f} s")
    return 1 if any(result.breaches for result in results) else 0


def report_lines(results: Sequence[SoakResult]) -> list[str]:
    """Return the lines of a report: breaches, counters, and the shortest time from an answer to the kill."""
    lines = [f"seed {result.seed}: {line}" for result in results for line in result.breaches]
    counts: Counter[str] = Counter()
    for result in results:
        counts.update(result.counts)
    lines += [f"{name}: {count}" for name, count in sorted(counts.items())]
    before_kill = [result.last_answer_before_kill_s for result in results]
    times = [time_s for time_s in before_kill if time_s is not None]
    if times:
        lines.append(f"last answer before the kill: at least {min(times):.3f} s, over {len(times)} seeds")
    lines.append(
        f"largest delay of the test's own threads: {max(result.lateness_s for result in results):.3f} s"
    )
    broken = sum(1 for result in results if result.breaches)
    lines.append(f"seeds with a broken rule: {broken} of {len(results)}")
    return lines


def sweep_and_report(start: bool, max_call_number: int, jobs: int, echo: Echo) -> int:
    """Check each fault of a system call and print the problems; return 1 if there were any, else 0."""
    faults = all_faults(max_call_number)
    with tempfile.TemporaryDirectory() as temporary:
        parts = [faults[number::jobs] for number in range(jobs)]
        with ThreadPoolExecutor(jobs) as pool:
            checked = pool.map(lambda part: _check_faults(Path(temporary), part, start), enumerate(parts))
        found = [line for lines in checked for line in lines]
    for line in found:
        echo(line)
    echo(f"{len(faults)} faults {'at the start' if start else 'in service'}, {len(found)} problems")
    return 1 if found else 0


def _check_faults(folder: Path, numbered: tuple[int, Sequence[CallFault]], start: bool) -> list[str]:
    number, faults = numbered
    own = folder / str(number)
    own.mkdir()
    sweep = CallSweep(own)
    if not start:
        return sweep.check_in_service(faults)
    return [line for fault in faults for line in sweep.check_start(fault)]
