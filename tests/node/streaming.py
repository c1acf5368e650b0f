"""Streaming engines and clients on their own event loops, separate from the loop of the entry."""

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
_attempt_numbers = itertools.count(1)
Given = TypeVar("Given")


def streaming_route(*, resumable: bool, **fields: object) -> dict[str, object]:
    """Describe a route to streaming engines."""
    usual = {"type": "streaming", "resumable": resumable, "gapTargetMs": 400, "timeoutMs": 8_000}
    return {**route("/ask/", "service"), **usual, **fields}


class Script:
    """Behaviour of an engine for a stream.

    Parameters
    ----------
    events
        Total number of events.
    pause_s
        Delay before each event.
    pauses_s
        Delays before individual events, by index, which replace ``pause_s``.
    ends_after
        Number of events after which the connection is aborted; None to complete the stream.
    drip_s
        Time between the two halves of each event; 0 writes each event at once.
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
    """Record of one request at its engine.

    Attributes
    ----------
    broken
        Whether the connection ended before the stream was complete.
    """

    def __init__(self, *, attempt_id: str, first: int) -> None:
        self.attempt_id = attempt_id
        self.first = first
        self.began_s = time.monotonic()
        self.written = 0
        self.whole = False
        self.broken = False


class StreamingEngine(PlainServer):
    """Model engine that writes streams according to a script, on its own thread.

    Attributes
    ----------
    script
        Can be changed between requests.
    runs
        All requests that it started to run.
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
        await self._run_on_own_loop(super().start())

    async def stop(self) -> None:
        await self._run_on_own_loop(super().stop())
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

    async def _run_on_own_loop(self, work: Coroutine[Any, Any, Given]) -> Given:
        """Run a coroutine on the engine's own loop."""
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
        last_event_id = request.headers.get("Last-Event-Id")
        run = StreamRun(
            attempt_id=headers["X-Attempt-Id"],
            first=0 if last_event_id is None else int(last_event_id) + 1,
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
        for index in range(run.first, script.events):
            await asyncio.sleep(script.pauses_s.get(index, script.pause_s))
            if not answer.prepared:
                await answer.prepare(request)
            if index == script.ends_after:
                assert request.transport is not None
                request.transport.abort()
                return
            event = EVENT % index
            half = len(event) // 2 if script.drip_s else 0
            if half:
                await answer.write(event[:half])
                await asyncio.sleep(script.drip_s)
            await answer.write(event[half:])
            run.written += 1
        await answer.write_eof()
        run.whole = True


class StreamClient:
    """Caller that reads a stream to its end, on a loop of its own thread.

    Attributes
    ----------
    status
        Status of the response; 0 if there was none.
    event_ids
        In order of arrival.
    whole
        Whether the response ended completely.
    ended_after_s
        Time from the request to the end of the response.
    """

    def __init__(self, *, address: str, half_close: bool = False) -> None:
        self._address = address
        self._half_close = half_close
        self.attempt_id = f"{next(_attempt_numbers):016x}"
        self.status = 0
        self.event_ids: list[int] = []
        self.whole = False
        self.ended_after_s = 0.0

    @property
    def ids_whole(self) -> bool:
        """Whether the events are complete up to the last one, in order and without duplicates."""
        return self.event_ids == list(range(len(self.event_ids)))

    async def run(self) -> StreamClient:
        """Send the request and read the response on a separate loop."""
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
            pass  # keep the data received before the reset
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


def block_loop(seconds: float) -> None:
    """Block the event loop of the caller."""
    time.sleep(seconds)


async def read_streams(
    address: str, count: int, while_running: Callable[[], Coroutine[Any, Any, None]] | None = None
) -> Sequence[StreamClient]:
    """Read several streams concurrently, and run a coroutine meanwhile."""
    clients = [StreamClient(address=address) for _ in range(count)]
    running = [asyncio.create_task(client.run()) for client in clients]
    if while_running is not None:
        await while_running()
    await asyncio.gather(*running)
    return clients


__all__ = [
    "FIELDS",
    "Script",
    "StreamClient",
    "StreamRun",
    "StreamingEngine",
    "block_loop",
    "read_streams",
    "streaming_route",
]
