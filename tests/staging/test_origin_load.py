"""Forty-five stagers that read a version from an origin with a narrow link and few connections."""

from __future__ import annotations

import pytest

from leadhollow.staging.piece_assignment import Stager
from leadhollow.staging.piece_source import PieceSource
from leadhollow.staging.source_selector import Origin, SourceSelector
from leadhollow.staging.takeover_delays import TakeoverDelays

PIECES = 96
PIECE_BYTES = 24_576
ORIGIN_BYTES_PER_S = 547_500.0
LINK_BYTES_PER_S = 456_250.0
ORIGIN_CONNECTIONS = 48
WHOLE_S = PIECES * PIECE_BYTES / ORIGIN_BYTES_PER_S
STEP_S = 0.02
LOOK_STEPS = 3  # between two looks of a stager
NEWS_S = 0.2  # until the others know of a piece that was read
AWAY_FOR_S = 1.0  # what a stager needs to find out that the origin does not answer
STAGERS = [
    Stager(address=f"10.0.{number % 3}.{number}:7000", failure_domain=f"d{number % 3}")
    for number in range(45)
]


class NarrowOrigin:
    """An origin that shares its link among those that read; time goes in steps.

    Each stager reads one piece at a time. What was read is known to all after ``NEWS_S``.
    """

    def __init__(self, *, silent: frozenset[str] = frozenset()) -> None:
        patience = TakeoverDelays(
            piece_bytes=PIECE_BYTES,
            origin_bytes_per_s=lambda: ORIGIN_BYTES_PER_S,
            link_bytes_per_s=lambda: LINK_BYTES_PER_S,
        )
        self.choices = {
            own.address: SourceSelector(own=own, number=3, seed=1, delays=patience)
            for own in STAGERS
        }
        self.silent = silent
        self.reading: dict[str, tuple[int, float]] = {}  # by stager: piece, bytes left
        self.failing: dict[str, float] = {}  # by stager: when it finds out
        self.read_s: dict[int, float] = {}  # by piece
        self.bytes_sent = 0.0
        self.most_connections = 0

    def run(self, until_s: float, *, away_until_s: float = 0.0) -> None:
        """Let all stagers read until a moment; the origin answers nobody before another one."""
        for step in range(round(until_s / STEP_S)):
            now_s = step * STEP_S
            self._send(now_s)
            known = [index for index, at_s in self.read_s.items() if now_s - at_s >= NEWS_S]
            for place, own in enumerate(STAGERS):
                if own.address not in self.silent and step % LOOK_STEPS == place % LOOK_STEPS:
                    self._look(own, known, now_s, away=now_s < away_until_s)
            self.most_connections = max(self.most_connections, len(self.reading))

    def _send(self, now_s: float) -> None:
        share = ORIGIN_BYTES_PER_S * STEP_S / max(1, len(self.reading))
        for address, (index, left) in list(self.reading.items()):
            self.bytes_sent += min(share, left)
            if left > share:
                self.reading[address] = index, left - share
                continue
            del self.reading[address]
            self.read_s.setdefault(index, now_s)
            self.choices[address].record_origin_success(now_s)

    def _look(self, own: Stager, known: list[int], now_s: float, *, away: bool) -> None:
        if own.address in self.reading:
            return
        choice = self.choices[own.address]
        if own.address in self.failing:
            if now_s < self.failing[own.address]:
                return
            del self.failing[own.address]
            choice.record_origin_failure(now_s)
        holder = PieceSource(stager=next(other for other in STAGERS if other != own), count=PIECES)
        holder.connected = holder.contacted = True
        holder.held.add_all(known)
        others = [other for other in STAGERS if other not in (own, holder.stager)]
        choice.update([holder], number=3, now_s=now_s, unfollowed=others)
        missing = [index for index in range(PIECES) if index not in known]
        for index in choice.prioritise(missing, now_s):
            if index in self.read_s or choice.choose(index, now_s) is not Origin.ORIGIN:
                continue
            if away:
                self.failing[own.address] = now_s + AWAY_FOR_S
            else:
                self.reading[own.address] = index, float(PIECE_BYTES)
            return


class TestAnOriginThatManyRead:
    def test_sends_the_first_pieces_long_before_the_last(self):
        origin = NarrowOrigin()
        origin.run(0.5)
        assert len(origin.read_s) >= 5

    def test_keeps_most_of_its_connections_free_for_others(self):
        origin = NarrowOrigin()
        origin.run(2 * WHOLE_S)
        assert origin.most_connections <= ORIGIN_CONNECTIONS // 3

    def test_sends_little_more_than_one_copy_in_little_more_than_the_time_of_its_link(self):
        origin = NarrowOrigin()
        origin.run(2 * WHOLE_S)
        assert len(origin.read_s) == PIECES
        assert max(origin.read_s.values()) <= 1.15 * WHOLE_S
        assert origin.bytes_sent <= 1.1 * PIECES * PIECE_BYTES

    @pytest.mark.parametrize("count", [1, 6])
    def test_is_read_whole_soon_though_some_stagers_do_not_read_their_part(self, count):
        origin = NarrowOrigin(silent=frozenset(own.address for own in STAGERS[:count]))
        origin.run(2 * WHOLE_S)
        assert len(origin.read_s) == PIECES
        assert max(origin.read_s.values()) <= 1.5 * WHOLE_S

    @pytest.mark.parametrize("away_s", [2.0, 6.0])
    def test_is_read_whole_soon_after_it_was_away(self, away_s):
        origin = NarrowOrigin()
        origin.run(away_s + 2 * WHOLE_S, away_until_s=away_s)
        assert origin.most_connections <= ORIGIN_CONNECTIONS // 3
        assert len(origin.read_s) == PIECES
        assert max(origin.read_s.values()) - away_s <= 1.5 * WHOLE_S
        assert origin.bytes_sent <= 1.2 * PIECES * PIECE_BYTES
