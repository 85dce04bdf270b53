"""Results of `trial run` side by side: one row a kind of round, one column a way of playing it.

Owns how results.json of several runs are laid beside each other; what a cell says is the caller's.
"""

import json
from collections.abc import Callable, Iterable
from pathlib import Path

Rows = list[dict]
RowsByRound = dict[str, Rows]
Ways = dict[str, RowsByRound]

BAR_HEIGHT = 0.24
BAR_STEP = 0.26


def read_side_by_side(
    folders: Iterable[str], part: str, way_of: Callable[[str], str]
) -> tuple[Ways, list[str]]:
    """Return way -> round -> its rows, and the rounds in order, of the lists `part` in the runs' results.

    `way_of` returns the way of playing by the name of a folder.
    """
    ways: Ways = {}
    rounds: list[str] = []
    for folder in map(Path, folders):
        for row in json.loads((folder / "results.json").read_text())[part]:
            if row["round"] not in rounds:
                rounds.append(row["round"])
            ways.setdefault(way_of(folder.name), {}).setdefault(row["round"], []).append(row)
    return ways, rounds


def total(rows: Rows, column: str) -> float:
    """Return the sum of a column."""
    return sum(row[column] for row in rows)


def side_by_side_table(ways: Ways, rounds: Iterable[str], head: str, cell: Callable[[Rows], str]) -> str:
    """Return a table; `cell(rows)` is the text of one kind of round played in one way."""
    heads = " | ".join(f"{way}: {head}" for way in ways)
    lines = [f"| round | {heads} |", "| --- " * (1 + len(ways)) + "|"]
    for name in rounds:
        cells = [cell(rows[name]) if name in rows else "-" for rows in ways.values()]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def save_bars(
    path: str,
    ways: Ways,
    rounds: list[str],
    value: Callable[[Rows], float],
    label: str,
    line: float | None = None,
) -> None:
    """Draw `value(rows)` by kind of round into a file, a colour each way, and `line` for comparing."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(9, 0.42 * len(rounds) + 1.2))
    for number, (way, rows) in enumerate(ways.items()):
        axes.barh(
            [position + BAR_STEP * (number - 1) for position in range(len(rounds))],
            [value(rows[name]) if name in rows else 0 for name in rounds],
            BAR_HEIGHT,
            label=way,
        )
    if line is not None:
        axes.axvline(line, color="#999999", linewidth=0.8)
    axes.set_yticks(range(len(rounds)), rounds, fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel(label)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
