"""Thirty-nine engines of three failure domains change their weights before a bound, in parts."""

from __future__ import annotations

from collections import Counter

import pytest

from leadhollow.staging.switch_order import (
    SWITCH_DURATION_S,
    SwitchState,
    batch_size,
    may_switch,
    switch_rank,
)

ENGINES = 39
DOMAINS = 3
STEP_S = 0.05
NEWS_S = 0.1  # until the others know how an engine stands
NOTICE_S = 0.15  # that each lets pass once it has told something
AWAY_S = 1.0  # besides its notice


class Fleet:
    """Engines of which each decides by what the others told a moment ago.

    Parameters
    ----------
    complete_s
        When all pieces lie beside each engine; None for one where they never do.
    """

    def __init__(self, complete_s: list[float | None], *, bound_s: float) -> None:
        self.complete_s = complete_s
        self.bound_s = bound_s
        self.addresses = [f"10.0.{place % DOMAINS}.{place}:80" for place in range(len(complete_s))]
        self.announced_s: dict[int, float] = {}
        self.began_s: dict[int, float] = {}
        self.most_away = 0
        self.most_away_of_a_domain = 0

    def run(self) -> None:
        for step in range(round(self.bound_s / STEP_S)):
            now_s = step * STEP_S
            told = [self._standing(place, now_s - NEWS_S) for place in range(len(self.addresses))]
            for place, complete_s in enumerate(self.complete_s):
                if complete_s is not None and now_s >= complete_s + NOTICE_S:
                    self._decide(place, told, now_s)
            away = [place for place in self.began_s if not self._back(place, now_s)]
            self.most_away = max(self.most_away, len(away))
            of_domains = Counter(place % DOMAINS for place in away)
            self.most_away_of_a_domain = max(self.most_away_of_a_domain, *of_domains.values(), 0)

    def _decide(self, place: int, told: list[SwitchState], now_s: float) -> None:
        announced_s = self.announced_s.get(place)
        if place in self.began_s or (announced_s is not None and now_s < announced_s + NOTICE_S):
            return
        goes = may_switch(
            self.addresses[place],
            2,
            [*told[:place], self._own(place), *told[place + 1 :]],
            announced=announced_s is not None,
            left_s=self.bound_s - now_s,
        )
        if goes and announced_s is None:
            self.announced_s[place] = now_s
        elif goes:
            self.began_s[place] = now_s
        elif announced_s is not None:
            del self.announced_s[place]

    def _own(self, place: int) -> SwitchState:
        return SwitchState(
            address=self.addresses[place],
            failure_domain=str(place % DOMAINS),
            complete=True,
            switching=False,
            done=False,
        )

    def _back(self, place: int, now_s: float) -> bool:
        return now_s >= self.began_s[place] + AWAY_S

    def _standing(self, place: int, now_s: float) -> SwitchState:
        complete_s = self.complete_s[place]
        announced_s = self.announced_s.get(place)
        done = place in self.began_s and self._back(place, now_s)
        return SwitchState(
            address=self.addresses[place],
            failure_domain=str(place % DOMAINS),
            complete=complete_s is not None and complete_s <= now_s,
            switching=announced_s is not None and announced_s <= now_s and not done,
            done=done,
        )


class TestAChangeInParts:
    @pytest.mark.parametrize("parts", [3, 4, 5])
    def test_takes_few_away_where_there_is_time(self, parts):
        fleet = Fleet([0.0] * ENGINES, bound_s=NOTICE_S + parts * SWITCH_DURATION_S + STEP_S)
        fleet.run()
        assert len(fleet.began_s) == ENGINES
        assert fleet.most_away <= 1.5 * ENGINES / parts  # parts overlap, as news takes its time

    def test_takes_as_many_from_each_failure_domain(self):
        fleet = Fleet([0.0] * ENGINES, bound_s=6.8)
        fleet.run()
        assert fleet.most_away_of_a_domain <= fleet.most_away // DOMAINS + 2

    @pytest.mark.parametrize("left_s", [3.0, 3.5])
    def test_takes_half_away_where_there_is_no_time(self, left_s):
        fleet = Fleet([0.0] * ENGINES, bound_s=left_s)
        fleet.run()
        assert len(fleet.began_s) == ENGINES

    def test_is_done_in_time_though_weights_come_one_engine_after_the_other(self):
        complete = [0.1 * place for place in range(ENGINES)]
        fleet = Fleet(complete, bound_s=7.0)
        fleet.run()
        assert len(fleet.began_s) == ENGINES
        assert fleet.most_away <= ENGINES // 2

    def test_is_held_up_little_by_engines_whose_weights_never_come(self):
        complete = [None if place % 10 == 0 else 0.0 for place in range(ENGINES)]
        fleet = Fleet(complete, bound_s=6.8)
        fleet.run()
        assert len(fleet.began_s) == sum(1 for moment in complete if moment is not None)


class TestPartSize:
    def test_is_half_where_nobody_knows_how_much_time_there_is(self):
        assert batch_size(10, 0, 0.0) == 5
        assert batch_size(10, 5, 0.0) == 5
        assert batch_size(10, 7, -3.0) == 7

    def test_is_one_by_one_where_there_is_no_bound(self):
        assert batch_size(10, 0, float("inf")) == 1

    def test_grows_as_time_goes(self):
        sizes = [batch_size(39, 0, SWITCH_DURATION_S * parts) for parts in (8, 5, 3, 2, 1)]
        assert sizes == sorted(sizes)
        assert sizes[-1] == ENGINES // 2

    def test_is_never_none(self):
        assert batch_size(1, 0, 100.0) == batch_size(2, 1, 100.0) == 1


class TestOrder:
    def test_goes_round_the_failure_domains(self):
        standings = [
            SwitchState(
                address=f"10.0.0.{place}:80",
                failure_domain=str(place // 13),
                complete=True,
                switching=False,
                done=False,
            )
            for place in range(ENGINES)
        ]
        going = [
            found.failure_domain
            for found in standings
            if may_switch(
                found.address, 2, standings, announced=False, left_s=8 * SWITCH_DURATION_S
            )
        ]
        assert set(Counter(going).values()) <= {len(going) // 3, len(going) // 3 + 1}

    def test_depends_on_the_version(self):
        order = [sorted(range(9), key=lambda n: switch_rank(f"10.0.0.{n}:80", v)) for v in (2, 3)]
        assert order[0] != order[1]
