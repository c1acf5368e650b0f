"""Responses that are relayed to the caller: their header fields, and what is kept of them."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from leadhollow.forward.buffered_response import buffer_response
from leadhollow.forward.response_relay import relay_response, relayed_headers
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import Framing, ResponseHead
from leadhollow.platform.callers import PlatformCalls
from tests.forward.stream_world import FakeExchange, FakeReply
from tests.support import eventually

PIECE_BYTES = 100_000


def relayed(status: int, *fields: tuple[bytes, bytes]) -> list[bytes]:
    head = ResponseHead(
        status=status, reason=b"", headers=Headers(items=fields), framing=Framing.LENGTH
    )
    exchange = SimpleNamespace(
        response=SimpleNamespace(head=head), metadata=PlatformCalls().parse_response(head)
    )
    return [name for name, _ in relayed_headers(exchange)]


class TestFields:
    # Guards against: callers back off for as long as a server asked this VM to.
    def test_that_ask_this_vm_to_back_off_are_not_relayed(self):
        fields = [(b"X-Response-Signature", b"s"), (b"Retry-After", b"600"), (b"X-Own", b"1")]
        assert relayed(503, *fields) == [b"X-Response-Signature", b"X-Own"]

    def test_are_relayed_except_those_that_frame_the_body(self):
        fields = [(b"Retry-After", b"600"), (b"Content-Length", b"3"), (b"Connection", b"close")]
        assert relayed(429, *fields) == [b"Retry-After"]


class TestLongResponse:
    # Guards against: what its caller has got already counts as held until the end of the response.
    async def test_keeps_nothing_that_was_written(self):
        exchange, reply = FakeExchange(), FakeReply()
        for _ in range(4):
            exchange.write(bytes(PIECE_BYTES))
        buffered = (await buffer_response(cast("Any", exchange))).unwrap()
        assert exchange.kept.size_bytes == 3 * PIECE_BYTES
        call = cast("Any", SimpleNamespace(reply=reply))
        relaying = asyncio.create_task(
            relay_response(
                call, cast("Any", exchange), buffered=buffered.body, complete=buffered.complete
            )
        )
        await eventually(lambda: len(reply.data) == 4 * PIECE_BYTES, "the parts so far")
        assert exchange.kept.size_bytes == 0
        exchange.write(b"")
        assert (await relaying).is_ok()
        assert reply.finished
