"""Run the type checker, and keep its list of unfinished modules exact, so that it only shrinks.

The list stands in pyproject.toml, between two marker lines in the override with `ignore_errors`: the modules
in which mypy finds errors. A module that is not listed, a new one above all, has to pass.

    python tools/type_checks.py             # status 1 where an unlisted module fails or a listed one passes
    python tools/type_checks.py --write     # make the list anew (`make unfinished`)
"""

import argparse
import re
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BEGIN = "    # begin: modules that do not pass yet"
END = "    # end: modules that do not pass yet"
ENTRY = re.compile(r'^    "([\w.]+)",$', re.MULTILINE)
ERROR = re.compile(r"^(?P<path>[^:]+\.py):\d+: error: ")


def split_at_markers(text: str) -> tuple[str, str, str]:
    """Return the text of pyproject.toml before the list, the list, and what follows, without the markers."""
    before, begin, rest = text.partition(BEGIN)
    listed, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f"pyproject.toml: expected the line {BEGIN!r} and after it {END!r}")
    first_line, newline, entries = listed.partition("\n")
    return before + begin + first_line + newline, entries, end + after


def listed_modules(text: str) -> set[str]:
    """Return the modules in the list."""
    _, entries, _ = split_at_markers(text)
    return set(ENTRY.findall(entries))


def module_name(path: str) -> str:
    """Return the module of a source file."""
    return path.removesuffix(".py").replace("/", ".").removesuffix(".__init__")


def errors_by_module(root: Path, text: str) -> dict[str, list[str]]:
    """Return the errors of each module when the list is left out of account."""
    before, _, after = split_at_markers(text)
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "pyproject.toml"
        config.write_text(f'{before}    "no_module",\n{after}')
        command = [sys.executable, "-m", "mypy", "--config-file", str(config), "--no-error-summary"]
        run = subprocess.run(command, cwd=root, stdout=subprocess.PIPE, text=True, check=False)
    errors: dict[str, list[str]] = {}
    for line in run.stdout.splitlines():
        found = ERROR.match(line)
        if found:
            errors.setdefault(module_name(found["path"]), []).append(line)
    if run.returncode != 0 and not errors:
        raise RuntimeError(f"mypy failed with status {run.returncode}: {run.stdout[:500]}")
    return errors


def complaints(listed: set[str], errors: dict[str, list[str]]) -> list[str]:
    """Return the errors of modules that are not listed, and a line for each listed module that passes."""
    lines = [line for module, found in sorted(errors.items()) if module not in listed for line in found]
    for module in sorted(listed - set(errors)):
        lines.append(f"pyproject.toml: {module} is listed and passes mypy: run `make unfinished`")
    return lines


def format_entries(errors: dict[str, list[str]]) -> str:
    """Return the list as it stands in pyproject.toml, one module a line."""
    return "".join(f'    "{module}",\n' for module in sorted(errors))


def main() -> int:
    """Run the command line; the result is the exit status."""
    parser = argparse.ArgumentParser(description="Run the type checker and keep its list of modules exact.")
    parser.add_argument("--write", action="store_true", help="make the list anew")
    arguments = parser.parse_args()

    project = ROOT / "pyproject.toml"
    text = project.read_text()
    errors = errors_by_module(ROOT, text)
    if arguments.write:
        before, _, after = split_at_markers(text)
        project.write_text(before + format_entries(errors) + after)
        print(f"{len(errors)} modules do not pass mypy, {sum(map(len, errors.values()))} errors")
        return 0
    lines = complaints(listed_modules(text), errors)
    if lines:
        print("\n".join(lines), file=sys.stderr)
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
