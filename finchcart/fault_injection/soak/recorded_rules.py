"""Checks the four rules of a node against the records of clients, worker pool and store.

1. Each request gets one correct answer in time ("lost", "refused", "changed").
2. A request that is not idempotent takes effect at most once in its key window ("duplicate").
3. After the grace period, a node starts no run of a request that arrives then ("drain").
4. A node keeps its limits on running RPCs and memory ("fall-over").

The node's own reports are not used, and its log is only searched for crashes. An answer counts from the time
at which the node wrote it according to the socket trace, since a client of the test may read the answer
later for lack of CPU time.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from finchcart.fault_injection.processes.socket_trace import AcceptedSocket
from finchcart.fault_injection.soak.lost_requests import trace_lost_request
from finchcart.fault_injection.soak.recording_client import ClientRpcRecord
from finchcart.simulated_peers.client import ClientOutcome
from finchcart.simulated_peers.worker_pool import LoadSample, RunTiming, highest_mean

SLACK_S = 0.05  # added to each time limit for transmission over sockets
# A request written at most this long before its client read the closing notice does not count as lost: the
# protocol has dispatchers send such a request again.
CLOSE_RACE_S = 0.05
# The memory of a request is counted from this long after it was written, or from the start of its run.
MEMORY_COUNT_DELAY_S = 0.1


@dataclass(frozen=True)
class RuleLimits:
    """The settings of the node that the rules depend on."""

    grace_s: float
    overload_factor: float
    overload_window_s: float
    cores: int
    memory_kb: float
    run_factor: float
    lateness_s: float = 0.0  # largest error of the recorded times


@dataclass(frozen=True)
class Pause:
    """A period in which the node's process was suspended; it does not count towards time limits."""

    began: float
    ended: float


@dataclass(frozen=True)
class ProcessLifetime:
    """The lifetime of one process of a node. Times are on the monotonic clock."""

    began: float
    notice_at: float | None  # the first drain notice
    kill_at: float | None  # the kill, or the earliest time at which it was possible
    ended_at: float
    killed_without_notice: bool  # if true, its open requests do not count as lost
    pauses: tuple[Pause, ...] = ()


def find_breaches(
    limits: RuleLimits,
    lifetimes: Sequence[ProcessLifetime],
    records: Sequence[ClientRpcRecord],
    runs: Sequence[RunTiming],
    sockets: Mapping[int, Sequence[AcceptedSocket]] | None = None,
) -> list[str]:
    """Return a line for each breach by one node; `sockets` holds the traces of its accepted connections."""
    found = []
    found += _lost_or_late_answers(limits, lifetimes, records, sockets or {})
    found += _repeated_effects(lifetimes, records, runs)
    found += _wrong_answers(records, runs)
    found += _runs_after_grace_period(limits, lifetimes, records, runs)
    found += _overload(limits, lifetimes, records, runs)
    return found


def _lifetime_at(lifetimes: Sequence[ProcessLifetime], at: float) -> ProcessLifetime | None:
    return next((lifetime for lifetime in reversed(lifetimes) if lifetime.began <= at), None)


def _paused_s(lifetime: ProcessLifetime, since: float, until: float) -> float:
    return sum(max(0.0, min(until, pause.ended) - max(since, pause.began)) for pause in lifetime.pauses)


def _lost_or_late_answers(
    limits: RuleLimits,
    lifetimes: Sequence[ProcessLifetime],
    records: Iterable[ClientRpcRecord],
    sockets: Mapping[int, Sequence[AcceptedSocket]],
) -> list[str]:
    found = []
    for record in records:
        lifetime = _lifetime_at(lifetimes, record.written_at)
        if lifetime is None or (lifetime.kill_at is not None and record.written_at >= lifetime.kill_at):
            continue
        connection = record.connection
        closing_at = connection.closing_at
        close_race = closing_at is not None and record.written_at >= closing_at - CLOSE_RACE_S
        description = f"{record.name} ({record.method.kind}) written at {record.written_at:.3f}"
        if len(record.answers) > 1:
            found.append(f"duplicate: {description} has {len(record.answers)} answers")
        elif record.answers:
            due = record.written_at + record.method.deadline_s + SLACK_S + limits.lateness_s
            given_at = record.answers[0].given_at
            due += _paused_s(lifetime, record.written_at, given_at)
            if given_at > due and not lifetime.killed_without_notice:
                found.append(f"lost: {description} was answered {given_at - due:.3f} s late")
        elif not (lifetime.killed_without_notice or close_race):
            found.append(f"lost: {description}: {_loss_details(record, lifetime, sockets)}")
    return found


def _loss_details(
    record: ClientRpcRecord, lifetime: ProcessLifetime, sockets: Mapping[int, Sequence[AcceptedSocket]]
) -> str:
    connection = record.connection
    lost = trace_lost_request(record, sockets)
    moments = {
        "opened": connection.opened_at,
        "read": lost.read_at,
        "closed by the node": lost.closed_at,
        "notice of the close read": connection.closing_at,
        f"ended ({connection.end_reason})": connection.ended_at,
        "told": lifetime.notice_at,
        "kill": lifetime.kill_at,
        "process ended": lifetime.ended_at,
    }
    known = (f"{name} {at:.3f}" for name, at in moments.items() if at is not None)
    return f"{lost.cause}: " + ", ".join(known)


