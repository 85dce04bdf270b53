"""Check that there are no import cycles between modules or between packages.

The check parses the source of `finchcart/` without running it. Every import counts: at the top of a module,
inside a function or under `TYPE_CHECKING`. A module directly in `finchcart/` is treated as a package of its
own. No module imports the entry point, `finchcart/__main__.py`, so its imports cannot form a cycle.

    python tools/import_circles.py    # prints a line for each cycle; exits with status 1 if there are any
"""

import ast
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "finchcart"

Graph = dict[str, set[str]]


def module_paths(root: Path) -> dict[str, Path]:
    """Return the path of each module's source file, by module name."""
    paths = {}
    for path in sorted((root / PACKAGE).rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        paths[name] = path
    return paths


def imported_names(tree: ast.Module) -> Iterator[str]:
    """Yield each imported name that may be a module; for `from a import b`, both `a.b` and `a`."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
            yield node.module


def module_graph(root: Path) -> Graph:
    """Return the modules that each module imports."""
    paths = module_paths(root)
    graph: Graph = {}
    for module, path in paths.items():
        names = imported_names(ast.parse(path.read_text(encoding="utf-8")))
        graph[module] = {name for name in names if name in paths and _is_dependency(module, name)}
    return graph


def _is_dependency(module: str, name: str) -> bool:
    """Return whether the imported name is neither the module itself nor a package that contains it."""
    return name != module and not module.startswith(f"{name}.")


def package_of(module: str) -> str:
    """Return the package of a module: the first two components of its name."""
    return ".".join(module.split(".")[:2])


def package_graph(modules: Graph) -> Graph:
    """Return the packages that each package imports."""
    graph: Graph = {}
    for module, imports in modules.items():
        package = package_of(module)
        imported = {package_of(name) for name in imports}
        graph.setdefault(package, set()).update(imported - {package, PACKAGE})
    return graph


def import_cycles(graph: Mapping[str, set[str]]) -> list[list[str]]:
    """Return the groups of nodes that can all reach each other; each group is sorted."""
    reachable = {node: _reachable(graph, node) for node in graph}
    groups = {frozenset(other for other in reachable[node] if node in reachable[other]) for node in graph}
    return sorted(sorted(group) for group in groups if group)


def _reachable(graph: Mapping[str, set[str]], start: str) -> set[str]:
    """Return the nodes that can be reached from `start` in one or more steps."""
    reachable: set[str] = set()
    pending = list(graph[start])
    while pending:
        node = pending.pop()
        if node not in reachable:
            reachable.add(node)
            pending.extend(graph.get(node, ()))
    return reachable


def cycle_report(root: Path) -> list[str]:
    """Return one line for each cycle."""
    modules = module_graph(root)
    lines = [f"modules: {' <-> '.join(cycle)}" for cycle in import_cycles(modules)]
    lines += [f"packages: {' <-> '.join(cycle)}" for cycle in import_cycles(package_graph(modules))]
    return lines


def main() -> int:
    """Run the check and return the exit status."""
    lines = cycle_report(ROOT)
    if lines:
        print("\n".join(lines), file=sys.stderr)
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
