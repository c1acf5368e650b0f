"""Services start in dependency order and stop in reverse."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.kernel import Kernel


class Recorder:
    """Service that records its lifecycle events."""

    def __init__(self, name: str, events: list[str], *, fails: bool = False, hangs: bool = False):
        self.name = name
        self.events = events
        self.fails = fails
        self.hangs = hangs

    async def start(self):
        if self.fails:
            return Err(Failure(code=Code.ADDRESS_IN_USE))
        self.events.append(f"start {self.name}")
        return Ok(None)

    async def drain(self):
        self.events.append(f"drain {self.name}")
        if self.hangs:
            await asyncio.sleep(60)

    async def stop(self):
        self.events.append(f"stop {self.name}")


class TestKernel:
    async def test_services_start_in_dependency_order_and_stop_in_reverse(self):
        events: list[str] = []
        kernel = Kernel(drain_deadline_ms=1_000)
        kernel.register("c", lambda: Recorder("c", events), needs=("a", "b"))
        kernel.register("b", lambda: Recorder("b", events), needs=("a",))
        kernel.register("a", lambda: Recorder("a", events))
        assert (await kernel.start()).is_ok()
        assert await kernel.stop()
        assert events == [
            *("start a", "start b", "start c"),
            *("drain c", "drain b", "drain a"),
            *("stop c", "stop b", "stop a"),
        ]

    async def test_a_failed_start_stops_the_running_services(self):
        events: list[str] = []
        kernel = Kernel(drain_deadline_ms=1_000)
        kernel.register("a", lambda: Recorder("a", events))
        kernel.register("b", lambda: Recorder("b", events, fails=True), needs=("a",))
        assert (await kernel.start()).unwrap_err().code is Code.ADDRESS_IN_USE
        assert events == ["start a", "stop a"]

    async def test_stop_ends_a_drain_at_the_deadline(self):
        events: list[str] = []
        kernel = Kernel(drain_deadline_ms=20)
        kernel.register("a", lambda: Recorder("a", events, hangs=True))
        await kernel.start()
        assert not await kernel.stop()
        assert events[-1] == "stop a"

    async def test_get_checks_the_type_of_the_service(self):
        kernel = Kernel(drain_deadline_ms=20)
        kernel.register("a", lambda: Recorder("a", []))
        await kernel.start()
        assert kernel.get("a", Recorder).name == "a"
        with pytest.raises(TypeError):
            kernel.get("a", Kernel)

    def test_registering_a_name_twice_is_an_error(self):
        kernel = Kernel(drain_deadline_ms=20)
        kernel.register("a", lambda: Recorder("a", []))
        with pytest.raises(ValueError, match="twice"):
            kernel.register("a", lambda: Recorder("a", []))