def _repeated_effects(
    lifetimes: Sequence[ProcessLifetime], records: Iterable[ClientRpcRecord], runs: Sequence[RunTiming]
) -> list[str]:
    """Find non-idempotent requests that took effect twice in a key window and in one process lifetime."""
    found = []
    by_name = {record.name: record for record in records}
    ran_by_effect: dict[tuple, list[ClientRpcRecord]] = defaultdict(list)
    for run in runs:
        record = by_name.get(run.handle)
        if record and record.method.kind != "read_like":
            lifetime = _lifetime_at(lifetimes, record.written_at)
            ran_by_effect[id(lifetime), record.method.name, record.key or record.name].append(record)
    for (_, method, key), ran in ran_by_effect.items():
        first = min(record.written_at for record in ran)
        repeated = [each for each in ran if each.written_at <= first + ran[0].method.window_s]
        if len(repeated) > 1:
            found.append(f"duplicate: {method} {key} took effect {len(repeated)} times")
    return found


def _wrong_answers(records: Sequence[ClientRpcRecord], runs: Sequence[RunTiming]) -> list[str]:
    """Find rejected requests that ran, and runs and results that do not match their request."""
    found = []
    started = {run.handle for run in runs}
    by_name = {record.name: record for record in records}
    for run in runs:
        record = by_name.get(run.handle)  # None if the request was not written completely
        if record and (run.method, run.body) != (record.method.name, record.body):
            found.append(f"changed: {run.handle} ran as {run.method} {run.body!r}")
    for record in records:
        for answer in record.answers:
            if answer.outcome is ClientOutcome.REJECTED and record.name in started:
                found.append(f"duplicate: {record.name} was rejected and ran")
            if answer.outcome is ClientOutcome.EXCEPTION:
                found.append(f"refused: {record.name} is valid but got the exception {answer.body!r}")
            if answer.outcome is ClientOutcome.OK and not answer.body.startswith(record.body.upper()):
                found.append(f"changed: {record.name} got the wrong result {answer.body!r}")
    return found


def _runs_after_grace_period(
    limits: RuleLimits,
    lifetimes: Sequence[ProcessLifetime],
    records: Iterable[ClientRpcRecord],
    runs: Iterable[RunTiming],
) -> list[str]:
    began = {run.handle: run.began for run in runs}
    found = []
    for record in records:
        lifetime = _lifetime_at(lifetimes, record.written_at)
        if lifetime is None or lifetime.notice_at is None or record.name not in began:
            continue
        sent_at = record.written_at  # taken after the last byte was written, so not too early
        if (
            sent_at > lifetime.notice_at + limits.grace_s + SLACK_S
            and began[record.name] > lifetime.notice_at
        ):
            found.append(
                f"drain: {record.name}, sent {sent_at - lifetime.notice_at:.3f} s after the drain notice, ran"
            )
    return found


def _overload(
    limits: RuleLimits,
    lifetimes: Sequence[ProcessLifetime],
    records: Sequence[ClientRpcRecord],
    runs: Sequence[RunTiming],
) -> list[str]:
    found = []
    on_cores = highest_mean(
        _load_samples(span for run in runs for span in run.spans_on_cores()), limits.overload_window_s
    )
    if on_cores > limits.overload_factor * limits.cores:
        found.append(
            f"fall-over: {on_cores:.1f} runs on {limits.cores} cores, factor {limits.overload_factor}"
        )
    pauses = [pause for lifetime in lifetimes for pause in lifetime.pauses]
    peak_kb = highest_memory(limits, records, runs, pauses)
    if peak_kb > limits.memory_kb:
        found.append(f"fall-over: requests took {peak_kb:.0f} KB, limit {limits.memory_kb:.0f}")
    return found


def _load_samples(spans: Iterable[tuple[float, float | None]]) -> list[LoadSample]:
    changes = []
    for began, ended in spans:
        changes.append((began, 1))
        if ended is not None:
            changes.append((ended, -1))
    samples = [LoadSample(0.0, 0)]
    count = 0
    for at, change in sorted(changes):
        count += change
        samples.append(LoadSample(at, count))
    return samples


def highest_memory(
    limits: RuleLimits,
    records: Iterable[ClientRpcRecord],
    runs: Sequence[RunTiming],
    pauses: Sequence[Pause] = (),
) -> float:
    """Return the peak memory of all requests together, in kilobytes.

    A request written to a suspended process counts from the end of the pause, since the process reads nothing
    before.
    """
    by_name = {record.name: record for record in records}
    began = {run.handle: run.began for run in runs}
    changes = []
    for record in by_name.values():
        written_at = record.written_at
        for pause in pauses:
            if pause.began <= written_at + MEMORY_COUNT_DELAY_S and written_at <= pause.ended:
                written_at = pause.ended
        counted_from = min(
            written_at + MEMORY_COUNT_DELAY_S + limits.lateness_s, began.get(record.name, float("inf"))
        )
        ended = record.answers[0].given_at if record.answers else record.connection.ended_at
        if ended is not None and ended > counted_from:
            changes += [(counted_from, record.memory_kb), (ended, -record.memory_kb)]
    for run in runs:
        record = by_name.get(run.handle)
        if record and run.ended is not None:
            extra = record.memory_kb * (limits.run_factor - 1)
            changes += [(run.began, extra), (run.ended, -extra)]
    peak = used = 0.0
    for _, change in sorted(changes):
        used += change
        peak = max(peak, used)
    return peak
