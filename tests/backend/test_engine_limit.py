"""What the gate of an engine lets through beside the engine's limit."""

from __future__ import annotations

import asyncio

from leadhollow.backend.engine_limit import EngineLimit

SLOTS = 16
LIVES = 10
PER_S = 0.5


class TestStart:
    # Guards against: a gate that restarts lets through as many requests as its engine has slots,
    # before the first response has named the engine's limit.
    async def test_does_not_let_more_through_than_the_limit_that_was_in_force(self):
        passed = 0
        for _ in range(LIVES):
            limit = EngineLimit()
            passed += sum(limit.take() for _ in range(SLOTS))
            limit.record_response([str(PER_S)], sent_s=asyncio.get_running_loop().time())
        assert passed <= 1.5 * PER_S * LIVES + 5
