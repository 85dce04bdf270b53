"""Consistency of the decision module with its documentation, docstrings and ownership comments."""

import re
import tomllib
from pathlib import Path

import pytest

from finchcart import decisions
from finchcart.decisions.rpc import RpcHandle

PACKAGE = Path("finchcart/decisions")
DESIGN = Path("docs/design.md").read_text(encoding="utf-8")
MODULES = sorted(path.name for path in PACKAGE.glob("*.py"))
TABLE_ROW = re.compile(r"`(\w+\.py)`: ((?:`[\w.]+`(?:, )?)+)")


def names_in_design():
    """Yield (module, name) for each function or class that the design's table assigns to a module."""
    for module, names in TABLE_ROW.findall(DESIGN):
        for name in re.findall(r"`([\w.]+)`", names):
            yield module, name.rpartition(".")[2]


@pytest.mark.parametrize("module, name", sorted(set(names_in_design())))
def test_functions_named_in_the_design_exist_in_their_modules(module, name):
    assert re.search(rf"\b(def|class) {name}\b", (PACKAGE / module).read_text(encoding="utf-8"))


def test_constants_named_in_the_design_exist():
    table = DESIGN.partition("## Where each part")[2].partition("\n## ")[0]
    source = "\n".join((PACKAGE / name).read_text(encoding="utf-8") for name in MODULES)
    constants = set(re.findall(r"`([A-Z][A-Z_]+)`", table))
    assert len(constants) > 20
    assert [name for name in sorted(constants) if not re.search(rf"^{name} = ", source, re.M)] == []


@pytest.mark.parametrize("name", MODULES)
def test_sections_named_in_module_docstrings_exist_in_the_design(name):
    docstring = (PACKAGE / name).read_text(encoding="utf-8").split('"""')[1]
    for section in re.findall(r'"([A-Z][^"]+)"', docstring):
        assert f"\n## {' '.join(section.split())}\n" in DESIGN


def test_the_reading_order_lists_every_module():
    order = decisions.__doc__.partition("Reading order:")[2].partition("What an input leads to")[0]
    named = re.findall(r"\w+\.py", order)
    assert sorted(named) == sorted(set(named)), "a module is listed twice"
    assert set(MODULES) - set(named) == {"__init__.py", "units.py"}


def stated_owners():
    """Map each field of an RPC to the modules that are named in the comment behind the field in rpc.py."""
    lines = (PACKAGE / "rpc.py").read_text(encoding="utf-8").split("\n")
    owners = {}
    for line in lines:
        field = re.match(r"    (?:    self\.)?(\w+)(?:: [^=#]+)?(?: = [^#]+)?  # ", line)
        if field:
            owners[field[1]] = set(re.findall(r"\w+\.py", line.partition("#")[2]))
    return owners


def writing_modules(field):
    """Return the modules that assign this field of an RPC, except rpc.py."""
    assignment = re.compile(rf"\brpc\.{field} (?:\+|-)?= ")
    sources = {name: (PACKAGE / name).read_text(encoding="utf-8") for name in MODULES if name != "rpc.py"}
    return {name for name, source in sources.items() if assignment.search(source)}


@pytest.mark.parametrize("field", sorted(set(RpcHandle.__slots__) - {"_events"}))
def test_the_comment_of_each_rpc_field_names_the_modules_that_write_it(field):
    assert writing_modules(field) == stated_owners().get(field, set())


def test_every_module_is_deployed_as_policy():
    deploy = tomllib.loads(Path("deploy/balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"] == [f"finchcart/decisions/{name}" for name in MODULES]


@pytest.mark.parametrize("name", MODULES)
def test_no_module_assigns_fields_of_other_components(name):
    source = (PACKAGE / name).read_text(encoding="utf-8")
    assert re.findall(r"\b(?:self\._?|state\.)\w+\.\w+ (?:[-+*]|)= ", source) == []
    of_methods = set(re.findall(r"\bmethod\.(\w+) (?:[-+*]|)= ", source))
    owned = {"admission_control.py": {"relative_latency", "admission_probability"}}
    owned["method.py"] = {"criticality_rank", "more_critical", "less_critical"}
    assert of_methods == owned.get(name, set())
