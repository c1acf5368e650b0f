"""Chooses the service of a request by the target weights of its route."""

from __future__ import annotations

import random
from collections.abc import Callable

from leadhollow.decide.eligibility import Regions
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.routing.model import Route


class TargetChooser:
    """Distributes the requests of a route over its services.

    Parameters
    ----------
    record_request
        Called with the service of each request.
    """

    __slots__ = ("_directory", "_random", "record_request")

    def __init__(
        self, *, directory: ServerDirectory, record_request: Callable[[str], None], seed: int
    ) -> None:
        self._directory = directory
        self._random = random.Random(seed)
        self.record_request = record_request

    def choose(self, route: Route, regions: Regions | None) -> str:
        """Choose a service; one without a server in reach is chosen only if no service has any.

        Parameters
        ----------
        regions
            Regions in which the request may be served; None if all may serve it.
        """
        targets = [target for target in route.targets if target.weight > 0]
        if len(targets) == 1:
            return targets[0].service
        served = [
            target
            for target in targets
            if any(server.in_reach(regions) for server in self._directory.servers(target.service))
        ]
        candidates = served or targets
        weights = [target.weight for target in candidates]
        return self._random.choices(candidates, weights=weights)[0].service


__all__ = ["TargetChooser"]
