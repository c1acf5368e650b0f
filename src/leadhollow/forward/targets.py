"""Chooses the service of a request by the weights of its route."""

from __future__ import annotations

import random
from collections.abc import Callable

from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.routing.model import Route


class TargetChooser:
    """Splits the requests of routes over their services.

    Parameters
    ----------
    note_request
        Called with the service of each request.
    """

    __slots__ = ("_board", "_random", "record_request")

    def __init__(
        self, *, directory: ServerDirectory, record_request: Callable[[str], None], seed: int
    ) -> None:
        self._board = directory
        self._random = random.Random(seed)
        self.record_request = record_request

    def choose(self, route: Route) -> str:
        """Give the service of one request; one without any backend server only if all are so."""
        targets = [target for target in route.targets if target.weight > 0]
        if len(targets) == 1:
            return targets[0].service
        served = [target for target in targets if self._board.servers(target.service)]
        found = served or targets
        weights = [target.weight for target in found]
        return self._random.choices(found, weights=weights)[0].service


__all__ = ["TargetChooser"]
