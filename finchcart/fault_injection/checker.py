"""The checker: what the members said, held against what was done to them.

Owns the events of a run and the verdict on it. It knows nothing of the program but its log lines, and must
never be told by a member what is true. Times are whole microseconds on the machine's one boot clock, or the
virtual.
"""

import json
from collections import defaultdict

from msgspec import Struct


class Event(Struct):
    """`kind`: began (the process), state (`of` is `value` at `at`), isolated (`value`), woke."""

    when: int
    at: str
    kind: str
    of: str = ""
    value: str | bool = ""
    line: str = ""


def from_logs(folder, names, began, alias=str):
    """Events of all logs of a run, in order. A verdict is the state of its subject; `alias`: of a source."""
    events = [Event(when, name, "began") for (name, _), when in began.items()]
    for name in names:
        for path in sorted(folder.glob(f"{name}.*.log")):
            for line in path.read_text(errors="replace").splitlines():
                try:
                    said = json.loads(line)
                    when = said["t_us"]
                except (ValueError, KeyError):
                    continue  # not a line of the program's log: a start that failed is seen by its silence
                if "state" in said and "member" in said:
                    events.append(Event(when, name, "state", said["member"], said["state"], line))
                elif "votes" in said and "kind" in said:
                    of = f"{said['kind']} {alias(said['subject'])}".strip()
                    events.append(Event(when, name, "state", of, said["value"], line))
                elif "isolated" in said:
                    events.append(Event(when, name, "isolated", "", said["isolated"], line))
                elif "gap_ms" in said:
                    events.append(Event(when, name, "woke", "", str(said["gap_ms"]), line))
    events.sort(key=lambda event: event.when)
    return events


class Result(Struct):
    """Of one expectation: seconds until it held, changes after, and the first breach."""

    name: str
    what: str
    times: list[float]  # of each pair or member, from `after`
    changes: int
    breach: str | None


class History:
    """States by (at, of), isolation by member, from events."""

    def __init__(self, events):
        self.states, self.isolated, self.lives = defaultdict(list), defaultdict(list), defaultdict(list)
        for event in events:
            if event.kind == "began":
                self.lives[event.at].append(event.when)
            elif event.kind == "state":
                self.states[event.at, event.of].append(event)
            elif event.kind == "isolated":
                self.isolated[event.at].append(event)

    def began(self, at, when):
        return max((life for life in self.lives[at] if life <= when), default=0)

    def value(self, events, at, when):
        """The last event at that time, of the process that ran then."""
        began, last = self.began(at, when), None
        for event in events:
            if event.when > when:
                break
            if event.when >= began:
                last = event
        return last

    def state(self, at, of, when):
        return self.value(self.states[at, of], at, when)


def check(history, hold, start):
    """One `Held` expectation; `start`: the run's zero on the clock."""
    after, until = start + int(hold.after * 1e6), start + int(hold.until * 1e6)
    limit = after + int(hold.within * 1e6)
    result = Result(hold.name, hold.what, [], 0, None)

    def breach(text, event=None):
        if result.breach is None:
            result.breach = text + (f"\n    {event.line}" if event is not None and event.line else "")

    if hold.what == "never":
        for at in hold.by:
            for of in hold.of:
                if at == of:
                    continue
                first = history.state(at, of, after)
                seen = [event for event in history.states[at, of] if after < event.when <= until]
                for event in ([first] if first else []) + seen:
                    if event.value in hold.states:
                        result.changes += 1
                        breach(
                            f"{at} holds {of} to be {event.value} at {(event.when - start) / 1e6:.2f} s",
                            event,
                        )
        return result
    if hold.what in ("isolated", "connected"):
        want = hold.what == "isolated"
        for of in hold.of:
            settle(
                result,
                breach,
                history.isolated[of],
                of,
                lambda value: value is want,
                history,
                after,
                limit,
                until,
                f"{of} does not hold itself {hold.what}",
                default=not want,
            )
        return result
    for at in hold.by:
        for of in hold.of:
            if at != of:
                settle(
                    result,
                    breach,
                    history.states[at, of],
                    at,
                    lambda value: value in hold.states,
                    history,
                    after,
                    limit,
                    until,
                    f"{at} does not hold {of} to be {' or '.join(hold.states)}",
                    default=bool({"left", "working", "in"} & set(hold.states)),
                )
    return result


def settle(result, breach, events, at, good, history, after, limit, until, text, default):
    """When the value became good for the first time, and how often it changed after."""
    now = history.value(events, at, after)
    began = history.began(at, until)
    value = good(now.value) if now is not None else default
    since, first = after if value else None, after if value else None
    last = now
    for event in events:
        if not after < event.when <= until or event.when < began <= limit:
            continue  # of an earlier process of that name, too
        new = good(event.value)
        if new and not value:
            since = event.when
            first = event.when if first is None else first
        elif value and not new and event.when > limit:
            result.changes += 1
            breach(f"{text}: it changed at {(event.when - after) / 1e6:.2f} s after", event)
        value, last = new, event
    if not value:
        breach(f"{text}: not {(until - after) / 1e6:.1f} s after", last)
        return
    result.times.append((since - after) / 1e6)
    if since > limit:
        breach(f"{text} until {(since - after) / 1e6:.2f} s after, {(limit - after) / 1e6:.2f} allowed", last)
