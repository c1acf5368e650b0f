"""Unreachable servers become usable again once something listens at their address."""

from __future__ import annotations

import asyncio

from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.reachability_prober import ReachabilityProber
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from tests.support import eventually

OUTAGE_S = 1.0


def make_instance(address: str) -> Instance:
    return Instance(
        instance="i-1",
        service="models",
        address=address,
        failure_domain="a",
        sequence=1,
        state=InstanceState.READY,
        slots=4,
        served=(),
        heard_s=asyncio.get_running_loop().time(),
    )


class TestPathProber:
    def test_allows_a_request_once_a_connection_opens(self):
        async def work() -> None:
            loop = asyncio.get_running_loop()
            address = LoopbackAddresses()("one", Listener.WIRE)
            table = InstanceTable(forget_after_s=60.0)
            directory = ServerDirectory(table=table, clock=loop.time)
            table.merge(make_instance(address))
            server = directory.server("i-1")
            assert server is not None
            pool = ConnectionPool()
            prober = ReachabilityProber(directory=directory, pool=pool)
            await prober.start()
            server.health.record_unreachable(loop.time())
            await asyncio.sleep(OUTAGE_S)
            assert not server.health.usable(loop.time())
            host, _, port = address.partition(":")
            listener = await asyncio.start_server(lambda *_: None, host, int(port))
            await eventually(lambda: server.health.usable(loop.time()), "the way back")
            kept = await pool.acquire(address, fresh=False)
            assert kept.is_ok()
            assert pool.reused == 1
            kept.unwrap().close()
            await prober.stop()
            await pool.stop()
            listener.close()

        asyncio.run(work())
