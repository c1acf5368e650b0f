"""Tests of which versions are fetched and installed, also if two are named in succession."""

from __future__ import annotations

from leadhollow.decide.version_choice import (
    DESCRIPTION_TIMEOUT_S,
    SWITCH_LEAD_S,
    VersionProgress,
    is_urgent,
    plan_versions,
    staleness_deadline_s,
)

VERSION_S = 8.0
PIECE_S = 0.07


def version(number: int, *, named_s: float | None = None, missing: int = 0, **more):
    values = {"described": True, "piece_s": PIECE_S} | more
    return VersionProgress(number=number, named_s=named_s, missing=missing, **values)


def plan(*versions: VersionProgress, now_s: float, held: int | None = 1):
    return plan_versions(versions, held=held, version_s=VERSION_S, now_s=now_s)


class TestOneVersion:
    def test_is_fetched_and_then_installed(self):
        first = version(1)
        assert plan(version(2, named_s=18.0, missing=9), first, now_s=19.0).fetch == (2,)
        complete = plan(version(2, named_s=18.0), first, now_s=23.0)
        assert (complete.fetch, complete.install) == ((), 2)

    def test_is_not_installed_again_if_the_engine_holds_it(self):
        assert plan(version(1), now_s=5.0).install is None

    def test_is_installed_on_an_empty_engine_while_the_newest_is_fetched(self):
        found = plan(version(2, named_s=18.0, missing=60), version(1), now_s=19.0, held=None)
        assert (found.fetch, found.install) == ((2,), 1)


class TestTwoVersions:
    def test_only_the_newest_is_fetched_while_it_is_available(self):
        newest = version(3, named_s=20.0, missing=50)
        found = plan(newest, version(2, named_s=18.0, missing=30), version(1), now_s=21.0)
        assert found.fetch == (3,)

    def test_the_older_one_is_completed_while_the_newest_is_unavailable(self):
        newest = version(3, named_s=20.0, missing=50, blocked=True)
        found = plan(newest, version(2, named_s=18.0, missing=30), version(1), now_s=21.5)
        assert found.fetch == (3, 2)

    def test_the_older_one_is_completed_while_the_newest_is_undescribed(self):
        newest = version(3, named_s=20.0, described=False)
        versions = (newest, version(2, named_s=18.0, missing=30), version(1))
        assert plan(*versions, now_s=20.0 + DESCRIPTION_TIMEOUT_S).fetch == (2,)

    def test_the_newest_is_awaited_shortly_after_its_naming(self):
        newest = version(3, named_s=20.0, described=False)
        versions = (newest, version(2, named_s=18.0, missing=30), version(1))
        assert plan(*versions, now_s=20.1).fetch == ()

    def test_the_older_one_is_installed_when_the_held_one_is_nearly_too_old(self):
        versions = (
            version(3, named_s=20.0, missing=50, blocked=True),
            version(2, named_s=18.0),
            version(1),
        )
        early_s = 18.0 + VERSION_S - SWITCH_LEAD_S - 0.1
        assert plan(*versions, now_s=early_s).install is None
        assert plan(*versions, now_s=early_s + 0.2).install == 2

    def test_no_interim_version_is_installed_if_the_newest_arrives_in_time(self):
        versions = (version(3, named_s=20.0, missing=2), version(2, named_s=18.0), version(1))
        now_s = 18.0 + VERSION_S - SWITCH_LEAD_S - 0.2
        assert plan(*versions, now_s=now_s).install is None

    def test_a_version_that_is_soon_too_old_is_not_installed(self):
        versions = (
            version(3, named_s=18.5, missing=50, blocked=True),
            version(2, named_s=18.0),
            version(1),
        )
        assert plan(*versions, now_s=25.0).install is None


class TestStalenessDeadline:
    def test_counts_from_the_first_newer_version(self):
        versions = (version(3, named_s=20.0), version(2, named_s=18.0), version(1))
        assert staleness_deadline_s(versions, 1, VERSION_S) == 26.0
        assert staleness_deadline_s(versions, 2, VERSION_S) == 28.0
        assert staleness_deadline_s(versions, 3, VERSION_S) == float("inf")
        assert staleness_deadline_s(versions, None, VERSION_S) == float("inf")


class TestIsUrgent:
    """Urgency of a version that is being fetched for an engine with the previous one."""

    def urgent(self, missing: int, left_s: float, **more) -> bool:
        newest = version(2, named_s=20.0, missing=missing, **more)
        return is_urgent(
            (newest, version(1)), held=1, version_s=VERSION_S, now_s=20.0 + VERSION_S - left_s
        )

    def test_true_if_the_usual_rate_is_too_slow(self):
        needed_s = 60 * PIECE_S + SWITCH_LEAD_S
        assert self.urgent(60, needed_s)
        assert not self.urgent(60, 2 * needed_s)

    def test_true_after_the_deadline(self):
        assert self.urgent(1, -1.0)

    def test_false_for_a_complete_or_undescribed_version(self):
        assert not self.urgent(0, 0.5)
        assert not self.urgent(60, 0.5, described=False)

    def test_false_for_an_engine_without_weights(self):
        newest = version(2, named_s=20.0, missing=60)
        assert not is_urgent((newest, version(1)), held=None, version_s=VERSION_S, now_s=27.9)
