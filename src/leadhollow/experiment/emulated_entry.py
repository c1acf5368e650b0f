"""One simulated entry: its failure domain, its queue and its view of the engines."""

from __future__ import annotations

from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.experiment.server_view import ServerView

SERVICE = "models"


class EmulatedEntry:
    """An entry with the product's own queue and a separate view of the engines."""

    __slots__ = ("domain", "queue", "view")

    def __init__(self, *, domain: str, view: ServerView, queue: EngineQueue) -> None:
        self.domain = domain
        self.view = view
        self.queue = queue


__all__ = ["SERVICE", "EmulatedEntry"]
