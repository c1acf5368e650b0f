"""Stand-in for a statsd server: counts the metrics that it receives over UDP."""

from __future__ import annotations

import asyncio
from collections import Counter


class StatsdSink(asyncio.DatagramProtocol):
    """Counts received lines by metric name and keeps the last value of each gauge."""

    def __init__(self) -> None:
        self.received: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self._transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    async def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Count the lines of one datagram."""
        for line in data.decode(errors="replace").splitlines():
            name, _, value_and_type = line.partition(":")
            value, _, metric_type = value_and_type.partition("|")
            self.received[name] += 1
            if metric_type == "g":
                self.gauges[name] = float(value)


__all__ = ["StatsdSink"]
