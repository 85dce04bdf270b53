"""Results of trials side by side: one row a kind of round, one column a way of playing it; table and bars.

Owns how results.json of several runs are laid beside each other; what a cell says is the caller's.
"""

import json
from pathlib import Path


def beside(folders, part, way_of):
    """(way -> round -> its rows, rounds in order) of the lists `part` in the runs' results."""
    ways, names = {}, []
    for folder in map(Path, folders):
        for row in json.loads((folder / "results.json").read_text())[part]:
            if row["round"] not in names:
                names.append(row["round"])
            ways.setdefault(way_of(folder.name), {}).setdefault(row["round"], []).append(row)
    return ways, names


def table(ways, names, head, cell):
    """Lines of a table; `cell(rows)`: of one kind of round played in one way."""
    heads = " | ".join(f"{way}: {head}" for way in ways)
    lines = [f"| round | {heads} |", "| --- " * (1 + len(ways)) + "|"]
    for name in names:
        cells = [cell(rows[name]) if name in rows else "-" for rows in ways.values()]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def bars(path, ways, names, value, label, line=None):
    """A chart: `value(rows)` by kind of round, a colour each way; `line`: drawn there for comparing."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(9, 0.42 * len(names) + 1.2))
    for k, (way, rows) in enumerate(ways.items()):
        axes.barh(
            [n + 0.26 * (k - 1) for n in range(len(names))],
            [value(rows[name]) if name in rows else 0 for name in names],
            0.24,
            label=way,
        )
    if line is not None:
        axes.axvline(line, color="#999999", linewidth=0.8)
    axes.set_yticks(range(len(names)), names, fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel(label)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
