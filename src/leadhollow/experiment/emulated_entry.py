"""One entry of a run, as everything around it sees it."""

from __future__ import annotations

from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.experiment.server_view import ServerView

SERVICE = "models"


class EmulatedEntry:
    """One entry: the product's queue before its own view of the engines."""

    __slots__ = ("domain", "queue", "view")

    def __init__(self, *, domain: str, view: ServerView, queue: EngineQueue) -> None:
        self.domain = domain
        self.view = view
        self.queue = queue


__all__ = ["SERVICE", "EmulatedEntry"]
