"""Tests of which requests are put in quarantine, given the requests at each server end."""

from __future__ import annotations

import random
from itertools import permutations

import pytest

from leadhollow.decide.fingerprints import PART_TAG
from leadhollow.decide.quarantine_rules import (
    COMMON_CAUSE_ENDS,
    COMMON_CAUSE_WINDOW_S,
    SETTLE_S,
    TIED_ENDS,
    UNEXPLAINED_ENDS,
)
from leadhollow.decide.server_ends import ServerEnd, Verdict
from leadhollow.decide.suspects import END_VALID_S, MAX_ENDS, MAX_SUSPECTS_PER_END, SuspectTable

CRASHER = b"c" * 16
OTHER = b"o" * 16
STEP_S = 0.3  # time between two ends


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class Fleet:
    """A table, and servers that end one after another."""

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

    def evaluate(self) -> list[bytes]:
        self.clock.now_s += SETTLE_S + 0.001
        return [verdict.fingerprint for verdict in self.table.update_quarantine()]


def request(number: int) -> bytes:
    return number.to_bytes(16, "big")


def part(number: int) -> bytes:
    return number.to_bytes(12, "big") + PART_TAG


PART = part(99)


class TestQuarantine:
    def test_takes_a_request_that_was_present_at_three_ends(self):
        fleet = Fleet()
        for _ in range(2):
            fleet.end(CRASHER)
            assert fleet.evaluate() == []
        fleet.end(CRASHER)
        assert fleet.evaluate() == [CRASHER]
        assert fleet.table.is_quarantined(CRASHER)

    def test_takes_the_one_request_that_was_present_at_each_end(self):
        fleet = Fleet()
        for turn in range(3):
            fleet.end(CRASHER, *(request(16 * turn + other) for other in range(15)))
        assert fleet.evaluate() == [CRASHER]

    def test_spares_a_request_that_was_present_by_coincidence(self):
        fleet = Fleet()
        fleet.end(CRASHER, OTHER)
        fleet.end(CRASHER, OTHER)
        fleet.end(CRASHER)
        fleet.end(OTHER, request(1), request(2))
        assert fleet.evaluate() == [CRASHER]
        fleet.end(CRASHER, OTHER)  # a repeat that was already in flight
        assert fleet.evaluate() == []

    def test_waits_while_the_evidence_does_not_distinguish_two_requests(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER, OTHER)
        assert fleet.evaluate() == []
        fleet.end(CRASHER)
        assert fleet.evaluate() == [CRASHER]

    def test_takes_an_unambiguous_request_despite_tied_ones(self):
        fleet = Fleet()
        for _ in range(4):
            fleet.end(CRASHER, OTHER)
        for _ in range(3):
            fleet.end(request(7))
        assert fleet.evaluate() == [request(7)]

    def test_takes_all_tied_requests_after_enough_ends(self):
        fleet = Fleet()
        for _ in range(TIED_ENDS):
            fleet.end(CRASHER, OTHER)
        assert sorted(fleet.evaluate()) == [CRASHER, OTHER]

    def test_waits_until_all_entries_could_report_an_end(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER)
        assert fleet.table.update_quarantine() == []
        assert fleet.evaluate() == [CRASHER]

    def test_counts_simultaneous_ends_with_a_common_cause_once(self):
        fleet = Fleet()
        for number in range(COMMON_CAUSE_ENDS):
            fleet.end(request(number), after_s=COMMON_CAUSE_WINDOW_S / 8)
        for _ in range(3):
            fleet.end(CRASHER, after_s=COMMON_CAUSE_WINDOW_S / 8)
        fleet.end(CRASHER)
        assert fleet.evaluate() == []
        fleet.end(CRASHER)
        assert fleet.evaluate() == [CRASHER]

    def test_requires_one_more_end_while_many_ends_are_unexplained(self):
        fleet = Fleet()
        for number in range(UNEXPLAINED_ENDS):
            fleet.end(request(number))
        for _ in range(3):
            fleet.end(CRASHER)
        assert fleet.evaluate() == []
        fleet.end(CRASHER)
        assert fleet.evaluate() == [CRASHER]

    def test_counts_each_simultaneous_end_if_all_ran_the_request(self):
        fleet = Fleet()
        fleet.end(OTHER)
        for _ in range(3):
            fleet.end(CRASHER, after_s=STEP_S if fleet.lives == 1 else COMMON_CAUSE_WINDOW_S / 4)
        assert fleet.evaluate() == [CRASHER]

    def test_counts_each_life_only_once(self):
        fleet = Fleet()
        life = fleet.end(CRASHER)
        fleet.end(CRASHER)
        assert not fleet.table.merge_end(
            ServerEnd(life=life, ran=[CRASHER], happened_s=fleet.clock.now_s)
        )
        assert fleet.evaluate() == []


