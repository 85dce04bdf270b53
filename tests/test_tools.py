"""The checks under tools/: what they report, and what they let pass."""

import pytest

from tools import links, unfinished

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
    """A source tree in which one module breaks two rules, and a test none that holds for tests."""
    (tmp_path / "bad.py").write_text("import os\n")
    (tmp_path / "good.py").write_text('"""Good."""\n')
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_good.py").write_text("x = 1\n")
    return tmp_path


def broken_in(tree, entries):
    text = PROJECT.format(entries=entries)
    (tree / "pyproject.toml").write_text(text)
    return unfinished.broken_rules(tree, text), unfinished.listed_rules(text)


@pytest.mark.parametrize("entries", ["", '"bad.py" = ["D100", "F401"]\n', '"good.py" = ["D100"]\n'])
def test_broken_rules_do_not_depend_on_the_list(tree, entries):
    broken, _ = broken_in(tree, entries)
    assert broken == {"bad.py": {"D100", "F401"}}
    assert unfinished.format_entries(broken) == '"bad.py" = ["D100", "F401"]\n'


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
def test_a_listed_rule_that_is_not_broken_is_stale(tree, entries, stale):
    broken, listed = broken_in(tree, entries)
    lines = unfinished.stale_entries(listed, broken)
    assert len(lines) == len(stale)
    for line, start in zip(lines, stale, strict=True):
        assert line.startswith(f"pyproject.toml: {start} is listed")


def test_the_list_needs_both_markers():
    with pytest.raises(ValueError, match="begin: modules"):
        unfinished.split_at_markers('"a.py" = []\n# end: modules that are not finished\n')


def test_links_that_lead_nowhere_are_told(tmp_path):
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
