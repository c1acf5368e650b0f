"""Regions in which a caller's request may be served by the route table in force."""

from __future__ import annotations

from leadhollow.decide.eligibility import Regions, allowed_regions
from leadhollow.routing.index import RouteIndex
from leadhollow.routing.model import Organisation, Route


class CallRegions:
    """Regions in which one call may be served.

    A call can outlive the table that it arrived under: it waits for an engine, and its stream is
    resumed. So the table in force decides at each send, not the one in force at the arrival.

    Parameters
    ----------
    host, path
        Where the call was sent to, by which its route is found again in another table.
    key
        Key of the caller; empty if it gave none.
    route, organisation
        What the table in force says of the call now. If a later table has no such route or key,
        the last one that had it decides.
    """

    __slots__ = (
        "_allowed",
        "_host",
        "_key",
        "_organisation",
        "_path",
        "_route",
        "_routes",
        "_seen",
    )

    def __init__(
        self,
        *,
        routes: RouteIndex,
        host: str,
        path: str,
        key: str,
        route: Route,
        organisation: Organisation | None,
    ) -> None:
        self._routes = routes
        self._host = host
        self._path = path
        self._key = key
        self._route = route
        self._organisation = organisation
        self._seen = routes.updates
        self._allowed = _regions(route, organisation)

    def allowed(self) -> Regions | None:
        """Return the regions in which the call may be served now; None if all may serve it."""
        if self._seen != self._routes.updates:
            self._seen = self._routes.updates
            self._route = self._routes.route(self._host, self._path) or self._route
            if self._organisation is not None:
                found = self._routes.organisation(self._key)
                self._organisation = found or self._organisation
            self._allowed = _regions(self._route, self._organisation)
        return self._allowed


def _regions(route: Route, organisation: Organisation | None) -> Regions | None:
    return allowed_regions(
        route.allowed_regions, () if organisation is None else organisation.allowed_regions
    )


__all__ = ["CallRegions"]
