"""Simulates 45 stagers that read from an origin with a slow link and few connections."""

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
ORIGIN_LINK_S = PIECES * PIECE_BYTES / ORIGIN_BYTES_PER_S
STEP_S = 0.02
UPDATE_STEPS = 3  # steps between two updates of a stager
ANNOUNCE_DELAY_S = 0.2  # until the others know that a piece was read
FAILURE_DETECTION_S = 1.0  # until a stager notices that the origin does not answer
STAGERS = [
    Stager(address=f"10.0.{number % 3}.{number}:7000", failure_domain=f"d{number % 3}")
    for number in range(45)
]


class SimulatedOrigin:
    """An origin that divides its link among its readers, simulated in time steps.

    Each stager reads one piece at a time. All know of a read piece after ``ANNOUNCE_DELAY_S``.
    """

    def __init__(self, *, inactive: frozenset[str] = frozenset()) -> None:
        delays = TakeoverDelays(
            piece_bytes=PIECE_BYTES,
            origin_bytes_per_s=lambda: ORIGIN_BYTES_PER_S,
            link_bytes_per_s=lambda: LINK_BYTES_PER_S,
        )
        self.selectors = {
            own.address: SourceSelector(own=own, number=3, seed=1, delays=delays) for own in STAGERS
        }
        self.inactive = inactive
        self.reading: dict[str, tuple[int, float]] = {}  # by stager: piece and remaining bytes
        self.failing: dict[str, float] = {}  # by stager: when it notices
        self.read_s: dict[int, float] = {}  # by piece
        self.bytes_sent = 0.0
        self.max_connections = 0

    def run(self, until_s: float, *, unavailable_until_s: float = 0.0) -> None:
        """Let all stagers read; the origin answers nobody before ``unavailable_until_s``."""
        for step in range(round(until_s / STEP_S)):
            now_s = step * STEP_S
            self._send(now_s)
            announced = [
                index for index, at_s in self.read_s.items() if now_s - at_s >= ANNOUNCE_DELAY_S
            ]
            for position, own in enumerate(STAGERS):
                if (
                    own.address not in self.inactive
                    and step % UPDATE_STEPS == position % UPDATE_STEPS
                ):
                    self._update(own, announced, now_s, unavailable=now_s < unavailable_until_s)
            self.max_connections = max(self.max_connections, len(self.reading))

    def _send(self, now_s: float) -> None:
        share = ORIGIN_BYTES_PER_S * STEP_S / max(1, len(self.reading))
        for address, (index, left) in list(self.reading.items()):
            self.bytes_sent += min(share, left)
            if left > share:
                self.reading[address] = index, left - share
                continue
            del self.reading[address]
            self.read_s.setdefault(index, now_s)
            self.selectors[address].record_origin_success(now_s)

    def _update(
        self, own: Stager, announced: list[int], now_s: float, *, unavailable: bool
    ) -> None:
        if own.address in self.reading:
            return
        selector = self.selectors[own.address]
        if own.address in self.failing:
            if now_s < self.failing[own.address]:
                return
            del self.failing[own.address]
            selector.record_origin_failure(now_s)
        holder = PieceSource(stager=next(other for other in STAGERS if other != own), count=PIECES)
        holder.connected = holder.contacted = True
        holder.held.add_all(announced)
        others = [other for other in STAGERS if other not in (own, holder.stager)]
        selector.update([holder], number=3, now_s=now_s, unfollowed=others)
        missing = [index for index in range(PIECES) if index not in announced]
        for index in selector.prioritise(missing, now_s):
            if index in self.read_s or selector.choose(index, now_s) is not Origin.ORIGIN:
                continue
            if unavailable:
                self.failing[own.address] = now_s + FAILURE_DETECTION_S
            else:
                self.reading[own.address] = index, float(PIECE_BYTES)
            return


class TestOriginWithManyReaders:
    def test_sends_the_first_pieces_early(self):
        origin = SimulatedOrigin()
        origin.run(0.5)
        assert len(origin.read_s) >= 5

    def test_keeps_two_thirds_of_its_connections_free(self):
        origin = SimulatedOrigin()
        origin.run(2 * ORIGIN_LINK_S)
        assert origin.max_connections <= ORIGIN_CONNECTIONS // 3

    def test_sends_about_one_copy_in_about_the_time_that_its_link_needs(self):
        origin = SimulatedOrigin()
        origin.run(2 * ORIGIN_LINK_S)
        assert len(origin.read_s) == PIECES
        assert max(origin.read_s.values()) <= 1.15 * ORIGIN_LINK_S
        assert origin.bytes_sent <= 1.1 * PIECES * PIECE_BYTES

    @pytest.mark.parametrize("count", [1, 6])
    def test_all_pieces_are_read_in_time_although_some_stagers_read_nothing(self, count):
        origin = SimulatedOrigin(inactive=frozenset(own.address for own in STAGERS[:count]))
        origin.run(2 * ORIGIN_LINK_S)
        assert len(origin.read_s) == PIECES
        assert max(origin.read_s.values()) <= 1.5 * ORIGIN_LINK_S

    @pytest.mark.parametrize("away_s", [2.0, 6.0])
    def test_all_pieces_are_read_in_time_after_an_outage(self, away_s):
        origin = SimulatedOrigin()
        origin.run(away_s + 2 * ORIGIN_LINK_S, unavailable_until_s=away_s)
        assert origin.max_connections <= ORIGIN_CONNECTIONS // 3
        assert len(origin.read_s) == PIECES
        assert max(origin.read_s.values()) - away_s <= 1.5 * ORIGIN_LINK_S
        assert origin.bytes_sent <= 1.2 * PIECES * PIECE_BYTES
