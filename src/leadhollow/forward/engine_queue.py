"""Places requests at model engines: the engine that answers soonest, and nothing that comes late.

Requests wait here, not in an engine: here they can still go anywhere, or be refused while their
caller has time to come back.
"""

from __future__ import annotations

import asyncio
import random

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.forward.admission import SURE_MARGIN_S, takes
from leadhollow.forward.board import ServerBoard
from leadhollow.forward.comeback import Refusal
from leadhollow.forward.engine_choice import EngineChooser, EngineOption
from leadhollow.forward.pressure import Pressure
from leadhollow.forward.server import OwnCall
from leadhollow.forward.versions import VersionPolicy
from leadhollow.forward.wish import EngineWish, Placement, Standing
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.routing.model import ServiceRecord

DECIDE_SHARE = 0.2
"""Part of the objective after which a request is placed or refused; users allow a quarter."""

MOST_HELD = 64  # requests that an entry holds beyond their decision
RETURN_S = 2.5
"""After an outage those that were sent away during it come back for so long: callers wait up to two
seconds, and are spread over that time."""

HOPELESS = 0.5
"""Pressure from which nobody is held: few of those that were got room in time on played days, and
a caller that waits in vain would rather have heard at once."""

PUMP_INTERVAL_S = 0.02

log = get_logger("engine-queue")


class _Waiter:
    __slots__ = ("future", "wish")

    def __init__(self, *, wish: EngineWish, future: asyncio.Future[Placement]) -> None:
        self.wish = wish
        self.future = future


