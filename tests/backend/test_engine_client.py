"""Tests of how the backend role finds out that its engine has ended."""

from __future__ import annotations

import asyncio
import socket

import pytest

from leadhollow.backend.engine_client import EngineClient
from leadhollow.http_client import HttpClient
from tests.support import free_ports

HOST = "127.0.0.1"
BOUND_S = 10.0


def engine_at(port: int) -> EngineClient:
    return EngineClient(http=HttpClient(), url=f"http://{HOST}:{port}")


@pytest.fixture
def listener():
    with socket.socket() as listening:
        listening.bind((HOST, 0))
        listening.listen(0)
        yield listening


class TestEngineThatIsGone:
    async def test_refuses_connections(self):
        assert await engine_at(free_ports([HOST], count=1)).is_gone()

    async def test_accepts_none(self, listener):
        assert not await engine_at(listener.getsockname()[1]).is_gone()

    # An engine that accepts no connection and refuses none held up its attempt for minutes.
    async def test_is_not_waited_for_longer_than_a_connection_takes(self, listener):
        address = listener.getsockname()
        fillers = [socket.socket() for _ in range(4)]
        try:
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            assert not await asyncio.wait_for(engine_at(address[1]).is_gone(), BOUND_S)
        finally:
            for filler in fillers:
                filler.close()
