"""Tests of the age limit of weights when several versions are named within it."""

from __future__ import annotations

import pytest

from leadhollow.decide.version_policy import BEGIN_MARGIN_S, SEND_MARGIN_S, VersionPolicy
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import NameVersion
from leadhollow.state.weights_versions import name_version

MODEL = "m"
BOUND_S = 8.0


class Bounds:
    version_ms = 8_000


class Site:
    """The catalog and the naming times of one process, on a clock of its own."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.catalog = Catalog()
        self.times = NamingTimes(clock=lambda: self.now_s, suspended=lambda: 0.0)
        self.policy = VersionPolicy(
            catalog=self.catalog, times=self.times, bounds=Bounds(), clock=lambda: self.now_s
        )

    def name(self, number: int) -> None:
        command = NameVersion(model=MODEL, number=number)
        revision = self.catalog.revision + 1
        self.times.record(MODEL, number)
        items = name_version(command, self.catalog, revision=revision)
        self.catalog.apply(items, revision=revision)


class TestVersionsInQuickSuccession:
    # Guards against: the age limit moves on when the first of several new versions is evicted.
    @pytest.mark.parametrize("count", [1, 3, 4, 7])
    def test_age_counts_from_the_first_newer_version(self, count):
        site = Site()
        first_s = site.now_s
        for number in range(2, 2 + count):
            site.name(number)
            site.now_s += 1.0
        assert site.policy.begin_by_s(MODEL, 1) == first_s + BOUND_S - BEGIN_MARGIN_S
        site.now_s = first_s + BOUND_S - SEND_MARGIN_S + 0.01
        assert site.policy.oldest_allowed(MODEL) == 2

    # Guards against: a process that starts later knows only the versions that are kept.
    def test_age_is_known_to_a_process_that_starts_later(self):
        site, late = Site(), Site()
        for number in range(2, 8):
            site.name(number)
            site.now_s += 1.0
        late.now_s = 500.0
        for version in (5, 6, 7):
            late.name(version)
        late.times.merge(site.times.ages())
        assert late.policy.begin_by_s(MODEL, 1) == 500.0 - 6.0 + BOUND_S - BEGIN_MARGIN_S
