"""Check that the targets of relative links in the project's Markdown files exist.

The check reads the Markdown files in the root, `docs/`, `example/` and `benchmarks/`. The target of a link
has to be an existing file or folder and, after `#`, a heading of that file. Links with a scheme (`https:`)
are not checked.

    python tools/links.py    # prints a line for each broken link; exits with status 1 if there are any
"""

import re
import sys
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGES = ("*.md", "docs/**/*.md", "example/*.md", "benchmarks/*.md")

_FENCED_BLOCK = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
_LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
_HEADING = re.compile(r"^#+ +(.+?) *$", re.MULTILINE)
_SCHEME = re.compile(r"[a-z][a-z0-9+.-]*:")


def anchors(page: str) -> set[str]:
    """Return the anchors of a page's headings: lower case, words joined by hyphens, no punctuation."""
    headings = _HEADING.findall(_FENCED_BLOCK.sub("", page))
    return {re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings}


def broken_links(root: Path, page: Path) -> Iterator[str]:
    """Yield one line for each broken link of the page."""
    for target in _LINK.findall(_FENCED_BLOCK.sub("", page.read_text())):
        if _SCHEME.match(target):
            continue
        name, _, anchor = target.partition("#")
        path = page.parent / name if name else page
        if not path.exists():
            yield f"{page.relative_to(root)}: {target}: no such file"
        elif anchor and path.suffix == ".md" and anchor not in anchors(path.read_text()):
            yield f"{page.relative_to(root)}: {target}: no such heading"


def main() -> int:
    """Check all pages and return the exit status."""
    pages = sorted({page for pattern in PAGES for page in ROOT.glob(pattern)})
    broken = [line for page in pages for line in broken_links(ROOT, page)]
    if broken:
        print("\n".join(broken), file=sys.stderr)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
