"""Tests of the HTTP fetcher: back-offs of peers, and bodies that are read whole."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.fetch import HttpFetcher
from leadhollow.settings.address import Address


class Peer:
    """Sends the same response to every request, and counts the requests."""

    def __init__(self, response: bytes) -> None:
        self.response = response
        self.requests = 0
        self.fetcher = HttpFetcher()

    async def __aenter__(self) -> Peer:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = Address(host=host, port=port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.fetcher.close()
        self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                writer.write(self.response)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def fetch_root(self):
        return await self.fetcher.fetch("GET", self.address, "/", timeout_s=1.0)


def response(status: str, *fields: str) -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status}", *fields, "Content-Length: 0", "", ""]).encode()


class TestPrecondition:
    # Guards against: a request goes out although what it relies on ended while it connected.
    async def test_is_checked_after_the_connection_is_open(self):
        async with Peer(response("200 OK")) as peer:
            fetched = await peer.fetcher.fetch(
                "POST", peer.address, "/", timeout_s=1.0, may_send=lambda: False
            )
            assert fetched.unwrap_err().code is Code.NOT_SENT
            assert peer.requests == 0
            assert (await peer.fetch_root()).is_ok()


class TestPeerBackoff:
    # Guards against: an origin or engine gets requests during a back-off that it asked for.
    @pytest.mark.parametrize("status", ["503 Away", "429 Busy"])
    async def test_blocks_requests_until_it_ends(self, status):
        async with Peer(response(status, "Retry-After: 0.3")) as peer:
            assert (await peer.fetch_root()).unwrap().status == int(status[:3])
            for _ in range(3):
                assert (await peer.fetch_root()).unwrap_err().code is Code.SERVER_RESTS
            assert peer.requests == 1
            await asyncio.sleep(0.35)
            assert (await peer.fetch_root()).is_ok()
            assert peer.requests == 2

    async def test_is_cleared_when_another_process_has_the_address(self):
        async with Peer(response("503 Away", "Retry-After: 600")) as peer:
            await peer.fetch_root()
            peer.fetcher.clear_backoff(peer.address)
            assert (await peer.fetch_root()).is_ok()

    @pytest.mark.parametrize(
        ("status", "value"),
        [
            ("200 OK", "600"),
            ("500 Failed", "600"),
            ("503 Away", "0"),
            ("503 Away", "soon"),
            ("503 Away", "-1"),
        ],
    )
    async def test_is_not_started_by_other_status_or_value(self, status, value):
        async with Peer(response(status, f"Retry-After: {value}")) as peer:
            await peer.fetch_root()
            assert (await peer.fetch_root()).is_ok()
            assert peer.requests == 2


class TestWholeBody:
    async def feed(self, *pieces: bytes) -> IncomingBody:
        body = IncomingBody(pause=lambda: None, resume=lambda: None)
        for piece in pieces:
            body.feed(piece)
        body.finish()
        return body

    async def test_joins_all_pieces(self):
        body = await self.feed(b"ab", b"c")
        assert (await body.read_all(3)).unwrap() == b"abc"

    async def test_above_limit_is_refused(self):
        body = await self.feed(b"ab", b"c")
        assert (await body.read_all(2)).unwrap_err().code is Code.BODY_TOO_LARGE

    async def test_that_fails_early_is_a_failure(self):
        body = IncomingBody(pause=lambda: None, resume=lambda: None)
        body.feed(b"ab")
        body.fail(Failure(code=Code.PEER_LOST))
        assert (await body.read_all(9)).unwrap_err().code is Code.PEER_LOST
