"""Tests of the switch order, with 39 engines of three failure domains and a common deadline."""

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
REPORT_DELAY_S = 0.1  # until the other stagers know the state of an engine
NOTICE_S = 0.15  # how long a stager waits after each announcement
LOAD_TIME_S = 1.0  # unavailable while it loads, in addition to the notice


class Fleet:
    """Simulates engines that each decide by what the others reported ``REPORT_DELAY_S`` ago.

    Parameters
    ----------
    complete_s
        When all pieces are staged at each engine; None if they never are.
    """

    def __init__(self, complete_s: list[float | None], *, bound_s: float) -> None:
        self.complete_s = complete_s
        self.bound_s = bound_s
        self.addresses = [f"10.0.{index % DOMAINS}.{index}:80" for index in range(len(complete_s))]
        self.announced_s: dict[int, float] = {}
        self.switched_s: dict[int, float] = {}
        self.max_away = 0
        self.max_away_per_domain = 0

    def run(self) -> None:
        for step in range(round(self.bound_s / STEP_S)):
            now_s = step * STEP_S
            reported = [
                self._state(index, now_s - REPORT_DELAY_S) for index in range(len(self.addresses))
            ]
            for index, complete_s in enumerate(self.complete_s):
                if complete_s is not None and now_s >= complete_s + NOTICE_S:
                    self._decide(index, reported, now_s)
            away = [index for index in self.switched_s if not self._is_back(index, now_s)]
            self.max_away = max(self.max_away, len(away))
            away_per_domain = Counter(index % DOMAINS for index in away)
            self.max_away_per_domain = max(self.max_away_per_domain, *away_per_domain.values(), 0)

    def _decide(self, index: int, reported: list[SwitchState], now_s: float) -> None:
        announced_s = self.announced_s.get(index)
        if index in self.switched_s or (announced_s is not None and now_s < announced_s + NOTICE_S):
            return
        allowed = may_switch(
            self.addresses[index],
            2,
            [*reported[:index], self._own(index), *reported[index + 1 :]],
            announced=announced_s is not None,
            left_s=self.bound_s - now_s,
        )
        if allowed and announced_s is None:
            self.announced_s[index] = now_s
        elif allowed:
            self.switched_s[index] = now_s
        elif announced_s is not None:
            del self.announced_s[index]

    def _own(self, index: int) -> SwitchState:
        return SwitchState(
            address=self.addresses[index],
            failure_domain=str(index % DOMAINS),
            complete=True,
            switching=False,
            done=False,
        )

    def _is_back(self, index: int, now_s: float) -> bool:
        return now_s >= self.switched_s[index] + LOAD_TIME_S

    def _state(self, index: int, now_s: float) -> SwitchState:
        complete_s = self.complete_s[index]
        announced_s = self.announced_s.get(index)
        done = index in self.switched_s and self._is_back(index, now_s)
        return SwitchState(
            address=self.addresses[index],
            failure_domain=str(index % DOMAINS),
            complete=complete_s is not None and complete_s <= now_s,
            switching=announced_s is not None and announced_s <= now_s and not done,
            done=done,
        )


class TestSwitchInBatches:
    @pytest.mark.parametrize("parts", [3, 4, 5])
    def test_takes_few_engines_away_at_once_if_there_is_time(self, parts):
        fleet = Fleet([0.0] * ENGINES, bound_s=NOTICE_S + parts * SWITCH_DURATION_S + STEP_S)
        fleet.run()
        assert len(fleet.switched_s) == ENGINES
        # The batches overlap because of the report delay.
        assert fleet.max_away <= 1.5 * ENGINES / parts

    def test_takes_about_as_many_engines_from_each_failure_domain(self):
        fleet = Fleet([0.0] * ENGINES, bound_s=6.8)
        fleet.run()
        assert fleet.max_away_per_domain <= fleet.max_away // DOMAINS + 2

    @pytest.mark.parametrize("left_s", [3.0, 3.5])
    def test_all_engines_switch_if_there_is_little_time(self, left_s):
        fleet = Fleet([0.0] * ENGINES, bound_s=left_s)
        fleet.run()
        assert len(fleet.switched_s) == ENGINES

    def test_all_engines_switch_in_time_although_weights_arrive_one_engine_after_another(self):
        complete = [0.1 * index for index in range(ENGINES)]
        fleet = Fleet(complete, bound_s=7.0)
        fleet.run()
        assert len(fleet.switched_s) == ENGINES
        assert fleet.max_away <= ENGINES // 2

    def test_engines_whose_weights_never_arrive_do_not_delay_the_others(self):
        complete = [None if index % 10 == 0 else 0.0 for index in range(ENGINES)]
        fleet = Fleet(complete, bound_s=6.8)
        fleet.run()
        assert len(fleet.switched_s) == sum(1 for moment in complete if moment is not None)


class TestBatchSize:
    def test_is_half_or_the_number_done_if_no_time_is_left(self):
        assert batch_size(10, 0, 0.0) == 5
        assert batch_size(10, 5, 0.0) == 5
        assert batch_size(10, 7, -3.0) == 7

    def test_is_one_without_a_deadline(self):
        assert batch_size(10, 0, float("inf")) == 1

    def test_grows_as_the_time_left_shrinks(self):
        sizes = [batch_size(39, 0, SWITCH_DURATION_S * batches) for batches in (8, 5, 3, 2, 1)]
        assert sizes == sorted(sizes)
        assert sizes[-1] == ENGINES // 2

    def test_is_at_least_one(self):
        assert batch_size(1, 0, 100.0) == batch_size(2, 1, 100.0) == 1


class TestSwitchOrder:
    def test_alternates_between_failure_domains(self):
        engines = [
            SwitchState(
                address=f"10.0.0.{index}:80",
                failure_domain=str(index // 13),
                complete=True,
                switching=False,
                done=False,
            )
            for index in range(ENGINES)
        ]
        allowed_domains = [
            engine.failure_domain
            for engine in engines
            if may_switch(engine.address, 2, engines, announced=False, left_s=8 * SWITCH_DURATION_S)
        ]
        assert set(Counter(allowed_domains).values()) <= {
            len(allowed_domains) // 3,
            len(allowed_domains) // 3 + 1,
        }

    def test_depends_on_the_version(self):
        order = [sorted(range(9), key=lambda n: switch_rank(f"10.0.0.{n}:80", v)) for v in (2, 3)]
        assert order[0] != order[1]
