"""Model of an engine with a stage, and of an installer beside it, on a virtual clock.

The engine goes on while the process of the installer stands still: what happens to it has a time
of its own and is carried out, in order, before the engine is looked at again.
"""

from __future__ import annotations

import asyncio
import hashlib
import heapq
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.membership.instances import ServedVersion
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.staging.engine_client import ORDER_TIMEOUT_S, STAGE_TIMEOUT_S
from leadhollow.staging.engine_dialect import EngineReport, LoadOrder
from leadhollow.staging.installer import Installer
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion, PieceManifest, weights_key
from tests.config_path.virtual_loop import VirtualLoop

MODEL = "m"
LAYERS = 4
PIECE_COUNT = 12
LOAD_S = 0.3
CALL_S = 0.001
DAMAGE_ALLOWED_S = 3.0  # a piece may have been damaged for so long when it is loaded
BOUND_S = 60.0


def pieces_of(number: int) -> list[bytes]:
    """Return the pieces of a version."""
    return [b"%d/%d" % (number, index) * 16 for index in range(PIECE_COUNT)]


def manifest_of(number: int) -> PieceManifest:
    digests = b"".join(hashlib.sha256(piece).digest() for piece in pieces_of(number))
    return PieceManifest(algorithm="sha256", chunk_bytes=64, layers=LAYERS, digests=digests)


class Load:
    """A load that the engine began.

    Attributes
    ----------
    faults
        One text for each piece that was not as it must be.
    """

    __slots__ = ("faults", "number", "time_s")

    def __init__(self, *, number: int, time_s: float, faults: list[str]) -> None:
        self.number = number
        self.time_s = time_s
        self.faults = faults

    def __repr__(self) -> str:
        return f"version {self.number} at {self.time_s:.2f} s: {self.faults or 'as it must be'}"


