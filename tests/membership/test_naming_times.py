"""Naming times of versions: a process that starts late must not take an old version for new."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.control.version_ages import MAX_CONFIRMATION_AGE_MS, VersionAgeTracker
from leadhollow.decide.version_policy import SEND_MARGIN_S, VersionPolicy
from leadhollow.membership.naming_times import MAX_VERSIONS, NamingTimes
from leadhollow.settings.node import Bounds
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion, weights_key
from leadhollow.wire.generated.ttypes import VersionAge

VERSION_MS = 8_000


class Clock:
    """Clock that tests advance."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


def name_version(catalog: Catalog, number: int) -> None:
    version = NamedVersion(model="m", number=number, named=True)
    item = CatalogItem(key=weights_key("m", number), revision=number, value=version)
    catalog.apply([item], revision=number)


class TestNamingTimes:
    def test_the_longest_reported_age_is_used(self):
        clock = Clock()
        times = NamingTimes(clock=clock)
        times.record("m", 2)
        for age_ms in (3_000, 5_000, 1_000):
            times.merge([VersionAge("m", 2, age_ms)])
        assert times.named_s("m", 2) == clock.now_s - 5.0

    def test_exchanging_ages_repeatedly_does_not_change_them(self):
        clock = Clock()
        local, remote = NamingTimes(clock=clock), NamingTimes(clock=clock)
        local.record("m", 2)
        clock.now_s += 2.0
        remote.merge(local.ages())
        changes = remote.changes
        for _ in range(5):
            clock.now_s += 1.0
            remote.merge(local.ages())
            local.merge(remote.ages())
        assert remote.changes == changes
        assert remote.named_s("m", 2) == pytest.approx(1_000.0, abs=0.01)

    def test_only_the_newest_versions_of_each_model_are_kept(self):
        times = NamingTimes(clock=Clock())
        times.record("other", 1)
        for number in range(1, MAX_VERSIONS + 3):
            times.record("m", number)
        assert times.numbers("m") == list(range(MAX_VERSIONS + 2, 2, -1))
        assert times.numbers("other") == [1]


class TestVersionPolicy:
    def policy(self, clock: Clock, times: NamingTimes) -> VersionPolicy:
        self.catalog = Catalog()
        return VersionPolicy(
            catalog=self.catalog, times=times, bounds=Bounds(version_ms=VERSION_MS), clock=clock
        )

    def test_a_late_entry_has_the_same_deadline_as_the_others(self):
        clock = Clock()
        times = NamingTimes(clock=clock)
        policy = self.policy(clock, times)
        times.merge([VersionAge("m", 2, 5_000)])
        name_version(self.catalog, 2)
        assert policy.oldest_allowed("m") == 0
        clock.now_s += VERSION_MS / 1000 - 5.0 - SEND_MARGIN_S + 0.01
        assert policy.oldest_allowed("m") == 2
        assert policy.begin_by_s("m", 1) < 1_000.0 + 3.0


class FakeConfirmation:
    """Confirmation by a majority, of a fixed age."""

    def __init__(self, age_ms: int) -> None:
        self._age_ms = age_ms

    def age_ms(self) -> int:
        return self._age_ms


class TestVersionAges:
    @pytest.mark.parametrize("age_ms", [-1, MAX_CONFIRMATION_AGE_MS, 60_000])
    def test_an_outdated_replica_records_no_naming(self, age_ms):
        async def work() -> None:
            catalog = Catalog()
            ages = VersionAgeTracker(catalog=catalog, confirmation=FakeConfirmation(age_ms))
            name_version(catalog, 2)
            assert ages.times.ages() == []

        asyncio.run(work())

    # Guards against: the age of a version that was evicted from the catalog is lost.
    def test_an_up_to_date_replica_records_all_namings(self):
        async def work() -> None:
            catalog = Catalog()
            ages = VersionAgeTracker(catalog=catalog, confirmation=FakeConfirmation(100))
            for number in range(1, 8):
                name_version(catalog, number)
            assert [age.version for age in ages.times.ages()] == list(range(1, 8))

        asyncio.run(work())
