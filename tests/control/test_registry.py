"""Which reports of engines are news, and how often reports come."""

from __future__ import annotations

import pytest

from leadhollow.control.registry import Load
from leadhollow.membership.reporting import (
    REPORTS_PER_S,
    SHORTEST_INTERVAL_S,
    report_interval_s,
)
from leadhollow.wire.generated.ttypes import LoadRecord, ServedModel


def a_load(previous: Load | None = None, **changes: object) -> Load:
    values: dict[str, object] = {
        "address": "10.0.0.1:80",
        "active": 1,
        "models": [ServedModel("m", 1, 0, 16)],
        "switching": False,
        "staged_version": 0,
        "staged_pieces": 0,
    }
    return Load(record=LoadRecord(**(values | changes)), heard_s=0.0, own=True, previous=previous)


class TestLoad:
    def test_the_first_report_is_news(self):
        assert a_load().news

    @pytest.mark.parametrize("changes", [{"active": 7}, {"queued": 3}, {"pace_permille": 4_000}])
    def test_requests_that_come_and_go_are_none_to_stagers(self, changes):
        assert not a_load(a_load(), **changes).news

    @pytest.mark.parametrize(
        "changes",
        [
            {"switching": True},
            {"staged_version": 2, "staged_pieces": 96},
            {"models": [ServedModel("m", 2, 0, 16)]},
            {"models": []},
        ],
    )
    def test_what_concerns_its_weights_is(self, changes):
        assert a_load(a_load(), **changes).news


class TestReportInterval:
    def test_stays_short_in_a_small_domain(self):
        assert report_interval_s(10) == SHORTEST_INTERVAL_S

    @pytest.mark.parametrize("engines", [20, 53, 93, 650])
    def test_bounds_what_all_engines_say_together(self, engines):
        assert engines / report_interval_s(engines) <= REPORTS_PER_S
