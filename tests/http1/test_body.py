"""Tests of the buffer of a body that is read while it arrives."""

from __future__ import annotations

import pytest

from leadhollow.http1.body import PAUSE_ABOVE_BYTES, IncomingBody


class Socket:
    """Counts how often reading was paused and resumed."""

    def __init__(self) -> None:
        self.pauses = 0
        self.resumptions = 0

    def body(self) -> IncomingBody:
        return IncomingBody(pause=self.pause, resume=self.resume)

    def pause(self) -> None:
        self.pauses += 1

    def resume(self) -> None:
        self.resumptions += 1


class TestDiscardedBody:
    # Guards against: a late reader takes what is left of a discarded body for its end, and relays a
    # shorter body as a whole one.
    @pytest.mark.parametrize("complete", [False, True])
    async def test_cannot_be_read_to_its_end(self, complete):
        body = Socket().body()
        body.feed(b"ab")
        if complete:
            body.finish()
        body.discard()
        body.feed(b"cd")
        assert (await body.read()).is_err()

    # Guards against: bytes that follow pause reading again, and nobody resumes it.
    async def test_does_not_pause_reading(self):
        socket = Socket()
        body = socket.body()
        body.feed(bytes(PAUSE_ABOVE_BYTES + 1))
        body.discard()
        body.feed(bytes(PAUSE_ABOVE_BYTES + 1))
        assert (socket.pauses, socket.resumptions) == (1, 1)
        assert body.buffered_bytes == 0

    async def test_that_was_read_whole_is_still_complete(self):
        body = Socket().body()
        body.feed(b"ab")
        body.finish()
        assert (await body.read()).unwrap() == b"ab"
        body.discard()
        assert (await body.read()).unwrap() == b""
