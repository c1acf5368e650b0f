"""Backend servers that end when they begin to run a certain request, and start again."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.node.site import PlainServer

POISON = b"poison"
"""A body that ends whatever server begins to run it."""

RESTART_S = 0.25


class CrashLog:
    """What all servers of a test saw, by loop time."""

    def __init__(self) -> None:
        self.ends_s: list[float] = []
        self.arrivals_s: list[float] = []  # of requests that end servers

    def arrivals_after_third_end(self, spread_s: float) -> int:
        """Count what arrived later than a time after the third server had ended."""
        if len(self.ends_s) < 3:
            return 0
        return sum(1 for arrived_s in self.arrivals_s if arrived_s > self.ends_s[2] + spread_s)


class CrashingServer(PlainServer):
    """A plain server that a poisonous request ends; it comes back under another name.

    Parameters
    ----------
    run_s
        How long it runs such a request until it ends.
    """

    def __init__(
        self, *, number: int, service: str, crash_log: CrashLog, run_s: float = 0.02
    ) -> None:
        super().__init__(instance=f"i-{number}.1", service=service)
        self.crash_log = crash_log
        self.run_s = run_s
        self.lives = 1
        self.only_resets = False
        self._number = number
        self._restarts: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, at the address of the life before where there was one."""
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
        for restart in self._restarts:
            restart.cancel()
        await super().stop()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if POISON not in body:
            return await self._answer_well(request)
        if request.headers.get("X-Expect-Instance") == self.instance:
            self.crash_log.arrivals_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.run_s)
        if request.headers.get("X-Expect-Instance") != self.instance or self.silent:
            return web.Response(status=421)
        if request.transport is None:
            return web.Response(status=500)  # its caller has left, so it is dropped
        if self.only_resets:
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=500)
        await self._end()
        return web.Response(status=500)  # nobody hears it

    async def _answer_well(self, request: web.Request) -> web.StreamResponse:
        return await super()._answer(request)

    async def _end(self) -> None:
        """End as a process does: all connections break, and nobody listens any more."""
        self.silent = True
        self.crash_log.ends_s.append(asyncio.get_running_loop().time())
        await self._site.stop()
        assert self._runner is not None
        server = self._runner.server
        assert server is not None
        for handler in server.connections:
            if handler.transport is not None:
                handler.transport.abort()
        restart = asyncio.get_running_loop().create_task(self._come_back())
        self._restarts.add(restart)

    async def _come_back(self) -> None:
        await asyncio.sleep(RESTART_S)
        assert self._runner is not None
        await self._runner.cleanup()
        self.lives += 1
        self.sequence = 0
        self.instance = f"i-{self._number}.{self.lives}"
        await self.start()
        self.silent = False


class CrashingEngine(CrashingServer):
    """A model engine of the same kind, which answers with a stream of events."""

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

    def _more_fields(self) -> dict[str, str]:
        return {}

    async def _answer_well(self, request: web.Request) -> web.StreamResponse:
        headers = {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Response-Signature": "signed",
            "X-Instance-Id": self.instance,
            "Content-Type": "text/event-stream",
            **self._more_fields(),
        }
        if request.headers.get("X-Expect-Instance") != self.instance:
            return web.Response(status=421, headers=headers)
        answer = web.StreamResponse(headers=headers)
        answer.enable_chunked_encoding()
        await answer.prepare(request)
        for number in range(self.EVENTS):
            await answer.write(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(0.005)
        await answer.write_eof()
        return answer


__all__ = ["POISON", "RESTART_S", "CrashingEngine", "CrashingServer", "Farm"]
