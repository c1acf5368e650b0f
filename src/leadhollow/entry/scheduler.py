"""Decides which waiting request goes next: weighted fair queueing over token cost."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.entry.group_limits import GroupShareLimits
from leadhollow.entry.router import Choice
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import deadline_at
from leadhollow.settings.model import QueueOrder


class Ticket:
    """A request's right to run, with the backend server that has a slot for it."""

    __slots__ = ("choice", "cost", "group")

    def __init__(self, *, group: str, cost: float, choice: Choice) -> None:
        self.group = group
        self.cost = cost
        self.choice = choice


class Demand:
    """What one group asks of this entry now."""

    __slots__ = ("group", "running", "tokens_used", "waiting")

    def __init__(self, *, group: str, waiting: int, running: int, tokens_used: float) -> None:
        self.group = group
        self.waiting = waiting
        self.running = running
        self.tokens_used = tokens_used


class _Waiter:
    __slots__ = ("arrival", "cost", "future", "place")

    def __init__(
        self,
        *,
        cost: float,
        arrival: int,
        place: Callable[[], Choice | None],
        future: asyncio.Future[Result[Ticket, Failure]],
    ) -> None:
        self.cost = cost
        self.arrival = arrival
        self.place = place
        self.future = future


class _GroupQueue:
    """Waiting and running requests of one group on this entry.

    ``served`` is the group's virtual time: token cost that it got, divided by its weight.
    """

    __slots__ = ("group", "running", "served", "tokens_used", "waiting", "weight")

    def __init__(self, *, group: str, weight: float, served: float) -> None:
        self.group = group
        self.weight = weight
        self.served = served
        self.running = 0
        self.tokens_used = 0.0
        self.waiting: deque[_Waiter] = deque()


class FairScheduler:
    """Queues of all groups on one entry.

    The group with the least virtual time goes first, so that backlogged groups get token cost in
    proportion to weight; a group that was idle starts at the present, and one whose request does
    not fit any free slot is passed over, so no capacity stands idle.

    Parameters
    ----------
    limits
        This entry's part of each group's limits.
    order
        Fair, or by arrival for comparison.
    """

    __slots__ = ("_arrivals", "_backlog", "_clock", "_groups", "_limits", "_order")

    def __init__(self, *, limits: GroupShareLimits, order: QueueOrder = QueueOrder.FAIR) -> None:
        self._limits = limits
        self._order = order
        self._arrivals = 0
        self._groups: dict[str, _GroupQueue] = {}
        self._clock = 0.0
        self._backlog = asyncio.Event()

    async def acquire(
        self,
        *,
        group: str,
        weight: float,
        cost: float,
        queue_limit: int,
        place: Callable[[], Choice | None],
        deadline_s: float,
        front: bool = False,
    ) -> Result[Ticket, Failure]:
        """Wait for a turn and a slot.

        Parameters
        ----------
        place
            Reserves a slot where one is free now.
        front
            Whether a retry goes before the group's new requests.

        Errors
        ------
        QUEUE_FULL
            The group's queue is at its limit.
        GROUP_REMOVED
            The group's row was removed meanwhile.
        DEADLINE_PASSED
            No turn came in time; nothing was run.
        """
        queue = self._queue(group, weight)
        if len(queue.waiting) >= queue_limit:
            return Err(Failure(code=Code.QUEUE_FULL))
        loop = asyncio.get_running_loop()
        self._arrivals += 1
        waiter = _Waiter(
            cost=cost, arrival=self._arrivals, place=place, future=loop.create_future()
        )
        if front:
            queue.waiting.appendleft(waiter)
        else:
            queue.waiting.append(waiter)
        self.pump()
        try:
            async with deadline_at(deadline_s):
                return await waiter.future
        except TimeoutError:
            return Err(Failure(code=Code.DEADLINE_PASSED))
        finally:
            if not waiter.future.done() or waiter.future.cancelled():
                self._withdraw(queue, waiter)

    def finish(self, ticket: Ticket, *, actual_cost: float) -> None:
        """Note that a request ended, and correct its estimated cost."""
        queue = self._groups[ticket.group]
        queue.running -= 1
        queue.served += (actual_cost - ticket.cost) / queue.weight
        queue.tokens_used += actual_cost
        self._limits.correct(ticket.group, actual_cost - ticket.cost)
        self.pump()

    def pump(self) -> None:
        """Let requests go while any fits."""
        self._refuse_removed()
        progress = True
        while progress:
            progress = False
            for queue in sorted(self._backlogged(), key=self._rank):
                if self._grant(queue):
                    progress = True
                    break
        if any(queue.waiting for queue in self._groups.values()):
            self._backlog.set()
        else:
            self._backlog.clear()

    async def wait_backlog(self) -> None:
        """Wait until any request waits."""
        await self._backlog.wait()

    def demand(self) -> list[Demand]:
        """Give the demand of each group, with the tokens used since the last call."""
        found = []
        for queue in self._groups.values():
            found.append(
                Demand(
                    group=queue.group,
                    waiting=len(queue.waiting),
                    running=queue.running,
                    tokens_used=queue.tokens_used,
                )
            )
            queue.tokens_used = 0.0
        return found

    def _rank(self, queue: _GroupQueue) -> float:
        if self._order is QueueOrder.ARRIVAL:
            return queue.waiting[0].arrival
        return queue.served

    def _backlogged(self) -> Iterable[_GroupQueue]:
        return [queue for queue in self._groups.values() if queue.waiting]

    def _grant(self, queue: _GroupQueue) -> bool:
        if not self._limits.allows(queue.group, running=queue.running):
            return False
        waiter = queue.waiting[0]
        if waiter.future.done():
            queue.waiting.popleft()
            return True
        choice = waiter.place()
        if choice is None:
            return False
        queue.waiting.popleft()
        queue.running += 1
        self._clock = max(self._clock, queue.served)
        queue.served += waiter.cost / queue.weight
        self._limits.spend(queue.group, waiter.cost)
        ticket = Ticket(group=queue.group, cost=waiter.cost, choice=choice)
        waiter.future.set_result(Ok(ticket))
        return True

    def _refuse_removed(self) -> None:
        """Answer at once those whose group's row is gone: no turn will come."""
        for queue in self._groups.values():
            while queue.waiting and not self._limits.known(queue.group):
                waiter = queue.waiting.popleft()
                if not waiter.future.done():
                    waiter.future.set_result(Err(Failure(code=Code.GROUP_REMOVED)))

    def _queue(self, group: str, weight: float) -> _GroupQueue:
        queue = self._groups.get(group)
        if queue is None:
            queue = _GroupQueue(group=group, weight=weight, served=self._clock)
            self._groups[group] = queue
        queue.weight = weight
        if not queue.waiting and not queue.running:
            queue.served = max(queue.served, self._clock)
        return queue

    def _withdraw(self, queue: _GroupQueue, waiter: _Waiter) -> None:
        try:
            queue.waiting.remove(waiter)
        except ValueError:
            return


__all__ = ["Demand", "FairScheduler", "Ticket"]
