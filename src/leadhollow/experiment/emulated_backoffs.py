"""Emulation of engines that refuse requests and ask for a back-off."""

from __future__ import annotations

import random
from collections.abc import Callable

from leadhollow.decide.policy import QueuePolicy
from leadhollow.decide.server import Server
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.decide.server_load import OwnCall
from leadhollow.experiment.virtual_clock import VirtualClock

IN_FLIGHT_GRACE_S = 0.5  # after the request for a back-off; earlier arrivals are not counted


class EmulatedBackoffs:
    """Tracks the engines that refuse requests and the back-offs that they asked for.

    Parameters
    ----------
    backoff_s
        Length of the back-off that each engine asks for.
    """

    __slots__ = ("_asked_at_s", "_clock", "_policy", "_random", "backoff_s", "refusing")

    def __init__(
        self, *, clock: VirtualClock, policy: QueuePolicy, backoff_s: float, seed: int
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._random = random.Random(seed)
        self._asked_at_s: dict[tuple[int, str], float] = {}  # by entry index and address
        self.backoff_s = backoff_s
        self.refusing: set[str] = set()

    def in_backoff(self, entry: int, address: str) -> bool:
        """Return whether a request that arrives from an entry now violates a back-off.

        Requests that were already under way when the engine asked are not counted.
        """
        since_s = self._clock.now_s - self._asked_at_s.get((entry, address), float("-inf"))
        return IN_FLIGHT_GRACE_S < since_s < self.backoff_s

    def record_backoff(self, entry: int, server: Server) -> None:
        """Record that an entry received a response that asks for a back-off."""
        key = (entry, server.instance.address)
        if not self.in_backoff(*key):
            self._asked_at_s[key] = self._clock.now_s
        if self._policy.keeps_rests:
            server.backoff = server.backoff or self._new_backoff()
            server.backoff.extend(self.backoff_s)

    def record_peer_backoff(self, server: Server) -> None:
        """Record a back-off that another entry reported."""
        if self._policy.tells_rests:
            server.backoff = server.backoff or self._new_backoff()
            server.backoff.record_peer_backoff(self.backoff_s)

    def record_success(self, server: Server, call: OwnCall) -> None:
        """Record that a server accepted a request, which may end its back-off."""
        if server.backoff is not None and server.backoff.ended_by(call):
            server.backoff = None

    def _new_backoff(self) -> ServerBackoff:
        clock: Callable[[], float] = lambda: self._clock.now_s  # noqa: E731
        return ServerBackoff(clock=clock, source=self._random)


__all__ = ["EmulatedBackoffs"]