class EngineQueue:
    """Requests that wait for an engine.

    Parameters
    ----------
    failure_domain
        Ours; engines elsewhere cost a way and its price.
    seed
        Seed of the random parts of choices and of return times.
    """

    __slots__ = (
        "_began_s",
        "_chooser",
        "_held",
        "_outage_s",
        "_pressure",
        "_random",
        "_versions",
        "_waiters",
    )

    def __init__(
        self,
        *,
        board: ServerBoard,
        versions: VersionPolicy,
        failure_domain: str,
        seed: int,
    ) -> None:
        self._versions = versions
        self._random = random.Random(seed)
        self._chooser = EngineChooser(
            board=board, versions=versions, failure_domain=failure_domain, source=self._random
        )
        self._pressure: dict[str, Pressure] = {}
        self._began_s = asyncio.get_running_loop().time()
        self._outage_s: dict[str, float] = {}  # when a service was last seen without any engine
        self._waiters: list[_Waiter] = []
        self._held: list[_Waiter] = []  # will be late, and are placed where room is left over
        board.on_change(self.pump)

    @property
    def waiting(self) -> int:
        """Requests that wait, those that are held included."""
        return len(self._waiters) + len(self._held)

    async def place(self, wish: EngineWish) -> Result[Placement, Failure]:
        """Find a place for a request, or refuse it in time.

        Errors
        ------
        NO_CAPACITY
            No engine can answer in time; nothing was sent.
        """
        placed = await self._place(wish)
        if wish.standing is Standing.NEW:
            now_s = asyncio.get_running_loop().time()
            self._pressure_of(wish.service).note(refused=placed is None, now_s=now_s)
        return Err(Failure(code=Code.NO_CAPACITY)) if placed is None else Ok(placed)

    async def _place(self, wish: EngineWish) -> Placement | None:
        wish.standing = self._standing(wish)
        if not any(waiter.wish.standing < wish.standing for waiter in self._waiters):
            placed = self._try(wish)
            if placed is not None:
                return placed
        placed = await self._wait(self._waiters, wish, until_s=wish.decide_s)
        if placed is None:
            placed = self._try(wish, late=True)
        if placed is None and self._holds(wish):
            placed = await self._wait(self._held, wish, until_s=wish.hold_s)
        return placed

    def _standing(self, wish: EngineWish) -> Standing:
        """Let those that come back after an outage go first: they were sent away because of it."""
        if wish.standing is not Standing.CAME_BACK:
            return wish.standing
        outage_s = self._outage_s.get(wish.service.name, self._began_s)
        recovering = asyncio.get_running_loop().time() - outage_s < RETURN_S
        return Standing.PROMISED if recovering else wish.standing

    def _holds(self, wish: EngineWish) -> bool:
        """Tell whether a request that came back is likely to get room that is left over."""
        now_s = asyncio.get_running_loop().time()
        if wish.hold_s <= now_s or len(self._held) >= MOST_HELD:
            return False
        if self._pressure_of(wish.service).level(now_s) >= HOPELESS:
            return False
        return self._chooser.best(wish, now_s) is not None

    async def _wait(
        self, waiters: list[_Waiter], wish: EngineWish, *, until_s: float
    ) -> Placement | None:
        """Wait among others for a place; None where none came in time."""
        future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(wish=wish, future=future)
        _insert(waiters, waiter)
        try:
            async with asyncio.timeout_at(until_s):
                return await future
        except TimeoutError:
            # it may have been given in the same turn of the loop as the end of the wait
            return future.result() if _given(future) else None
        except asyncio.CancelledError:
            if _given(future):
                self.release(future.result())
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)

    def pressure(self) -> float:
        """Give the highest pressure on the engines of any service."""
        now_s = asyncio.get_running_loop().time()
        return max((found.level(now_s) for found in self._pressure.values()), default=0.0)

    def retry_after_s(self, wish: EngineWish) -> float:
        """Give the time after which a refused request should come back."""
        served = self._chooser.best(wish, asyncio.get_running_loop().time()) is not None
        refusal = Refusal.OVERLOADED if served else Refusal.NOBODY_SERVES
        return refusal.after_s(self._random)

    def release(self, placement: Placement) -> None:
        """Give a place back."""
        placement.server.remove(placement.call, asyncio.get_running_loop().time())
        self.pump()

    def pump(self) -> None:
        """Place those who wait, as far as engines have room."""
        for waiter in list(self._waiters):
            if waiter.future.done():
                continue
            placed = self._try(waiter.wish)
            if placed is not None:
                waiter.future.set_result(placed)
                self._waiters.remove(waiter)

    def pump_held(self) -> None:
        """Place those that are held, one after the other while there is room left over.

        Called now and then, and ended at the first that finds no room: they differ little.
        """
        for waiter in list(self._held):
            if waiter.future.done():
                continue
            placed = None if self._waiters else self._try(waiter.wish, late=True)
            if placed is None:
                return
            waiter.future.set_result(placed)
            self._held.remove(waiter)

    def _try(self, wish: EngineWish, *, late: bool = False) -> Placement | None:
        now_s = asyncio.get_running_loop().time()
        option = self._chooser.best(wish, now_s)
        if option is None:
            if not wish.excluded:
                self._outage_s[wish.service.name] = now_s
            return None
        pressure = self._pressure_of(wish.service)
        level = pressure.level(now_s)
        shortest_s = pressure.shortest_objective_s(wish.objective_s, now_s)
        margin_s = wish.on_time_s - now_s - option.usual_ms / 1000
        margin_s -= level * (SURE_MARGIN_S + wish.objective_s - shortest_s)
        if not takes(wish.standing, option, margin_s, level=level, last_moment=late):
            return None
        return self._take(wish, option, now_s, pressure=level)

    def _pressure_of(self, service: ServiceRecord) -> Pressure:
        return self._pressure.setdefault(service.name, Pressure())

    def _take(
        self, wish: EngineWish, option: EngineOption, now_s: float, *, pressure: float
    ) -> Placement:
        call = OwnCall(
            prompt_tokens=wish.prompt_tokens,
            output_tokens=wish.output_tokens,
            placed_s=now_s,
            predicted_ms=option.first_ms,
        )
        option.server.add(call)
        option.server.health.note_start(now_s)
        report = option.server.fresh_report(now_s)
        log_decision(
            "engine chosen",
            request=wish.request_id,
            instance=option.server.instance.instance,
            domain=option.server.instance.failure_domain,
            predicted_ms=round(option.first_ms),
            in_flight=round(option.demand.requests, 1),
            unread_tokens=round(option.demand.unread_tokens),
            prompt_tokens=wish.prompt_tokens,
            own=option.server.own,
            report_age_ms=None if report is None else round((now_s - report.made_s) * 1000),
            on_time=now_s + option.first_ms / 1000 <= wish.on_time_s,
            pressure=round(pressure, 2),
            version=option.version,
        )
        return Placement(
            server=option.server,
            call=call,
            version=option.version,
            expected_version=option.version if self._versions.oldest_allowed(wish.model) else None,
            begin_by_s=self._versions.begin_by_s(wish.model, option.version),
        )


def _insert(waiters: list[_Waiter], waiter: _Waiter) -> None:
    """Queue behind those of the same standing."""
    standing = waiter.wish.standing
    position = sum(1 for found in waiters if found.wish.standing <= standing)
    waiters.insert(position, waiter)


def _given(future: asyncio.Future[Placement]) -> bool:
    return future.done() and not future.cancelled()


__all__ = ["DECIDE_SHARE", "PUMP_INTERVAL_S", "EngineQueue"]
