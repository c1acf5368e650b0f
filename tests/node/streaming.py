"""Engines on an event loop of their own, so that an entry may stand still while they go on."""

from __future__ import annotations

import asyncio
import itertools
import threading
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

from aiohttp import web

from tests.node.site import HOST, PlainServer, route

FIELDS = {"X-Model": "m", "X-Token-Usage": "10,3"}
EVENT = b"id: %d\ndata: x\n\n"
_attempts = itertools.count(1)
Given = TypeVar("Given")


def streaming_route(*, resumable: bool, **fields: object) -> dict[str, object]:
    """Describe a route to engines that stream."""
    usual = {"type": "streaming", "resumable": resumable, "gapTargetMs": 400, "timeoutMs": 8_000}
    return {**route("/ask/", "service"), **usual, **fields}


class Script:
    """What an engine does with a stream.

    Parameters
    ----------
    events
        How many it writes in all.
    pause_s
        Time before each event.
    pauses_s
        Times before single events instead, by their place.
    ends_after
        Events after which the connection ends; None where the stream comes whole.
    drip_s
        Time between the two halves of each event; 0 writes it at once.
    """

    def __init__(
        self,
        *,
        events: int = 6,
        pause_s: float = 0.05,
        pauses_s: dict[int, float] | None = None,
        ends_after: int | None = None,
        drip_s: float = 0.0,
    ) -> None:
        self.events = events
        self.pause_s = pause_s
        self.pauses_s = pauses_s or {}
        self.ends_after = ends_after
        self.drip_s = drip_s


class StreamRun:
    """One run of a request, as its engine saw it.

    Attributes
    ----------
    broken
        Whether the connection was broken before the stream was whole.
    """

    def __init__(self, *, attempt_id: str, first: int) -> None:
        self.attempt_id = attempt_id
        self.first = first
        self.began_s = time.monotonic()
        self.written = 0
        self.whole = False
        self.broken = False


class StreamingEngine(PlainServer):
    """A model engine that writes streams as its script says, on a thread of its own.

    Attributes
    ----------
    script
        May be changed between requests.
    runs
        Everything that it began to run.
    """

    def __init__(self, *, instance: str, service: str = "service", script: Script) -> None:
        super().__init__(instance=instance, service=service)
        self.script = script
        self.version = 1
        self.runs: list[StreamRun] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    async def start(self) -> None:
        self._thread.start()
        await self._elsewhere(super().start())

    async def stop(self) -> None:
        await self._elsewhere(super().stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        await asyncio.to_thread(self._thread.join)
        self._loop.close()

    def record(self) -> dict[str, object]:
        return {
            "name": self.service,
            "engine": {
                "slots": 64,
                "models": [{"name": "m", "warmS": 0.1}],
                "step_ms": 1.0,
                "read_per_s": 100_000.0,
            },
        }

    def heartbeat(self) -> dict[str, object]:
        models = [{"name": "m", "version": self.version, "adapters": []}]
        return {**super().heartbeat(), "slots": 64, "models": models}

    async def _elsewhere(self, work: Coroutine[Any, Any, Given]) -> Given:
        """Run something on the engine's own loop."""
        return await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(work, self._loop))

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        headers = {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Response-Signature": "signed",
            "X-Instance-Id": self.instance,
            "Content-Type": "text/event-stream",
        }
        if request.headers.get("X-Expect-Instance") != self.instance:
            return web.Response(status=421, headers=headers)
        await request.read()
        last = request.headers.get("Last-Event-Id")
        run = StreamRun(
            attempt_id=headers["X-Attempt-Id"], first=0 if last is None else int(last) + 1
        )
        self.runs.append(run)
        answer = web.StreamResponse(headers=headers)
        answer.enable_chunked_encoding()
        try:
            await self._write(request, answer, run)
        except (ConnectionError, asyncio.CancelledError):
            run.broken = True
            raise
        return answer

    async def _write(
        self, request: web.Request, answer: web.StreamResponse, run: StreamRun
    ) -> None:
        script = self.script
        for place in range(run.first, script.events):
            await asyncio.sleep(script.pauses_s.get(place, script.pause_s))
            if not answer.prepared:
                await answer.prepare(request)
            if place == script.ends_after:
                assert request.transport is not None
                request.transport.abort()
                return
            event = EVENT % place
            half = len(event) // 2 if script.drip_s else 0
            if half:
                await answer.write(event[:half])
                await asyncio.sleep(script.drip_s)
            await answer.write(event[half:])
            run.written += 1
        await answer.write_eof()
        run.whole = True


class StreamClient:
    """A caller on a thread's own loop, which reads a stream to its end.

    Attributes
    ----------
    status
        0 where no answer began.
    event_ids
        In the order in which they came.
    whole
        Whether the answer ended as complete.
    ended_after_s
        Time from the request to its end.
    """

    def __init__(self, *, address: str, half_close: bool = False) -> None:
        self._address = address
        self._half_close = half_close
        self.attempt_id = f"{next(_attempts):016x}"
        self.status = 0
        self.event_ids: list[int] = []
        self.whole = False
        self.ended_after_s = 0.0

    @property
    def ids_whole(self) -> bool:
        """Whether no event is missing, comes twice or in another order."""
        return self.event_ids == list(range(len(self.event_ids)))

    async def run(self) -> StreamClient:
        """Send the request and read its answer, on a loop of its own."""
        await asyncio.to_thread(lambda: asyncio.run(self._run()))
        return self

    async def _run(self) -> None:
        host, _, port = self._address.rpartition(":")
        began_s = time.monotonic()
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = {"Host": HOST, "X-Attempt-Id": self.attempt_id, "Content-Length": "4", **FIELDS}
        fields["Connection"] = "close"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"POST /ask/a HTTP/1.1\r\n{lines}\r\ngood".encode())
        if self._half_close:
            writer.write_eof()
        data = b""
        try:
            while read := await reader.read(65_536):
                data += read
                if data.endswith(b"\r\n0\r\n\r\n"):
                    break
        except ConnectionError:
            pass  # what came before the reset counts
        finally:
            self.ended_after_s = time.monotonic() - began_s
            writer.close()
        self._read(data)

    def _read(self, data: bytes) -> None:
        head, _, body = data.partition(b"\r\n\r\n")
        if head:
            self.status = int(head.split()[1])
        self.whole = data.endswith(b"\r\n0\r\n\r\n")
        lines = body.replace(b"\r\n", b"\n").split(b"\n")
        self.event_ids = [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def hold(seconds: float) -> None:
    """Keep the loop that calls from running anything else."""
    time.sleep(seconds)


async def streams(
    address: str, count: int, meanwhile: Callable[[], Coroutine[Any, Any, None]] | None = None
) -> Sequence[StreamClient]:
    """Read some streams at once, and do something while they run."""
    clients = [StreamClient(address=address) for _ in range(count)]
    running = [asyncio.create_task(client.run()) for client in clients]
    if meanwhile is not None:
        await meanwhile()
    await asyncio.gather(*running)
    return clients


__all__ = [
    "FIELDS",
    "Script",
    "StreamClient",
    "StreamRun",
    "StreamingEngine",
    "hold",
    "streaming_route",
    "streams",
]
