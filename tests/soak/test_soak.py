"""A short soak: real programs, two faults; more seeds are played by hand with ``tests.soak``."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.run import soak

SEEDS = (6, 17)
"""Control replicas killed and wiped; edits in quick succession, an engine and a stager that die."""


class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_holds_every_promise(self, seed, tmp_path):
        verdict = asyncio.run(soak(seed=seed, folder=tmp_path, faults=2))
        assert verdict.violations == []
        assert verdict.served > 0