class TestPromptParts:
    # Requests that are no two alike were never suspected of what they have in common.
    def test_takes_the_part_that_three_different_requests_share(self):
        fleet = Fleet()
        for number in range(3):
            fleet.end(request(number), PART, part(number))
        assert fleet.evaluate() == [PART]

    # A part of one crashing request would be refused to all others that have it.
    def test_takes_only_the_request_if_its_parts_ran_with_no_other(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER, PART, part(1))
        assert fleet.evaluate() == [CRASHER]

    # Ends under one request that came again would be lost as evidence against its part.
    def test_counts_the_ends_of_a_quarantined_request_against_its_part(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER, PART)
        assert fleet.evaluate() == [CRASHER]
        fleet.end(request(1), PART)
        assert fleet.evaluate() == [PART]

    # A rare part of a crashing request would be taken at the next end by chance.
    def test_asks_for_two_more_ends_while_servers_end_for_other_reasons(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER, PART)
        assert fleet.evaluate() == [CRASHER]
        fleet.end(request(1))
        fleet.end(request(2), PART)
        assert fleet.evaluate() == []
        fleet.end(request(3), PART)
        assert fleet.evaluate() == [PART]

    def test_takes_parts_that_are_always_together_after_enough_ends(self):
        fleet = Fleet()
        for number in range(TIED_ENDS):
            assert fleet.evaluate() == []
            fleet.end(request(number), PART, part(1))
        assert sorted(fleet.evaluate()) == sorted([PART, part(1)])

    # A part that few others stood beside was taken instead of the one that crashes engines.
    def test_does_not_decide_between_parts_by_who_else_was_present(self):
        fleet = Fleet()
        fleet.end(request(1), PART, part(1), *(request(number) for number in range(10, 20)))
        fleet.end(request(2), PART, part(1))
        fleet.end(request(3), PART, *(request(number) for number in range(30, 40)))
        fleet.end(request(4), part(1))
        assert fleet.evaluate() == []
        fleet.end(request(5), PART)
        assert fleet.evaluate() == [PART]

    def test_spares_a_part_that_was_cleared(self):
        fleet = Fleet()
        for number in range(TIED_ENDS):
            fleet.end(request(number), PART, part(1))
            fleet.table.clear(part(1))
        assert fleet.evaluate() == [PART]

    def test_a_part_explains_later_ends_to_the_requests_that_have_it(self):
        fleet = Fleet()
        for number in range(3):
            fleet.end(request(number), PART)
        assert fleet.evaluate() == [PART]
        for _ in range(4):
            fleet.end(OTHER, PART, part(2))
        assert fleet.evaluate() == []


class TestClear:
    def test_discards_earlier_ends_of_a_request(self):
        fleet = Fleet()
        for _ in range(2):
            fleet.end(CRASHER)
        assert len(fleet.table.clear(CRASHER)) == 2
        fleet.end(CRASHER)
        assert fleet.evaluate() == []

    def test_releases_a_quarantined_request(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER)
        fleet.evaluate()
        fleet.table.clear(CRASHER)
        assert not fleet.table.is_quarantined(CRASHER)
        assert fleet.evaluate() == []

    def test_does_not_discard_later_ends(self):
        fleet = Fleet()
        fleet.end(CRASHER)
        fleet.table.clear(CRASHER)
        for _ in range(3):
            fleet.end(CRASHER)
        assert fleet.evaluate() == [CRASHER]


class TestMarkAlive:
    def test_discards_the_end_and_releases_the_request(self):
        fleet = Fleet()
        lives = [fleet.end(CRASHER) for _ in range(3)]
        assert fleet.evaluate() == [CRASHER]
        assert fleet.table.mark_alive(lives[0])
        assert not fleet.table.mark_alive(lives[0])
        assert not fleet.table.is_quarantined(CRASHER)
        assert fleet.evaluate() == []

    def test_ignores_a_life_without_a_known_end(self):
        assert not Fleet().table.mark_alive("i-1@1")


