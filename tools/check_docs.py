"""Checks pages against code: numbers, links, commands, changelog fragments, forbidden words."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

from leadhollow.cli.application import build_application
from leadhollow.cli.status_commands import errors_page

ROOT = Path(__file__).parent.parent
COMMAND = re.compile(
    r"`leadhollow ((?:table|model|bench|state|experiment|quarantine|domain) [a-z-]+|[a-z-]+)"
)
LINK = re.compile(r"\[[^\]]*\]\(([^)#]+)(?:#[^)]*)?\)")
FRAGMENT = re.compile(r"[a-z0-9-]+\.(feature|bugfix|doc|misc)\.md")
MACHINE_PATH = re.compile(r"(?<![\w.])/(?:work|tmp|root|home|opt)/")
PAGES = (
    "README.md",
    "CONTRIBUTING.md",
    "docs/ARCHITECTURE.md",
    "docs/CALLERS.md",
    "docs/CAPACITY.md",
    "docs/ERRORS.md",
    "docs/GLOSSARY.md",
    "docs/HOUSE-STYLE.md",
    "docs/OPERATORS.md",
)


def pages() -> list[Path]:
    """List all pages."""
    return [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md"))]


def problems() -> Iterator[str]:
    """Find everything that is wrong."""
    for name in PAGES:
        if not (ROOT / name).is_file():
            yield f"{name} is missing"
    if (ROOT / "docs" / "ERRORS.md").read_text() != errors_page():
        yield "docs/ERRORS.md differs from the code: run leadhollow errors --markdown"
    known = {command.name for command in build_application().all().values() if command.name}
    for page in pages():
        text = page.read_text()
        shown = page.relative_to(ROOT)
        for target in LINK.findall(text):
            if "://" not in target and not (page.parent / target).exists():
                yield f"{shown}: no such page: {target}"
        for name in COMMAND.findall(text):
            if name not in known:
                yield f"{shown}: no such command: {name}"
        if MACHINE_PATH.search(text):
            yield f"{shown}: holds a path of one machine"
    yield from readme_problems()
    for fragment in (ROOT / "docs" / "changelog").iterdir():
        if fragment.name != "README.md" and not FRAGMENT.fullmatch(fragment.name):
            yield f"docs/changelog/{fragment.name}: expected SUBJECT.KIND.md"


def readme_problems() -> Iterator[str]:
    """Check that each command of the README is the only fenced block of its section."""
    sections = re.split(r"^## ", (ROOT / "README.md").read_text(), flags=re.MULTILINE)
    for heading in ("Run it", "Test it"):
        found = [section for section in sections if section.startswith(heading)]
        if len(found) != 1 or found[0].count("```") != 2:
            yield f"README.md: expected one fenced block under ## {heading}"


def main() -> None:
    """Print all problems; exit 1 where there is any."""
    found = list(problems())
    for problem in found:
        print(problem)
    raise SystemExit(1 if found else 0)


main()
