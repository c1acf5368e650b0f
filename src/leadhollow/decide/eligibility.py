"""Whether a request may be sent to a backend server, and if not for which reason.

Each reason is a result code. The same rules apply when a server is chosen and again when the
request is sent, because a rule may change in between.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from leadhollow.codes import Code

Regions = frozenset[str]
"""Regions in which a request may be served. Where None stands instead, every region will do; an
empty set allows none."""


class DomainRules(Protocol):
    """What applies to all servers of a failure domain.

    Attributes
    ----------
    unrestricted
        Whether a request that is bound to no region may be sent to every failure domain. It spares
        a call for each server of each decision.
    """

    unrestricted: bool

    def reason_against(self, failure_domain: str, regions: Regions | None) -> Code | None:
        """Return why a request must not be sent to a failure domain, or None if it may be.

        Parameters
        ----------
        regions
            Regions in which the request may be served; None if all may serve it.
        """
        ...


class FailureDomains:
    """Region of each failure domain, and the failure domains that are evacuated.

    Parameters
    ----------
    regions
        Region by failure domain. A failure domain that is missing belongs to no region, so no
        request that is bound to regions is sent there.

    Attributes
    ----------
    unrestricted
        Whether no failure domain is evacuated.
    """

    __slots__ = ("_evacuated", "_listeners", "_regions", "unrestricted")

    def __init__(self, *, regions: Mapping[str, str]) -> None:
        self._regions = dict(regions)
        self._evacuated: frozenset[str] = frozenset()
        self.unrestricted = True
        self._listeners: list[Callable[[], None]] = []

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose servers get no requests."""
        return self._evacuated

    def set_evacuated(self, domains: Collection[str]) -> None:
        """Set the failure domains whose servers get no requests."""
        if self._evacuated == frozenset(domains):
            return
        self._evacuated = frozenset(domains)
        self.unrestricted = not self._evacuated
        for listener in self._listeners:
            listener()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function when other failure domains are evacuated."""
        self._listeners.append(listener)

    def reason_against(self, failure_domain: str, regions: Regions | None) -> Code | None:
        """Return why a request must not be sent to a failure domain, or None if it may be."""
        if regions is not None and self._regions.get(failure_domain) not in regions:
            return Code.OUTSIDE_REGIONS
        return Code.DOMAIN_EVACUATED if failure_domain in self._evacuated else None


class NoDomainRules:
    """Allows requests that are bound to no regions to be sent to every failure domain."""

    __slots__ = ("unrestricted",)

    def __init__(self) -> None:
        self.unrestricted = True

    def reason_against(self, failure_domain: str, regions: Regions | None) -> Code | None:
        """Return why a request must not be sent to a failure domain, or None if it may be."""
        return None if regions is None else Code.OUTSIDE_REGIONS


def allowed_regions(*bounds: Collection[str]) -> Regions | None:
    """Return the regions that satisfy all bounds; an empty bound allows every region.

    Returns
    -------
    Regions or None
        None if no bound restricts the regions; an empty set if no region satisfies all bounds.
    """
    allowed: Regions | None = None
    for bound in bounds:
        if bound:
            allowed = frozenset(bound) if allowed is None else allowed & frozenset(bound)
    return allowed


__all__ = ["DomainRules", "FailureDomains", "NoDomainRules", "Regions", "allowed_regions"]