class TestRelease:
    def test_lasts_until_three_more_servers_end(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER)
        fleet.evaluate()
        released = fleet.table.release(CRASHER)
        assert released is not None
        assert released.released
        assert fleet.evaluate() == []
        for _ in range(3):
            fleet.end(CRASHER)
        assert fleet.evaluate() == [CRASHER]
        again = fleet.table.verdict(CRASHER)
        assert again is not None
        assert again.number == 2

    def test_changes_nothing_for_a_request_that_is_not_in_quarantine(self):
        fleet = Fleet()
        fleet.end(CRASHER)
        assert fleet.table.release(CRASHER) is None
        assert fleet.table.suspected_lives(CRASHER)


class TestMerging:
    """Records can be merged in any order and any number of times."""

    def updates(self) -> list[ServerEnd | Verdict]:
        now_s = 100.0
        return [
            ServerEnd(life="a", ran=[CRASHER, OTHER], happened_s=now_s),
            ServerEnd(life="a", ran=[CRASHER, OTHER], cleared=[OTHER], happened_s=now_s),
            ServerEnd(life="b", ran=[CRASHER], happened_s=now_s),
            ServerEnd(life="b", alive=True, happened_s=now_s),
            Verdict(fingerprint=CRASHER, number=1, released=False, lives=("a", "b"), since_s=now_s),
        ]

    @pytest.mark.parametrize("order", list(permutations(range(5)))[::7])
    def test_is_commutative_and_idempotent(self, order):
        checksums = set()
        for numbers in (order, range(5), [*order, *order]):
            table = SuspectTable(clock=Clock())
            for number in numbers:
                one = self.updates()[number]
                if isinstance(one, ServerEnd):
                    table.merge_end(one)
                else:
                    table.merge_verdict(one)
            assert not table.is_quarantined(CRASHER)
            checksums.add(table.checksum())
        assert len(checksums) == 1


class TestBounds:
    def test_the_oldest_end_is_dropped_first(self):
        fleet = Fleet()
        lives = [fleet.end(request(number)) for number in range(MAX_ENDS + 3)]
        assert fleet.table.end(lives[2]) is None
        assert fleet.table.end(lives[3]) is not None
        assert not fleet.table.suspected_lives(request(0))

    def test_the_requests_of_one_end_are_bounded(self):
        fleet = Fleet()
        life = fleet.end(*(request(number) for number in range(MAX_SUSPECTS_PER_END + 9)))
        end = fleet.table.end(life)
        assert end is not None
        assert len(end.ran) == MAX_SUSPECTS_PER_END

    def test_old_ends_expire_and_verdicts_stay(self):
        fleet = Fleet()
        for _ in range(3):
            fleet.end(CRASHER)
        fleet.evaluate()
        fleet.clock.now_s += END_VALID_S + 1
        fleet.table.expire()
        assert fleet.table.ends() == []
        assert fleet.table.is_quarantined(CRASHER)


class TestManySeeds:
    """Runs with 16 requests per server, in which a fifth of the ends are coincidental.

    Most interrupted requests are repeated once. The crashing request is present at all other ends.
    """

    @pytest.mark.parametrize("seed", range(50))
    def test_put_only_the_crashing_request_in_quarantine(self, seed):
        source = random.Random(seed)
        fleet = Fleet()
        interrupted: list[bytes] = []
        number = 0
        ends = 0
        while not fleet.table.is_quarantined(CRASHER):
            repeated = [
                interrupted.pop() for _ in range(min(len(interrupted), source.randrange(9)))
            ]
            number += 16
            fresh = [request(number + place) for place in range(15 - len(repeated))]
            coincidental = source.random() < 0.2
            ends += not coincidental
            fleet.end(*repeated, *fresh, *([] if coincidental else [CRASHER]), after_s=0.1)
            interrupted += [one for one in fresh if source.random() < 0.8]
            for one in repeated:
                if source.random() < 0.7:
                    fleet.table.clear(one)
            fleet.evaluate()
            assert ends < 6
        held = [verdict for verdict in fleet.table.verdicts() if not verdict.released]
        assert [verdict.fingerprint for verdict in held] == [CRASHER]
