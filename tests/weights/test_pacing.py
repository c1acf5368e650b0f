"""Number of sleeps for which a pacer wakes the event loop."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from leadhollow.weights.pacing import Pacer

SLICES = 40
SLICE_BYTES = 4_096
RATE_BYTES_PER_S = 400_000  # a slice takes 10.24 ms, which is no whole number of milliseconds
MAX_SLEEPS_PER_SLICE = 2.0  # a second one is needed if the clock of the loop is a step behind


class TestPacer:
    @pytest.mark.parametrize("new_loop", [uvloop.new_event_loop, asyncio.new_event_loop])
    def test_wait_for_a_slice_sleeps_at_most_twice(self, new_loop, monkeypatch):
        sleeps = _count_sleeps(monkeypatch)

        async def work() -> float:
            pacer = Pacer(rate_bytes_per_s=lambda: RATE_BYTES_PER_S, burst_s=0.0)
            began_s = asyncio.get_running_loop().time()
            for _ in range(SLICES):
                await pacer.wait_until_free()
                pacer.spend(SLICE_BYTES)
            await pacer.wait_until_free()
            return asyncio.get_running_loop().time() - began_s

        with asyncio.Runner(loop_factory=new_loop) as runner:
            took_s = runner.run(work())
        assert len(sleeps) <= MAX_SLEEPS_PER_SLICE * SLICES
        assert took_s >= SLICES * SLICE_BYTES / RATE_BYTES_PER_S

    def test_concurrent_waiters_sleep_at_most_once_for_each_slice(self, monkeypatch):
        sleeps = _count_sleeps(monkeypatch)

        async def take_slices(pacer: Pacer) -> None:
            for _ in range(SLICES // 4):
                await pacer.take(SLICE_BYTES)

        async def work() -> None:
            pacer = Pacer(rate_bytes_per_s=lambda: RATE_BYTES_PER_S)
            await asyncio.gather(*(take_slices(pacer) for _ in range(4)))

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(work())
        assert len(sleeps) <= SLICES


def _count_sleeps(monkeypatch) -> list[float]:
    slept: list[float] = []
    sleep = asyncio.sleep

    async def counted(wait_s: float) -> None:
        slept.append(wait_s)
        await sleep(wait_s)

    monkeypatch.setattr(asyncio, "sleep", counted)
    return slept
