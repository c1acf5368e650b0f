"""Requests whose response is sent before their body was read, each followed by another request.

``python -m tests.http1.early_answers`` runs every size from 1 KiB to 4 MiB in steps of 20 KiB, with
the response after 50 ms.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import sys
from collections.abc import Sequence

import uvloop

from leadhollow.http1.headers import Headers
from leadhollow.http1.incoming_request import IncomingRequest
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.server import HttpServer
from leadhollow.settings.address import Address
from tests.raw_http import RawCaller

KIB = 1024
MAX_BODY_BYTES = 4096 * KIB
PIECE_BYTES = 16 * KIB - 1
CONNECTIONS = 8  # at a time
SILENT_S = 5.0  # a connection without a response for this long is silent


class Case:
    """One request with an early response, and the request that follows it.

    Parameters
    ----------
    body_bytes
        Size of the body.
    in_pieces
        Whether the caller writes the body in pieces, else in one write.
    chunked
        Whether the body is chunked, else it has a length.
    pipelined
        Whether the next request is sent before the response was read.
    read_bytes
        What the handler reads of the body before it responds.
    turns, wait_s
        Turns of the event loop, and time, that the handler then lets pass.
    """

    def __init__(
        self,
        *,
        body_bytes: int,
        in_pieces: bool,
        chunked: bool,
        pipelined: bool,
        read_bytes: int = 0,
        turns: int = 0,
        wait_s: float = 0.0,
    ) -> None:
        self.body_bytes = body_bytes
        self.in_pieces = in_pieces
        self.chunked = chunked
        self.pipelined = pipelined
        self.read_bytes = read_bytes
        self.turns = turns
        self.wait_s = wait_s

    def __repr__(self) -> str:
        return f"Case({', '.join(f'{name}={value}' for name, value in vars(self).items())})"

    def writes(self, number: int) -> list[bytes]:
        """Return the first request as it is written."""
        framing = b"Transfer-Encoding: chunked"
        if not self.chunked:
            framing = b"Content-Length: %d" % self.body_bytes
        head = b"POST /early/%d HTTP/1.1\r\nHost: x\r\n%b\r\n\r\n" % (number, framing)
        size = PIECE_BYTES if self.in_pieces else max(1, self.body_bytes)
        starts = range(0, self.body_bytes, size)
        pieces = [bytes(min(size, self.body_bytes - start)) for start in starts]
        if self.chunked:
            pieces = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces] + [b"0\r\n\r\n"]
        return [head, *pieces] if self.in_pieces else [head + b"".join(pieces)]


class EarlyServer:
    """Server that responds to POST requests early, as their cases say, and to others at once."""

    def __init__(self) -> None:
        self._server = HttpServer(address=Address(host="127.0.0.1", port=0), handler=self._respond)
        self._cases: list[Case] = []

    async def __aenter__(self) -> EarlyServer:
        assert (await self._server.start()).is_ok()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._server.stop()

    async def _respond(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        if request.head.method == b"POST":
            case = self._cases[int(request.head.target.removeprefix(b"/early/"))]
            left = case.read_bytes
            while left > 0 and (data := (await request.body.read()).unwrap()):
                left -= len(data)
            for _ in range(case.turns):
                await asyncio.sleep(0)
            if case.wait_s:
                await asyncio.sleep(case.wait_s)
        await reply.send(200, Headers(items=[(b"X-Seen", request.head.target)]))

    async def leaves_silent(self, case: Case) -> bool:
        """Run one case on a connection of its own; return if its next request gets no response."""
        number = len(self._cases)
        self._cases.append(case)
        caller = await RawCaller.connect(self._server.address)
        try:
            async with asyncio.timeout(SILENT_S):
                first, after = await self._run(caller, case, number)
        except TimeoutError:
            return True
        finally:
            caller.close()
        assert b"X-Seen: /early/%d\r\n" % number in first
        assert b"X-Seen: /after" in after
        return False

    @staticmethod
    async def _run(caller: RawCaller, case: Case, number: int) -> tuple[bytes, bytes]:
        async def write() -> None:
            for data in case.writes(number):
                await caller.send(data)

        next_request = b"GET /after HTTP/1.1\r\nHost: x\r\n\r\n"
        writing = asyncio.create_task(write())
        try:
            if case.pipelined:
                await writing
                await caller.send(next_request)
            first, _ = await caller.read_answer()
            await writing
            if not case.pipelined:
                await caller.send(next_request)
            after, _ = await caller.read_answer()
        finally:
            writing.cancel()
        return first, after


def drawn_cases(source: random.Random, count: int) -> list[Case]:
    """Draw cases of the sweep."""
    return source.sample(sweep_cases(), count)


def sweep_cases() -> list[Case]:
    """Return all cases of the sweep."""
    sizes = range(KIB, MAX_BODY_BYTES + 1, 20 * KIB)
    flags = itertools.product((False, True), repeat=3)
    return [
        Case(
            body_bytes=size,
            in_pieces=in_pieces,
            chunked=chunked,
            pipelined=pipelined,
            wait_s=0.05,
        )
        for size, (in_pieces, chunked, pipelined) in itertools.product(sizes, flags)
    ]


async def silent_cases(cases: Sequence[Case]) -> list[Case]:
    """Run cases, some at a time; return those that leave their connection silent."""
    silent: list[Case] = []
    left = iter(cases)

    async def run(server: EarlyServer) -> None:
        for case in left:
            if await server.leaves_silent(case):
                silent.append(case)

    async with EarlyServer() as server:
        await asyncio.gather(*(run(server) for _ in range(CONNECTIONS)))
    return silent


def main() -> int:
    """Run the whole sweep and print the silent cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cases", type=int, default=0, help="draw so many; 0 for all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--uvloop", action="store_true")
    options = parser.parse_args()
    cases = sweep_cases()
    if options.cases:
        cases = drawn_cases(random.Random(options.seed), options.cases)
    loop = uvloop.new_event_loop if options.uvloop else asyncio.new_event_loop
    with asyncio.Runner(loop_factory=loop) as runner:
        silent = runner.run(silent_cases(cases))
    for case in silent:
        print(case)
    print(f"{len(cases)} cases, {len(silent)} silent")
    return 1 if silent else 0


if __name__ == "__main__":
    sys.exit(main())
