"""Stand-ins of backend servers, a model engine and a plain service; what they ran is recorded."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web

from tests.soak.cold import COLD_START_S, Cold
from tests.soak.engine_stage import EngineStage
from tests.soak.ledger import Ledger, Limit, Run
from tests.soak.parts import BACK_AFTER_S, BEGINS_S, PartLog, has_crashing_part
from tests.soak.proxy import Path, Proxy
from tests.soak.self_reports import SelfReport
from tests.soak.stream_engine import PlannedStream
from tests.soak.stream_plan import Planner
from tests.soak.stream_records import StreamRun
from tests.soak.weights import LAYERS, MODEL

BEAT_S = 0.4
MAX_BODY_BYTES = 8 * 1024 * 1024
LOAD_S = 0.2
WORK_S = 0.03
EVENT_S = 0.02
DRAIN_S = 2.0
EARLY_SHARE = 0.1  # of long requests that are refused before they are in


def event(request: str, number: int) -> bytes:
    """Give one event of a stream."""
    return f"id: {number}\ndata: {request}/{number}\n\n".encode()


class Backend:
    """One address at which incarnations of a backend server follow each other.

    Parameters
    ----------
    model
        Whether it runs a model.
    controls
        Gives the addresses that take announcements.

    Attributes
    ----------
    mute
        Whether it takes requests and answers none.
    part_log
        Records what a crashing part does; None where no part crashes it.
    planner
        Decides what becomes of each stream; None where each is written at once and whole.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        proxy: Proxy,
        slots: int,
        model: bool,
        ledger: Ledger,
        controls: Callable[[], list[str]],
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.proxy = proxy
        self.slots = slots
        self.model = model
        self.version = 1 if model else 0
        self.stage = EngineStage(now_s=ledger.now_s)
        self.mute = False
        self.state = "ready"
        self.drained_s: float | None = None
        self.limit: Limit | None = None
        self.refused_share = 0.0
        self.rest_s: float | None = None
        self.leaving = False  # by answers only
        self.planner: Planner | None = None
        self.part_log: PartLog | None = None
        self._crashes: set[asyncio.Task[None]] = set()
        self._changing = asyncio.Lock()  # a crash may come while a fault ends or starts it
        self._report_of_self = SelfReport(instance="")
        self._cold = Cold(instance="", until_s=0.0)
        self._ledger = ledger
        self._controls = controls
        self._incarnation = 0
        self._sequence = 0
        self._orders = 0
        self._busy = False
        self._running: set[asyncio.Task[object]] = set()
        self._semaphore = asyncio.Semaphore(slots)
        self._random = random.Random(name)
        self._runner: web.AppRunner | None = None
        self._beating: asyncio.Task[None] | None = None
        self._loading: asyncio.Task[None] | None = None
        self._damaged: list[int] = []  # pieces that were bad for too long when they were loaded
        if model:
            self.stage.fill(1)

    @property
    def instance(self) -> str:
        """Name of this incarnation."""
        return f"i-{self.name}-{self._incarnation}"

    async def start(self) -> None:
        """Begin a new incarnation, if none runs."""
        async with self._changing:
            if self._runner is None:
                await self._begin()

    async def _begin(self) -> None:
        self._incarnation += 1
        self._sequence = self._orders = 0
        self.state, self.drained_s, self.mute, self._busy = "ready", None, False, False
        self.limit = None
        self._damaged = []
        self.rest_s, self.leaving = None, False
        self._report_of_self = SelfReport(instance=self.instance)
        self._ledger.self_reports.append(self._report_of_self)
        cold_s = COLD_START_S if self.model and self._incarnation > 1 else 0.0
        self._cold = Cold(instance=self.instance, until_s=self._ledger.now_s() + cold_s)
        self._ledger.colds.append(self._cold)
        self._semaphore = asyncio.Semaphore(self.slots)
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/-/report", self._report)
        app.router.add_post("/-/order", self._order)
        app.router.add_put(f"/-/stage-put/{MODEL}", self._stage_put)
        app.router.add_get(f"/-/stage-get/{MODEL}", self._stage_get)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.proxy.host, self.proxy.target_port).start()
        self._beating = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """End at once, as a crash does; what is staged stays."""
        async with self._changing:
            await self._end()

    async def _end(self) -> None:
        for task in (self._beating, self._loading, *self._running):
            if task is not None:
                task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        self._runner = None
        if self.model:
            self.version = 0

    def stop_beating(self) -> None:
        """Send no heartbeats any more; it goes on serving."""
        if self._beating is not None:
            self._beating.cancel()

    async def bring_back(self) -> None:
        """Let it serve undisturbed, whatever state it is in."""
        self.mute = False
        self.proxy.path = Path.OPEN
        if self._runner is None:
            await self.start()

    def name_limit(self, per_s: float | None) -> None:
        """Name a limit in all answers from now on, or none."""
        self.limit = None
        if per_s is not None:
            self.limit = Limit(instance=self.instance, per_s=per_s)
            self._ledger.limits.append(self.limit)

    def _limit_fields(self) -> dict[str, str]:
        if self.limit is None:
            return {}
        if self.limit.named_s is None:
            self.limit.named_s = self._ledger.now_s()
        return {"Server-Limit": str(self.limit.per_s)}

    def _own_fields(self) -> dict[str, str]:
        leaving = {"Server-Leaving": "1"} if self.leaving else {}
        return {**self._limit_fields(), **leaving}

    async def leave_by_answers(self) -> None:
        """Say in answers only that it leaves, go, and come back as another incarnation."""
        instance, self.leaving = self.instance, True
        await asyncio.sleep(DRAIN_S)
        if self.instance != instance or self._runner is None:
            return  # another fault ended it meanwhile
        await self._tell("DELETE")
        await self.stop()
        await self.start()

    async def leave(self) -> None:
        """Drain as announced, then go."""
        self.state = "draining"
        await asyncio.sleep(DRAIN_S + 1.5)
        await self._tell("DELETE")
        await self.stop()

    async def _beat(self) -> None:
        while True:
            acknowledged = await self._tell("PUT")
            if acknowledged and self.state == "draining" and self.drained_s is None:
                self.drained_s = self._ledger.now_s()
            await asyncio.sleep(BEAT_S)

    async def _tell(self, method: str) -> bool:
        self._sequence += 1
        document = {
            "service": self.service,
            "address": self.proxy.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "sequence": self._sequence,
            "coldRemainingMs": self._cold.remaining_ms(self._ledger.now_s()),
            **self._held(),
        }
        controls = self._controls()
        random.shuffle(controls)
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for control in controls:
                url = f"http://{control}/-/instances/{self.instance}"
                try:
                    async with session.request(method, url, json=document) as answer:
                        if answer.status == 200:
                            return True
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
        return False

    def _held(self) -> dict[str, object]:
        if not self.version:
            return {"models": [], "layers": []}
        layers = {"from": 0, "target": LAYERS, "version": self.version}
        return {"models": [{"name": MODEL, "version": self.version}], "layers": [layers]}

    async def _report(self, request: web.Request) -> web.Response:
        active = len(self._running)
        return web.json_response(
            {
                **self._held(),
                "busy": self._busy,
                "sequence": self._orders,
                "queued": max(0, active - self.slots),
                "active": min(active, self.slots),
            }
        )

    async def _stage_put(self, request: web.Request) -> web.Response:
        self.stage.put(int(request.query["pieceIndex"]), await request.read())
        return web.Response(status=200)

    async def _stage_get(self, request: web.Request) -> web.Response:
        if "pieceIndex" not in request.query:
            return web.json_response({"held": self.stage.held()})
        data = self.stage.get(int(request.query["pieceIndex"]))
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        late_s = self.stage.late_order_s
        if not late_s:
            return web.Response(status=self._accept(order, self._incarnation))
        asyncio.get_running_loop().call_later(late_s, self._accept, order, self._incarnation)
        await asyncio.sleep(late_s + DRAIN_S)
        return web.Response(status=500)

    def _accept(self, order: dict[str, Any], incarnation: int) -> int:
        """Accept an order, if it fits; return the status of the answer."""
        if incarnation != self._incarnation or self._runner is None:
            return 500
        if self._busy or order["precondition"] != self._orders:
            return 409
        version = int(order["version"])
        if order.get("target") is None and version == self.version:
            return 200
        self._orders += 1
        self._damaged = []
        if order.get("target") == 0:
            self.version = 0
            return 202
        self._busy = True
        wrong = self.stage.wrong_pieces(version)
        if wrong:
            self._ledger.break_rule(f"WHOLE {self.instance}: version {version}, pieces {wrong}")
        self._damaged = self.stage.damaged_pieces()
        self._loading = asyncio.create_task(self._load(version))
        return 202

    async def _load(self, version: int) -> None:
        for task in list(self._running):
            task.cancel()
        self.version = 0
        await asyncio.sleep(LOAD_S)
        self.version = version
        self._busy = False

    async def _serve_crowd(self, request: web.Request) -> web.StreamResponse:
        """Answer a request of which the ledger knows nothing."""
        with contextlib.suppress(ConnectionResetError):
            async for _ in request.content.iter_chunked(65_536):
                pass
        headers = {
            "X-Attempt-Id": request.headers.get("X-Attempt-Id", ""),
            "X-Instance-Id": self.instance,
            "X-Response-Signature": "crowd",
        }
        return web.Response(headers=headers)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        attempt = request.headers.get("X-Attempt-Id", "")
        refused = {"X-Not-Executed": "1", "X-Instance-Id": self.instance, "X-Attempt-Id": attempt}
        self._ledger.arrivals.note(self.service, attempt, self._ledger.now_s())
        if self._random.random() < self.refused_share:
            return web.Response(status=503, headers=refused)
        if request.headers.get("X-Expect-Instance") != self.instance:
            return web.Response(status=421, headers=refused)
        self._cold.note_arrival(self._ledger.now_s())
        crashes = self.part_log is not None and has_crashing_part(request.headers)
        if self.limit is not None:
            self.limit.arrivals_s.append(self._ledger.now_s())
        refused.update(self._own_fields())
        if attempt not in self._ledger.senders:
            return await self._serve_crowd(request)
        sender, now_s = self._ledger.senders[attempt], self._ledger.now_s()
        self._report_of_self.note_arrival(attempt, sender, now_s)
        if self.rest_s is not None:
            self._report_of_self.note_rest(sender, self.rest_s, now_s)
            refused["Retry-After"] = str(self.rest_s)
            return web.Response(status=503, headers=refused)
        self._judge_draining(attempt)
        expected = request.headers.get("X-Expect-Version")
        if self.model and (not self.version or self._busy):
            return web.Response(status=503, headers=refused)
        if expected is not None and int(expected) != self.version:
            return web.Response(status=421, headers=refused)
        if len(self._running) >= 2 * self.slots:
            return web.Response(status=503, headers=refused)
        if self._random.random() < EARLY_SHARE and self._ledger.is_long(attempt):
            return web.Response(status=503, headers=refused)
        body = await request.read()
        self._ledger.judge_body(attempt, body)
        task = asyncio.current_task()
        assert task is not None
        self._running.add(task)
        self._ledger.accepted[attempt] += 1
        try:
            async with self._semaphore:
                while self.mute:
                    await asyncio.sleep(0.05)
                if crashes:
                    self._begin_crash()
                if self.planner is not None:
                    return await self._run_planned(request, attempt, self.planner, now_s)
                return await self._run(request, attempt, body)
        finally:
            self._running.discard(task)

    def _begin_crash(self) -> None:
        """Let this incarnation end soon, as one that begins to write an answer to the part."""
        assert self.part_log is not None
        self.part_log.arrivals_s.append(self._ledger.now_s())
        crash = asyncio.create_task(self._crash(self._incarnation))
        self._crashes.add(crash)
        crash.add_done_callback(self._crashes.discard)

    async def _crash(self, incarnation: int) -> None:
        await asyncio.sleep(BEGINS_S)
        if self._incarnation != incarnation or self._runner is None or self.part_log is None:
            return
        self.part_log.ends_s.append(self._ledger.now_s())
        await self.stop()
        await asyncio.sleep(self._random.uniform(*BACK_AFTER_S))
        if self._incarnation == incarnation and self._runner is None:
            await self.start()

    def _judge_draining(self, attempt: str) -> None:
        now_s = self._ledger.now_s()
        if self.drained_s is None or not self._ledger.calm(now_s):
            return
        if now_s - self.drained_s > DRAIN_S:
            self._ledger.break_rule(f"DRAIN {attempt}: sent to {self.instance}")

    async def _run(self, request: web.Request, attempt: str, body: bytes) -> web.StreamResponse:
        now_s = self._ledger.now_s()
        if self._damaged:
            self._ledger.break_rule(f"WHOLE {attempt}: {self.instance} loaded bad {self._damaged}")
        run = Run(
            request=attempt,
            instance=self.instance,
            service=self.service,
            version=self.version,
            began_s=now_s,
        )
        self._ledger.runs[attempt].append(run)
        signature = f"{attempt}/{self.instance}"
        headers = {
            "X-Attempt-Id": attempt,
            "X-Response-Signature": signature,
            **self._own_fields(),
        }
        if self.leaving:
            self._report_of_self.leaving_signatures.add(signature)
        if not self.model:
            await asyncio.sleep(WORK_S)
            answer = web.Response(body=signature.encode(), headers=headers)
            with contextlib.suppress(ConnectionError):  # the caller left
                await answer.prepare(request)
                await answer.write_eof()
            self._note_end(run, request)
            return answer
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        with contextlib.suppress(ConnectionError):  # the caller left
            await response.prepare(request)
        last = int(request.headers.get("Last-Event-Id", "0"))
        for number in range(last + 1, int(request.match_info["path"].rpartition("/")[2]) + 1):
            await asyncio.sleep(EVENT_S)
            with contextlib.suppress(ConnectionError):
                await response.write(event(attempt, number))
            self._note_cut(run, request)
        with contextlib.suppress(ConnectionError):
            await response.write_eof()
        self._note_end(run, request)
        return response

    async def _run_planned(
        self, request: web.Request, attempt: str, planner: Planner, asked_s: float
    ) -> web.StreamResponse:
        headers = {
            "X-Attempt-Id": attempt,
            "X-Response-Signature": f"{attempt}/{self.instance}",
            "Content-Type": "text/event-stream",
        }
        answer = web.StreamResponse(headers=headers)
        if request.transport is None or request.transport.is_closing():
            return answer  # the caller left before it could run
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        events = int(request.match_info["path"].rpartition("/")[2])
        run = StreamRun(
            request=attempt,
            instance=self.instance,
            version=self.version,
            began_s=self._ledger.now_s(),
            number=len(self._ledger.runs[attempt]),
            proxy=self.proxy,
            asked_s=asked_s,
        )
        run.last = first - 1
        self._ledger.runs[attempt].append(run)
        plan = planner.plan(attempt, first, events)
        await PlannedStream(
            run=run, plan=plan, request=request, answer=answer, numbers=range(first, events + 1)
        ).write()
        return answer

    def _note_end(self, run: Run, request: web.Request) -> None:
        """Note that the whole answer is there, unless nobody takes it any more."""
        self._note_cut(run, request)
        if run.cut_s is None:
            run.ended_s = self._ledger.now_s()

    def _note_cut(self, run: Run, request: web.Request) -> None:
        gone = request.transport is None or request.transport.is_closing()
        if gone and run.cut_s is None:
            run.cut_s = self._ledger.now_s()


__all__ = ["DRAIN_S", "Backend", "event"]
