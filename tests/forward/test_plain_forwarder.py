"""Attempts of requests for plain services, without a network."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from leadhollow.decide.health import FAILURES_TO_EJECT, MAX_EJECTION_S
from leadhollow.decide.server import Server
from leadhollow.forward.plain_forwarder import PlainForwarder
from leadhollow.membership.instances import Instance, InstanceState


class SilentClient:
    """Never gets a response."""

    def __init__(self) -> None:
        self.sent = asyncio.Event()

    async def send(self, **_: Any) -> Any:
        self.sent.set()
        await asyncio.Event().wait()


def make_server() -> Server:
    return Server(
        instance=Instance(
            instance="i-1",
            service="s",
            address="127.0.0.1:9000",
            failure_domain="d",
            sequence=1,
            state=InstanceState.READY,
            slots=4,
            served=(),
            heard_s=0.0,
        )
    )


def make_forwarder(client: SilentClient) -> PlainForwarder:
    return PlainForwarder(
        directory=SimpleNamespace(notify_change=lambda: None),  # type: ignore[arg-type]
        budget=SimpleNamespace(),  # type: ignore[arg-type]
        responder=SimpleNamespace(),  # type: ignore[arg-type]
        client=client,  # type: ignore[arg-type]
        suspects=SimpleNamespace(quarantine=SimpleNamespace()),  # type: ignore[arg-type]
        failure_domain="d",
        seed=1,
    )


def make_call() -> Any:
    return SimpleNamespace(
        sends=0,
        attempts=0,
        regions=None,
        head=None,
        body=None,
        request_id="r",
        route=SimpleNamespace(repeatable=True),
        record_dispatch=lambda _: None,
        dispatch=lambda **_: None,
    )


class TestProbeOfAnEjectedServer:
    # Guards against: a hedge or a caller that leaves cancels the probe of a server, which then gets
    # no requests until another answer of it ends.
    async def test_that_is_cancelled_leaves_the_server_usable(self):
        client, server = SilentClient(), make_server()
        now_s = asyncio.get_running_loop().time()
        server.health.record_failure(now_s - MAX_EJECTION_S, weight=FAILURES_TO_EJECT)
        attempt = asyncio.create_task(make_forwarder(client)._attempt(make_call(), server))
        await client.sent.wait()
        assert not server.health.usable(now_s + 60.0)
        attempt.cancel()
        with pytest.raises(asyncio.CancelledError):
            await attempt
        assert server.health.usable(now_s + 60.0)
