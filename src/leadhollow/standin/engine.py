"""Stand-in for a model engine.

It simulates continuous batching, a prefix cache and load orders with fencing numbers.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import OrderedDict
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web
from blake3 import blake3

from leadhollow.standin.engine_records import (
    EngineFaults,
    EngineLedger,
    Generation,
    Load,
    LoadBody,
    hash_file,
    token_seed,
    token_text,
)
from leadhollow.standin.http_server import StandinServer
from leadhollow.standin.odd_answers import OddAnswers

CACHE_ENTRIES = 64
PREFIX_CHARACTERS = 512
DEFAULT_MAX_TOKENS = 256
CHARACTERS_PER_TOKEN = 4


class _Completion:
    __slots__ = ("crashes", "generation", "index", "prefill_steps", "queue", "seed", "total")

    def __init__(
        self,
        *,
        generation: Generation,
        seed: str,
        index: int,
        total: int,
        prefill_steps: int,
        crashes: bool,
    ) -> None:
        self.crashes = crashes
        self.generation = generation
        self.seed = seed
        self.index = index
        self.total = total
        self.prefill_steps = prefill_steps
        self.queue: asyncio.Queue[str | None] = asyncio.Queue()


class EngineStandin:
    """Model engine with an HTTP interface.

    Parameters
    ----------
    step_ms
        Duration of one step in milliseconds. A step generates one token of every running request
        that has finished its prefill.
    batch
        Maximum number of running requests; further ones wait in order of priority.
    prefill_tokens_per_step
        Prompt tokens that one step processes; cached ones need no step.
    checks_fencing
        Whether load orders with an outdated fencing number are refused.
    """

    __slots__ = (
        "_arrival_numbers",
        "_batch",
        "_cache",
        "_checks_fencing",
        "_crash_task",
        "_last_fence",
        "_loading",
        "_prefill_tokens_per_step",
        "_running",
        "_step_ms",
        "_step_task",
        "_waiting",
        "_work_added",
        "cache_hits",
        "cache_misses",
        "crash_times_s",
        "events",
        "faults",
        "generations",
        "loads",
        "model",
        "odd",
        "server",
        "version",
    )

    def __init__(
        self,
        *,
        step_ms: float = 9.0,
        batch: int = 16,
        prefill_tokens_per_step: int = 512,
        checks_fencing: bool = True,
    ) -> None:
        self._step_ms = step_ms
        self._batch = batch
        self._prefill_tokens_per_step = prefill_tokens_per_step
        self._checks_fencing = checks_fencing
        self._last_fence = 0
        self._loading = False
        self._running: list[_Completion] = []
        self._waiting: list[tuple[int, int, _Completion]] = []
        self._arrival_numbers = itertools.count()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._work_added = asyncio.Event()
        self._step_task: asyncio.Task[None] | None = None
        self._crash_task: asyncio.Task[None] | None = None
        self.crash_times_s: list[float] = []
        self.cache_hits = 0
        self.cache_misses = 0
        self.events: list[dict[str, str]] = []
        self.faults = EngineFaults()
        self.generations: list[Generation] = []
        self.loads: list[Load] = []
        self.model = ""
        self.version = ""
        self.odd = OddAnswers(share=lambda: self.faults.odd_share, cuts=True)
        self.server = StandinServer(application=self._application())

    @property
    def root(self) -> str:
        """Root hash of the loaded version; empty without a model."""
        return self.loads[-1].root if self.loads and self.model else ""

    async def start(self, port: int = 0) -> None:
        """Start the HTTP server and the step loop."""
        await self.server.start(port)
        self._step_task = asyncio.get_running_loop().create_task(self._run_steps())

    async def stop(self) -> None:
        """Stop at once and cut the running requests."""
        for task in (self._step_task, self._crash_task):
            if task is not None:
                task.cancel()
        for completion in self._running:
            completion.queue.put_nowait(None)
        await self.server.stop()

    def _application(self) -> web.Application:
        application = web.Application(
            client_max_size=64 * 1024 * 1024, middlewares=[self.odd.middleware()]
        )
        router = application.router
        router.add_get("/admin/model", self._get_model)
        router.add_post("/admin/load", self._load_version)
        router.add_post("/admin/faults", self._set_faults)
        router.add_get("/admin/events", self._get_events)
        router.add_get("/admin/report", self._get_report)
        router.add_get("/admin/ledger", self._get_ledger)
        router.add_post("/v1/chat/completions", self._complete)
        router.add_delete("/v1/requests/{request_id}", self._cancel)
        router.add_get("/v1/kv", self._export_cache)
        router.add_put("/v1/kv", self._import_cache)
        return application

    # Administration.

    async def _get_model(self, request: web.Request) -> web.Response:
        if self.faults.dead and request.transport is not None:
            request.transport.abort()
        return web.json_response({"model": self.model, "version": self.version, "root": self.root})

    async def _load_version(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=LoadBody)
        if self.faults.dead and request.transport is not None:
            request.transport.abort()
            return web.Response(status=500)
        if self._checks_fencing and order.fence < self._last_fence:
            return web.json_response({"error": "old fencing number"}, status=409)
        if self.faults.refuse_loads:
            return web.json_response({"error": "refused"}, status=500)
        self._last_fence = max(self._last_fence, order.fence)
        self._loading = True
        try:
            file_hash = await asyncio.to_thread(hash_file, Path(order.path))
        finally:
            self._loading = False
        self._cache.clear()
        self.model, self.version = order.model, order.version
        self.loads.append(
            Load(root=order.root, version=order.version, fence=order.fence, file_hash=file_hash)
        )
        return await self._get_model(request)

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=EngineFaults)
        if self.faults.dead:
            for completion in self._running:
                completion.queue.put_nowait(None)
            self._running.clear()
            self.model = ""
        return web.Response(status=204)

    async def _get_report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"running": len(self._running), "waiting": len(self._waiting), "batch": self._batch}
        )

    async def _get_ledger(self, request: web.Request) -> web.Response:
        ledger = EngineLedger(
            generations=self.generations,
            loads=self.loads,
            cache_hits=self.cache_hits,
            cache_misses=self.cache_misses,
        )
        return web.Response(body=msgspec.json.encode(ledger), content_type="application/json")

    async def _get_events(self, request: web.Request) -> web.Response:
        events, self.events = self.events, []
        # Every second event is dropped, as if lost on the way.
        return web.json_response(events[::2])

    async def _export_cache(self, request: web.Request) -> web.Response:
        return web.json_response(list(self._cache))

    async def _import_cache(self, request: web.Request) -> web.Response:
        for prefix in msgspec.json.decode(await request.read(), type=list[str]):
            self._cache_prefix(prefix)
        return web.Response(status=204)

    # Completions.

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        if self.faults.dead and request.transport is not None:
            request.transport.abort()
        if not self.model or self._loading:
            return web.json_response({"error": "no model is loaded"}, status=503)
        completion = self._enqueue(request.headers.get("X-Request-Id", ""), body)
        try:
            if body.get("stream"):
                return await self._respond_stream(request, completion)
            return await self._respond_whole(completion)
        finally:
            self._remove(completion)

    def _enqueue(self, request_id: str, body: dict[str, Any]) -> _Completion:
        resumed_from = int(body.get("resume", {}).get("tokens", 0))
        generation = Generation(request_id=request_id, root=self.root, resumed_from=resumed_from)
        self.generations.append(generation)
        completion = _Completion(
            generation=generation,
            seed=token_seed(self.root, body["messages"]),
            index=resumed_from,
            total=int(body.get("max_tokens") or DEFAULT_MAX_TOKENS),
            prefill_steps=self._count_prefill_steps(body["messages"]),
            crashes=self._has_crash_text(body["messages"]),
        )
        entry = (-int(body.get("priority", 0)), next(self._arrival_numbers), completion)
        heapq.heappush(self._waiting, entry)
        self._work_added.set()
        return completion

    def _count_prefill_steps(self, messages: list[dict[str, Any]]) -> int:
        text = "".join(str(message.get("content")) for message in messages)
        prefix = blake3(text[:PREFIX_CHARACTERS].encode()).hexdigest()[:16]
        characters = len(text)
        if prefix in self._cache:
            self.cache_hits += 1
            characters = max(0, characters - PREFIX_CHARACTERS)
        else:
            self.cache_misses += 1
        self._cache_prefix(prefix)
        return characters // CHARACTERS_PER_TOKEN // self._prefill_tokens_per_step

    def _has_crash_text(self, messages: list[dict[str, Any]]) -> bool:
        text = self.faults.crash_text
        return bool(text) and any(text in str(message.get("content")) for message in messages[:-1])

    def _cache_prefix(self, prefix: str) -> None:
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        self.events.append({"stored": prefix})
        if len(self._cache) > CACHE_ENTRIES:
            evicted, _ = self._cache.popitem(last=False)
            self.events.append({"removed": evicted})

    async def _respond_stream(
        self, request: web.Request, completion: _Completion
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        while (token := await completion.queue.get()) is not None:
            event = {"choices": [{"index": 0, "delta": {"content": token}}]}
            await response.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
        if not completion.generation.finished:
            if request.transport is not None:
                request.transport.abort()
            return response
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _respond_whole(self, completion: _Completion) -> web.Response:
        tokens = []
        while (token := await completion.queue.get()) is not None:
            tokens.append(token)
        if not completion.generation.finished:
            return web.json_response({"error": "cut"}, status=500)
        message = {"role": "assistant", "content": "".join(tokens)}
        return web.json_response(
            {
                "model": self.model,
                "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
                "usage": {"completion_tokens": len(tokens)},
            }
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        for completion in [*self._running, *(entry[2] for entry in self._waiting)]:
            if completion.generation.request_id == request.match_info["request_id"]:
                self._remove(completion)
                completion.queue.put_nowait(None)
        return web.Response(status=204)

    def _remove(self, completion: _Completion) -> None:
        if completion in self._running:
            self._running.remove(completion)
        completion.total = min(completion.total, completion.index)

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        next_step_s = loop.time()
        while True:
            if not self._running and not self._waiting:
                self._work_added.clear()
                await self._work_added.wait()
                next_step_s = loop.time()
            next_step_s += self._step_ms / 1000 * self.faults.slow_factor
            await asyncio.sleep(max(0.0, next_step_s - loop.time()))
            self._step()

    def _step(self) -> None:
        while self._waiting and len(self._running) < self._batch:
            _, _, admitted = heapq.heappop(self._waiting)
            if admitted.index < admitted.total:
                self._running.append(admitted)
            elif not admitted.generation.finished:
                admitted.generation.finished = True
                admitted.queue.put_nowait(None)
        for completion in list(self._running):
            if self.faults.cut_streams > 0 and completion.generation.generated > 0:
                self.faults.cut_streams -= 1
                self._running.remove(completion)
                completion.queue.put_nowait(None)
                continue
            self._advance(completion)

    async def _crash(self) -> None:
        """End like a process, and listen again a while later with the version that was loaded."""
        self.crash_times_s.append(asyncio.get_running_loop().time())
        self._running.clear()
        self._waiting.clear()
        await self.server.crash()
        await asyncio.sleep(self.faults.restart_s)
        port = self.server.port
        await self.server.stop()
        await self.server.start(port)
        self._crash_task = None

    def _advance(self, completion: _Completion) -> None:
        if completion.prefill_steps > 0:
            completion.prefill_steps -= 1
            return
        if completion.crashes:
            if self._crash_task is None:
                self._crash_task = asyncio.get_running_loop().create_task(self._crash())
            return
        completion.queue.put_nowait(token_text(completion.seed, completion.index))
        completion.index += 1
        completion.generation.generated += 1
        if completion.index >= completion.total:
            completion.generation.finished = True
            completion.queue.put_nowait(None)
            self._running.remove(completion)


__all__ = ["EngineStandin"]
