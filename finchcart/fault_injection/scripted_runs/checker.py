"""Check the events that members reported in a scripted run against the expectations of its plan.

The checker takes each event as what one member reported, never as the truth about another member. It knows
nothing of the program but the fields of its log lines. Times are whole microseconds of the boot clock, which
all processes on a machine share, or of the virtual clock.
"""

import json
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from pathlib import Path

from msgspec import Struct

from finchcart.fault_injection.scripted_runs.plan import Plan, PlannedExpectation
from finchcart.fault_injection.scripted_runs.script import ExpectationKind

US_PER_S = 1e6
INITIAL_STATES = {"left", "working", "in"}  # of a subject before the first event about it


class EventKind(StrEnum):
    """The kinds of events."""

    STARTED = "began"  # the observer's process was started
    STATE = "state"  # the observer holds the subject to be in the state `value`
    ISOLATED = "isolated"  # the observer considers itself isolated (`value` is True) or connected (False)
    RESUMED = "woke"  # the observer noticed that it had been suspended, for `value` milliseconds


class Event(Struct):
    """One report of a member, the observer."""

    when: int
    observer: str
    kind: EventKind
    subject: str = ""
    value: str | bool = ""
    line: str = ""  # the log line, shown in the text of a breach


def events_from_logs(
    folder: Path,
    names: Iterable[str],
    process_starts: Mapping[tuple[str, int], int],
    alias: Callable[[str], str] = str,
) -> list[Event]:
    """Return the events of all logs of a run, in order of time.

    A health verdict counts as the state of its subject. `process_starts` maps a name and the number of a
    process of that name to the time of its start. `alias` returns the name of a source by its address.
    """
    events = [Event(when, name, EventKind.STARTED) for (name, _), when in process_starts.items()]
    for name in names:
        for path in sorted(folder.glob(f"{name}.*.log")):
            for line in path.read_text(errors="replace").splitlines():
                event = event_from_line(name, line, alias)
                if event is not None:
                    events.append(event)
    events.sort(key=lambda event: event.when)
    return events


def event_from_line(name: str, line: str, alias: Callable[[str], str]) -> Event | None:
    """Return the event of a log line, or None if the line has no event.

    A line that isn't one of the program's JSON log lines, such as a traceback, has no event: a process that
    failed to start is noticed because it reports nothing.
    """
    try:
        fields = json.loads(line)
        when = fields["t_us"]
    except (ValueError, KeyError):
        return None
    if "state" in fields and "member" in fields:
        return Event(when, name, EventKind.STATE, fields["member"], fields["state"], line)
    if "votes" in fields and "kind" in fields:
        subject = f"{fields['kind']} {alias(fields['subject'])}".strip()
        return Event(when, name, EventKind.STATE, subject, fields["value"], line)
    if "isolated" in fields:
        return Event(when, name, EventKind.ISOLATED, "", fields["isolated"], line)
    if "gap_ms" in fields:
        return Event(when, name, EventKind.RESUMED, "", str(fields["gap_ms"]), line)
    return None


class Result(Struct):
    """The result of checking one expectation."""

    name: str
    what: str  # an `ExpectationKind`, or the check that found a breach
    times: list[float]  # seconds from `after` until the value was as expected, one for each pair or member
    # Number of times that the value ceased to be as expected later than `after` + `within`. For `never`, the
    # number of events with a forbidden state.
    changes: int
    breach: str | None  # the text of the first breach


class History:
    """The events of a run, grouped by observer."""

    def __init__(self, events: Iterable[Event]) -> None:
        self.states: dict[tuple[str, str], list[Event]] = defaultdict(list)  # by (observer, subject)
        self.isolated: dict[str, list[Event]] = defaultdict(list)
        self.process_starts: dict[str, list[int]] = defaultdict(list)
        for event in events:
            if event.kind == EventKind.STARTED:
                self.process_starts[event.observer].append(event.when)
            elif event.kind == EventKind.STATE:
                self.states[event.observer, event.subject].append(event)
            elif event.kind == EventKind.ISOLATED:
                self.isolated[event.observer].append(event)

    def process_start(self, observer: str, when: int) -> int:
        """Return the start of the observer's process that ran at the time `when`."""
        return max((start for start in self.process_starts[observer] if start <= when), default=0)

    def latest(self, events: list[Event], observer: str, when: int) -> Event | None:
        """Return the latest event up to `when`, if it is of the process that ran at that time."""
        count = bisect_right(events, when, key=lambda event: event.when)
        if count and events[count - 1].when >= self.process_start(observer, when):
            return events[count - 1]
        return None

    def state(self, observer: str, subject: str, when: int) -> Event | None:
        """Return the event with the state that the observer held the subject to be in at that time."""
        return self.latest(self.states[observer, subject], observer, when)


