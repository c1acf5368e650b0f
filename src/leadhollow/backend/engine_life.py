"""Names the lives of the engine beside this process, so that entries agree on which one ended."""

from __future__ import annotations


class EngineLife:
    """Current life of an engine.

    Parameters
    ----------
    server
        Name of the backend server.
    incarnation
        Start time of this process, since a later process numbers lives from 1 again.
    """

    __slots__ = ("_incarnation", "_number", "_server")

    def __init__(self, *, server: str, incarnation: int) -> None:
        self._server = server
        self._incarnation = incarnation
        self._number = 1

    @property
    def name(self) -> str:
        """Name of the current life."""
        return f"{self._server}@{self._incarnation}.{self._number}"

    def record_end(self, name: str) -> None:
        """Record that a life has ended; later requests run in the next one."""
        if name == self.name:
            self._number += 1


__all__ = ["EngineLife"]
