"""Repeats that entries behind gates may send, through restarts."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.decide.retry_budget import RepeatCause
from leadhollow.entry.assembly import make_retry_budget
from leadhollow.kernel import clocks
from leadhollow.settings.deployment import DeploymentPlan, LoopbackAddresses, build_settings
from leadhollow.settings.model import Settings

LIVES = 5


@pytest.fixture
def entries(tmp_path) -> list[Settings]:
    plan = DeploymentPlan(
        name="site",
        entries={"a": 3, "b": 2},
        regions={"a": "r", "b": "r"},
        backends=[],
        wire_token="t",
        operator_token="o",
    )
    return build_settings(
        plan, address_of=LoopbackAddresses(), folder_of=lambda vm: str(tmp_path / vm)
    )


class TestEntriesBehindGates:
    # Guards against: each start of an entry hands out a fixed number of repeats once more.
    async def test_send_no_more_repeats_than_all_may_through_a_series_of_restarts(
        self, entries, monkeypatch
    ):
        now_s = asyncio.get_running_loop().time()
        monkeypatch.setattr(clocks, "elapsed_s", lambda: now_s)
        taken = 0
        for _ in range(LIVES):
            budgets = [make_retry_budget(settings, settings.entry) for settings in entries]
            now_s += entries[0].entry.retry_window_s / LIVES
            for budget in budgets:
                while budget.try_acquire("m", RepeatCause.FAILED):
                    taken += 1
        assert 0 < taken <= entries[0].entry.retry_slack

    async def test_share_what_requests_add_by_their_own_requests(self, entries):
        budget = make_retry_budget(entries[0], entries[0].entry)
        for _ in range(100):
            budget.record_request("m")
        assert 0 < budget.remaining("m") <= 0.2 * 100
        assert budget.remaining("other") < 1
