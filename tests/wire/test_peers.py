"""Tests of the peer pool: a peer that hangs does not delay messages to others."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from result import Err

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.settings.address import Address
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.wire import peers
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import UseReport
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.liveness import KEEPALIVE_IDLE_S, UNACKNOWLEDGED_LIMIT_MS
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.support import TOKEN, eventually

HANGING = "127.0.0.1:1"


class TestLiveness:
    def test_both_ends_of_connection_have_keepalive_and_user_timeout(self):
        async def work() -> None:
            address = LoopbackAddresses()("peer", Listener.WIRE)
            server = WireServer(
                address=Address.parse(address).unwrap(), token=TOKEN, handlers=HandlerTable()
            )
            assert (await server.start()).is_ok()
            pool = PeerPool(vm="v", failure_domain="d", token=TOKEN, handlers=HandlerTable())
            dialled = (await pool.connection(address)).unwrap()
            (accepted,) = server._connections
            for connection in (dialled, accepted):
                opened = connection._writer.get_extra_info("socket")
                limit = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                idle = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
                assert (limit, idle) == (UNACKNOWLEDGED_LIMIT_MS, KEEPALIVE_IDLE_S)
                assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            await pool.stop()
            await server.stop()

        asyncio.run(asyncio.wait_for(work(), 30))


class TestPost:
    def test_reaches_peer_while_dial_to_another_one_hangs(self, monkeypatch):
        async def work() -> None:
            address = LoopbackAddresses()("peer", Listener.WIRE)
            handlers = HandlerTable()
            received: list[UseReport] = []
            handlers.on_oneway(UseReport, lambda body, connection: received.append(body))
            server = WireServer(
                address=Address.parse(address).unwrap(), token=TOKEN, handlers=handlers
            )
            assert (await server.start()).is_ok()
            pool = PeerPool(vm="v", failure_domain="d", token=TOKEN, handlers=HandlerTable())
            released = asyncio.Event()
            dial = pool._dial

            async def hang_once(target: str):
                if target != HANGING:
                    return await dial(target)
                await released.wait()
                return Err(Failure(code=Code.PEER_LOST))

            monkeypatch.setattr(PeerPool, "_dial", lambda self, target: hang_once(target))
            for _ in range(3):
                pool.post(HANGING, UseReport([], [], False))
                pool.post(address, UseReport([], [], True))
            await eventually(lambda: len(received) == 3)
            assert not released.is_set()
            released.set()
            await eventually(lambda: not pool._dial_locks[HANGING].locked())
            await pool.stop()
            await server.stop()

        asyncio.run(asyncio.wait_for(work(), 30))

    def test_drops_message_to_unreachable_peer(self):
        async def work() -> None:
            pool = PeerPool(vm="v", failure_domain="d", token=TOKEN, handlers=HandlerTable())
            pool.cut({HANGING})
            pool.post(HANGING, UseReport([], [], False))
            await eventually(lambda: HANGING in pool._no_dial_until_s)
            await pool.stop()

        asyncio.run(asyncio.wait_for(work(), 30))


class TestDial:
    # Guards against a socket that stays open after a handshake that was not answered.
    def test_without_an_answer_in_time_closes_the_connection(self, monkeypatch):
        async def work() -> None:
            monkeypatch.setattr(peers, "DIAL_TIMEOUT_MS", 50)
            made: list[Connection] = []

            def make(**parts: Any) -> Connection:
                made.append(Connection(**parts))  # kept, so that no garbage collection closes it
                return made[-1]

            async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read()
                writer.close()

            monkeypatch.setattr(peers, "Connection", make)
            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            pool = PeerPool(vm="v", failure_domain="d", token=TOKEN, handlers=HandlerTable())
            dialled = await pool.connection(f"{host}:{port}")
            assert dialled.unwrap_err().code is Code.PEER_LOST
            assert [connection.closed.is_set() for connection in made] == [True]
            await pool.stop()
            server.close()

        asyncio.run(asyncio.wait_for(work(), 30))

    # the delay had passed by the time a dial timed out, so the next message dialled at once
    def test_delay_before_the_next_dial_begins_after_a_failed_one(self, monkeypatch):
        async def work() -> None:
            pool = PeerPool(vm="v", failure_domain="d", token=TOKEN, handlers=HandlerTable())
            failed_s: list[float] = []

            async def fail_slowly(self: PeerPool, address: str):
                await asyncio.sleep(peers.REDIAL_DELAY_S)
                failed_s.append(asyncio.get_running_loop().time())
                return Err(Failure(code=Code.PEER_LOST))

            monkeypatch.setattr(PeerPool, "_dial", fail_slowly)
            await pool.connection(HANGING)
            assert pool._no_dial_until_s[HANGING] >= failed_s[0] + peers.REDIAL_DELAY_S
            await pool.stop()

        asyncio.run(asyncio.wait_for(work(), 30))
