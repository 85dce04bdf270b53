"""The short form of the RPC benchmark completes against a real node; the test checks no speed."""

import json
import subprocess
import sys


def test_the_short_form_answers_rpcs_and_keeps_its_rows(tmp_path):
    path = tmp_path / "rows.json"
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.rpc", "--short", "--json", str(path)],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr
    (row,) = json.loads(path.read_text())
    assert row["ok"] and not row["unanswered"] and row["cpu_ms"] > 0
