"""Keep the linter's list of unfinished modules in pyproject.toml exact, so that it only shrinks.

The list stands between two marker lines in `[tool.ruff.lint.per-file-ignores]`: each module that breaks
rules, with exactly those rules. Ruff itself reports a broken rule that is not listed; this script reports the
opposite, a listed rule that is broken no longer.

    python tools/unfinished.py              # status 1, and a line for each, if entries are stale
    python tools/unfinished.py --write      # make the list anew (`make unfinished`)
    python tools/unfinished.py --summary    # how many modules break each rule
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
    """Return the text of pyproject.toml before the list, the list, and what follows, without the markers."""
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


def broken_rules(root: Path, text: str) -> RulesByFile:
    """Return the rules that each file breaks when the list is left out of account."""
    ignores = json.dumps(permanent_ignores(text)).replace('":', '" =')
    command = [sys.executable, "-m", "ruff", "check", "--no-cache", "--exit-zero", "--output-format", "json"]
    command += ["--config", f"lint.per-file-ignores = {ignores}", "."]
    run = subprocess.run(command, cwd=root, check=True, stdout=subprocess.PIPE, text=True)
    broken: RulesByFile = {}
    for violation in json.loads(run.stdout):
        path = Path(violation["filename"]).relative_to(root.resolve()).as_posix()
        broken.setdefault(path, set()).add(violation["code"])
    return broken


def stale_entries(listed: RulesByFile, broken: RulesByFile) -> list[str]:
    """One line for each listed rule that its file does not break."""
    return [
        f"pyproject.toml: {path}: {rule} is listed and not broken any more: run `make unfinished`"
        for path, rules in sorted(listed.items())
        for rule in sorted(rules - broken.get(path, set()))
    ]


def format_entries(broken: RulesByFile) -> str:
    """Return the list as it stands in pyproject.toml, one file a line."""
    return "".join(f'"{path}" = {json.dumps(sorted(rules))}\n' for path, rules in sorted(broken.items()))


def summary(broken: RulesByFile) -> Iterable[str]:
    """One line for each rule, with the number of files that break it, the most first."""
    files_by_rule = Counter(rule for rules in broken.values() for rule in rules)
    yield f"{len(broken)} modules, {files_by_rule.total()} rules"
    for rule, files in files_by_rule.most_common():
        yield f"{files:5} {rule}"


def main() -> int:
    """Run the command line; the result is the exit status."""
    parser = argparse.ArgumentParser(description="Keep the linter's list of unfinished modules exact.")
    action = parser.add_mutually_exclusive_group()
    action.add_argument("--write", action="store_true", help="make the list anew")
    action.add_argument("--summary", action="store_true", help="tell how many modules break each rule")
    arguments = parser.parse_args()

    project = ROOT / "pyproject.toml"
    text = project.read_text()
    broken = broken_rules(ROOT, text)
    if arguments.write:
        before, _, after = split_at_markers(text)
        project.write_text(before + format_entries(broken) + after)
    if arguments.write or arguments.summary:
        print("\n".join(summary(broken)))
        return 0
    stale = stale_entries(listed_rules(text), broken)
    if stale:
        print("\n".join(stale), file=sys.stderr)
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
