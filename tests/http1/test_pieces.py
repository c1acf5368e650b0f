"""Pieces of bytes in memory."""

from __future__ import annotations

import random
import sys

from leadhollow.http1.pieces import Pieces

LARGE = 10_000


class TestPieces:
    def test_give_the_bytes_in_order(self):
        source = random.Random(1)
        pieces, expected, taken = Pieces(), b"", b""
        for _ in range(2_000):
            data = source.randbytes(source.choice((1, 2, 100, LARGE)))
            pieces.append(data)
            expected += data
            if source.random() < 0.4 and pieces:
                taken += pieces.pop()
            assert pieces.size_bytes == len(expected) - len(taken)
        assert taken + pieces.merge() == expected
        assert pieces.pop() == expected[len(taken) :]
        assert not pieces

    def test_a_large_piece_is_not_copied(self):
        data = bytes(LARGE)
        pieces = Pieces()
        pieces.append(data)
        assert pieces.merge() is data
        assert pieces.pop() is data

    # Guards against: pieces of a few bytes that take many times their size.
    def test_small_pieces_take_little_more_than_their_bytes(self):
        pieces = Pieces()
        for _ in range(100_000):
            pieces.append(b"ab")
        held = sum(sys.getsizeof(piece) for piece in pieces._pieces)
        assert held < 1.5 * pieces.size_bytes


__all__: list[str] = []
