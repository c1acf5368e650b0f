"""Tests of the limit on pieces in flight."""

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


def make_window(share: float = 1.0) -> PieceWindow:
    return PieceWindow(link_share=lambda: share)


class TestPieceWindow:
    def test_starts_at_its_normal_size(self):
        window = make_window()
        assert window.size == WINDOW
        assert not window.reduced

    def test_slow_slices_reduce_it_to_one(self):
        window = make_window()
        for _ in range(4):
            window.record_slice(2 * SLOW_SLICE_S)
        assert window.size == 1
        assert window.reduced

    def test_fast_slices_restore_it_gradually(self):
        window = make_window()
        for _ in range(4):
            window.record_slice(2 * SLOW_SLICE_S)
        window.record_slice(FAST_SLICE_S / 2)
        assert window.size < WINDOW
        for _ in range(4 * WINDOW):
            window.record_slice(FAST_SLICE_S / 2)
        assert window.size == WINDOW

    @pytest.mark.parametrize("share", [0.1, 0.5])
    def test_shrinks_with_the_link_share(self, share):
        assert make_window(share).size == max(1, round(WINDOW * share))

    def test_is_larger_for_an_urgent_version(self):
        window = make_window()
        window.urgent = True
        assert window.size == URGENT_WINDOW
        assert not window.reduced

    def test_origin_pieces_do_not_count_at_normal_size(self):
        window = make_window()
        assert window.allows_stager(from_stagers=WINDOW - 1, from_origin=ORIGIN_WINDOW)
        assert window.allows_origin(from_stagers=WINDOW, from_origin=ORIGIN_WINDOW - 1)
        assert not window.allows_origin(from_stagers=0, from_origin=ORIGIN_WINDOW)

    def test_all_pieces_count_over_a_slow_link_and_one_origin_piece_is_allowed(self):
        window = make_window(0.25)
        assert not window.allows_stager(from_stagers=0, from_origin=1)
        assert window.allows_origin(from_stagers=1, from_origin=0)
        assert not window.allows_origin(from_stagers=1, from_origin=1)
