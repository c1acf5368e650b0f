"""Which requests are put in quarantine, by who ran where when servers ended."""

from __future__ import annotations

import random
from itertools import permutations

import pytest

from leadhollow.decide.quarantine_rules import CHANCE_ENDS, MASS_ENDS, MASS_S, SETTLE_S, TIED_ENDS
from leadhollow.decide.server_ends import ServerEnd, Verdict
from leadhollow.decide.suspects import END_VALID_S, ENDS_KEPT, MAX_REQUESTS_PER_END, SuspectTable

CRASHER = b"c" * 16
OTHER = b"o" * 16
STEP_S = 0.3  # between two ends


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class Fleet:
    """A table, and ends that happen one after the other."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.table = SuspectTable(clock=self.clock)
        self.lives = 0

    def end(self, *ran: bytes, after_s: float = STEP_S) -> str:
        self.clock.now_s += after_s
        self.lives += 1
        life = f"i-{self.lives}@1"
        self.table.merge_end(ServerEnd(life=life, ran=ran, happened_s=self.clock.now_s))
        return life

    def judge(self) -> list[bytes]:
        self.clock.now_s += SETTLE_S + 0.001
        return [verdict.fingerprint for verdict in self.table.update_quarantine()]


def request(number: int) -> bytes:
    return number.to_bytes(16, "big")


class TestQuarantine:
    def test_holds_a_request_under_which_three_servers_ended(self):
        fleet = Fleet()
        for _ in range(2):
            fleet.end(CRASHER)
            assert fleet.judge() == []
        fleet.end(CRASHER)
        assert fleet.judge() == [CRASHER]
        assert fleet.table.is_quarantined(CRASHER)

    def test_names_the_one_that_was_there_each_time(self):
        fleet = Fleet()
        for turn in range(3):
            fleet.end(CRASHER, *(request(16 * turn + other) for other in range(15)))
        assert fleet.judge() == [CRASHER]

    def test_leaves_out_who_rode_along(self):
        fleet = Fleet()
        fleet.end(CRASHER, OTHER)
        fleet.end(CRASHER, OTHER)
        fleet.end(CRASHER)
        fleet.end(OTHER, request(1), request(2))
        assert fleet.judge() == [CRASHER]
        fleet.end(CRASHER, OTHER)  # a copy that was on its way
        assert fleet.judge() == []

    def test_waits_where_nothing_tells_two_apart(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER, OTHER)
        assert fleet.judge() == []
        fleet.end(CRASHER)
        assert fleet.judge() == [CRASHER]

    def test_of_another_request_does_not_wait_for_those(self):
        fleet = Fleet()
        for _ in range(4):
            fleet.end(CRASHER, OTHER)
        for _ in range(3):
            fleet.end(request(7))
        assert fleet.judge() == [request(7)]

    def test_holds_all_that_were_always_there_together_in_the_end(self):
        fleet = Fleet()
        for _ in range(TIED_ENDS):
            fleet.end(CRASHER, OTHER)
        assert sorted(fleet.judge()) == [CRASHER, OTHER]

    def test_judges_an_end_only_when_all_had_time_to_tell_of_it(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER)
        assert fleet.table.update_quarantine() == []
        assert fleet.judge() == [CRASHER]

    def test_takes_servers_that_end_together_with_others_for_one(self):
        fleet = Fleet()
        for number in range(MASS_ENDS):
            fleet.end(request(number), after_s=MASS_S / 8)
        for _ in range(3):
            fleet.end(CRASHER, after_s=MASS_S / 8)
        fleet.end(CRASHER)
        assert fleet.judge() == []
        fleet.end(CRASHER)
        assert fleet.judge() == [CRASHER]

    def test_asks_for_one_more_end_while_many_end_for_no_known_cause(self):
        fleet = Fleet()
        for number in range(CHANCE_ENDS):
            fleet.end(request(number))
        for _ in range(3):
            fleet.end(CRASHER)
        assert fleet.judge() == []
        fleet.end(CRASHER)
        assert fleet.judge() == [CRASHER]

    def test_counts_each_of_those_that_end_together_where_all_ran_it(self):
        fleet = Fleet()
        fleet.end(OTHER)
        for _ in range(3):
            fleet.end(CRASHER, after_s=STEP_S if fleet.lives == 1 else MASS_S / 4)
        assert fleet.judge() == [CRASHER]

    def test_does_not_count_a_server_twice(self):
        fleet = Fleet()
        life = fleet.end(CRASHER)
        fleet.end(CRASHER)
        assert not fleet.table.merge_end(
            ServerEnd(life=life, ran=[CRASHER], happened_s=fleet.clock.now_s)
        )
        assert fleet.judge() == []


class TestGoodEnds:
    def test_clear_a_request(self):
        fleet = Fleet()
        for _ in range(2):
            fleet.end(CRASHER)
        assert len(fleet.table.clear(CRASHER)) == 2
        fleet.end(CRASHER)
        assert fleet.judge() == []

    def test_let_it_go_where_it_was_held(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER)
        fleet.judge()
        fleet.table.clear(CRASHER)
        assert not fleet.table.is_quarantined(CRASHER)
        assert fleet.judge() == []

    def test_do_not_clear_it_of_what_comes_later(self):
        fleet = Fleet()
        fleet.end(CRASHER)
        fleet.table.clear(CRASHER)
        for _ in range(3):
            fleet.end(CRASHER)
        assert fleet.judge() == [CRASHER]


class TestServersThatAnswerAgain:
    def test_had_not_ended(self):
        fleet = Fleet()
        lives = [fleet.end(CRASHER) for _ in range(3)]
        assert fleet.judge() == [CRASHER]
        assert fleet.table.mark_alive(lives[0])
        assert not fleet.table.mark_alive(lives[0])
        assert not fleet.table.is_quarantined(CRASHER)
        assert fleet.judge() == []

    def test_say_nothing_of_ends_that_nobody_knows(self):
        assert not Fleet().table.mark_alive("i-1@1")


class TestRelease:
    def test_lets_a_request_go_until_three_more_servers_end(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER)
        fleet.judge()
        released = fleet.table.release(CRASHER)
        assert released is not None
        assert released.released
        assert fleet.judge() == []
        for _ in range(3):
            fleet.end(CRASHER)
        assert fleet.judge() == [CRASHER]
        again = fleet.table.verdict(CRASHER)
        assert again is not None
        assert again.number == 2

    def test_of_one_that_is_not_held_changes_nothing(self):
        fleet = Fleet()
        fleet.end(CRASHER)
        assert fleet.table.release(CRASHER) is None
        assert fleet.table.suspected_lives(CRASHER)


class TestMerging:
    """Tables say the same whatever came first, and however often."""

    def news(self) -> list[ServerEnd | Verdict]:
        now_s = 100.0
        return [
            ServerEnd(life="a", ran=[CRASHER, OTHER], happened_s=now_s),
            ServerEnd(life="a", ran=[CRASHER, OTHER], cleared=[OTHER], happened_s=now_s),
            ServerEnd(life="b", ran=[CRASHER], happened_s=now_s),
            ServerEnd(life="b", alive=True, happened_s=now_s),
            Verdict(fingerprint=CRASHER, number=1, released=False, lives=("a", "b"), since_s=now_s),
        ]

    @pytest.mark.parametrize("order", list(permutations(range(5)))[::7])
    def test_commutes(self, order):
        marks = set()
        for numbers in (order, range(5), [*order, *order]):
            table = SuspectTable(clock=Clock())
            for number in numbers:
                one = self.news()[number]
                if isinstance(one, ServerEnd):
                    table.merge_end(one)
                else:
                    table.merge_verdict(one)
            assert not table.is_quarantined(CRASHER)
            marks.add(table.checksum())
        assert len(marks) == 1


class TestBounds:
    def test_the_oldest_end_goes_first(self):
        fleet = Fleet()
        lives = [fleet.end(request(number)) for number in range(ENDS_KEPT + 3)]
        assert fleet.table.end(lives[2]) is None
        assert fleet.table.end(lives[3]) is not None
        assert not fleet.table.suspected_lives(request(0))

    def test_one_end_has_so_many_requests_at_most(self):
        fleet = Fleet()
        life = fleet.end(*(request(number) for number in range(MAX_REQUESTS_PER_END + 9)))
        end = fleet.table.end(life)
        assert end is not None
        assert len(end.ran) == MAX_REQUESTS_PER_END

    def test_old_ends_are_forgotten_and_verdicts_stay(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER)
        fleet.judge()
        fleet.clock.now_s += END_VALID_S + 1
        fleet.table.expire()
        assert fleet.table.ends() == []
        assert fleet.table.is_quarantined(CRASHER)


class TestManySeeds:
    """Sixteen requests a server, a fifth of the ends by chance, who is broken off comes again once.

    A crasher comes at any moment, twice each time, as its caller's entry sends it.
    """

    @pytest.mark.parametrize("seed", range(50))
    def test_hold_the_crasher_and_nobody_else(self, seed):
        source = random.Random(seed)
        fleet = Fleet()
        left: list[bytes] = []
        number = 0
        ends = 0
        while not fleet.table.is_quarantined(CRASHER):
            again = [left.pop() for _ in range(min(len(left), source.randrange(9)))]
            number += 16
            fresh = [request(number + place) for place in range(15 - len(again))]
            by_chance = source.random() < 0.2
            ends += not by_chance
            fleet.end(*again, *fresh, *([] if by_chance else [CRASHER]), after_s=0.1)
            left += [one for one in fresh if source.random() < 0.8]
            for one in again:
                if source.random() < 0.7:
                    fleet.table.clear(one)
            fleet.judge()
            assert ends < 6
        held = [verdict for verdict in fleet.table.verdicts() if not verdict.released]
        assert [verdict.fingerprint for verdict in held] == [CRASHER]
