"""Callers of a complete site whose backend servers do every odd thing."""

from __future__ import annotations

import asyncio

import pytest

from tests.node.odd_site import OddSite

REQUESTS = 300


class TestSiteWithOddServers:
    # Guards against: an odd answer that retries, hedges, resumed streams or kept connections turn
    # into an answer of another request.
    @pytest.mark.parametrize("seed", [1])
    def test_passes_on_own_answers_only(self, tmp_path, seed):
        odd = OddSite(folder=tmp_path, seed=seed)
        asyncio.run(asyncio.wait_for(odd.play(REQUESTS), 60))
        assert odd.judgement.wrong == []
        assert odd.judgement.counts["own"] > 0.6 * REQUESTS


__all__: list[str] = []
