"""Draw the rows of the RPC benchmark: CPU per RPC and latency against the rate, one line per commit.

    .venv/bin/python -m benchmarks.chart docs/results/rpc.json docs/results/rpc.svg

benchmarks/rpc.py measures the rows; this module only draws them.
"""

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

PANELS = {"cpu_ms": "CPU, ms an RPC", "median_ms": "median, ms", "p99_ms": "99th percentile, ms"}


def draw_panel(panel: pyplot.Axes, rows: list[dict], column: str, label: str) -> None:
    """Draw one column against the rate, with one line for each measured commit."""
    for commit in dict.fromkeys(row["text"] for row in rows):
        commit_rows = [row for row in rows if row["text"] == commit]
        rates = [row["rate"] for row in commit_rows]
        panel.plot(rates, [row[column] for row in commit_rows], marker="o", label=commit)
    panel.set(xlabel="RPCs a second asked for", ylabel=label, ylim=(0, None))
    panel.grid(alpha=0.3)


def main() -> None:
    """Read rows from the JSON file named first and save their chart to the file named second."""
    source, target = sys.argv[1:]
    rows = json.loads(Path(source).read_text())
    figure, axes = pyplot.subplots(1, len(PANELS), figsize=(12, 3.6), constrained_layout=True)
    for panel, (column, label) in zip(axes, PANELS.items(), strict=True):
        draw_panel(panel, rows, column, label)
    axes[0].legend()
    figure.savefig(target, metadata={"Date": None})


if __name__ == "__main__":
    main()
