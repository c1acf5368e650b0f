"""Engines that turn requests away and ask for rest, and what entries know of it."""

from __future__ import annotations

import random
from collections.abc import Callable

from leadhollow.decide.policy import QueuePolicy
from leadhollow.decide.server import Server
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.decide.server_load import OwnCall
from leadhollow.experiment.virtual_clock import VirtualClock

GRACE_S = 0.5  # after an engine asked for rest, until what still arrives there counts


class EmulatedBackoffs:
    """Which engines turn away, and the rests that they asked for.

    Parameters
    ----------
    rest_s
        Rest that each asks for.
    """

    __slots__ = ("_asked", "_clock", "_policy", "_random", "backoff_s", "refusing")

    def __init__(
        self, *, clock: VirtualClock, policy: QueuePolicy, backoff_s: float, seed: int
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._random = random.Random(seed)
        self._asked: dict[tuple[int, str], float] = {}  # by entry and address: when it was last
        self.backoff_s = backoff_s
        self.refusing: set[str] = set()

    def in_backoff(self, entry: int, address: str) -> bool:
        """Tell whether a request that arrives from an entry now breaks a rest."""
        since_s = self._clock.now_s - self._asked.get((entry, address), float("-inf"))
        return GRACE_S < since_s < self.backoff_s

    def record_backoff(self, entry: int, server: Server) -> None:
        """Let an entry read the answer that asks for rest."""
        key = (entry, server.instance.address)
        if not self.in_backoff(*key):
            self._asked[key] = self._clock.now_s
        if self._policy.keeps_rests:
            server.backoff = server.backoff or self._new()
            server.backoff.extend(self.backoff_s)

    def record_peer_backoff(self, server: Server) -> None:
        """Let another entry hear of it."""
        if self._policy.tells_rests:
            server.backoff = server.backoff or self._new()
            server.backoff.record_peer_backoff(self.backoff_s)

    def record_success(self, server: Server, call: OwnCall) -> None:
        """Note that a server took a request."""
        if server.backoff is not None and server.backoff.ended_by(call):
            server.backoff = None

    def _new(self) -> ServerBackoff:
        clock: Callable[[], float] = lambda: self._clock.now_s  # noqa: E731
        return ServerBackoff(clock=clock, source=self._random)


__all__ = ["EmulatedRests"]
