"""Places requests at model engines: the engine that answers soonest, and nothing that comes late.

Requests wait here, not in an engine: here they can still go anywhere, or be refused while their
caller has time to come back.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from leadhollow.decide.admission import SURE_MARGIN_S, takes
from leadhollow.decide.engine_choice import EngineChooser, EngineOption
from leadhollow.decide.engine_request import EngineRequest, Placement, QueuePriority
from leadhollow.decide.policy import QueuePolicy
from leadhollow.decide.pressure import DecisionCounts, Pressure
from leadhollow.decide.protocols import EngineSource, VersionRules
from leadhollow.decide.retry_after import RefusalReason, retry_after_backoff_s
from leadhollow.decide.server_load import OwnCall
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.routing.model import ServiceRecord

DECISION_DEADLINE_SHARE = 0.2
"""Part of the objective after which a request is placed or refused; users allow a quarter."""

ROOMY = 0.25
"""Part of an engine's places that are free from which nothing is asked but that a request comes in
time: pressure is what refusals of the last seconds say, and engines that have just come, or come
back, would stand half empty for as long."""

MOST_HELD = 64  # requests that came back which an entry holds beyond their decision
MOST_TRIED = 16  # streams that were begun which find no room, before the others are not looked at
HOPELESS = 0.5
"""Pressure from which nobody is held: few would get room in time, and a caller that waits in vain
would rather have heard at once."""

PUMP_INTERVAL_S = 0.02

log = get_logger("engine-queue")


class Waiter:
    """A request that asked for an engine.

    Parameters
    ----------
    until_s
        When `EngineQueue.time_passed` is to be called.
    on_end
        Called once, when it has a place or is refused; not by `EngineQueue.submit` itself.

    Attributes
    ----------
    placement
        Its place, None while it has none.
    ended
        Whether it has a place or is refused.
    """

    __slots__ = ("ended", "on_end", "placement", "deadline_s", "request")

    def __init__(
        self, *, wish: EngineRequest, deadline_s: float, on_end: Callable[[], None] = lambda: None
    ) -> None:
        self.request = wish
        self.deadline_s = deadline_s
        self.on_end = on_end
        self.placement: Placement | None = None
        self.ended = False


class EngineQueue:
    """Requests that wait for an engine.

    Parameters
    ----------
    board
        Engines; the queue looks for places when they change.
    failure_domain
        Ours; engines elsewhere cost a way and its price.
    seed
        Seed of the random parts of choices and of return times.
    clock
        Gives the time in seconds.
    policy
        What it does of what can be chosen.
    """

    __slots__ = (
        "_chooser",
        "_clock",
        "_held",
        "_on_waiting",
        "_policy",
        "_pressure",
        "_random",
        "_versions",
        "_waiters",
    )

    def __init__(
        self,
        *,
        directory: EngineSource,
        versions: VersionRules,
        failure_domain: str,
        seed: int,
        clock: Callable[[], float],
        policy: QueuePolicy | None = None,
    ) -> None:
        self._policy = policy or QueuePolicy()
        self._versions = versions
        self._clock = clock
        self._random = random.Random(seed)
        self._chooser = EngineChooser(
            directory=directory,
            versions=versions,
            failure_domain=failure_domain,
            source=self._random,
        )
        self._pressure: dict[str, Pressure] = {}
        self._waiters: list[Waiter] = []
        self._on_waiting: Callable[[], None] = _nothing
        self._held: list[Waiter] = []  # will be late, and are placed where room is left over
        directory.on_change(self._on_board)

    def on_waiting(self, listener: Callable[[], None]) -> None:
        """Call a function when a request has to wait: from then on somebody is to pump."""
        self._on_waiting = listener

    @property
    def waiting(self) -> int:
        """Requests that wait, those that are held included."""
        return len(self._waiters) + len(self._held)

    def submit(self, wish: EngineRequest) -> Waiter:
        """Place a request at once where that is possible, or let it wait."""
        waiter = Waiter(wish=wish, deadline_s=wish.decide_by_s)
        if not any(found.request.queue_priority < wish.queue_priority for found in self._waiters):
            placed = self._try(wish)
            if placed is not None:
                self._end(waiter, placed)
                return waiter
        self._let_wait(waiter)
        return waiter

    def _let_wait(self, waiter: Waiter) -> None:
        """Let a request wait, where engines that rest may take it for the first of them.

        Where even that one is too late it is refused at once, so that its caller learns when.
        """
        wish, now_s = waiter.request, self._clock()
        rest_left_s = self._chooser.rest_left_s(wish, now_s)
        if rest_left_s is not None and self._chooser.best(wish, now_s, of_all=True) is None:
            until_s = now_s + rest_left_s + PUMP_INTERVAL_S
            if until_s > max(wish.on_time_until_s, wish.hold_until_s):
                self._end(waiter, None)
                return
            waiter.deadline_s = max(waiter.deadline_s, until_s)
        _insert(self._waiters, waiter)
        self._on_waiting()

    def on_deadline(self, waiter: Waiter) -> None:
        """Place, hold or refuse a request whose time to wait is over."""
        if waiter.ended:
            return
        if waiter in self._held:
            self._held.remove(waiter)
            self._end(waiter, None)
            return
        self._waiters.remove(waiter)
        placed = self._try(waiter.request, late=True)
        if placed is None and self._holds(waiter.request):
            waiter.deadline_s = waiter.request.hold_until_s
            _insert(self._held, waiter)
            return
        self._end(waiter, placed)

    def withdraw(self, waiter: Waiter) -> None:
        """Forget a request whose caller has left; gives its place back where it has one."""
        if waiter.placement is not None:
            self.release(waiter.placement)
        for waiters in (self._waiters, self._held):
            if waiter in waiters:
                waiters.remove(waiter)
        waiter.ended = True

    def _end(self, waiter: Waiter, placed: Placement | None) -> None:
        waiter.placement = placed
        waiter.ended = True
        if waiter.request.queue_priority is QueuePriority.NEW:
            self._pressure_of(waiter.request.service).note(
                refused=placed is None, now_s=self._clock()
            )
        waiter.on_end()

    def _holds(self, wish: EngineRequest) -> bool:
        """Tell whether a request is kept: one that came back if it is likely to get room.

        One that was begun has nothing to lose by waiting for as long as its caller does.
        """
        now_s = self._clock()
        if wish.hold_until_s <= now_s:
            return False
        if wish.queue_priority is QueuePriority.RESUMED:
            return True
        if not self._policy.holds or len(self._held) >= MOST_HELD:
            return False
        if self._pressure_of(wish.service).level(now_s) >= HOPELESS:
            return False
        return self._chooser.best(wish, now_s) is not None

    def decisions(self) -> dict[str, DecisionCounts]:
        """Give what this entry decided lately on new requests of each service."""
        now_s = self._clock()
        return {service: found.own(now_s) for service, found in self._pressure.items()}

    def update_peer_decisions(self, told: Mapping[str, DecisionCounts]) -> None:
        """Take what the other entries decided lately on new requests of each service."""
        now_s = self._clock()
        for service, decisions in told.items():
            self._pressure.setdefault(service, Pressure()).take_others(decisions, now_s)

    def pressure(self) -> float:
        """Give the highest pressure on the engines of any service."""
        now_s = self._clock()
        return max((found.level(now_s) for found in self._pressure.values()), default=0.0)

    def retry_after_s(self, wish: EngineRequest) -> float:
        """Give the time after which a refused request should come back."""
        now_s = self._clock()
        if self._chooser.best(wish, now_s) is not None:
            return RefusalReason.OVERLOADED.retry_after_s(self._random)
        rest_left_s = self._chooser.rest_left_s(wish, now_s)
        if rest_left_s is not None:
            return retry_after_backoff_s(rest_left_s, rank=wish.rank, source=self._random)
        return RefusalReason.NOBODY_SERVES.retry_after_s(self._random)

    def release(self, placement: Placement) -> None:
        """Give a place back."""
        placement.server.remove_call(placement.call, self._clock())
        self._chooser.forget()
        self.pump()

    def _on_board(self) -> None:
        self._chooser.forget()
        self.pump()

    def pump(self) -> None:
        """Place those who wait, as far as engines have room."""
        for waiter in list(self._waiters):
            if waiter.ended:
                continue
            placed = self._try(waiter.request)
            if placed is not None:
                self._waiters.remove(waiter)
                self._end(waiter, placed)

    def pump_held(self) -> None:
        """Place those that are held, one after the other while there is room left over.

        Called now and then, and ended at the first that finds no room: they differ little. Those
        that were begun come first, before new requests too, and each rules out other engines.
        """
        failed = 0
        for waiter in list(self._held):
            begun = waiter.request.queue_priority is QueuePriority.RESUMED
            placed = self._try(waiter.request, late=True) if begun or not self._waiters else None
            if placed is None:
                failed += 1
                if begun and failed < MOST_TRIED:
                    continue
                return
            self._held.remove(waiter)
            self._end(waiter, placed)

    def _try(self, wish: EngineRequest, *, late: bool = False) -> Placement | None:
        """Take the best of some engines, or of all where none of these will do."""
        return self._take_best(wish, late=late, of_all=False) or self._take_best(
            wish, late=late, of_all=True
        )

    def _take_best(self, wish: EngineRequest, *, late: bool, of_all: bool) -> Placement | None:
        now_s = self._clock()
        option = self._chooser.best(wish, now_s, of_all=of_all)
        if option is None:
            return None
        pressure = self._pressure_of(wish.service)
        level = self._level(pressure, now_s, option)
        shortest_s = pressure.shortest_objective_s(wish.objective_s, now_s)
        margin_s = wish.on_time_until_s - now_s - option.admission_ms / 1000
        margin_s -= level * (SURE_MARGIN_S + wish.objective_s - shortest_s)
        if not takes(wish.queue_priority, option, margin_s, level=level, last_moment=late):
            return None
        return self._take(wish, option, now_s, pressure=level)

    def _level(self, pressure: Pressure, now_s: float, option: EngineOption) -> float:
        """Give how much certainty is asked of a place."""
        slots = option.server.instance.slots
        roomy = slots - option.demand.requests > ROOMY * slots
        if not self._policy.uses_pressure or (roomy and self._policy.uses_room):
            return 0.0
        return pressure.balanced_level(now_s) if self._policy.balances else pressure.level(now_s)

    def _pressure_of(self, service: ServiceRecord) -> Pressure:
        return self._pressure.setdefault(service.name, Pressure())

    def _take(
        self, wish: EngineRequest, option: EngineOption, now_s: float, *, pressure: float
    ) -> Placement:
        call = OwnCall(
            prompt_tokens=wish.prompt_tokens,
            output_tokens=wish.output_tokens,
            placed_s=now_s,
            predicted_ms=option.first_ms,
        )
        option.server.add_call(call)
        self._chooser.forget()
        option.server.health.record_start(now_s)
        report = option.server.fresh_report(now_s)
        allowance = option.server.send_limiter
        limit = {} if allowance is None else {"limit_per_s": allowance.per_s}
        log_decision(
            "engine chosen",
            request=wish.request_id,
            instance=option.server.instance.instance,
            domain=option.server.instance.failure_domain,
            predicted_ms=round(option.first_ms),
            in_flight=round(option.demand.requests, 1),
            unread_tokens=round(option.demand.unread_tokens),
            prompt_tokens=wish.prompt_tokens,
            own=option.server.own_requests,
            report_age_ms=None if report is None else round((now_s - report.made_s) * 1000),
            on_time=now_s + option.first_ms / 1000 <= wish.on_time_until_s,
            pressure=round(pressure, 2),
            version=option.version,
            **limit,
        )
        return Placement(
            server=option.server,
            call=call,
            version=option.version,
            expected_version=option.version if self._versions.oldest_allowed(wish.model) else None,
            begin_by_s=self._versions.begin_by_s(wish.model, option.version),
        )


def _nothing() -> None:
    return


def _insert(waiters: list[Waiter], waiter: Waiter) -> None:
    """Queue behind those of the same standing."""
    standing = waiter.request.queue_priority
    position = sum(1 for found in waiters if found.request.queue_priority <= standing)
    waiters.insert(position, waiter)


__all__ = ["DECIDE_SHARE", "PUMP_INTERVAL_S", "EngineQueue", "Waiter"]
