"""Checks that only the adapter knows the platform and that it makes no decisions.

The checks read source code: imports, names of the platform's messages, and loops or waits.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "src" / "leadhollow"
ADAPTER = PACKAGE / "platform"
ENTRY = PACKAGE / "run.py"  # starts the adapter for `leadhollow platform`

WIRE_NAMES = (
    "server-limit",
    "x-attempt-id",
    "x-deadline-ms",
    "x-expect-instance",
    "x-expect-version",
    "x-instance-id",
    "x-length-hint",
    "x-model",
    "x-not-executed",
    "x-prompt-prefix",
    "x-request-priority",
    "x-response-signature",
    "x-tenant",
    "x-token-usage",
    "x-weight-versions",
    "pathprefix",
    "allowedregions",
    "apikeys",
    "timeoutms",
    "targetlatencyms",
    "gaptargetms",
    "maxattempts",
    "heartbeataddress",
    "coldremainingms",
    "startmode",
    "pieceindex",
    "chunkbytes",
    "kvused",
    "/-/",
    "leadhollow_node_file",
)

FORBIDDEN_MODULES = {"asyncio", "random", "time", "threading"}


def modules(folder: Path) -> list[Path]:
    return [path for path in sorted(folder.rglob("*.py")) if "generated" not in path.parts]


def modules_outside() -> list[Path]:
    return [path for path in modules(PACKAGE) if ADAPTER not in path.parents]


def imported_modules(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
    return found


class TestOtherPackages:
    @pytest.mark.parametrize(
        "path", modules_outside(), ids=lambda path: str(path.relative_to(PACKAGE))
    )
    def test_do_not_use_the_adapter_or_its_names(self, path):
        names = {name for name in imported_modules(path) if name.startswith("leadhollow.platform")}
        assert not names or path == ENTRY
        text = path.read_text(encoding="utf-8").lower()
        assert [name for name in WIRE_NAMES if name in text] == []


class TestAdapter:
    @pytest.mark.parametrize("path", modules(ADAPTER), ids=lambda path: path.name)
    def test_has_no_waits_and_no_retries(self, path):
        assert imported_modules(path) & FORBIDDEN_MODULES == set()
        tree = ast.parse(path.read_text(encoding="utf-8"))
        assert not any(
            isinstance(node, ast.While | ast.Await | ast.AsyncFunctionDef)
            for node in ast.walk(tree)
        )

    def test_is_smaller_than_a_twentieth_of_the_other_packages(self):
        adapter_lines = sum(
            len(path.read_text(encoding="utf-8").splitlines()) for path in modules(ADAPTER)
        )
        other_lines = sum(
            len(path.read_text(encoding="utf-8").splitlines()) for path in modules_outside()
        )
        assert adapter_lines < other_lines / 20
