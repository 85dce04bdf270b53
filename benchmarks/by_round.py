"""Compare the results of several `trial run` folders: one row per kind of round, one column per mode.

A mode is a variant of the fleet that played the rounds, for example with consensus on or off. This module
merges the results.json files and lays out the table and the bar chart; its callers define the text of a cell.
"""

import json
from collections.abc import Callable, Iterable
from pathlib import Path

Rows = list[dict]
RowsByRound = dict[str, Rows]
RowsByMode = dict[str, RowsByRound]

BAR_HEIGHT = 0.24
BAR_STEP = 0.26


def read_side_by_side(
    folders: Iterable[str], key: str, mode_of: Callable[[str], str]
) -> tuple[RowsByMode, list[str]]:
    """Merge the lists of rows under `key` in the results.json of all folders.

    Return mode -> round -> rows, and the names of the rounds in the order of their first occurrence.
    `mode_of` returns the mode for the name of a folder.
    """
    rows_by_mode: RowsByMode = {}
    rounds: list[str] = []
    for folder in map(Path, folders):
        for row in json.loads((folder / "results.json").read_text())[key]:
            if row["round"] not in rounds:
                rounds.append(row["round"])
            rows_by_mode.setdefault(mode_of(folder.name), {}).setdefault(row["round"], []).append(row)
    return rows_by_mode, rounds


def total(rows: Rows, column: str) -> float:
    """Return the sum of a column over all rows."""
    return sum(row[column] for row in rows)


def side_by_side_table(
    rows_by_mode: RowsByMode, rounds: Iterable[str], head: str, cell: Callable[[Rows], str]
) -> str:
    """Return a Markdown table; `cell(rows)` returns the text for the rows of one round and one mode."""
    heads = " | ".join(f"{mode}: {head}" for mode in rows_by_mode)
    lines = [f"| round | {heads} |", "| --- " * (1 + len(rows_by_mode)) + "|"]
    for name in rounds:
        cells = [cell(rows[name]) if name in rows else "-" for rows in rows_by_mode.values()]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def save_bars(
    path: str,
    rows_by_mode: RowsByMode,
    rounds: list[str],
    value: Callable[[Rows], float],
    label: str,
    reference: float | None = None,
) -> None:
    """Save a bar chart of `value(rows)` by kind of round, with one colour per mode.

    `reference` is the value at which a vertical line is drawn for comparison.
    """
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(9, 0.42 * len(rounds) + 1.2))
    for number, (mode, rows) in enumerate(rows_by_mode.items()):
        axes.barh(
            [position + BAR_STEP * (number - 1) for position in range(len(rounds))],
            [value(rows[name]) if name in rows else 0 for name in rounds],
            BAR_HEIGHT,
            label=mode,
        )
    if reference is not None:
        axes.axvline(reference, color="#999999", linewidth=0.8)
    axes.set_yticks(range(len(rounds)), rounds, fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel(label)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
