"""Detects that this failure domain is cut off and overloaded, so that callers do better elsewhere.

An entry that is cut off continues to serve with the engines that it reaches. If these cannot carry
the load, the entry reports that it takes no new connections. The load balancer then directs new and
returning callers to entries of other failure domains; open connections are still served.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from leadhollow.codes import Code
from leadhollow.decide.server import Server
from leadhollow.observe.logs import get_logger

CONFIRMATION_TIMEOUT_S = 1.0  # a majority confirms the state of an entry several times in it
DIVERT_PRESSURE = 0.6  # pressure from which new callers are diverted
RESUME_PRESSURE = 0.1  # pressure below which they are accepted again

MIN_UNREACHABLE_SHARE = 0.5
"""Share of the servers in other domains that must be unreachable. Only the nearest servers of plain
services are tried, so not all lost servers are known to be lost."""

log = get_logger("isolation")


class AllServers(Protocol):
    """Source of the backend servers of all services."""

    def all_servers(self) -> Sequence[Server]:
        """Return the backend servers."""
        ...


class IsolationDetector:
    """Decides whether this entry diverts new callers.

    Parameters
    ----------
    directory
        Backend servers.
    failure_domain
        Failure domain of this entry.
    pressure
        Returns the current highest pressure on the engines of any service.
    confirmed_s
        Returns the loop time at which a majority last confirmed the state of this entry, or None
        if it never did.
    clock
        Returns the loop time.
    """

    __slots__ = (
        "_clock",
        "_confirmed_s",
        "_directory",
        "_diverting",
        "_failure_domain",
        "_pressure",
    )

    def __init__(
        self,
        *,
        directory: AllServers,
        failure_domain: str,
        pressure: Callable[[], float],
        confirmed_s: Callable[[], float | None],
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._failure_domain = failure_domain
        self._pressure = pressure
        self._confirmed_s = confirmed_s
        self._clock = clock
        self._diverting = False

    def should_divert(self) -> bool:
        """Tell whether new callers should be directed to other failure domains."""
        threshold = RESUME_PRESSURE if self._diverting else DIVERT_PRESSURE
        wanted = self._is_cut_off() and self._pressure() >= threshold
        if wanted != self._diverting:
            self._diverting = wanted
            log.warning("cut off and overloaded" if wanted else "callers are taken again")
        return wanted

    def _is_cut_off(self) -> bool:
        """Tell whether neither the control majority nor most remote servers can be reached.

        Servers of evacuated failure domains do not count: they could take no callers.
        """
        confirmed_s = self._confirmed_s()
        if confirmed_s is None or self._clock() - confirmed_s < CONFIRMATION_TIMEOUT_S:
            return False
        remote = [
            server
            for server in self._directory.all_servers()
            if server.instance.failure_domain != self._failure_domain
            and server.fixed_reason(None) is not Code.DOMAIN_EVACUATED
        ]
        unreachable = sum(1 for server in remote if server.health.unreachable)
        return unreachable > 0 and unreachable >= MIN_UNREACHABLE_SHARE * len(remote)


__all__ = ["IsolationDetector"]
