"""Manifests that the leader reads from the origin."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace
from typing import Any

from result import Ok

from leadhollow.control.manifests import FIRST_VERSION, ManifestReader, MissingManifest
from leadhollow.platform.origin import PlatformOrigin
from leadhollow.routing.model import ServiceRecord
from leadhollow.state.commands import DescribeVersion
from tests.http1.odd_peer import OddPeer, Send, answer

LATE_S = 0.02


def manifest(digest: str) -> bytes:
    document = {"model": "m", "version": FIRST_VERSION, "chunkBytes": 1, "digests": [digest * 64]}
    return answer(json.dumps(document).encode())


class TestTwoReads:
    # Guards against: a late copy of a corrupted manifest counts as its confirmation.
    async def test_do_not_match_by_two_answers_to_the_first(self):
        requests = 0

        async def script(request: str, place: int, send: Send) -> None:
            nonlocal requests
            requests += 1
            if place > 1:
                await send(manifest("b"))
                await asyncio.sleep(LATE_S)
            await send(manifest("b" if requests == 1 else "a"))

        async with OddPeer(script) as origin:
            committed: list[DescribeVersion] = []

            async def propose(command: DescribeVersion, **_: Any) -> Any:
                committed.append(command)
                return Ok(None)

            service = ServiceRecord(name="s", origin=str(origin.address))
            catalog = SimpleNamespace(values=lambda kind: [service])
            reader = ManifestReader(
                replica=SimpleNamespace(machine=SimpleNamespace(catalog=catalog)),  # type: ignore[arg-type]
                gateway=SimpleNamespace(propose=propose),  # type: ignore[arg-type]
                dialect=PlatformOrigin(),
            )
            missing = MissingManifest(model="m", number=FIRST_VERSION)
            await reader._read_and_commit(missing)
            assert [command.manifest.digests for command in committed] == [b"\xaa" * 32]
            assert origin.connections == 3
