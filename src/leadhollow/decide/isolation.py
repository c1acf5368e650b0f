"""Whether callers are served better elsewhere: this failure domain is cut off, and overloaded.

An entry that is cut off goes on serving with the engines that it reaches. Where these cannot carry
its callers it says that it takes no new connections, so that the balancer leads new callers, and
those that come back, to entries of other domains; open connections are served on.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from leadhollow.decide.server import Server
from leadhollow.observe.logs import get_logger

UNCONFIRMED_S = 1.0  # a majority confirms what an entry knows several times in it
OVERLOADED = 0.6  # pressure from which callers are sent elsewhere
CALM = 0.1  # and below which they are taken again

MOST_LOST = 0.5
"""Part of the servers elsewhere that cannot be reached; of plain services only the nearest are
tried, so that the others are not known to be lost."""

log = get_logger("isolation")


class AllServers(Protocol):
    """Backend servers of all services."""

    def all_servers(self) -> Sequence[Server]:
        """Give them."""
        ...


class IsolationDetector:
    """Looks at what this entry reaches.

    Parameters
    ----------
    board
        Backend servers.
    failure_domain
        Ours.
    pressure
        Gives the highest pressure on the engines of any service now.
    confirmed_s
        Gives the loop time at which a majority last confirmed what we know, None before.
    clock
        Gives the loop time.
    """

    __slots__ = ("_board", "_clock", "_confirmed_s", "_failure_domain", "_pressure", "_sends_away")

    def __init__(
        self,
        *,
        directory: AllServers,
        failure_domain: str,
        pressure: Callable[[], float],
        confirmed_s: Callable[[], float | None],
        clock: Callable[[], float],
    ) -> None:
        self._board = directory
        self._failure_domain = failure_domain
        self._pressure = pressure
        self._confirmed_s = confirmed_s
        self._clock = clock
        self._sends_away = False

    def should_divert(self) -> bool:
        """Tell whether new callers should be led to other failure domains."""
        threshold = CALM if self._sends_away else OVERLOADED
        wanted = self._is_cut_off() and self._pressure() >= threshold
        if wanted != self._sends_away:
            self._sends_away = wanted
            log.warning("cut off and overloaded" if wanted else "callers are taken again")
        return wanted

    def _is_cut_off(self) -> bool:
        """Tell whether neither the control majority nor most servers elsewhere can be reached."""
        confirmed_s = self._confirmed_s()
        if confirmed_s is None or self._clock() - confirmed_s < UNCONFIRMED_S:
            return False
        elsewhere = [
            server
            for server in self._board.all_servers()
            if server.instance.failure_domain != self._failure_domain
        ]
        lost = sum(1 for server in elsewhere if server.health.unreachable)
        return lost > 0 and lost >= MOST_LOST * len(elsewhere)


__all__ = ["Isolation"]
