"""Backend servers that crash when they run a certain request, and restart."""

from __future__ import annotations

import asyncio

from aiohttp import HttpVersion10, web

from tests.node.site import PlainServer, route

POISON = b"poison"
"""Request body that crashes a server that runs it."""

CRASHING_PART = "0badf00d"
"""Prompt part that crashes a server that runs a request with it, unless it is the last part."""

RESTART_DELAY_S = 0.25


class CrashLog:
    """Crashes of all servers of a test, and arrivals of requests that cause them, by loop time."""

    def __init__(self) -> None:
        self.crash_times_s: list[float] = []
        self.arrivals_s: list[float] = []  # of requests that crash servers

    def arrivals_after_third_crash(self, spread_s: float) -> int:
        """Count requests that arrived more than ``spread_s`` after the third crash."""
        return self.arrivals_after_crash(3, spread_s)

    def arrivals_after_crash(self, number: int, spread_s: float) -> int:
        """Count requests that arrived more than ``spread_s`` after a crash, the first being 1."""
        if len(self.crash_times_s) < number:
            return 0
        crash_s = self.crash_times_s[number - 1]
        return sum(1 for arrived_s in self.arrivals_s if arrived_s > crash_s + spread_s)


def has_crashing_part(request: web.Request) -> bool:
    """Return whether the crashing part stands before the last part of a request's prompt."""
    parts = request.headers.get("X-Prompt-Prefix", "").split(",")
    return any(part.partition(":")[0] == CRASHING_PART for part in parts[:-1])


def frame_until_close(request: web.Request, answer: web.StreamResponse) -> None:
    """Give a response neither a length nor chunks, as HTTP/1.0 does; its connection ends it."""
    request._version = HttpVersion10
    answer.headers.pop("Content-Length", None)
    answer.force_close()


class CrashingServer(PlainServer):
    """Plain server that crashes on a poison request and restarts under another instance name.

    Parameters
    ----------
    run_s
        Time for which it runs such a request before it crashes.

    Attributes
    ----------
    until_close
        Whether its responses have neither a length nor chunks and end with their connection.
    """

    def __init__(
        self, *, number: int, service: str, crash_log: CrashLog, run_s: float = 0.02
    ) -> None:
        super().__init__(instance=f"i-{number}.1", service=service)
        self.crash_log = crash_log
        self.run_s = run_s
        self.lives = 1
        self.only_resets = False
        self.until_close = False
        self._number = number
        self._restarts: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, after a restart at the previous address."""
        application = web.Application()
        application.router.add_route("*", "/{rest:.*}", self._answer)
        self._runner = web.AppRunner(application, handle_signals=False)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        self._site = web.TCPSite(
            self._runner, host or "127.0.0.1", int(port or 0), reuse_address=True
        )
        await self._site.start()
        host, bound = self._runner.addresses[0][:2]
        self.address = f"{host}:{bound}"

    async def stop(self) -> None:
        for restart_task in self._restarts:
            restart_task.cancel()
        await super().stop()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if POISON not in body and not has_crashing_part(request):
            return await self._answer_normally(request)
        if request.headers.get("X-Expect-Instance") == self.instance:
            self.crash_log.arrivals_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.run_s)
        if request.headers.get("X-Expect-Instance") != self.instance or self.silent:
            return web.Response(status=421)
        if request.transport is None:
            return web.Response(status=500)  # the caller disconnected, so the request is dropped
        if self.only_resets:
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=500)
        await self._crash()
        return web.Response(status=500)  # never delivered: the connection is gone

    async def _answer_normally(self, request: web.Request) -> web.StreamResponse:
        answer = await super()._answer(request)
        if not self.until_close or answer.status != 200:
            return answer
        unframed = web.StreamResponse(headers=answer.headers)
        frame_until_close(request, unframed)
        await unframed.prepare(request)
        await unframed.write(self.instance.encode())
        await unframed.write_eof()
        return unframed

    async def _crash(self) -> None:
        """Behave as a process that ends: abort all connections and stop listening."""
        self.silent = True
        self.crash_log.crash_times_s.append(asyncio.get_running_loop().time())
        await self._site.stop()
        assert self._runner is not None
        server = self._runner.server
        assert server is not None
        for handler in server.connections:
            if handler.transport is not None:
                handler.transport.abort()
        restart_task = asyncio.get_running_loop().create_task(self._restart())
        self._restarts.add(restart_task)

    async def _restart(self) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        assert self._runner is not None
        await self._runner.cleanup()
        self.lives += 1
        self.sequence = 0
        self.instance = f"i-{self._number}.{self.lives}"
        await self.start()
        self.silent = False


class CrashingEngine(CrashingServer):
    """Model engine that crashes in the same way; it responds with a stream of events."""

    EVENTS = 3

    def record(self) -> dict[str, object]:
        return {
            "name": self.service,
            "engine": {
                "slots": 16,
                "models": [{"name": "m", "warmS": 0.1}],
                "step_ms": 1.0,
                "read_per_s": 100_000.0,
            },
        }

    def heartbeat(self) -> dict[str, object]:
        return {
            **super().heartbeat(),
            "slots": 16,
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }

    def _extra_headers(self) -> dict[str, str]:
        return {}

    async def _answer_normally(self, request: web.Request) -> web.StreamResponse:
        headers = {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Response-Signature": "signed",
            "X-Instance-Id": self.instance,
            "Content-Type": "text/event-stream",
            **self._extra_headers(),
        }
        if request.headers.get("X-Expect-Instance") != self.instance:
            return web.Response(status=421, headers=headers)
        answer = web.StreamResponse(headers=headers)
        if self.until_close:
            frame_until_close(request, answer)
        else:
            answer.enable_chunked_encoding()
        await answer.prepare(request)
        resumed_after = int(request.headers.get("Last-Event-Id", -1))
        for number in range(resumed_after + 1, self.EVENTS):
            await answer.write(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(0.005)
        await answer.write_eof()
        return answer


KINDS = {"plain": CrashingServer, "stream": CrashingEngine}


def service_route(kind: str) -> dict[str, object]:
    """Describe the route to servers of a kind."""
    streams = {"type": "streaming", "resumable": True, "gapTargetMs": 400}
    return {**route("/ask/", "service"), **(streams if kind == "stream" else {})}


__all__ = [
    "CRASHING_PART",
    "KINDS",
    "POISON",
    "RESTART_DELAY_S",
    "CrashLog",
    "CrashingEngine",
    "CrashingServer",
    "has_crashing_part",
    "service_route",
]
