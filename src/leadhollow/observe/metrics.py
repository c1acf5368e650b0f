"""Counters, gauges and timings, sent to statsd over UDP."""

from __future__ import annotations

from statsd import StatsClient

from leadhollow.settings.address import Address


class Metrics:
    """Sends metrics with a prefix, or drops them if there is no sink."""

    __slots__ = ("_client",)

    def __init__(self, *, sink: Address | None, prefix: str) -> None:
        self._client = (
            None if sink is None else StatsClient(host=sink.host, port=sink.port, prefix=prefix)
        )
        if self._client is not None:  # if the send buffer is full, datagrams are lost
            self._client._sock.setblocking(False)

    def count(self, name: str, value: int = 1) -> None:
        """Increment a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)


__all__ = ["Metrics"]
