"""Tests of the checks in tools/: what each check reports and what it accepts."""

import pytest

from tools import import_circles, links, type_checks, unfinished

PROJECT = """
[tool.ruff.lint]
select = ["F", "D100"]
[tool.ruff.lint.per-file-ignores]
"tests/**" = ["D"]
# begin: modules that are not finished
{entries}# end: modules that are not finished
"""


@pytest.fixture
def tree(tmp_path):
    """Return a source tree in which only `bad.py` violates rules; tests are exempt from D100."""
    (tmp_path / "bad.py").write_text("import os\n")
    (tmp_path / "good.py").write_text('"""Good."""\n')
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_good.py").write_text("x = 1\n")
    return tmp_path


def violated_in(tree, entries):
    text = PROJECT.format(entries=entries)
    (tree / "pyproject.toml").write_text(text)
    return unfinished.violated_rules(tree, text), unfinished.listed_rules(text)


@pytest.mark.parametrize("entries", ["", '"bad.py" = ["D100", "F401"]\n', '"good.py" = ["D100"]\n'])
def test_violated_rules_do_not_depend_on_the_list(tree, entries):
    violated, _ = violated_in(tree, entries)
    assert violated == {"bad.py": {"D100", "F401"}}
    assert unfinished.format_entries(violated) == '"bad.py" = ["D100", "F401"]\n'


@pytest.mark.parametrize(
    ("entries", "stale"),
    [
        ('"bad.py" = ["D100", "F401"]\n', []),
        ('"bad.py" = ["D100", "F401", "F811"]\n', ["bad.py: F811"]),
        (
            '"bad.py" = ["D100"]\n"good.py" = ["D100"]\n"gone.py" = ["F401"]\n',
            ["gone.py: F401", "good.py: D100"],
        ),
    ],
)
def test_a_listed_rule_that_is_not_violated_is_stale(tree, entries, stale):
    violated, listed = violated_in(tree, entries)
    lines = unfinished.stale_entries(listed, violated)
    assert len(lines) == len(stale)
    for line, start in zip(lines, stale, strict=True):
        assert line.startswith(f"pyproject.toml: {start} is listed")


def test_the_list_requires_both_markers():
    with pytest.raises(ValueError, match="begin: modules"):
        unfinished.split_at_markers('"a.py" = []\n# end: modules that are not finished\n')


def test_broken_links_are_reported(tmp_path):
    (tmp_path / "other.md").write_text("# One heading, `two`\n```\n# no heading\n```\n")
    page = tmp_path / "page.md"
    page.write_text(
        "[a](other.md) [b](other.md#one-heading-two) [c](https://nowhere.example/x) [d](#here)\n# Here\n"
        "[e](gone.md) [f](other.md#no-heading)\n```\n[g](gone.md)\n```\n"
    )
    assert list(links.broken_links(tmp_path, page)) == [
        "page.md: gone.md: no such file",
        "page.md: other.md#no-heading: no such heading",
    ]


MODULES = {
    "__init__": '"""The program."""\n',
    "a/__init__": "",
    "a/one": "from finchcart.a.two import name\n",
    "a/two": "def later():\n    from finchcart.b import three\n",
    "b/__init__": "",
    "b/three": "import finchcart.c\n",
    "c": "",
}


def cycles_in_tree(tmp_path, **extra_modules):
    """Return the report on a source tree without import cycles, after adding `extra_modules`."""
    for name, text in {**MODULES, **extra_modules}.items():
        path = tmp_path / "finchcart" / f"{name}.py"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return import_circles.cycle_report(tmp_path)


def test_a_tree_without_cycles_passes(tmp_path):
    assert cycles_in_tree(tmp_path) == []


@pytest.mark.parametrize(
    "import_back",
    [
        "from finchcart.a import one\n",
        "def later():\n    import finchcart.a.one\n",
        "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from finchcart.a.one import name\n",
    ],
)
def test_a_cycle_is_reported_wherever_the_import_is_written(tmp_path, import_back):
    assert cycles_in_tree(tmp_path, **{"b/three": import_back}) == [
        "modules: finchcart.a.one <-> finchcart.a.two <-> finchcart.b.three",
        "packages: finchcart.a <-> finchcart.b",
    ]


def test_a_package_cycle_is_reported_without_a_module_cycle(tmp_path):
    assert cycles_in_tree(tmp_path, **{"a/four": "", "c": "import finchcart.a.four\n"}) == [
        "packages: finchcart.a <-> finchcart.b <-> finchcart.c"
    ]


TYPED_PROJECT = """
[tool.mypy]
files = ["bad.py", "good.py"]
[[tool.mypy.overrides]]
ignore_errors = true
module = [
    # begin: modules that do not pass yet
{entries}    # end: modules that do not pass yet
]
"""


@pytest.mark.parametrize(
    ("listed", "line_starts"),
    [
        ([], ["bad.py:1: error: "]),
        (["bad"], []),
        (["bad", "good"], ["pyproject.toml: good is listed and passes mypy"]),
    ],
)
def test_errors_of_unlisted_modules_and_listed_modules_that_pass_are_reported(tmp_path, listed, line_starts):
    (tmp_path / "bad.py").write_text('number: int = "text"\n')
    (tmp_path / "good.py").write_text("number: int = 1\n")
    entries = "".join(f'    "{module}",\n' for module in listed)
    text = TYPED_PROJECT.format(entries=entries)
    errors = type_checks.errors_by_module(tmp_path, text)
    lines = type_checks.violations(type_checks.listed_modules(text), errors)
    assert len(lines) == len(line_starts)
    for line, start in zip(lines, line_starts, strict=True):
        assert line.startswith(start)
    assert type_checks.format_entries(errors) == '    "bad",\n'
