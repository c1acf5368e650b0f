"""Crowds of callers that do not behave, at an entry process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from tests.hostile.crowds import (
    ENTRY_CROWDS,
    Behaviour,
    Crowd,
    endless_small_chunks,
    silent,
    unread_responses,
)
from tests.hostile.deployment import BODY_LIMIT_BYTES, MEMORY_MB, Deployment, Watch
from tests.support import eventually

CROWD = 200
CROWD_S = 6.0
DESCRIPTORS = 250
SILENT_CROWD = 400
LEAVING_CALLERS = 20
MIXED_SEED = 79
CALLERS_AT_ONCE = 10
LONG_BODY_BYTES = 2_000_000
ROUNDS = 10


async def face(deployment: Deployment, behaviours: list[Behaviour]) -> Watch:
    """Let a crowd come and leave, and then an ordinary request and one of the largest size."""
    watch = Watch(deployment.entry.process_id)
    sampling = asyncio.create_task(watch.run())
    await Crowd(address=deployment.callers, behaviours=behaviours).stay(CROWD_S)
    await eventually(deployment.is_served, "an answer to an ordinary request")
    largest = bytes(BODY_LIMIT_BYTES)
    await eventually(lambda: deployment.is_served(largest), "an answer to the largest request")
    sampling.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await sampling
    return watch


class TestMemoryOfAnEntry:
    # Guards against: what callers make an entry hold takes more memory than its VM has.
    @pytest.mark.parametrize("kind", ENTRY_CROWDS)
    async def test_stays_within_the_vm(self, tmp_path, kind):
        async with Deployment(folder=tmp_path) as deployment:
            watch = await face(deployment, [ENTRY_CROWDS[kind]] * CROWD)
            assert deployment.entry.running
        assert watch.peak_mb < MEMORY_MB

    # Guards against: the same, where each kind alone stays within its bound.
    async def test_stays_within_the_vm_beside_all_kinds(self, tmp_path):
        chosen = random.Random(MIXED_SEED).choices(list(ENTRY_CROWDS.values()), k=CROWD)
        async with Deployment(folder=tmp_path) as deployment:
            watch = await face(deployment, chosen)
            assert deployment.entry.running
        assert watch.peak_mb < MEMORY_MB


class TestOrdinaryCallers:
    # Guards against: what is kept of bodies for a second attempt costs their callers the first one.
    async def test_with_long_bodies_are_served_at_once(self, tmp_path):
        body = bytes(LONG_BODY_BYTES)
        async with Deployment(folder=tmp_path) as deployment:
            for _ in range(ROUNDS):
                sends = [deployment.is_served(body) for _ in range(CALLERS_AT_ONCE)]
                assert all(await asyncio.gather(*sends))


class TestProcessorTimeOfAnEntry:
    # Guards against: an entry does nothing but parse what a crowd sends.
    async def test_serves_beside_small_chunks(self, tmp_path):
        async with Deployment(folder=tmp_path) as deployment:
            behaviours = [endless_small_chunks] * CROWD
            crowd = Crowd(address=deployment.callers, behaviours=behaviours)
            crowd.come()
            await asyncio.sleep(2.0)
            await eventually(deployment.is_served, "an answer beside the crowd")
            await crowd.leave()
            await eventually(deployment.is_served, "an answer after the crowd")
            assert deployment.entry.running


class TestDescriptorsOfAnEntry:
    # Guards against: callers take all descriptors, so that nobody else can connect.
    async def test_serves_beside_silent_connections(self, tmp_path):
        async with Deployment(folder=tmp_path, max_descriptors=DESCRIPTORS) as deployment:
            watch = Watch(deployment.entry.process_id)
            crowd = Crowd(address=deployment.callers, behaviours=[silent] * SILENT_CROWD)
            crowd.come()
            await asyncio.sleep(2.0)
            watch.sample()
            await eventually(deployment.is_served, "an answer beside the crowd")
            watch.sample()
            await crowd.leave()
            await eventually(deployment.is_served, "an answer after the crowd")
            assert deployment.entry.running
        assert watch.peak_descriptors < DESCRIPTORS


class TestConnectionsToServers:
    # Guards against: the connection of a long response stays open after its caller has left.
    async def test_close_when_their_callers_leave(self, tmp_path):
        async with Deployment(folder=tmp_path) as deployment:
            behaviours = [unread_responses] * LEAVING_CALLERS
            await Crowd(address=deployment.callers, behaviours=behaviours).stay(2.0)

            def all_closed() -> bool:
                return not any(server.open_connections for server in deployment.servers)

            await eventually(all_closed, "the end of all connections to servers")
            assert await deployment.is_served()


__all__: list[str] = []
