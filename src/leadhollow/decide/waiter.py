"""A request that was submitted to the queue of an entry."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.codes import Code
from leadhollow.decide.engine_request import EngineRequest, Placement
from leadhollow.decide.urgency import order


class Waiter:
    """A request that was submitted to the queue.

    Parameters
    ----------
    deadline_s
        Time at which `EngineQueue.on_deadline` is to be called.
    on_end
        Called once when the request is placed or refused, but not from within
        `EngineQueue.submit`.

    Attributes
    ----------
    placement
        Where the request was placed; None if it was not.
    ended
        Whether the request was placed or refused.
    out_of_reach
        Rule that kept a refused request from every engine; None if it was refused otherwise.
    """

    __slots__ = ("deadline_s", "ended", "on_end", "out_of_reach", "placement", "request")

    def __init__(
        self,
        *,
        request: EngineRequest,
        deadline_s: float,
        on_end: Callable[[], None] = lambda: None,
    ) -> None:
        self.request = request
        self.deadline_s = deadline_s
        self.on_end = on_end
        self.placement: Placement | None = None
        self.out_of_reach: Code | None = None
        self.ended = False


def insert(waiters: list[Waiter], waiter: Waiter) -> None:
    """Insert a request behind all others that go before it or arrived before."""
    key = order(waiter.request)
    position = sum(1 for found in waiters if order(found.request) <= key)
    waiters.insert(position, waiter)


__all__ = ["Waiter", "insert"]
