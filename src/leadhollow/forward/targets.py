"""Chooses the service of a request by the target weights of its route."""

from __future__ import annotations

import random
from collections.abc import Callable

from leadhollow.codes import Code
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

    def choose(self, route: Route) -> str:
        """Choose a service; one without usable servers is chosen only if no service has any."""
        targets = [target for target in route.targets if target.weight > 0]
        if len(targets) == 1:
            return targets[0].service
        served = [target for target in targets if self._has_servers(target.service)]
        candidates = served or targets
        weights = [target.weight for target in candidates]
        return self._random.choices(candidates, weights=weights)[0].service

    def _has_servers(self, service: str) -> bool:
        """Tell whether a service has servers in a failure domain that is not evacuated."""
        return any(
            server.domain_reason(None) is not Code.DOMAIN_EVACUATED
            for server in self._directory.servers(service)
        )


__all__ = ["TargetChooser"]
