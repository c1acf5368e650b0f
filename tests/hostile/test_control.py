"""Crowds that do not behave, at the listeners of operators and of other processes."""

from __future__ import annotations

import asyncio
import contextlib

from tests.hostile.crowds import Behaviour, Crowd, nearly_whole, silent, write_without_end
from tests.hostile.deployment import MEMORY_MB, Deployment, Watch
from tests.support import eventually

OPERATOR_CROWD = 60
OPERATOR_BODY_BYTES = 16 * 1024 * 1024
PEER_CROWD = 100
FRAME_BYTES = 19 * 1024 * 1024
CROWD_S = 6.0


async def unproven_frame(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A first frame of 19 MiB but for its end, from a peer that has not proved who it is."""
    writer.write(FRAME_BYTES.to_bytes(4, "big"))
    for _ in range(FRAME_BYTES // 65_536 - 1):
        writer.write(bytes(65_536))
        await writer.drain()
    await silent(reader, writer)


async def face(deployment: Deployment, address: str, behaviours: list[Behaviour]) -> Watch:
    """Let a crowd come and leave, and then an operator read the table."""
    watch = Watch(deployment.control.process_id)
    sampling = asyncio.create_task(watch.run())
    await Crowd(address=address, behaviours=behaviours).stay(CROWD_S)
    await eventually(deployment.has_table, "the table")
    sampling.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await sampling
    assert deployment.control.running
    return watch


class TestMemoryOfAControlProcess:
    # Guards against: bodies that operators never end take more memory than the VM has.
    async def test_stays_within_the_vm_beside_unfinished_tables(self, tmp_path):
        async with Deployment(folder=tmp_path) as deployment:
            behaviours = [nearly_whole("/-/config", OPERATOR_BODY_BYTES)] * OPERATOR_CROWD
            watch = await face(deployment, deployment.operators, behaviours)
        assert watch.peak_mb < MEMORY_MB

    # Guards against: frames of peers that have not proved who they are take that memory.
    async def test_stays_within_the_vm_beside_unproven_peers(self, tmp_path):
        async with Deployment(folder=tmp_path) as deployment:
            behaviours = [unproven_frame] * PEER_CROWD
            watch = await face(deployment, deployment.wire["control"], behaviours)
        assert watch.peak_mb < MEMORY_MB

    # Guards against: connections without end to the port of peers and an endless first frame.
    async def test_answers_beside_endless_first_frames(self, tmp_path):
        async def endless(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await write_without_end(writer, b"\x00" * 65_536)

        async with Deployment(folder=tmp_path) as deployment:
            watch = await face(deployment, deployment.wire["control"], [endless] * PEER_CROWD)
        assert watch.peak_mb < MEMORY_MB


__all__: list[str] = []
