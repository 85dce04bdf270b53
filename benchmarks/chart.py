"""A chart of the benchmark's rows: CPU an RPC and latency against the rate, a line for each text.

    .venv/bin/python -m benchmarks.chart docs/results/rpc.json docs/results/rpc.svg

Owns the picture only; the figures are benchmarks/rpc.py's.
"""

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

PANELS = {"cpu_ms": "CPU, ms an RPC", "median_ms": "median, ms", "p99_ms": "99th percentile, ms"}


def draw_panel(panel: pyplot.Axes, rows: list[dict], column: str, label: str) -> None:
    """Draw one column against the rate, a line for each text."""
    for text in dict.fromkeys(row["text"] for row in rows):
        mine = [row for row in rows if row["text"] == text]
        rates = [row["rate"] for row in mine]
        panel.plot(rates, [row[column] for row in mine], marker="o", label=text)
    panel.set(xlabel="RPCs a second asked for", ylabel=label, ylim=(0, None))
    panel.grid(alpha=0.3)


def main() -> None:
    """Draw the rows of the first file into the second."""
    source, target = sys.argv[1:]
    rows = json.loads(Path(source).read_text())
    figure, axes = pyplot.subplots(1, len(PANELS), figsize=(12, 3.6), constrained_layout=True)
    for panel, (column, label) in zip(axes, PANELS.items(), strict=True):
        draw_panel(panel, rows, column, label)
    axes[0].legend()
    figure.savefig(target, metadata={"Date": None})


if __name__ == "__main__":
    main()