def check(history: History, expectation: PlannedExpectation, start: int) -> Result:
    """Check one expectation; `start` is the start of the run on the clock."""
    return ExpectationCheck(history, expectation, start).check()


def check_plan(plan: Plan, events: Iterable[Event], start: int) -> list[Result]:
    """Check all expectations of a plan."""
    history = History(events)
    return [check(history, expectation, start) for expectation in plan.expectations]


class ExpectationCheck:
    """Checks whether the events of a history meet one expectation."""

    def __init__(self, history: History, expectation: PlannedExpectation, start: int) -> None:
        self.history = history
        self.expectation = expectation
        self.start = start
        self.after = start + int(expectation.after * US_PER_S)
        self.until = start + int(expectation.until * US_PER_S)
        self.limit = self.after + int(expectation.within * US_PER_S)
        self.result = Result(expectation.name, expectation.what, [], 0, None)

    def check(self) -> Result:
        """Return the result of the check."""
        kind = self.expectation.what
        if kind in (ExpectationKind.ISOLATED, ExpectationKind.CONNECTED):
            self._check_isolation(kind == ExpectationKind.ISOLATED)
        else:
            check_pair = self._check_never if kind == ExpectationKind.NEVER else self._check_agreement
            for observer in self.expectation.by:
                for subject in self.expectation.of:
                    if observer != subject:
                        check_pair(observer, subject)
        return self.result

    def _record_breach(self, text: str, event: Event | None = None) -> None:
        if self.result.breach is None:
            line = f"\n    {event.line}" if event is not None and event.line else ""
            self.result.breach = text + line

    def _seconds_after(self, when: int) -> float:
        return (when - self.after) / US_PER_S

    def _check_never(self, observer: str, subject: str) -> None:
        before = self.history.state(observer, subject, self.after)
        events = [before] if before else []
        events += [
            event for event in self.history.states[observer, subject] if self.after < event.when <= self.until
        ]
        for event in events:
            if event.value in self.expectation.states:
                self.result.changes += 1
                seconds = (event.when - self.start) / US_PER_S
                self._record_breach(
                    f"{observer} holds {subject} to be {event.value} at {seconds:.2f} s", event
                )

    def _check_isolation(self, expected: bool) -> None:
        for name in self.expectation.of:
            self._check_settled(
                self.history.isolated[name],
                name,
                lambda value: value is expected,
                f"{name} does not consider itself {self.expectation.what}",
                default=not expected,
            )

    def _check_agreement(self, observer: str, subject: str) -> None:
        states = self.expectation.states
        self._check_settled(
            self.history.states[observer, subject],
            observer,
            lambda value: value in states,
            f"{observer} does not hold {subject} to be {' or '.join(states)}",
            default=bool(INITIAL_STATES & set(states)),
        )

    def _check_settled(
        self,
        events: list[Event],
        observer: str,
        is_expected: Callable[[str | bool], bool],
        text: str,
        default: bool,
    ) -> None:
        """Record when the value became the expected one, and how often it changed after the limit."""
        last = self.history.latest(events, observer, self.after)
        process_start = self.history.process_start(observer, self.until)
        holds = is_expected(last.value) if last is not None else default
        since = self.after
        for event in events:
            if not self.after < event.when <= self.until or event.when < process_start <= self.limit:
                continue  # outside the time checked, or from an earlier process of the observer
            held = holds
            holds = is_expected(event.value)
            last = event
            if holds and not held:
                since = event.when
            elif held and not holds and event.when > self.limit:
                self.result.changes += 1
                self._record_breach(
                    f"{text}: it changed again after {self._seconds_after(event.when):.2f} s", event
                )
        if not holds:
            self._record_breach(f"{text}: not reached within {self._seconds_after(self.until):.1f} s", last)
            return
        self.result.times.append(self._seconds_after(since))
        if since > self.limit:
            allowed = f"{self._seconds_after(self.limit):.2f} s are allowed"
            self._record_breach(f"{text} until after {self._seconds_after(since):.2f} s; {allowed}", last)
