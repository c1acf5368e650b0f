"""Ranks that the requests for a service may have, according to the route table.

The priority of a group takes precedence over that of the route. Among requests of groups of the
same priority, that of the route decides.
"""

from __future__ import annotations

from collections import Counter
from typing import TypeVar

from leadhollow.routing.model import Organisation, Route

_Key = TypeVar("_Key")

Rank = tuple[int, int]
"""Priority of the group, or else of the route, and then that of the route; lower ranks go first."""


def rank_of(route: Route, group: Organisation | None) -> Rank:
    """Return the rank of requests of a route and a group."""
    if group is None or group.priority is None:
        return route.priority, route.priority
    return group.priority, route.priority


class ServiceRanks:
    """Ranks of the requests for each service, updated with each route and group."""

    __slots__ = ("_by_service", "_group_priorities", "_groups_without")

    def __init__(self) -> None:
        # priority and whether the route needs no key, for the routes of each service
        self._by_service: dict[str, Counter[tuple[int, bool]]] = {}
        self._group_priorities: Counter[int] = Counter()
        self._groups_without = 0  # groups that have no priority of their own

    def of(self, service: str, *, keyed: bool) -> tuple[Rank, ...]:
        """Return the distinct ranks of the requests for a service, in ascending order.

        Parameters
        ----------
        keyed
            Whether the table has groups, so that routes that are not public need a key.
        """
        every_route = self._groups_without > 0 or not keyed
        routes = self._by_service.get(service, Counter())
        found = {(priority, priority) for priority, public in routes if public or every_route}
        if keyed:
            own = {priority for priority, public in routes if not public}
            found |= {(group, priority) for group in self._group_priorities for priority in own}
        return tuple(sorted(found))

    def add_route(self, route: Route) -> None:
        """Count a route."""
        for target in route.targets:
            counts = self._by_service.setdefault(target.service, Counter())
            counts[route.priority, route.public] += 1

    def remove_route(self, route: Route) -> None:
        """Stop counting a route."""
        for target in route.targets:
            counts = self._by_service[target.service]
            _decrement(counts, (route.priority, route.public))
            if not counts:
                del self._by_service[target.service]

    def add_group(self, group: Organisation) -> None:
        """Count a group."""
        if group.priority is None:
            self._groups_without += 1
        else:
            self._group_priorities[group.priority] += 1

    def remove_group(self, group: Organisation) -> None:
        """Stop counting a group."""
        if group.priority is None:
            self._groups_without -= 1
        else:
            _decrement(self._group_priorities, group.priority)


def _decrement(counts: Counter[_Key], key: _Key) -> None:
    counts[key] -= 1
    if counts[key] <= 0:
        del counts[key]


__all__ = ["Rank", "ServiceRanks", "rank_of"]
