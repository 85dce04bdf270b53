"""The timeline chart: one row a member, its state as the others see it, and what was done to it.

Owns the picture alone; it must never judge.
"""

from collections import Counter

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

COLOURS = {
    "alive": "#7fb77e",
    "suspect": "#f2c14e",
    "failed": "#c8553d",
    "leaving": "#8fb8de",
    "left": "#d9d9d9",
}
TRUTH = {"kill": "#000000", "stop": "#5b3a8c", "term": "#4a6fa5"}


def spans(events, start, end):
    """member -> (from, until, state most others hold it to be), in seconds."""
    held, out, open_at = {}, {}, {}
    for event in events:
        if event.kind == "began":
            for of, seen in held.items():
                seen.pop(event.at, None)
        if event.kind != "state" or event.at == event.of:
            continue
        seen = held.setdefault(event.of, {})
        seen[event.at] = event.value
        state = Counter(seen.values()).most_common(1)[0][0]
        when = (event.when - start) / 1e6
        if event.of not in open_at:
            open_at[event.of] = when, state
        elif open_at[event.of][1] != state:
            since, before = open_at[event.of]
            out.setdefault(event.of, []).append((since, when, before))
            open_at[event.of] = when, state
    for of, (since, state) in open_at.items():
        out.setdefault(of, []).append((since, end, state))
    return out


def timeline(plan, events, start, path):
    seen = spans(events, start, plan.seconds)
    names = [*plan.names, *(f"p{n}" for n in range(plan.script.planners))]
    figure, axes = plt.subplots(figsize=(14, 1.2 + 0.22 * len(names)))
    for n, name in enumerate(names):
        for since, until, state in seen.get(name, ()):
            axes.broken_barh([(since, max(0.05, until - since))], (n - 0.4, 0.55), facecolors=COLOURS[state])
    for act in plan.acts:
        for name in act.who:
            if name not in names:
                continue  # the leader, whoever it was
            if act.what in TRUTH:
                axes.plot([act.at], [names.index(name) + 0.3], "v", color=TRUTH[act.what], markersize=4)
            elif act.what in ("start", "go_on"):
                axes.plot([act.at], [names.index(name) + 0.3], "^", color="#2e8b57", markersize=4)
        if act.what in ("rule", "clear"):
            axes.axvline(act.at, color="#999999", linewidth=0.5, linestyle="-" if act.what == "rule" else ":")
    for n, name in enumerate(names):
        for event in events:
            if event.kind == "isolated" and event.at == name:
                axes.plot(
                    [(event.when - start) / 1e6],
                    [n + 0.42],
                    "|",
                    markersize=5,
                    color="#c8553d" if event.value else "#2e8b57",
                )
    axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set_xlim(0, plan.seconds)
    axes.set_xlabel("seconds")
    handles = [plt.Rectangle((0, 0), 1, 1, color=colour) for colour in COLOURS.values()]
    axes.legend(
        handles, COLOURS, loc="upper center", ncols=5, bbox_to_anchor=(0.5, 1.06), fontsize=8, frameon=False
    )
    axes.set_title(
        f"{plan.script.about} (seed {plan.seed}); v killed, stopped or told to leave, ^ back, "
        "| knows itself isolated or connected",
        fontsize=8,
        loc="left",
        pad=22,
    )
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)
