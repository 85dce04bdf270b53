"""Run the type checker, and check that the list of modules with known type errors is exact.

The list is in pyproject.toml, between two marker lines in the override with `ignore_errors`, and names the
modules in which mypy finds errors. A module that is not listed, such as a new one, has to pass. A listed
module that passes has to be removed, so that the list only shrinks.

    python tools/type_checks.py             # status 1 if an unlisted module fails or a listed one passes
    python tools/type_checks.py --write     # regenerates the list (`make unfinished`)
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
    """Split pyproject.toml into the text up to the list, the list, and the text from its end marker on."""
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
    """Return the name of the module in a source file."""
    return path.removesuffix(".py").replace("/", ".").removesuffix(".__init__")


def errors_by_module(root: Path, text: str) -> dict[str, list[str]]:
    """Return the errors of each module, including the listed modules."""
    before, _, after = split_at_markers(text)
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "pyproject.toml"
        config.write_text(f'{before}    "no_module",\n{after}')
        command = [sys.executable, "-m", "mypy", "--config-file", str(config), "--no-error-summary"]
        run = subprocess.run(command, cwd=root, stdout=subprocess.PIPE, text=True, check=False)
    errors: dict[str, list[str]] = {}
    for line in run.stdout.splitlines():
        match = ERROR.match(line)
        if match:
            errors.setdefault(module_name(match["path"]), []).append(line)
    if run.returncode != 0 and not errors:
        raise RuntimeError(f"mypy failed with status {run.returncode}: {run.stdout[:500]}")
    return errors


def violations(listed: set[str], errors: dict[str, list[str]]) -> list[str]:
    """Return the errors of modules that are not listed, and a line for each listed module that passes."""
    lines = [line for module, found in sorted(errors.items()) if module not in listed for line in found]
    for module in sorted(listed - set(errors)):
        lines.append(f"pyproject.toml: {module} is listed and passes mypy: run `make unfinished`")
    return lines


def format_entries(errors: dict[str, list[str]]) -> str:
    """Return the entries of the list for pyproject.toml, one module per line."""
    return "".join(f'    "{module}",\n' for module in sorted(errors))


def main() -> int:
    """Run the command line and return the exit status."""
    parser = argparse.ArgumentParser(description="Run the type checker and check its list of modules.")
    parser.add_argument("--write", action="store_true", help="regenerate the list")
    arguments = parser.parse_args()

    project = ROOT / "pyproject.toml"
    text = project.read_text()
    errors = errors_by_module(ROOT, text)
    if arguments.write:
        before, _, after = split_at_markers(text)
        project.write_text(before + format_entries(errors) + after)
        print(f"{len(errors)} modules do not pass mypy, {sum(map(len, errors.values()))} errors")
        return 0
    lines = violations(listed_modules(text), errors)
    if lines:
        print("\n".join(lines), file=sys.stderr)
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
