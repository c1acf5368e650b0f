"""Schedules waiting requests by weighted fair queueing over token cost."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.entry.group_limits import GroupLimits
from leadhollow.entry.router import Reservation
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import deadline_at
from leadhollow.settings.model import QueueOrder


class Admission:
    """Permission to run a request, with the slot reserved for it."""

    __slots__ = ("cost", "group", "reservation")

    def __init__(self, *, group: str, cost: float, reservation: Reservation) -> None:
        self.group = group
        self.cost = cost
        self.reservation = reservation


class Demand:
    """Current demand of one group at this entry."""

    __slots__ = ("group", "running", "tokens_used", "waiting")

    def __init__(self, *, group: str, waiting: int, running: int, tokens_used: float) -> None:
        self.group = group
        self.waiting = waiting
        self.running = running
        self.tokens_used = tokens_used


class _Waiter:
    __slots__ = ("arrival", "cost", "future", "reserve")

    def __init__(
        self,
        *,
        cost: float,
        arrival: int,
        reserve: Callable[[], Reservation | None],
        future: asyncio.Future[Result[Admission, Failure]],
    ) -> None:
        self.cost = cost
        self.arrival = arrival
        self.reserve = reserve
        self.future = future


class _GroupQueue:
    """Waiting and running requests of one group on this entry.

    ``virtual_time`` is the token cost of the group's admitted requests, divided by its weight.
    """

    __slots__ = ("group", "running", "tokens_used", "virtual_time", "waiting", "weight")

    def __init__(self, *, group: str, weight: float, virtual_time: float) -> None:
        self.group = group
        self.weight = weight
        self.virtual_time = virtual_time
        self.running = 0
        self.tokens_used = 0.0
        self.waiting: deque[_Waiter] = deque()


class FairScheduler:
    """Weighted fair queueing of the groups on one entry.

    The group with the least virtual time goes first. Backlogged groups therefore get token cost in
    proportion to their weights. A group that was idle starts at the current virtual time, so it
    earns no credit. A group whose request fits no free slot is skipped, so no capacity stays idle.

    Parameters
    ----------
    limits
        Limits of each group on this entry.
    order
        Fair queueing, or order of arrival as a baseline for comparison.
    """

    __slots__ = ("_arrival_count", "_backlog", "_groups", "_limits", "_order", "_virtual_now")

    def __init__(self, *, limits: GroupLimits, order: QueueOrder = QueueOrder.FAIR) -> None:
        self._limits = limits
        self._order = order
        self._arrival_count = 0
        self._groups: dict[str, _GroupQueue] = {}
        self._virtual_now = 0.0
        self._backlog = asyncio.Event()

    async def acquire(
        self,
        *,
        group: str,
        weight: float,
        cost: float,
        queue_limit: int,
        reserve: Callable[[], Reservation | None],
        deadline_s: float,
        front: bool = False,
    ) -> Result[Admission, Failure]:
        """Wait until a request may run and a slot is reserved for it.

        Parameters
        ----------
        reserve
            Reserves a slot if one is free now, else returns None.
        front
            Whether to queue before the group's other requests, as a retry does.

        Errors
        ------
        QUEUE_FULL
            The group's queue is at its limit.
        GROUP_REMOVED
            The group's row was removed while the request waited.
        DEADLINE_PASSED
            The request was not admitted in time; nothing was run.
        """
        queue = self._queue_of(group, weight)
        if len(queue.waiting) >= queue_limit:
            return Err(Failure(code=Code.QUEUE_FULL))
        loop = asyncio.get_running_loop()
        self._arrival_count += 1
        waiter = _Waiter(
            cost=cost, arrival=self._arrival_count, reserve=reserve, future=loop.create_future()
        )
        if front:
            queue.waiting.appendleft(waiter)
        else:
            queue.waiting.append(waiter)
        self.admit_waiting()
        try:
            async with deadline_at(deadline_s):
                return await waiter.future
        except TimeoutError:
            return Err(Failure(code=Code.DEADLINE_PASSED))
        finally:
            if not waiter.future.done() or waiter.future.cancelled():
                self._remove_waiter(queue, waiter)

    def finish(self, admission: Admission, *, actual_cost: float) -> None:
        """Record the end of a request and replace its estimated cost by the actual one."""
        queue = self._groups[admission.group]
        queue.running -= 1
        queue.virtual_time += (actual_cost - admission.cost) / queue.weight
        queue.tokens_used += actual_cost
        self._limits.adjust(admission.group, actual_cost - admission.cost)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit waiting requests until none fits."""
        self._refuse_removed_groups()
        progress = True
        while progress:
            progress = False
            for queue in sorted(self._backlogged_queues(), key=self._sort_key):
                if self._try_admit(queue):
                    progress = True
                    break
        if any(queue.waiting for queue in self._groups.values()):
            self._backlog.set()
        else:
            self._backlog.clear()

    async def wait_backlog(self) -> None:
        """Wait until at least one request is queued."""
        await self._backlog.wait()

    def demand(self) -> list[Demand]:
        """Return the demand of each group, with the tokens used since the previous call."""
        demands = []
        for queue in self._groups.values():
            demands.append(
                Demand(
                    group=queue.group,
                    waiting=len(queue.waiting),
                    running=queue.running,
                    tokens_used=queue.tokens_used,
                )
            )
            queue.tokens_used = 0.0
        return demands

    def _sort_key(self, queue: _GroupQueue) -> float:
        if self._order is QueueOrder.ARRIVAL:
            return queue.waiting[0].arrival
        return queue.virtual_time

    def _backlogged_queues(self) -> Iterable[_GroupQueue]:
        return [queue for queue in self._groups.values() if queue.waiting]

    def _try_admit(self, queue: _GroupQueue) -> bool:
        waiter = queue.waiting[0]
        if waiter.future.done():
            queue.waiting.popleft()
            return True
        if not self._limits.allows(queue.group, running=queue.running, cost_tokens=waiter.cost):
            return False
        reservation = waiter.reserve()
        if reservation is None:
            return False
        queue.waiting.popleft()
        queue.running += 1
        self._virtual_now = max(self._virtual_now, queue.virtual_time)
        queue.virtual_time += waiter.cost / queue.weight
        self._limits.spend(queue.group, waiter.cost)
        admission = Admission(group=queue.group, cost=waiter.cost, reservation=reservation)
        waiter.future.set_result(Ok(admission))
        return True

    def _refuse_removed_groups(self) -> None:
        """Refuse queued requests of groups whose row was removed: they can never be admitted."""
        for queue in self._groups.values():
            while queue.waiting and not self._limits.has_group(queue.group):
                waiter = queue.waiting.popleft()
                if not waiter.future.done():
                    waiter.future.set_result(Err(Failure(code=Code.GROUP_REMOVED)))

    def _queue_of(self, group: str, weight: float) -> _GroupQueue:
        queue = self._groups.get(group)
        if queue is None:
            queue = _GroupQueue(group=group, weight=weight, virtual_time=self._virtual_now)
            self._groups[group] = queue
        queue.weight = weight
        if not queue.waiting and not queue.running:
            queue.virtual_time = max(queue.virtual_time, self._virtual_now)
        return queue

    def _remove_waiter(self, queue: _GroupQueue, waiter: _Waiter) -> None:
        try:
            queue.waiting.remove(waiter)
        except ValueError:
            return


__all__ = ["Admission", "Demand", "FairScheduler"]
