"""Pool of connections to backend servers."""

from __future__ import annotations

import asyncio

from leadhollow.forward.pool import ConnectionPool
from tests.support import eventually


class TestNumberOfConnections:
    # Guards against: idle connections to servers take the descriptors that callers need.
    async def test_none_is_kept_idle_at_the_bound(self):
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        address = f"{host}:{port}"
        pool = ConnectionPool(max_connections=2)
        opened = [(await pool.acquire(address, fresh=True)).unwrap() for _ in range(2)]
        assert pool.open_count == 2
        pool.release(address, opened[0])
        await eventually(lambda: pool.open_count == 1, "the end of the released connection")
        pool.release(address, opened[1])
        third = (await pool.acquire(address, fresh=True)).unwrap()
        assert pool.open_count == 2
        fourth = (await pool.acquire(address, fresh=True)).unwrap()
        await eventually(lambda: pool.open_count == 2, "the end of the idle connection")
        for connection in (third, fourth):
            connection.close()
        await eventually(lambda: pool.open_count == 0, "the end of all connections")
        listener.close()
