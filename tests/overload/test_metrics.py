"""Metrics of the account of callers' memory, as a sink gets them."""

from __future__ import annotations

import socket

from leadhollow.observe.metrics import Metrics
from leadhollow.overload.memory import CallerMemory
from leadhollow.overload.metrics import OverloadMetrics
from leadhollow.settings.address import Address
from tests.overload.test_memory import FakeConnection

LIMIT_BYTES = 1_000


class TestOverloadMetrics:
    async def test_tell_what_callers_hold_and_who_went(self):
        memory = CallerMemory(limit_bytes=LIMIT_BYTES)
        memory.add(FakeConnection(held_bytes=900, stalled_s=5.0))
        memory.add(FakeConnection(held_bytes=400, stalled_s=0.1))
        memory.check()
        memory.add(FakeConnection(held_bytes=200, stalled_s=0.1))
        memory.record_closed(7, max_connections=9)
        memory.record_refused(max_connections=9)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
            sink.bind(("127.0.0.1", 0))
            sink.settimeout(5)
            address = Address(host="127.0.0.1", port=sink.getsockname()[1])
            metrics = OverloadMetrics(metrics=Metrics(sink=address, prefix="p"), memory=memory)
            metrics.send()
            received = {sink.recv(100).decode() for _ in range(6)}
        assert received == {
            "p.callers.held_bytes:600|g",
            "p.callers.limit_bytes:1000|g",
            "p.callers.connections:3|g",
            "p.callers.shed:1|g",
            "p.callers.closed:7|g",
            "p.callers.refused:1|g",
        }

    # Guards against: callers are treated otherwise where a sink is set.
    async def test_shed_nobody(self):
        memory = CallerMemory(limit_bytes=LIMIT_BYTES)
        caller = FakeConnection(held_bytes=2 * LIMIT_BYTES, stalled_s=5.0)
        memory.add(caller)
        OverloadMetrics(metrics=Metrics(sink=None, prefix="p"), memory=memory).send()
        assert (caller.shed_calls, memory.held_bytes) == (0, 2 * LIMIT_BYTES)


__all__: list[str] = []
