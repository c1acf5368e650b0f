"""Whose memory is freed, and which connections are closed, under pressure."""

from __future__ import annotations

import random

from leadhollow.decide.shedding import Holding, Phase, choose_closings, choose_holders

KIB = 1024


def holding(name: str, held_bytes: int, stalled_s: float) -> Holding[str]:
    return Holding(holder=name, held_bytes=held_bytes, stalled_s=stalled_s)


class TestChosenHolders:
    def test_hold_most_and_move_least(self):
        holdings = [
            holding("uploads", 600 * KIB, 0.01),
            holding("stands still", 500 * KIB, 3.0),
            holding("stands still with little", 20 * KIB, 3.0),
        ]
        chosen = choose_holders(holdings, excess_bytes=1)
        assert [each.holder for each in chosen] == ["stands still"]

    # Guards against: an ordinary caller that has just come goes before a crowd that stands still.
    def test_are_never_a_newcomer_while_a_crowd_frees_enough(self):
        source = random.Random(79)
        for _ in range(200):
            crowd = [
                holding("crowd", source.randrange(30 * KIB, 600 * KIB), source.uniform(0.1, 6.0))
                for _ in range(100)
            ]
            newcomers = [holding("newcomer", 12 * KIB, source.uniform(0, 0.2)) for _ in range(10)]
            mixed = [*newcomers, *crowd]
            source.shuffle(mixed)
            freeable = sum(each.held_bytes for each in crowd)
            chosen = choose_holders(mixed, excess_bytes=freeable)
            assert sum(each.held_bytes for each in chosen) >= freeable
            assert {each.holder for each in chosen} == {"crowd"}

    def test_free_no_more_than_is_asked_for_by_one_holder(self):
        holdings = [holding(str(number), 10 * KIB, 1.0) for number in range(20)]
        assert len(choose_holders(holdings, excess_bytes=25 * KIB)) == 3
        assert choose_holders(holdings, excess_bytes=0) == []


class TestChosenClosings:
    def test_go_by_phase_and_then_by_age(self):
        connections = [
            (Phase.UNFINISHED, 0.0, "body"),
            (Phase.IDLE, 1.0, "idle"),
            (Phase.SERVED, 0.0, "served"),
            (Phase.UNUSED, 5.0, "new"),
            (Phase.UNUSED, 2.0, "old"),
        ]
        assert choose_closings(connections, count=9) == ["old", "new", "idle", "body"]
        assert choose_closings(connections, count=1) == ["old"]


__all__: list[str] = []
