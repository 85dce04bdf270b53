"""Check that the list of known linter violations in pyproject.toml has no stale entries.

The list is between two marker lines in `[tool.ruff.lint.per-file-ignores]` and names each module that
violates rules, with exactly these rules. Ruff itself reports a violated rule that is not listed. This script
reports a listed rule that is no longer violated, so that the list only shrinks.

    python tools/unfinished.py              # prints stale entries; exits with status 1 if there are any
    python tools/unfinished.py --write      # regenerates the list (`make unfinished`)
    python tools/unfinished.py --summary    # prints how many modules violate each rule
"""

import argparse
import json
import subprocess
import sys
import tomllib
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BEGIN = "# begin: modules that are not finished"
END = "# end: modules that are not finished"

RulesByFile = dict[str, set[str]]


def split_at_markers(text: str) -> tuple[str, str, str]:
    """Split pyproject.toml into the text up to the list, the list, and the text from its end marker on."""
    lines = text.splitlines(keepends=True)
    starts = [number for number, line in enumerate(lines) if line.startswith(BEGIN)]
    ends = [number for number, line in enumerate(lines) if line.startswith(END)]
    if len(starts) != 1 or len(ends) != 1 or starts > ends:
        raise ValueError(f"pyproject.toml: expected one line {BEGIN!r} and after it one line {END!r}")
    start, end = starts[0] + 1, ends[0]
    return "".join(lines[:start]), "".join(lines[start:end]), "".join(lines[end:])


def listed_rules(text: str) -> RulesByFile:
    """Return the entries of the list, by file."""
    _, entries, _ = split_at_markers(text)
    return {path: set(rules) for path, rules in tomllib.loads(entries).items()}


def permanent_ignores(text: str) -> dict[str, list[str]]:
    """Return the per-file ignores outside the list."""
    ignores = tomllib.loads(text)["tool"]["ruff"]["lint"]["per-file-ignores"]
    listed = listed_rules(text)
    return {pattern: rules for pattern, rules in ignores.items() if pattern not in listed}


def violated_rules(root: Path, text: str) -> RulesByFile:
    """Return the rules that each file violates, including the listed ones."""
    ignores = json.dumps(permanent_ignores(text)).replace('":', '" =')
    command = [sys.executable, "-m", "ruff", "check", "--no-cache", "--exit-zero", "--output-format", "json"]
    command += ["--config", f"lint.per-file-ignores = {ignores}", "."]
    run = subprocess.run(command, cwd=root, check=True, stdout=subprocess.PIPE, text=True)
    violated: RulesByFile = {}
    for violation in json.loads(run.stdout):
        path = Path(violation["filename"]).relative_to(root.resolve()).as_posix()
        violated.setdefault(path, set()).add(violation["code"])
    return violated


def stale_entries(listed: RulesByFile, violated: RulesByFile) -> list[str]:
    """Return one line for each listed rule that its file does not violate."""
    return [
        f"pyproject.toml: {path}: {rule} is listed but no longer violated: run `make unfinished`"
        for path, rules in sorted(listed.items())
        for rule in sorted(rules - violated.get(path, set()))
    ]


def format_entries(violated: RulesByFile) -> str:
    """Return the entries of the list for pyproject.toml, one file per line."""
    return "".join(f'"{path}" = {json.dumps(sorted(rules))}\n' for path, rules in sorted(violated.items()))


def summary(violated: RulesByFile) -> Iterable[str]:
    """Yield the totals, and the number of files that violate each rule in descending order."""
    files_by_rule = Counter(rule for rules in violated.values() for rule in rules)
    yield f"{len(violated)} modules, {files_by_rule.total()} rules"
    for rule, files in files_by_rule.most_common():
        yield f"{files:5} {rule}"


def main() -> int:
    """Run the command line and return the exit status."""
    parser = argparse.ArgumentParser(description="Check the list of known linter violations.")
    action = parser.add_mutually_exclusive_group()
    action.add_argument("--write", action="store_true", help="regenerate the list")
    action.add_argument("--summary", action="store_true", help="print how many modules violate each rule")
    arguments = parser.parse_args()

    project = ROOT / "pyproject.toml"
    text = project.read_text()
    violated = violated_rules(ROOT, text)
    if arguments.write:
        before, _, after = split_at_markers(text)
        project.write_text(before + format_entries(violated) + after)
    if arguments.write or arguments.summary:
        print("\n".join(summary(violated)))
        return 0
    stale = stale_entries(listed_rules(text), violated)
    if stale:
        print("\n".join(stale), file=sys.stderr)
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