class EngineModel:
    """An engine with a stage.

    Attributes
    ----------
    accept_after_s
        Delays after which the next orders are accepted, in order; the order then has no answer if
        the delay is longer than the caller waits. An empty list means at once, None never.
    answer_lost
        Whether each of the next orders is accepted without an answer.
    next_write_after_s
        Delay of the next write; it has no answer if the delay is over 0.
    before_call
        Called before each call takes effect, with its name; tests stop the process here.
    """

    def __init__(self) -> None:
        self.stage: dict[int, bytes] = {}
        self.damaged_s: dict[int, float] = {}
        self.sequence = 0
        self.born_ms = 1
        self.served: tuple[ServedVersion, ...] = ()
        self.loading_until_s = 0.0
        self.busy_with_requests_until_s = 0.0
        self.answering = True
        self.accept_after_s: list[float | None] = []
        self.answer_lost: list[bool] = []
        self.next_write_after_s = 0.0
        self.loads: list[Load] = []
        self.orders: list[LoadOrder] = []
        self.before_call: Callable[[str], None] = lambda name: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0

    # what happens to the engine

    def at(self, time_s: float, event: Callable[[], None]) -> None:
        """Let something happen at a loop time, whatever the installer's process does."""
        self._event_count += 1
        heapq.heappush(self._events, (time_s, self._event_count, event))

    def damage(self, index: int) -> None:
        """Let a staged piece turn bad."""
        if index in self.stage and index not in self.damaged_s:
            self.stage[index] = b"damaged"
            self.damaged_s[index] = self._now_s

    def crash(self, *, down_s: float, power_lost: bool = False) -> None:
        """End this life of the engine; the next one begins after a while."""
        self.answering = False
        self.served = ()
        self.sequence = 0
        self._events = [
            event
            for event in self._events
            if event[2].__name__ not in ("accept_late", "write_late")
        ]
        heapq.heapify(self._events)
        if power_lost:
            self.stage.clear()
            self.damaged_s.clear()
        self.at(self._now_s + down_s, self._start)

    def _start(self) -> None:
        self.answering = True
        self.born_ms += 1
        self.loading_until_s = 0.0

    def _catch_up(self) -> None:
        now_s = asyncio.get_running_loop().time()
        while self._events and self._events[0][0] <= now_s:
            self._now_s, _, event = heapq.heappop(self._events)
            event()
        self._now_s = now_s

    _now_s = 0.0

    # its interface, as a stager sees it

    def report_now(self) -> EngineReport | None:
        self._catch_up()
        if not self.answering:
            return None
        busy = self._now_s < self.loading_until_s
        return EngineReport(
            served=() if busy else self.served,
            busy=busy,
            sequence=self.sequence,
            active=int(self._now_s < self.busy_with_requests_until_s),
            queued=0,
            memory_used_tokens=0,
            memory_tokens=1,
            pace=1.0,
            born_ms=self.born_ms,
        )

    async def list_staged(self, model: str) -> Result[list[int], Failure]:
        return await self._call("list", lambda: sorted(self.stage))

    async def read_staged_piece(self, model: str, index: int) -> Result[bytes, Failure]:
        read = await self._call("read", lambda: self.stage.get(index))
        if read.is_ok() and read.unwrap() is None:
            return Err(Failure(code=Code.LOAD_REFUSED, detail="no such piece"))
        return read

    async def stage_piece(self, model: str, index: int, data: bytes) -> Result[None, Failure]:
        def write() -> None:
            self.stage[index] = data
            self.damaged_s.pop(index, None)

        self.before_call("write")
        after_s, self.next_write_after_s = self.next_write_after_s, 0.0
        if after_s <= 0:
            return await self._call("", write)
        await asyncio.sleep(CALL_S)
        self._catch_up()

        def write_late() -> None:
            write()

        self.at(self._now_s + after_s, write_late)
        await asyncio.sleep(STAGE_TIMEOUT_S)
        return Err(Failure(code=Code.PEER_TIMEOUT, detail="no answer"))

    async def order_load(
        self, order: LoadOrder, may_send: Callable[[], bool] = lambda: True
    ) -> Result[None, Failure]:
        self.before_call("connect")
        await asyncio.sleep(CALL_S)
        if not may_send():
            return Err(Failure(code=Code.NOT_SENT, detail="not sent"))
        self._catch_up()
        self.orders.append(order)
        after_s = self.accept_after_s.pop(0) if self.accept_after_s else 0.0
        lost = self.answer_lost.pop(0) if self.answer_lost else False
        if not self.answering:
            return Err(Failure(code=Code.PEER_ABSENT, detail="refused"))
        if after_s is None or after_s > 0:

            def accept_late() -> None:
                self.accept(order)

            if after_s is not None:
                self.at(self._now_s + after_s, accept_late)
            lost = lost or after_s is None or after_s > ORDER_TIMEOUT_S
            if not lost:
                await asyncio.sleep(after_s)
                self._catch_up()
                return Ok(None)
        elif not self.accept(order):
            return Err(Failure(code=Code.LOAD_REFUSED, detail="status 409"))
        if lost:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return Err(Failure(code=Code.PEER_TIMEOUT, detail="no answer"))
        return Ok(None)

    def close(self) -> None:
        """Do nothing; there are no connections."""

    def clear_backoff(self) -> None:
        """Do nothing; it asks for none."""

    async def _call(self, name: str, act: Callable[[], Any]) -> Result[Any, Failure]:
        if name:
            self.before_call(name)
        await asyncio.sleep(CALL_S)
        self._catch_up()
        if not self.answering:
            return Err(Failure(code=Code.PEER_ABSENT, detail="refused"))
        return Ok(act())

    def accept(self, order: LoadOrder) -> bool:
        if order.expected_sequence != self.sequence or self._now_s < self.loading_until_s:
            return False
        if order.end_layer is None and [held.version for held in self.served] == [order.version]:
            return True  # in effect
        self.sequence += 1
        if order.end_layer == 0:
            self.served = ()
            return True
        self.loading_until_s = self._now_s + LOAD_S
        self.served = (
            ServedVersion(model=MODEL, version=order.version, first_layer=0, end_layer=LAYERS),
        )
        self.loads.append(
            Load(number=order.version, time_s=self._now_s, faults=self._faults(order.version))
        )
        return True

    def _faults(self, number: int) -> list[str]:
        """Return what is wrong with the stage as a version, as far as it counts."""
        faults = []
        for index, piece in enumerate(pieces_of(number)):
            staged = self.stage.get(index)
            age_s = self._now_s - self.damaged_s.get(index, self._now_s)
            if staged is None:
                faults.append(f"piece {index} is missing")
            elif index in self.damaged_s:
                if age_s > DAMAGE_ALLOWED_S:
                    faults.append(f"piece {index} has been damaged for {age_s:.2f} s")
            elif staged != piece:
                faults.append(f"piece {index} is of another version")
        return faults


