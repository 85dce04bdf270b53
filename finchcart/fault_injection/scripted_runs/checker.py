"""The checker: what the members reported, held against what was done to them.

Owns the events of a run and the judgement of it. It knows nothing of the program but its log lines, and
must never be told by a member what is true. Times are whole microseconds on the machine's one boot clock,
or the virtual.
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
INITIAL_STATES = {"left", "working", "in"}  # held of a subject that nothing was heard of


class EventKind(StrEnum):
    """What happened."""

    BEGAN = "began"  # the process
    STATE = "state"  # `of` is `value` at `at`
    ISOLATED = "isolated"  # `at` holds itself to be, or not, by `value`
    RESUMED = "woke"


class Event(Struct):
    """One thing that a member reported; `at` is the member."""

    when: int
    at: str
    kind: EventKind
    of: str = ""
    value: str | bool = ""
    line: str = ""


def events_from_logs(
    folder: Path,
    names: Iterable[str],
    began: Mapping[tuple[str, int], int],
    alias: Callable[[str], str] = str,
) -> list[Event]:
    """Return the events of all logs of a run, in order.

    A health verdict is the state of its subject; `began` is when each life of each process began, `alias` the
    name of a source by its address.
    """
    events = [Event(when, name, EventKind.BEGAN) for (name, _), when in began.items()]
    for name in names:
        for path in sorted(folder.glob(f"{name}.*.log")):
            for line in path.read_text(errors="replace").splitlines():
                event = event_from_line(name, line, alias)
                if event is not None:
                    events.append(event)
    events.sort(key=lambda event: event.when)
    return events


def event_from_line(name: str, line: str, alias: Callable[[str], str]) -> Event | None:
    """Return the event of a log line; None where it tells none.

    A line that is not of the program's log tells none: a start that failed is seen by its silence.
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
    """What became of one expectation: seconds until it held, changes after, and the first breach."""

    name: str
    what: str
    times: list[float]  # of each pair or member, from `after`
    changes: int
    breach: str | None


class History:
    """States by (at, of), isolation by member, from events."""

    def __init__(self, events: Iterable[Event]) -> None:
        self.states: dict[tuple[str, str], list[Event]] = defaultdict(list)
        self.isolated: dict[str, list[Event]] = defaultdict(list)
        self.lives: dict[str, list[int]] = defaultdict(list)  # when the member's processes began
        for event in events:
            if event.kind == EventKind.BEGAN:
                self.lives[event.at].append(event.when)
            elif event.kind == EventKind.STATE:
                self.states[event.at, event.of].append(event)
            elif event.kind == EventKind.ISOLATED:
                self.isolated[event.at].append(event)

    def began(self, at: str, when: int) -> int:
        """Return when the process began that ran at that time."""
        return max((life for life in self.lives[at] if life <= when), default=0)

    def last(self, events: list[Event], at: str, when: int) -> Event | None:
        """Return the last of the events at that time, of the process that ran then."""
        count = bisect_right(events, when, key=lambda event: event.when)
        if count and events[count - 1].when >= self.began(at, when):
            return events[count - 1]
        return None

    def state(self, at: str, of: str, when: int) -> Event | None:
        """Return the event by which one member held another to be in a state at that time."""
        return self.last(self.states[at, of], at, when)


def check(history: History, expectation: PlannedExpectation, start: int) -> Result:
    """Check one expectation; `start` is the run's zero on the clock."""
    return ExpectationCheck(history, expectation, start).check()


def check_plan(plan: Plan, events: Iterable[Event], start: int) -> list[Result]:
    """Check all expectations of a plan."""
    history = History(events)
    return [check(history, expectation, start) for expectation in plan.expectations]


class ExpectationCheck:
    """One expectation, held against a history."""

    def __init__(self, history: History, expectation: PlannedExpectation, start: int) -> None:
        self.history = history
        self.expectation = expectation
        self.start = start
        self.after = start + int(expectation.after * US_PER_S)
        self.until = start + int(expectation.until * US_PER_S)
        self.limit = self.after + int(expectation.within * US_PER_S)
        self.result = Result(expectation.name, expectation.what, [], 0, None)

    def check(self) -> Result:
        """Return what became of it."""
        kind = self.expectation.what
        if kind in (ExpectationKind.ISOLATED, ExpectationKind.CONNECTED):
            self._check_isolation(kind == ExpectationKind.ISOLATED)
        else:
            check_pair = self._check_never if kind == ExpectationKind.NEVER else self._check_agreement
            for at in self.expectation.by:
                for of in self.expectation.of:
                    if at != of:
                        check_pair(at, of)
        return self.result

    def _breach(self, text: str, event: Event | None = None) -> None:
        if self.result.breach is None:
            line = f"\n    {event.line}" if event is not None and event.line else ""
            self.result.breach = text + line

    def _seconds_after(self, when: int) -> float:
        return (when - self.after) / US_PER_S

    def _check_never(self, at: str, of: str) -> None:
        before = self.history.state(at, of, self.after)
        events = [before] if before else []
        events += [event for event in self.history.states[at, of] if self.after < event.when <= self.until]
        for event in events:
            if event.value in self.expectation.states:
                self.result.changes += 1
                seconds = (event.when - self.start) / US_PER_S
                self._breach(f"{at} holds {of} to be {event.value} at {seconds:.2f} s", event)

    def _check_isolation(self, expected: bool) -> None:
        for name in self.expectation.of:
            self._check_settled(
                self.history.isolated[name],
                name,
                lambda value: value is expected,
                f"{name} does not hold itself {self.expectation.what}",
                default=not expected,
            )

    def _check_agreement(self, at: str, of: str) -> None:
        states = self.expectation.states
        self._check_settled(
            self.history.states[at, of],
            at,
            lambda value: value in states,
            f"{at} does not hold {of} to be {' or '.join(states)}",
            default=bool(INITIAL_STATES & set(states)),
        )

    def _check_settled(
        self,
        events: list[Event],
        at: str,
        is_expected: Callable[[str | bool], bool],
        text: str,
        default: bool,
    ) -> None:
        """Note when the value became the expected one, and how often it changed after."""
        last = self.history.last(events, at, self.after)
        began = self.history.began(at, self.until)
        holds = is_expected(last.value) if last is not None else default
        since = self.after
        for event in events:
            if not self.after < event.when <= self.until or event.when < began <= self.limit:
                continue  # of an earlier process of that name, too
            held = holds
            holds = is_expected(event.value)
            last = event
            if holds and not held:
                since = event.when
            elif held and not holds and event.when > self.limit:
                self.result.changes += 1
                self._breach(f"{text}: it changed at {self._seconds_after(event.when):.2f} s after", event)
        if not holds:
            self._breach(f"{text}: not {self._seconds_after(self.until):.1f} s after", last)
            return
        self.result.times.append(self._seconds_after(since))
        if since > self.limit:
            allowed = f"{self._seconds_after(self.limit):.2f} allowed"
            self._breach(f"{text} until {self._seconds_after(since):.2f} s after, {allowed}", last)
