"""Places requests at model engines: earliest predicted response first, none that would be late.

Requests wait in this queue and not in an engine. From here they can still go to any engine, or be
refused while their callers have time to retry.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from leadhollow.decide.admission import CONFIDENCE_MARGIN_S, accepts
from leadhollow.decide.engine_choice import EngineChooser, EngineOption
from leadhollow.decide.engine_request import EngineRequest, Placement, QueuePriority
from leadhollow.decide.policy import QueuePolicy
from leadhollow.decide.pressure import DecisionCounts, DecisionKey, Pressure, Pressures
from leadhollow.decide.protocols import EngineSource, VersionRules
from leadhollow.decide.retry_after import RefusalReason, retry_after_backoff_s
from leadhollow.decide.server_load import OwnCall
from leadhollow.decide.urgency import engine_priority, order, yield_margin_s
from leadhollow.decide.waiter import Waiter, insert
from leadhollow.observe.logs import get_logger, log_decision

DECISION_DEADLINE_SHARE = 0.2
"""Share of the objective after which a request is placed or refused. Users allow a quarter."""

LIGHT_LOAD_FREE_SHARE = 0.25
"""Share of free slots from which an engine takes any request that is predicted to be on time,
whatever the pressure. Pressure reflects the refusals of the last seconds, so engines that have just
started or come back would otherwise stay half empty for that long."""

MAX_HELD = 64  # retries of callers that an entry holds beyond their decision deadline
# Number of resumed streams that find no slot before the other held requests are skipped.
MAX_FAILED_RESUMPTIONS = 16
MAX_HOLD_PRESSURE = 0.5
"""Pressure from which no request is held. Few held requests would get a slot in time, and for the
others an early refusal is better than waiting in vain."""

PUMP_INTERVAL_S = 0.02

log = get_logger("engine-queue")


class EngineQueue:
    """Requests that wait for an engine.

    Parameters
    ----------
    directory
        Known engines. The queue tries to place waiting requests whenever they change.
    failure_domain
        Failure domain of this entry. Engines elsewhere are penalised for distance and traffic cost.
    seed
        Seed of the random parts of engine choices and retry delays.
    clock
        Returns the time in seconds.
    policy
        Optional parts of the behaviour.
    """

    __slots__ = (
        "_chooser",
        "_clock",
        "_held",
        "_on_waiting",
        "_policy",
        "_pressures",
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
        self._pressures = Pressures()
        self._waiters: list[Waiter] = []
        self._on_waiting: Callable[[], None] = _nothing
        # late requests, placed only in slots that no other request needs
        self._held: list[Waiter] = []
        directory.on_change(self._on_directory_change)

    def on_waiting(self, listener: Callable[[], None]) -> None:
        """Register the function to call when a request has to wait, so that pumping starts."""
        self._on_waiting = listener

    @property
    def waiting(self) -> int:
        """Number of waiting requests, including held ones."""
        return len(self._waiters) + len(self._held)

    def submit(self, request: EngineRequest) -> Waiter:
        """Place a request at once if possible, or queue it."""
        waiter = Waiter(request=request, deadline_s=request.decide_by_s)
        if not any(order(found.request) < order(request) for found in self._waiters):
            placed = self._try_place(request)
            if placed is not None:
                self._end(waiter, placed)
                return waiter
        self._enqueue(waiter)
        return waiter

    def _enqueue(self, waiter: Waiter) -> None:
        """Queue a request; if only engines in back-off could take it, until the first is usable.

        If even that engine is usable too late, the request is refused at once, so that its caller
        learns when to retry. So is one that no engine may take. A resumed stream waits for an
        engine all the same, because it would lose what its caller has got.
        """
        request, now_s = waiter.request, self._clock()
        if self._is_out_of_reach(request):
            self._end(waiter, None)
            return
        backoff_left_s = self._chooser.backoff_remaining_s(request, now_s)
        if backoff_left_s is not None and self._chooser.best(request, now_s, of_all=True) is None:
            deadline_s = now_s + backoff_left_s + PUMP_INTERVAL_S
            if deadline_s > max(request.on_time_until_s, request.hold_until_s):
                self._end(waiter, None)
                return
            waiter.deadline_s = max(waiter.deadline_s, deadline_s)
        insert(self._waiters, waiter)
        self._on_waiting()

    def refuse_out_of_reach(self) -> None:
        """Refuse the waiting requests that no engine may take any more.

        Called when other failure domains are evacuated.
        """
        for waiters in (self._waiters, self._held):
            for waiter in list(waiters):
                if not waiter.ended and self._is_out_of_reach(waiter.request):
                    waiters.remove(waiter)
                    self._end(waiter, None)

    def _is_out_of_reach(self, request: EngineRequest) -> bool:
        """Tell whether to refuse a request because a rule keeps it from every engine."""
        if request.queue_priority is QueuePriority.RESUMED:
            return False
        return self._chooser.reason_out_of_reach(request) is not None

    def on_deadline(self, waiter: Waiter) -> None:
        """Place, hold or refuse a request whose waiting time is over."""
        if waiter.ended:
            return
        if waiter in self._held:
            self._held.remove(waiter)
            self._end(waiter, None)
            return
        self._waiters.remove(waiter)
        placed = self._try_place(waiter.request, last_chance=True)
        if placed is None and self._should_hold(waiter.request):
            waiter.deadline_s = waiter.request.hold_until_s
            insert(self._held, waiter)
            return
        self._end(waiter, placed)

    def withdraw(self, waiter: Waiter) -> None:
        """Drop a request whose caller has left and release its slot, if it has one."""
        if waiter.placement is not None:
            self.release(waiter.placement)
        for waiters in (self._waiters, self._held):
            if waiter in waiters:
                waiters.remove(waiter)
        waiter.ended = True

    def _end(self, waiter: Waiter, placed: Placement | None) -> None:
        waiter.placement = placed
        waiter.ended = True
        if placed is None:
            waiter.out_of_reach = self._chooser.reason_out_of_reach(waiter.request)
        if waiter.request.queue_priority is QueuePriority.NEW and waiter.out_of_reach is None:
            self._pressures.of(waiter.request.service.name).record(
                refused=placed is None, now_s=self._clock(), urgency=waiter.request.urgency
            )
        waiter.on_end()

    def _should_hold(self, request: EngineRequest) -> bool:
        """Tell whether to hold a request beyond its decision deadline.

        A resumed stream loses nothing by waiting for as long as its caller does. The retry of a
        caller is held only if it is likely to get a slot.
        """
        now_s = self._clock()
        if request.hold_until_s <= now_s:
            return False
        if request.queue_priority is QueuePriority.RESUMED:
            return True
        if not self._policy.holds or len(self._held) >= MAX_HELD:
            return False
        if (
            self._pressures.of(request.service.name).level(now_s, request.urgency)
            >= MAX_HOLD_PRESSURE
        ):
            return False
        return self._chooser.best(request, now_s) is not None

    def decisions(self) -> dict[DecisionKey, DecisionCounts]:
        """Return the recent decisions of this entry on new requests."""
        return self._pressures.own(self._clock())

    def update_peer_decisions(self, decisions: Mapping[DecisionKey, DecisionCounts]) -> None:
        """Set the recent decisions of all other entries on new requests."""
        self._pressures.update_peers(decisions, self._clock())

    def pressure(self) -> float:
        """Return the highest pressure on the engines of any service."""
        return self._pressures.highest(self._clock())

    def retry_after_s(self, request: EngineRequest) -> float:
        """Choose the time after which the caller of a refused request should retry."""
        now_s = self._clock()
        if self._chooser.best(request, now_s) is not None:
            return RefusalReason.OVERLOADED.retry_after_s(self._random)
        backoff_left_s = self._chooser.backoff_remaining_s(request, now_s)
        if backoff_left_s is not None:
            return retry_after_backoff_s(backoff_left_s, rank=request.rank, source=self._random)
        return RefusalReason.NOBODY_SERVES.retry_after_s(self._random)

    def release(self, placement: Placement) -> None:
        """Release the slot of a request."""
        placement.server.remove_call(placement.call, self._clock())
        self._chooser.invalidate()
        self.pump()

    def _on_directory_change(self) -> None:
        self._chooser.invalidate()
        self.pump()

    def pump(self) -> None:
        """Place waiting requests as far as engines have free slots."""
        for waiter in list(self._waiters):
            if waiter.ended:
                continue
            placed = self._try_place(waiter.request)
            if placed is not None:
                self._waiters.remove(waiter)
                self._end(waiter, placed)

    def pump_held(self) -> None:
        """Place held requests while slots are left over.

        Called periodically. It stops at the first request that finds no slot, since held requests
        differ little. Resumed streams go first, before new requests too, and do not stop it at
        once: each of them excludes other engines.
        """
        failed = 0
        for waiter in list(self._held):
            resumed = waiter.request.queue_priority is QueuePriority.RESUMED
            placed = (
                self._try_place(waiter.request, last_chance=True)
                if resumed or not self._waiters
                else None
            )
            if placed is None:
                failed += 1
                if resumed and failed < MAX_FAILED_RESUMPTIONS:
                    continue
                return
            self._held.remove(waiter)
            self._end(waiter, placed)

    def _try_place(self, request: EngineRequest, *, last_chance: bool = False) -> Placement | None:
        """Place a request at the best of some engines, or at the best of all if that fails."""
        return self._try_best(request, last_chance=last_chance, of_all=False) or self._try_best(
            request, last_chance=last_chance, of_all=True
        )

    def _try_best(
        self, request: EngineRequest, *, last_chance: bool, of_all: bool
    ) -> Placement | None:
        now_s = self._clock()
        option = self._chooser.best(request, now_s, of_all=of_all)
        if option is None:
            return None
        pressure = self._pressures.of(request.service.name)
        level = self._level(pressure, request.urgency, now_s, option)
        shortest_s = pressure.shortest_objective_s(request.objective_s, now_s)
        margin_s = request.on_time_until_s - now_s - option.admission_ms / 1000
        margin_s -= level * (CONFIDENCE_MARGIN_S + request.objective_s - shortest_s)
        margin_s -= yield_margin_s(pressure, request.urgency, now_s, level=level)
        if not accepts(
            request.queue_priority, option, margin_s, pressure=level, last_chance=last_chance
        ):
            return None
        return self._place(request, option, now_s, pressure=level)

    def _level(self, pressure: Pressure, urgency: int, now_s: float, option: EngineOption) -> float:
        """Return the pressure that admission to an engine goes by."""
        slots = option.server.instance.slots
        lightly_loaded = slots - option.load.requests > LIGHT_LOAD_FREE_SHARE * slots
        if not self._policy.uses_pressure or (lightly_loaded and self._policy.uses_room):
            return 0.0
        if self._policy.balances:
            return pressure.balanced_level(now_s, urgency)
        return pressure.level(now_s, urgency)

    def _place(
        self, request: EngineRequest, option: EngineOption, now_s: float, *, pressure: float
    ) -> Placement:
        call = OwnCall(
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            placed_s=now_s,
            predicted_ms=option.first_ms,
            regions=request.regions,
        )
        option.server.add_call(call)
        self._chooser.invalidate()
        report = option.server.fresh_report(now_s)
        send_limiter = option.server.send_limiter
        limit = {} if send_limiter is None else {"limit_per_s": send_limiter.per_s}
        log_decision(
            "engine chosen",
            request=request.request_id,
            instance=option.server.instance.instance,
            domain=option.server.instance.failure_domain,
            predicted_ms=round(option.first_ms),
            in_flight=round(option.load.requests, 1),
            unread_tokens=round(option.load.unread_tokens),
            prompt_tokens=request.prompt_tokens,
            own=option.server.own_requests,
            report_age_ms=None if report is None else round((now_s - report.made_s) * 1000),
            on_time=now_s + option.first_ms / 1000 <= request.on_time_until_s,
            pressure=round(pressure, 2),
            urgency=request.urgency,
            version=option.version,
            **limit,
        )
        return Placement(
            server=option.server,
            call=call,
            version=option.version,
            expected_version=(
                option.version if self._versions.oldest_allowed(request.model) else None
            ),
            begin_by_s=self._versions.begin_by_s(request.model, option.version),
            engine_priority=engine_priority(
                self._pressures.of(request.service.name), request.urgencies, request.urgency, now_s
            ),
        )


def _nothing() -> None:
    return


__all__ = ["DECISION_DEADLINE_SHARE", "PUMP_INTERVAL_S", "EngineQueue"]
