"""Idle time of a connection."""

from __future__ import annotations

import asyncio
import weakref

from leadhollow.http1.idle_timeout import IdleTimeout
from tests.support import collections_paused, eventually

LIMIT_S = 0.05


class Connection:
    """Owner of an idle timeout, as a server connection is one."""

    def __init__(self) -> None:
        self.receiving = False
        self.expirations = 0
        self.idle = IdleTimeout(
            limit_s=self.limit_s, is_receiving=lambda: self.receiving, on_expired=self.expire
        )

    def limit_s(self) -> float:
        return LIMIT_S

    def expire(self) -> None:
        self.expirations += 1


class TestIdleTimeout:
    async def test_expires_only_during_a_wait(self):
        connection = Connection()
        connection.idle.start()
        await asyncio.sleep(3 * LIMIT_S)
        assert not connection.idle.expired
        connection.idle.begin_wait()
        await eventually(lambda: connection.idle.expired, "the end of a wait")
        connection.idle.begin_wait()
        assert not connection.idle.expired
        connection.idle.end_wait()
        seen = connection.expirations
        await asyncio.sleep(3 * LIMIT_S)
        assert connection.expirations == seen >= 1
        connection.idle.stop()

    async def test_does_not_expire_while_a_request_is_received(self):
        connection = Connection()
        connection.receiving = True
        connection.idle.start()
        connection.idle.begin_wait()
        await asyncio.sleep(3 * LIMIT_S)
        assert (connection.idle.expired, connection.expirations) == (False, 0)
        connection.idle.stop()

    # Guards against: an ended connection stays until a collection of garbage.
    async def test_parts_from_its_connection_when_it_stops(self):
        with collections_paused():
            connection = Connection()
            ended = weakref.ref(connection)
            connection.idle.start()
            connection.idle.stop()
            del connection
            await asyncio.sleep(0)
            assert ended() is None


__all__: list[str] = []