class MonitorModel:
    """Reports the state of the engine and records what is published."""

    def __init__(self, engine: EngineModel) -> None:
        self._engine = engine
        self.report: EngineReport | None = None
        self.life_number = 0
        self.refuses = True  # whether nothing listens while it does not answer
        self.refused = False
        self.switching = False
        self.published_switching = False  # what entries know
        self.staged_progress: Callable[[], tuple[int, int]] = lambda: (0, 0)

    async def refresh(self) -> EngineReport | None:
        self._engine.before_call("report")
        await asyncio.sleep(CALL_S)
        before, self.report = self.report, self._engine.report_now()
        self.refused = self.report is None and self.refuses
        if self.report is not None and (before is None or before.born_ms != self.report.born_ms):
            self.life_number += 1
        return self.report

    async def publish(self) -> None:
        self._engine.before_call("publish")
        await asyncio.sleep(CALL_S)
        self.published_switching = self.switching


class FetchModel:
    """Adds all pieces of a version within a time."""

    def __init__(self, version: StagedVersion, fetch_s: float) -> None:
        self._version = version
        self._fetch_s = fetch_s

    async def run(self) -> None:
        for index, piece in enumerate(pieces_of(self._version.number)):
            await asyncio.sleep(self._fetch_s / PIECE_COUNT)
            self._version.add(index, piece)

    def blocked(self) -> bool:
        return False


class InstallerSite:
    """An installer beside an engine; both run on the virtual loop of `play`."""

    def __init__(
        self,
        *,
        serving: int | None = None,
        fetch_s: float = 0.5,
        engine: EngineModel | None = None,
    ) -> None:
        self.engine = engine or EngineModel()
        if serving is not None:
            self.engine.stage = dict(enumerate(pieces_of(serving)))
            self.engine.served = (
                ServedVersion(model=MODEL, version=serving, first_layer=0, end_layer=LAYERS),
            )
        self.monitor = MonitorModel(self.engine)
        self.wrong_weights_used: list[Load] = []
        self.fetches_started = 0
        self.view_confirmed = True
        self.catalog = Catalog()
        self.naming_times = NamingTimes(clock=asyncio.get_running_loop().time)
        self.installer = Installer(
            catalog=self.catalog,
            view_confirmed=lambda: self.view_confirmed,
            engine=self.engine,
            monitor=self.monitor,
            store=PieceStore(),
            models=lambda: [MODEL],
            start_fetch=lambda version: self._start_fetch(version, fetch_s),
            first_start=False,
            naming_times=self.naming_times,
            version_s=BOUND_S,
            may_switch=lambda staged, announced, left_s: True,
            piece_s=lambda staged: fetch_s / PIECE_COUNT,
            window=PieceWindow(link_share=lambda: 1.0),
        )

    def _start_fetch(self, version: StagedVersion, fetch_s: float) -> FetchModel:
        self.fetches_started += 1
        return FetchModel(version, fetch_s)

    def name(self, number: int) -> None:
        """Name a version."""
        self.naming_times.record(MODEL, number)
        version = NamedVersion(model=MODEL, number=number, named=True, manifest=manifest_of(number))
        item = CatalogItem(key=weights_key(MODEL, number), revision=number, value=version)
        self.catalog.apply([item], revision=number)

    async def run(self, length_s: float) -> None:
        """Run the installer and the monitor's polls for a time."""
        tasks = [asyncio.create_task(self._poll()), asyncio.create_task(self._observe())]
        await self.installer.start()
        await asyncio.sleep(length_s)
        await self.installer.stop()
        for task in tasks:
            task.cancel()

    async def _poll(self) -> None:
        while True:
            await self.monitor.refresh()
            await asyncio.sleep(0.1)

    async def _observe(self) -> None:
        """Note each load whose weights were wrong while requests might go to the engine."""
        while True:
            await asyncio.sleep(0.02)
            report = self.engine.report_now()
            if report is None or not report.served or self.monitor.published_switching:
                continue
            load = self.engine.loads[-1] if self.engine.loads else None
            if load is not None and load.faults and load not in self.wrong_weights_used:
                self.wrong_weights_used.append(load)

    @property
    def wrong_loads(self) -> list[Load]:
        return [load for load in self.engine.loads if load.faults]

    @property
    def serving(self) -> list[int]:
        return [version.version for version in self.engine.served]


def play(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test on a virtual loop."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(work())
    finally:
        loop.close()


def stand_still(span_s: float) -> None:
    """Let the process of the installer stand still: the clock goes on, nothing of it runs."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.advance(span_s)


__all__ = [
    "DAMAGE_ALLOWED_S",
    "MODEL",
    "ORDER_TIMEOUT_S",
    "PIECE_COUNT",
    "InstallerSite",
    "Load",
    "manifest_of",
    "pieces_of",
    "play",
    "stand_still",
]
