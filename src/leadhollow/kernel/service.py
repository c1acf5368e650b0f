"""Interface of the services that the kernel starts and stops."""

from __future__ import annotations

from typing import Protocol

from result import Result

from leadhollow.failure import Failure


class Service(Protocol):
    """Service that the kernel starts, drains and stops."""

    async def start(self) -> Result[None, Failure]:
        """Start the service; the services it needs have started already."""
        ...

    async def drain(self) -> None:
        """Refuse new work and wait for work in progress."""
        ...

    async def stop(self) -> None:
        """Release all resources; work still in progress may be aborted."""
        ...


__all__ = ["Service"]
