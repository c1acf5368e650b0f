"""Starts the services of a process in dependency order and stops them in reverse."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from graphlib import TopologicalSorter
from typing import TypeVar

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.kernel.service import Service
from leadhollow.observe.logs import get_logger

ServiceType = TypeVar("ServiceType")

log = get_logger("kernel")


class _Registration:
    __slots__ = ("factory", "name", "needs")

    def __init__(
        self, *, name: str, needs: tuple[str, ...], factory: Callable[[], Service]
    ) -> None:
        self.name = name
        self.needs = needs
        self.factory = factory


class Kernel:
    """Registry and lifecycle of the services of one process, by name.

    Parameters
    ----------
    drain_deadline_ms
        Time that all services together may take to finish work in progress.
    """

    __slots__ = ("_drain_deadline_ms", "_registrations", "_running", "_services")

    def __init__(self, *, drain_deadline_ms: int) -> None:
        self._drain_deadline_ms = drain_deadline_ms
        self._registrations: dict[str, _Registration] = {}
        self._services: dict[str, Service] = {}
        self._running: list[str] = []

    def register(
        self, name: str, factory: Callable[[], Service], *, needs: tuple[str, ...] = ()
    ) -> None:
        """Register a service; its factory runs once all services in `needs` have started."""
        if name in self._registrations:
            message = f"service {name} is registered twice"
            raise ValueError(message)
        self._registrations[name] = _Registration(name=name, needs=needs, factory=factory)

    def get(self, name: str, service_type: type[ServiceType]) -> ServiceType:
        """Return a started service by name.

        Raises
        ------
        TypeError
            The service is not of the given type.
        """
        service = self._services[name]
        if not isinstance(service, service_type):
            message = f"service {name} is a {type(service).__name__}"
            raise TypeError(message)
        return service

    def has(self, name: str) -> bool:
        """Return whether a service of this name is registered."""
        return name in self._registrations

    async def start(self) -> Result[None, Failure]:
        """Start all services; on the first failure stop those already running."""
        graph = {
            registration.name: set(registration.needs)
            for registration in self._registrations.values()
        }
        for name in TopologicalSorter(graph).static_order():
            service = self._registrations[name].factory()
            self._services[name] = service
            started = await service.start()
            if started.is_err():
                log.error("service did not start", service=name, failure=started.unwrap_err())
                await self.kill()
                return Err(started.unwrap_err())
            self._running.append(name)
        return Ok(None)

    async def stop(self) -> bool:
        """Drain all services and stop them, in reverse order.

        Returns
        -------
        bool
            Whether all work in progress ended before the drain deadline.
        """
        drained = True
        try:
            async with asyncio.timeout(self._drain_deadline_ms / 1000):
                for name in reversed(self._running):
                    await self._services[name].drain()
        except TimeoutError:
            drained = False
            log.warning("drain deadline passed", deadline_ms=self._drain_deadline_ms)
        await self.kill()
        return drained

    async def kill(self) -> None:
        """Stop all running services in reverse order without draining them."""
        while self._running:
            name = self._running.pop()
            try:
                await self._services[name].stop()
            except Exception:
                log.exception("service did not stop cleanly", service=name)


__all__ = ["Kernel"]
