"""Tests of which requests are sent despite the quarantine, to find out whether it was wrong."""

from __future__ import annotations

from leadhollow.decide.fingerprints import PART_TAG
from leadhollow.decide.quarantine_trials import TRIAL_INTERVAL_S, QuarantineTrials
from leadhollow.decide.server_ends import ServerEnd, Verdict
from leadhollow.decide.suspects import SuspectTable

REQUEST = b"r" * 16
GUILTY = b"g" * 12 + PART_TAG
POPULAR = b"p" * 12 + PART_TAG
ENTRIES = 7
LONG_S = 600.0


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class Entries:
    """Entries that share one table and get a request of some traits each 0.1 s, in turn."""

    def __init__(self, *held: bytes) -> None:
        self.clock = Clock()
        self.table = SuspectTable(clock=self.clock)
        for fingerprint in held:
            self.hold(fingerprint)
        self.trials = [
            QuarantineTrials(table=self.table, entries=lambda: ENTRIES, clock=self.clock, seed=seed)
            for seed in range(ENTRIES)
        ]

    def hold(self, fingerprint: bytes, *, lives: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.table.merge_verdict(
            Verdict(
                fingerprint=fingerprint,
                number=1,
                released=False,
                lives=lives,
                since_s=self.clock.now_s,
            )
        )

    def count(self, *traits: bytes, length_s: float = LONG_S) -> int:
        """Return how many requests are sent within a time."""
        sent = 0
        for turn in range(int(length_s / 0.1)):
            self.clock.now_s += 0.1
            held = [trait for trait in traits if self.table.is_quarantined(trait)]
            sent += self.trials[turn % ENTRIES].may_send(held)
        return sent


class TestTrials:
    # A popular part that was held beside a crashing one stayed in quarantine for good.
    def test_send_requests_with_one_of_two_parts_now_and_then(self):
        sent = Entries(GUILTY, POPULAR).count(REQUEST, POPULAR)
        expected = LONG_S / TRIAL_INTERVAL_S
        assert 0.6 * expected < sent < 1.4 * expected

    # Parts are held together by the number of their ends, of which some may differ.
    def test_send_requests_with_a_part_that_some_other_ends_speak_against(self):
        entries = Entries(GUILTY)
        entries.hold(POPULAR, lives=("b", "c", "d"))
        assert entries.count(REQUEST, POPULAR) > 0

    def test_never_send_requests_with_both(self):
        assert Entries(GUILTY, POPULAR).count(REQUEST, POPULAR, GUILTY) == 0

    def test_never_send_a_part_that_is_held_alone(self):
        entries = Entries(GUILTY)
        entries.hold(POPULAR, lives=("d", "e", "f"))
        assert entries.count(REQUEST, GUILTY) == 0

    def test_never_send_a_request_that_is_held_itself(self):
        entries = Entries(REQUEST, POPULAR)
        assert entries.count(REQUEST) == 0
        assert entries.count(REQUEST, POPULAR) == 0

    # Each trial of the guilty part ends a server.
    def test_stop_once_a_server_ended_under_the_part_alone(self):
        entries = Entries(GUILTY, POPULAR)
        entries.clock.now_s += 1.0
        entries.table.merge_end(
            ServerEnd(life="d", ran=[REQUEST, GUILTY], happened_s=entries.clock.now_s)
        )
        assert entries.count(REQUEST, GUILTY) == 0
        assert entries.count(REQUEST, POPULAR) > 0

    def test_go_on_after_an_end_under_both_parts(self):
        entries = Entries(GUILTY, POPULAR)
        entries.clock.now_s += 1.0
        entries.table.merge_end(
            ServerEnd(life="d", ran=[REQUEST, GUILTY, POPULAR], happened_s=entries.clock.now_s)
        )
        assert entries.count(REQUEST, POPULAR) > 0

    # All entries at once tried a part that was held long after another one.
    def test_of_a_later_verdict_do_not_all_come_at_once(self):
        entries = Entries(GUILTY, POPULAR)
        entries.count(REQUEST, POPULAR)
        entries.table.release(GUILTY)
        entries.table.release(POPULAR)
        entries.clock.now_s += LONG_S
        for fingerprint in (b"h" * 12 + PART_TAG, b"q" * 12 + PART_TAG):
            entries.hold(fingerprint, lives=("x", "y", "z"))
        assert entries.count(REQUEST, b"q" * 12 + PART_TAG, length_s=1.0) <= 2

    # Requests that came to all entries after a pause were all sent at once.
    def test_after_a_pause_do_not_all_come_at_once(self):
        entries = Entries(GUILTY, POPULAR)
        entries.count(REQUEST, POPULAR, length_s=1.0)
        entries.clock.now_s += LONG_S
        assert entries.count(REQUEST, POPULAR, length_s=1.0) <= 2

    def test_stop_once_the_popular_part_is_released(self):
        entries = Entries(GUILTY, POPULAR)
        entries.table.release(POPULAR)
        assert entries.count(REQUEST, GUILTY) == 0
