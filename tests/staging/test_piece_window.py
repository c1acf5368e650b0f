"""Tests of how many pieces are asked for at a time."""

from __future__ import annotations

import pytest

from leadhollow.staging.piece_window import (
    FAST_SLICE_S,
    ORIGIN_WINDOW,
    SLOW_SLICE_S,
    URGENT_WINDOW,
    WINDOW,
    PieceWindow,
)


def a_window(share: float = 1.0) -> PieceWindow:
    return PieceWindow(link_share=lambda: share)


class TestPieceWindow:
    def test_starts_wide(self):
        window = a_window()
        assert window.size == WINDOW
        assert not window.reduced

    def test_slices_that_take_long_narrow_it_for_the_next_version_too(self):
        window = a_window()
        for _ in range(4):
            window.record_slice(2 * SLOW_SLICE_S)
        assert window.size == 1
        assert window.reduced

    def test_quick_slices_widen_it_step_by_step(self):
        window = a_window()
        for _ in range(4):
            window.record_slice(2 * SLOW_SLICE_S)
        window.record_slice(FAST_SLICE_S / 2)
        assert window.size < WINDOW
        for _ in range(4 * WINDOW):
            window.record_slice(FAST_SLICE_S / 2)
        assert window.size == WINDOW

    @pytest.mark.parametrize("share", [0.1, 0.5])
    def test_a_slow_link_gets_fewer(self, share):
        assert a_window(share).size == max(1, round(WINDOW * share))

    def test_a_version_that_would_come_too_late_gets_more(self):
        window = a_window()
        window.urgent = True
        assert window.size == URGENT_WINDOW
        assert not window.reduced

    def test_the_origin_does_not_count_while_the_link_is_free(self):
        window = a_window()
        assert window.allows_stager(from_stagers=WINDOW - 1, from_origin=ORIGIN_WINDOW)
        assert window.allows_origin(from_stagers=WINDOW, from_origin=ORIGIN_WINDOW - 1)
        assert not window.allows_origin(from_stagers=0, from_origin=ORIGIN_WINDOW)

    def test_over_a_slow_link_all_pieces_count_and_the_origin_still_gets_its_turn(self):
        window = a_window(0.25)
        assert not window.allows_stager(from_stagers=0, from_origin=1)
        assert window.allows_origin(from_stagers=1, from_origin=0)
        assert not window.allows_origin(from_stagers=1, from_origin=1)
