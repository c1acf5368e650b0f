"""Tests that the decide package needs no network, clock or event loop."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import leadhollow.decide

FORBIDDEN = ("asyncio", "socket", "aiohttp", "uvloop", "time", "leadhollow.platform")
MODULES = sorted(Path(leadhollow.decide.__file__).parent.glob("*.py"))


def imported(source: str) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
    return found


class TestImports:
    @pytest.mark.parametrize("module", MODULES, ids=lambda path: path.stem)
    def test_modules_import_no_loop_network_clock_or_platform_adapter(self, module):
        found = imported(module.read_text())
        assert not [
            name for name in found for bad in FORBIDDEN if name == bad or name.startswith(f"{bad}.")
        ]

    def test_imported_finds_both_forms_of_import(self):
        assert "asyncio" in imported("import asyncio")
        assert "leadhollow.platform.callers" in imported(
            "from leadhollow.platform.callers import X"
        )
