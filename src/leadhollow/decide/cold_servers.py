"""Backend servers that are cold, and the rate of requests that they take meanwhile.

A server that has just started, or has become cold again, takes few requests per second until it is
warm. It says so in its announcements. A server that was away, or may have become cold unnoticed, is
presumed cold until it has been back for as long as the service's servers take to warm up.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from leadhollow.decide.eligibility import FailureDomains
from leadhollow.decide.rate_source import RateLimit
from leadhollow.decide.send_limiter import PROBE_RATE_PER_S
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.routing.model import ServiceRecord
from leadhollow.settings.node import Bounds
from leadhollow.wire.generated.ttypes import LoadRecord

COLD_UNLEASED_SHARE = 0.6
"""Share of the rate that entries without a lease divide evenly. All servers may be cold at once,
after a loss of power, when there is no leader that leases shares yet."""

COLD_TOKEN_VALID_S = 0.3  # with the share above, unused tokens are at most 0.18 s of the rate
MAX_HOLDERS = 8  # of leases for one server
SPARE_PER_HOLDER = 2.5
"""Requests of the bound beyond the rate for each holder of a lease, who may have saved a token. The
rest is for leases that are ending and for entries that are out of touch."""

MARGIN_S = 0.1  # requests that are under way arrive later; the clock of the server differs
MAX_SERVERS = 4_096  # lives that are remembered as cold


class InstanceSource(Protocol):
    """Known backend servers."""

    def of_life(self, life: str) -> Instance | None:
        """Return the instance whose current life is the given one."""
        ...

    def at_address(self, address: str) -> Instance | None:
        """Return the latest instance at an address."""
        ...

    def instances(self) -> list[Instance]:
        """Return all instances that are not gone."""
        ...

    def on_change(self, listener: Callable[[Instance], None]) -> None:
        """Call a function with each record that changes the table."""
        ...


class ColdServers:
    """Cold servers of services that declare a rate for cold servers. A source of rate limits.

    Parameters
    ----------
    instances
        Known backend servers, with the times until which they say that they are cold.
    service
        Returns a service by its name.
    bounds
        Requests that a cold server may get in any second, relative to its rate.
    clock
        Loop time in seconds.
    """

    __slots__ = (
        "_bounds",
        "_clock",
        "_instances",
        "_listeners",
        "_presumed_until_s",
        "_said_until_s",
        "_service",
    )

    def __init__(
        self,
        *,
        instances: InstanceSource,
        service: Callable[[str], ServiceRecord | None],
        bounds: Bounds,
        clock: Callable[[], float],
    ) -> None:
        self._instances = instances
        self._service = service
        self._bounds = bounds
        self._clock = clock
        self._said_until_s: dict[str, float] = {}
        self._presumed_until_s: dict[str, float] = {}
        self._listeners: list[Callable[[str], None]] = []
        instances.on_change(self._on_instance)

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call a function with each life that becomes cold or states another end of it."""
        self._listeners.append(listener)

    def watch(self, domains: FailureDomains) -> None:
        """Presume servers cold whose failure domain is no longer evacuated."""
        evacuated = domains.evacuated

        def on_domains() -> None:
            nonlocal evacuated
            restored, evacuated = evacuated - domains.evacuated, domains.evacuated
            for instance in self._instances.instances():
                if instance.failure_domain in restored:
                    self.presume_cold(instance)

        domains.on_change(on_domains)

    def presume_cold(self, instance: Instance) -> None:
        """Treat a server as cold for as long as its service's servers take to warm up.

        Announcements that say otherwise may have been made before, and do not end it. One of a new
        life does.
        """
        service = self._paced(instance.service)
        if service is not None:
            self._presume(instance.life, service.cold_start_s)

    def record_statement(self, instance: Instance, remaining_ms: float) -> None:
        """Record how long a server stays cold, as it said in a response."""
        if remaining_ms > 0 and self._paced(instance.service) is not None:
            self._presume(instance.life, remaining_ms / 1000)

    def record_load(self, record: LoadRecord, made_s: float) -> None:
        """Presume a server cold if a load report is from a later life than its announcement."""
        instance = self._instances.at_address(record.address)
        if instance is not None and 0 < instance.born_ms < (record.born_ms or 0):
            self.presume_cold(instance)

    def until_s(self, life: str) -> float:
        """Return the time until which a life is taken as cold; in the past if it is not."""
        return max(
            self._said_until_s.get(life, float("-inf")),
            self._presumed_until_s.get(life, float("-inf")),
        )

    def rate_limit(self, life: str) -> RateLimit | None:
        """Return the limit of a cold server, None if the life is not cold or has no limit."""
        if self.until_s(life) <= self._clock():
            return None
        instance = self._instances.of_life(life)
        service = None if instance is None else self._paced(instance.service)
        if service is None:
            return None
        return cold_limit(service.cold_requests_per_s, self._bounds)

    def limited_lives(self) -> list[str]:
        """Return the lives that are cold and have a limit."""
        self._expire()
        lives = self._said_until_s.keys() | self._presumed_until_s.keys()
        return [life for life in lives if self.rate_limit(life) is not None]

    def _presume(self, life: str, time_s: float) -> None:
        until_s = max(self.until_s(life), self._clock() + time_s + MARGIN_S)
        self._presumed_until_s[life] = until_s
        self._notify(life)

    def _paced(self, name: str) -> ServiceRecord | None:
        """Return a service if it declares a rate for cold servers."""
        service = self._service(name)
        return service if service is not None and service.cold_requests_per_s > 0 else None

    def _on_instance(self, instance: Instance) -> None:
        life, until_s = instance.life, instance.cold_until_s + MARGIN_S
        if instance.state is InstanceState.GONE:
            self._said_until_s.pop(life, None)
            self._presumed_until_s.pop(life, None)
            return
        cold = instance.cold_until_s > self._clock()
        if cold:
            self._said_until_s[life] = until_s
            self._expire()
        elif self._said_until_s.pop(life, None) is None:
            return
        self._notify(life)

    def _expire(self) -> None:
        now_s = self._clock()
        for times in (self._said_until_s, self._presumed_until_s):
            for life in [life for life, until_s in times.items() if until_s <= now_s]:
                del times[life]
            while len(times) > MAX_SERVERS:
                del times[min(times, key=times.__getitem__)]

    def _notify(self, life: str) -> None:
        for listener in self._listeners:
            listener(life)


def cold_limit(rate_per_s: float, bounds: Bounds) -> RateLimit:
    """Return the limit that keeps a cold server within its rate and within the bound.

    The bound of any one second must also cover the tokens that entries may have saved up.
    """
    allowed = bounds.cold_overshoot * rate_per_s + bounds.cold_slack
    spare = max(0.0, allowed - rate_per_s)
    holders = max(1, min(MAX_HOLDERS, int(spare / SPARE_PER_HOLDER)))
    per_s = min(rate_per_s, allowed - SPARE_PER_HOLDER * holders)
    return RateLimit(
        per_s=max(PROBE_RATE_PER_S, per_s),
        unleased_share=COLD_UNLEASED_SHARE,
        token_valid_s=COLD_TOKEN_VALID_S,
        max_holders=holders,
        source="cold",
    )


__all__ = ["COLD_TOKEN_VALID_S", "COLD_UNLEASED_SHARE", "ColdServers", "cold_limit"]
