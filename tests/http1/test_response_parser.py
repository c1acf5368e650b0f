"""Responses that are refused while they are parsed."""

from __future__ import annotations

import gc
import tracemalloc

import pytest

from leadhollow.http1.response_parser import ResponseParser

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CONNECTIONS = 40
KEPT_BYTES = 20 * 1024  # of a connection that was closed


def refuse(head: bytes) -> None:
    """Let a new parser refuse a head."""
    parser = ResponseParser(
        on_response=lambda response: None, pause=lambda: None, resume=lambda: None
    )
    assert parser.feed(head) is not None


class TestRefusedHead:
    # Guards against: heads without end stay in memory until the garbage is collected.
    @pytest.mark.parametrize(
        "rest", [(b"A: " + b"x" * 1_000 + b"\r\n") * 257, b"A: " + b"x" * 250_000]
    )
    def test_is_not_kept(self, rest):
        refuse(STATUS_LINE + rest)
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            for _ in range(CONNECTIONS):
                refuse(STATUS_LINE + rest)
            kept_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            gc.enable()
        assert kept_bytes < CONNECTIONS * KEPT_BYTES


__all__: list[str] = []
