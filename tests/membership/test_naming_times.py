"""When versions were named: processes that start later must not take an old one for new."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.control.version_ages import UP_TO_DATE_MS, VersionAges
from leadhollow.decide.version_policy import SEND_MARGIN_S, VersionPolicy
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.settings.node import Bounds
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named import NamedVersion, weights_key
from leadhollow.wire.generated.ttypes import VersionAge

VERSION_MS = 8_000


class Clock:
    """A steady clock that tests move."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


def name(catalog: Catalog, number: int) -> None:
    version = NamedVersion(model="m", number=number, named=True)
    item = CatalogItem(key=weights_key("m", number), revision=number, value=version)
    catalog.apply([item], revision=number)


class TestNamingTimes:
    def test_the_longest_age_counts(self):
        clock = Clock()
        times = NamingTimes(clock=clock)
        times.record("m", 2)
        for age_ms in (3_000, 5_000, 1_000):
            times.merge([VersionAge("m", 2, age_ms)])
        assert times.named_s("m", 2) == clock.now_s - 5.0

    def test_ages_that_travel_do_not_change_what_is_known(self):
        clock = Clock()
        here, there = NamingTimes(clock=clock), NamingTimes(clock=clock)
        here.record("m", 2)
        clock.now_s += 2.0
        there.merge(here.ages())
        told = there.changes
        for _ in range(5):
            clock.now_s += 1.0
            there.merge(here.ages())
            here.merge(there.ages())
        assert there.changes == told
        assert there.named_s("m", 2) == pytest.approx(1_000.0, abs=0.01)

    def test_old_versions_are_forgotten(self):
        times = NamingTimes(clock=Clock())
        for number in (1, 2, 3):
            times.record("m", number)
        times.forget("m", 2)
        assert [age.version for age in times.ages()] == [2, 3]


class TestVersionPolicy:
    def policy(self, clock: Clock, times: NamingTimes) -> VersionPolicy:
        self.catalog = Catalog()
        return VersionPolicy(
            catalog=self.catalog, times=times, bounds=Bounds(version_ms=VERSION_MS), clock=clock
        )

    def test_an_entry_that_starts_late_has_no_more_time_than_the_others(self):
        clock = Clock()
        times = NamingTimes(clock=clock)
        policy = self.policy(clock, times)
        times.merge([VersionAge("m", 2, 5_000)])
        name(self.catalog, 2)
        assert policy.oldest_allowed("m") == 0
        clock.now_s += VERSION_MS / 1000 - 5.0 - SEND_MARGIN_S + 0.01
        assert policy.oldest_allowed("m") == 2
        assert policy.begin_by_s("m", 1) < 1_000.0 + 3.0


class FakeConfirmation:
    """Says how long ago a majority confirmed us."""

    def __init__(self, age_ms: int) -> None:
        self._age_ms = age_ms

    def age_ms(self) -> int:
        return self._age_ms


class TestVersionAges:
    @pytest.mark.parametrize("age_ms", [-1, UP_TO_DATE_MS, 60_000])
    def test_a_replica_that_is_not_up_to_date_takes_nothing_for_news(self, age_ms):
        async def work() -> None:
            catalog = Catalog()
            ages = VersionAges(catalog=catalog, confirmation=FakeConfirmation(age_ms))
            name(catalog, 2)
            assert ages.times.ages() == []

        asyncio.run(work())

    def test_one_that_is_notes_the_naming_and_forgets_old_ones(self):
        async def work() -> None:
            catalog = Catalog()
            ages = VersionAges(catalog=catalog, confirmation=FakeConfirmation(100))
            for number in range(1, 8):
                name(catalog, number)
            assert [age.version for age in ages.times.ages()] == [5, 6, 7]

        asyncio.run(work())
