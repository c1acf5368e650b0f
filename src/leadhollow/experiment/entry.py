"""One entry of a run, as everything around it sees it."""

from __future__ import annotations

from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.experiment.view import View

SERVICE = "models"


class Entry:
    """One entry: the product's queue before its own view of the engines."""

    __slots__ = ("domain", "queue", "view")

    def __init__(self, *, domain: str, view: View, queue: EngineQueue) -> None:
        self.domain = domain
        self.view = view
        self.queue = queue


__all__ = ["SERVICE", "Entry"]
