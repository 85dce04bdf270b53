"""Check that imports go one way, between modules and between packages.

Reads the source of `finchcart/` without running it. An import counts wherever it stands: at the top of a
module, inside a function or under `TYPE_CHECKING`. A module right below `finchcart/` is a package of its own.
The program's entry, `finchcart/__main__.py`, joins all others and is imported by none.

    python tools/import_circles.py    # status 1, and a line for each circle, if there are any
"""

import ast
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "finchcart"

Graph = dict[str, set[str]]


def module_paths(root: Path) -> dict[str, Path]:
    """Return the source files of the package by the name of their module."""
    paths = {}
    for path in sorted((root / PACKAGE).rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        paths[name] = path
    return paths


def imported_names(tree: ast.Module) -> Iterator[str]:
    """Each name that may be a module and is imported, the longest form first."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
            yield node.module


def module_graph(root: Path) -> Graph:
    """Which modules each module imports."""
    paths = module_paths(root)
    graph: Graph = {}
    for module, path in paths.items():
        names = imported_names(ast.parse(path.read_text(encoding="utf-8")))
        graph[module] = {name for name in names if name in paths and _is_use(module, name)}
    return graph


def _is_use(module: str, name: str) -> bool:
    """Whether the import is more than a package's own module, or the package that a module stands in."""
    return name != module and not module.startswith(f"{name}.")


def package_of(module: str) -> str:
    """Return the part of the program that a module belongs to: the first name below the program's own."""
    return ".".join(module.split(".")[:2])


def package_graph(modules: Graph) -> Graph:
    """Which packages each package imports."""
    graph: Graph = {}
    for module, imports in modules.items():
        package = package_of(module)
        others = {package_of(name) for name in imports}
        graph.setdefault(package, set()).update(others - {package, PACKAGE})
    return graph


def circles(graph: Mapping[str, set[str]]) -> list[list[str]]:
    """Return the groups of nodes that reach each other, each sorted."""
    reached = {node: _reachable(graph, node) for node in graph}
    groups = {frozenset(other for other in reached[node] if node in reached[other]) for node in graph}
    return sorted(sorted(group) for group in groups if group)


def _reachable(graph: Mapping[str, set[str]], start: str) -> set[str]:
    """Return what can be reached from a node in one step or more."""
    reached: set[str] = set()
    waiting = list(graph[start])
    while waiting:
        node = waiting.pop()
        if node not in reached:
            reached.add(node)
            waiting.extend(graph.get(node, ()))
    return reached


def report(root: Path) -> list[str]:
    """One line for each circle."""
    modules = module_graph(root)
    lines = [f"modules: {' <-> '.join(circle)}" for circle in circles(modules)]
    lines += [f"packages: {' <-> '.join(circle)}" for circle in circles(package_graph(modules))]
    return lines


def main() -> int:
    """Run the check; the result is the exit status."""
    lines = report(ROOT)
    if lines:
        print("\n".join(lines), file=sys.stderr)
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
