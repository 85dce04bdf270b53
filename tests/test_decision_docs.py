"""What the pages and the package's top say of the decision module is there."""

import re
import tomllib
from pathlib import Path

import pytest

from finchcart import decisions

PACKAGE = Path("finchcart/decisions")
DESIGN = Path("docs/design.md").read_text(encoding="utf-8")
MODULES = sorted(path.name for path in PACKAGE.glob("*.py"))
TABLE_ROW = re.compile(r"`(\w+\.py)`: ((?:`[\w.]+`(?:, )?)+)")


def names_in_design():
    """(module, name) for each function that the design's table gives to a module."""
    for module, names in TABLE_ROW.findall(DESIGN):
        for name in re.findall(r"`([\w.]+)`", names):
            yield module, name.rpartition(".")[2]


@pytest.mark.parametrize("module, name", sorted(set(names_in_design())))
def test_what_the_design_names_is_in_its_module(module, name):
    assert re.search(rf"\b(def|class) {name}\b", (PACKAGE / module).read_text(encoding="utf-8"))


def test_the_design_names_constants_that_are_there():
    table = DESIGN.partition("## Where each part")[2].partition("\n## ")[0]
    source = "\n".join((PACKAGE / name).read_text(encoding="utf-8") for name in MODULES)
    constants = set(re.findall(r"`([A-Z][A-Z_]+)`", table))
    assert len(constants) > 20
    assert [name for name in sorted(constants) if not re.search(rf"^{name} = ", source, re.M)] == []


@pytest.mark.parametrize("name", MODULES)
def test_a_section_that_a_module_names_stands_in_the_design(name):
    docstring = (PACKAGE / name).read_text(encoding="utf-8").split('"""')[1]
    for section in re.findall(r'"([A-Z][^"]+)"', docstring):
        assert f"\n## {' '.join(section.split())}\n" in DESIGN


def test_the_order_for_a_reader_has_every_module():
    order = decisions.__doc__.partition("Reading order:")[2].partition("What an input leads to")[0]
    named = re.findall(r"\w+\.py", order)
    assert sorted(named) == sorted(set(named)), "named twice"
    assert set(MODULES) - set(named) == {"__init__.py", "units.py"}


def test_every_module_is_deployed_as_policy():
    deploy = tomllib.loads(Path("deploy/balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"] == [f"finchcart/decisions/{name}" for name in MODULES]
