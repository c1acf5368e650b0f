"""Makes a share of a server's answers odd on their way, by the seed's choice, and records which."""

from __future__ import annotations

import asyncio
import random
import re
from collections import Counter
from collections.abc import Callable, Coroutine

ATTEMPT_FIELD = re.compile(rb"X-Attempt-Id: [^\r\n]*\r\n", re.IGNORECASE)
SIGNATURE = re.compile(rb"X-Response-Signature: ([^\r\n]*)\r\n", re.IGNORECASE)
LENGTH = re.compile(rb"\r\nContent-Length: (\d+)\r\n", re.IGNORECASE)
STATUS = re.compile(rb"^HTTP/1\.1 200 [^\r\n]*")
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Internal Server Error"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
NO_HTTP = (b"\x00\x01\x02", b"ICY 200 OK\r\n\r\n", b"{}\n\n", b"HTTP/1.")
LATE_S = (0.0, 0.001, 0.03)
FAILED_SHARE = 0.2
ODD_SHARE = 0.25

Write = Callable[[bytes], Coroutine[None, None, None]]


class OddBytes:
    """Odd things that one server does.

    Attributes
    ----------
    active
        Whether it does them now.
    counts
        How often it did each.
    failed
        Signatures of the answers that it turned into failures.
    odd
        Signatures of the answers that were changed, or on whose connection others came.
    """

    __slots__ = ("_random", "_seed", "active", "counts", "failed", "odd")

    def __init__(self, *, seed: str) -> None:
        self._seed = seed
        self._random = random.Random(seed)
        self.active = True
        self.counts: Counter[str] = Counter()
        self.failed: set[str] = set()
        self.odd: set[str] = set()

    def connection(self, write: Write) -> OddConnection:
        """Return what changes the answers on a new connection."""
        return OddConnection(odd=self, source=random.Random(self._random.random()), write=write)

    def fails(self, signature: str) -> bool:
        """Return whether the server fails the request; the same for each of its answers to it."""
        return random.Random(f"{self._seed} {signature}").random() < FAILED_SHARE


class OddConnection:
    """Passes on what a server sends on one connection, and changes it."""

    __slots__ = ("_copies", "_kept", "_left", "_odd", "_random", "_swallows", "_tail", "_write")

    def __init__(self, *, odd: OddBytes, source: random.Random, write: Write) -> None:
        self._odd = odd
        self._random = source
        self._write = write
        self._kept = b""  # of the answer in progress
        self._left: int | None = None  # bytes that are missing of its body; None in chunks
        self._tail = b""
        self._copies: list[bytes] = []  # whole answers of this connection
        self._swallows = False

    async def feed(self, data: bytes) -> None:
        """Pass on the next bytes that the server sent."""
        if self._swallows:
            return
        if self._kept:
            await self._feed_body(data)
            return
        self._tail += data
        head, found, body = self._tail.partition(HEAD_END)
        if not found:
            return
        self._tail = b""
        await self._feed_head(head + found, body)

    async def _feed_head(self, head: bytes, body: bytes) -> None:
        odd, source = self._odd, self._random
        signature = _signature(head)
        if signature and odd.active and odd.fails(signature):
            head = STATUS.sub(FAILED, head)
            odd.failed.add(signature)
            odd.odd.add(signature)
        length = LENGTH.search(head)
        self._kept, self._left = head, None if length is None else int(length[1])
        if self._is_odd(head) and source.random() < 0.3:
            await self._write(self._extra("before"))
            odd.odd.add(signature)
        if self._is_odd(head) and source.random() < 0.3:
            odd.counts["cut"] += 1
            odd.odd.add(signature)
            self._swallows = True
            whole = head + body
            then = source.choice(self._copies) if self._copies else whole
            await self._write(whole[: source.randrange(len(whole))])
            await asyncio.sleep(source.choice(LATE_S))
            await self._write(then * source.choice((0, 1, 1, 2)))
            return
        await self._write(head)
        await self._feed_body(body)

    async def _feed_body(self, data: bytes) -> None:
        odd, source = self._odd, self._random
        self._kept += data
        if self._left is None:
            ended = self._kept.endswith(LAST_CHUNK)
        else:
            self._left -= len(data)
            ended = self._left <= 0
        if not ended:
            await self._write(data)
            return
        whole, self._kept = self._kept, b""
        self._copies = [*self._copies[-3:], whole]
        if not self._is_odd(whole) or source.random() < 0.4:
            await self._write(data)
            return
        extra = self._extra("behind")
        odd.odd.add(_signature(whole))
        late_s = source.choice((None, *LATE_S))
        if late_s is None:
            await self._write(data + extra)
            return
        await self._write(data)
        await asyncio.sleep(late_s)
        await self._write(extra)

    def _is_odd(self, answer: bytes) -> bool:
        is_entry = ATTEMPT_FIELD.search(answer) is not None
        return is_entry and self._odd.active and self._random.random() < ODD_SHARE

    def _extra(self, place: str) -> bytes:
        """Return bytes that belong to no request."""
        source = self._random
        kinds = ["interim", "no http"]
        if self._copies:
            kinds += 2 * ["copy", "copy without id", "copy with two ids", "beginning"]
        kind = source.choice(kinds)
        self._odd.counts[f"{kind} {place}"] += 1
        if kind == "interim":
            return INTERIM
        if kind == "no http":
            return source.choice(NO_HTTP)
        copy = source.choice(self._copies)
        if kind == "copy without id":
            return ATTEMPT_FIELD.sub(b"", copy, count=1)
        if kind == "copy with two ids":
            return ATTEMPT_FIELD.sub(rb"X-Attempt-Id: 00000000\r\n\g<0>", copy, count=1)
        return copy if kind == "copy" else copy[: source.randrange(len(copy))]


def _signature(head: bytes) -> str:
    found = SIGNATURE.search(head)
    return "" if found is None else found[1].decode()


__all__ = ["OddBytes", "OddConnection"]
