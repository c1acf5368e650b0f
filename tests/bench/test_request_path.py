"""The bench of a request's path gives every figure, and counts no work that did not happen."""

from __future__ import annotations

import asyncio

from leadhollow.bench import request_path


class TestPath:
    def test_is_measured_at_every_size(self, monkeypatch):
        monkeypatch.setattr(request_path, "ROUNDS", 1)
        monkeypatch.setattr(request_path, "REPEATS", 2)
        report = asyncio.run(request_path.run_request_path()).unwrap()
        assert [cost.routes for cost in report.routes] == list(request_path.ROUTES)
        assert [cost.engines for cost in report.choices] == list(request_path.ENGINES)
        for cost in report.choices:
            assert min(cost.decide_us, cost.decide_limited_us, cost.told_us) > 0
        assert (
            min(
                report.fingerprint_us,
                report.parts_us,
                report.head_us,
                report.event_us,
                report.answer_us,
            )
            > 0
        )
        assert report.regions_us > 0
        assert [(cost.entries, cost.limited) for cost in report.shares] == list(
            request_path.LIMITED_FLEETS
        )
        assert min(cost.ask_us for cost in report.shares) > 0
