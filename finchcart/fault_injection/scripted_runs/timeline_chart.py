"""Draw the timeline chart of a run: a row for each member with its state as others see it, and the actions.

The chart only shows what happened; whether an expectation was breached is decided by checker.py.
"""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from finchcart.fault_injection.scripted_runs.checker import Event, EventKind
from finchcart.fault_injection.scripted_runs.plan import Plan, PlannedAction
from finchcart.fault_injection.scripted_runs.script import StepKind

STATE_COLOURS = {
    "alive": "#7fb77e",
    "suspect": "#f2c14e",
    "failed": "#c8553d",
    "leaving": "#8fb8de",
    "left": "#d9d9d9",
}
ENDING_COLOURS = {
    StepKind.KILL: "#000000",
    StepKind.STOP: "#5b3a8c",
    StepKind.TERMINATE: "#4a6fa5",
}
RESTORED_COLOUR = "#2e8b57"  # started, resumed or connected again
RULE_COLOUR = "#999999"
MIN_BAR_S = 0.05
US_PER_S = 1e6


class StateSpan(NamedTuple):
    """A time, in seconds, in which more observers hold a member to be in this state than in any other."""

    since: float
    until: float
    state: str


def state_spans(events: Iterable[Event], start: int, end: float) -> dict[str, list[StateSpan]]:
    """Return the spans of each member's state over time, as most of the members that observe it report it."""
    held: dict[str, dict[str, str]] = {}  # state by member and observer
    spans: dict[str, list[StateSpan]] = {}
    open_spans: dict[str, tuple[float, str]] = {}  # start and state of each member's current span
    for event in events:
        if event.kind == EventKind.STARTED:
            for observers in held.values():
                observers.pop(event.observer, None)
        if event.kind != EventKind.STATE or event.observer == event.subject:
            continue
        observers = held.setdefault(event.subject, {})
        observers[event.observer] = event.value
        state = Counter(observers.values()).most_common(1)[0][0]
        when = (event.when - start) / US_PER_S
        since, before = open_spans.setdefault(event.subject, (when, state))
        if before != state:
            spans.setdefault(event.subject, []).append(StateSpan(since, when, before))
            open_spans[event.subject] = when, state
    for member, (since, state) in open_spans.items():
        spans.setdefault(member, []).append(StateSpan(since, end, state))
    return spans


def draw_states(axes: plt.Axes, names: list[str], spans: dict[str, list[StateSpan]]) -> None:
    """Draw a bar for each state of each member."""
    for row, name in enumerate(names):
        for since, until, state in spans.get(name, ()):
            bar = (since, max(MIN_BAR_S, until - since))
            axes.broken_barh([bar], (row - 0.4, 0.55), facecolors=STATE_COLOURS[state])


def draw_actions(axes: plt.Axes, names: list[str], actions: Iterable[PlannedAction]) -> None:
    """Mark the actions on each member, and the changes of link faults."""
    for action in actions:
        for name in action.names:
            if name not in names:
                continue  # "leader", whose name the plan doesn't have
            at = [action.at], [names.index(name) + 0.3]
            if action.kind in ENDING_COLOURS:
                axes.plot(*at, "v", color=ENDING_COLOURS[action.kind], markersize=4)
            elif action.kind in (StepKind.START, StepKind.RESUME):
                axes.plot(*at, "^", color=RESTORED_COLOUR, markersize=4)
        if action.kind in (StepKind.RULE, StepKind.CLEAR):
            style = "-" if action.kind == StepKind.RULE else ":"
            axes.axvline(action.at, color=RULE_COLOUR, linewidth=0.5, linestyle=style)


def draw_isolation(axes: plt.Axes, names: list[str], events: Iterable[Event], start: int) -> None:
    """Mark when a member found itself isolated, or connected again."""
    for event in events:
        if event.kind == EventKind.ISOLATED and event.observer in names:
            colour = STATE_COLOURS["failed"] if event.value else RESTORED_COLOUR
            at = [(event.when - start) / US_PER_S], [names.index(event.observer) + 0.42]
            axes.plot(*at, "|", markersize=5, color=colour)


def draw_legend(axes: plt.Axes, plan: Plan, names: list[str]) -> None:
    """Label the axes, and add the legend and the title."""
    axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set_xlim(0, plan.seconds)
    axes.set_xlabel("seconds")
    handles = [plt.Rectangle((0, 0), 1, 1, color=colour) for colour in STATE_COLOURS.values()]
    axes.legend(
        handles,
        STATE_COLOURS,
        loc="upper center",
        ncols=5,
        bbox_to_anchor=(0.5, 1.06),
        fontsize=8,
        frameon=False,
    )
    axes.set_title(
        f"{plan.script.about} (seed {plan.seed}); v killed, suspended or told to leave, "
        "^ started or resumed, | found itself isolated or connected",
        fontsize=8,
        loc="left",
        pad=22,
    )


def save_timeline(plan: Plan, events: list[Event], start: int, path: Path) -> None:
    """Draw the timeline of a run and save it to a file."""
    names = [*plan.names, *plan.script.planner_names]
    figure, axes = plt.subplots(figsize=(14, 1.2 + 0.22 * len(names)))
    draw_states(axes, names, state_spans(events, start, plan.seconds))
    draw_actions(axes, names, plan.actions)
    draw_isolation(axes, names, events, start)
    draw_legend(axes, plan, names)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)
