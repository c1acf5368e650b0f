"""Streams that are cut on an open connection and followed by another answer."""

from __future__ import annotations

import itertools

import pytest

from tests.forward.odd_server import EndConnection, OddServer, Send

COUNT = 2


def events(*, ids: bool, text: str, first: int = 0) -> list[bytes]:
    names = [f"id: {first + n}\n" if ids else "" for n in range(COUNT)]
    return [f"{name}data: {text} {n}\n\n".encode() for n, name in enumerate(names)]


def stream(attempt_id: str, parts: list[bytes], framing: str, *, lower: bool = False) -> bytes:
    """Return the head and the body of a stream."""
    fields = [f"X-Attempt-Id: {attempt_id}", "Content-Type: text/event-stream"]
    if framing == "length":
        fields.append(f"Content-Length: {sum(map(len, parts))}")
    elif framing != "close":
        fields.append("Transfer-Encoding: chunked")
    lines = ["HTTP/1.1 200 OK", *(field.lower() if lower else field for field in fields)]
    head = "\r\n".join([*lines, "", ""]).encode()
    if framing == "one chunk":
        parts = [b"".join(parts)]
    if "chunk" in framing:
        parts = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]
    return head + b"".join(parts)


class TestCutStream:
    # Guards against: the head and the events of another stream are relayed as the stream's own.
    @pytest.mark.parametrize("framing", ["length", "close", "chunks", "one chunk"])
    @pytest.mark.parametrize("ids", [True, False])
    @pytest.mark.parametrize("lower", [True, False])
    async def test_does_not_go_on_with_another_one(self, framing, ids, lower):
        own = events(ids=ids, text="own " * 35)
        whole = stream("bb", own, framing)
        body_at = whole.index(b"\r\n\r\n") + 4
        foreign = stream("aa", events(ids=ids, text="foreign"), framing, lower=lower)
        wrong = []
        for cut in range(body_at, len(whole)):

            async def script(_: str, send: Send, cut: int = cut) -> None:
                await send(whole[:cut] + foreign)
                raise EndConnection

            async with OddServer(script) as server:
                parts, complete = await server.events("bb")
            relayed = b"".join(parts)
            if not _is_prefix(relayed, own) or (complete and relayed != b"".join(own)):
                wrong.append((cut - body_at, relayed, complete))
        assert wrong == []


class TestProperStream:
    # Guards against: fields that the pages name, comments or texts about HTTP break a stream off.
    @pytest.mark.parametrize("framing", ["length", "close", "chunks", "one chunk"])
    @pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
    async def test_passes(self, framing, line_end):
        own = [
            b": comment\nid: 0\nevent: e\ndata\n\n",
            b"x-weight-versions: 3\nid: 1\nretry: 9\ndata: HTTP/1.1 200 OK\n\n",
            b"id: 2\ndata: HTTP/1.1 200 OK\ndata: X-Attempt-Id: aa\ndata:\n\n",
            b":\n\n",
        ]
        own = [part.replace(b"\n", line_end) for part in own]

        async def script(_: str, send: Send) -> None:
            await send(stream("bb", own, framing))
            raise EndConnection

        async with OddServer(script) as server:
            assert await server.events("bb") == (own, True)


def _is_prefix(relayed: bytes, own: list[bytes]) -> bool:
    return relayed in itertools.accumulate(own, initial=b"")


__all__: list[str] = []
