"""Tests of which versions are fetched and installed where two are named in a row."""

from __future__ import annotations

from leadhollow.decide.version_choice import (
    SWITCH_LEAD_S,
    UNDESCRIBED_S,
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
    def test_it_is_fetched_and_then_installed(self):
        first = version(1)
        assert plan(version(2, named_s=18.0, missing=9), first, now_s=19.0).fetch == (2,)
        complete = plan(version(2, named_s=18.0), first, now_s=23.0)
        assert (complete.fetch, complete.install) == ((), 2)

    def test_what_is_held_is_left(self):
        assert plan(version(1), now_s=5.0).install is None

    def test_an_empty_engine_takes_what_there_is_while_the_newest_comes(self):
        found = plan(version(2, named_s=18.0, missing=60), version(1), now_s=19.0, held=None)
        assert (found.fetch, found.install) == ((2,), 1)


class TestTwoInARow:
    def test_the_newest_alone_is_fetched_while_it_comes(self):
        newest = version(3, named_s=20.0, missing=50)
        found = plan(newest, version(2, named_s=18.0, missing=30), version(1), now_s=21.0)
        assert found.fetch == (3,)

    def test_the_one_before_is_finished_while_the_newest_cannot_be_had(self):
        newest = version(3, named_s=20.0, missing=50, blocked=True)
        found = plan(newest, version(2, named_s=18.0, missing=30), version(1), now_s=21.5)
        assert found.fetch == (3, 2)

    def test_the_one_before_is_finished_while_nobody_knows_the_pieces_of_the_newest(self):
        newest = version(3, named_s=20.0, described=False)
        versions = (newest, version(2, named_s=18.0, missing=30), version(1))
        assert plan(*versions, now_s=20.0 + UNDESCRIBED_S).fetch == (2,)

    def test_a_newest_that_was_named_a_moment_ago_is_waited_for(self):
        newest = version(3, named_s=20.0, described=False)
        versions = (newest, version(2, named_s=18.0, missing=30), version(1))
        assert plan(*versions, now_s=20.1).fetch == ()

    def test_the_one_before_carries_requests_once_the_held_one_is_nearly_too_old(self):
        versions = (
            version(3, named_s=20.0, missing=50, blocked=True),
            version(2, named_s=18.0),
            version(1),
        )
        early_s = 18.0 + VERSION_S - SWITCH_LEAD_S - 0.1
        assert plan(*versions, now_s=early_s).install is None
        assert plan(*versions, now_s=early_s + 0.2).install == 2

    def test_nothing_is_installed_in_between_where_the_newest_comes_in_time(self):
        versions = (version(3, named_s=20.0, missing=2), version(2, named_s=18.0), version(1))
        now_s = 18.0 + VERSION_S - SWITCH_LEAD_S - 0.2
        assert plan(*versions, now_s=now_s).install is None

    def test_one_that_is_too_old_itself_soon_is_not_installed(self):
        versions = (
            version(3, named_s=18.5, missing=50, blocked=True),
            version(2, named_s=18.0),
            version(1),
        )
        assert plan(*versions, now_s=25.0).install is None


class TestBound:
    def test_counts_from_the_first_newer_version(self):
        versions = (version(3, named_s=20.0), version(2, named_s=18.0), version(1))
        assert staleness_deadline_s(versions, 1, VERSION_S) == 26.0
        assert staleness_deadline_s(versions, 2, VERSION_S) == 28.0
        assert staleness_deadline_s(versions, 3, VERSION_S) == float("inf")
        assert staleness_deadline_s(versions, None, VERSION_S) == float("inf")


class TestHurry:
    """A version on its way to an engine that runs the one before."""

    def hurries(self, missing: int, left_s: float, **more) -> bool:
        newest = version(2, named_s=20.0, missing=missing, **more)
        return is_urgent(
            (newest, version(1)), held=1, version_s=VERSION_S, now_s=20.0 + VERSION_S - left_s
        )

    def test_is_needed_where_the_usual_pace_is_too_slow(self):
        needed_s = 60 * PIECE_S + SWITCH_LEAD_S
        assert self.hurries(60, needed_s)
        assert not self.hurries(60, 2 * needed_s)

    def test_is_needed_past_the_bound(self):
        assert self.hurries(1, -1.0)

    def test_is_not_needed_for_what_is_here_or_cannot_be_had(self):
        assert not self.hurries(0, 0.5)
        assert not self.hurries(60, 0.5, described=False)

    def test_is_not_needed_by_an_engine_that_holds_nothing(self):
        newest = version(2, named_s=20.0, missing=60)
        assert not is_urgent((newest, version(1)), held=None, version_s=VERSION_S, now_s=27.9)
