"""Connections in memory: delayed, in order, held up by cuts, and ended where that lasts."""

from __future__ import annotations

import asyncio
import contextvars
import itertools
import random
from collections import deque
from collections.abc import Callable

HELD_LIMIT_S = 2.0  # after it the kernel ends a connection whose bytes nobody acknowledges
SHORTEST_S, LONGEST_S = 0.0003, 0.004

here: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="outside")
"""Host of the process that runs now; tasks inherit it."""


class _Pipe:
    """One direction of a connection."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self.network = network
        self.source = source
        self.target = target
        self.reader = asyncio.StreamReader(limit=2**20)
        self.waiting: deque[bytes | None] = deque()  # None is the end
        self.connection: _Connection
        self._pump: asyncio.TimerHandle | None = None
        self._held_since_s: float | None = None

    def put(self, data: bytes | None) -> None:
        self.waiting.append(data)
        self._schedule()

    def _schedule(self) -> None:
        if self._pump is None:
            delay_s = self.network.random.uniform(SHORTEST_S, LONGEST_S)
            self._pump = self.network.loop.call_later(delay_s, self._deliver)

    def _deliver(self) -> None:
        self._pump = None
        if self.connection.ended:
            return
        now_s = self.network.loop.time()
        if self.network.is_cut(self.source, self.target):
            if self._held_since_s is None:
                self._held_since_s = now_s
            if now_s - self._held_since_s > HELD_LIMIT_S:
                self.connection.reset()
                return
            self._pump = self.network.loop.call_later(0.05, self._deliver)
            return
        self._held_since_s = None
        while self.waiting:
            data = self.waiting.popleft()
            if data is None:
                self.reader.feed_eof()
            elif not self.reader._eof:
                self.reader.feed_data(data)


class _Connection:
    """Both directions."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self.network = network
        self.ended = False
        self.ends = (source, target)
        self.there = _Pipe(network, source, target)
        self.back = _Pipe(network, target, source)
        self.there.connection = self.back.connection = self

    def reset(self) -> None:
        """End it on both sides; what is on its way is lost."""
        if self.ended:
            return
        self.ended = True
        self.network.connections.discard(self)
        for pipe in (self.there, self.back):
            if not pipe.reader.at_eof():
                pipe.reader.feed_eof()


class Writer:
    """The part of a stream writer that our processes use."""

    def __init__(self, pipe: _Pipe, own: _Pipe) -> None:
        self._pipe = pipe
        self._own = own
        self._closed = False
        self.transport = self

    def write(self, data: bytes) -> None:
        if not self._closed and not self._pipe.connection.ended:
            self._pipe.put(bytes(data))

    async def drain(self) -> None:
        await asyncio.sleep(0)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._pipe.put(None)
            if not self._own.reader.at_eof():
                self._own.reader.feed_eof()

    def is_closing(self) -> bool:
        return self._closed

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str):
        return self._pipe.target if name == "peername" else None


class _Listener:
    def __init__(self, network: Network, host: str, port: int) -> None:
        self._network = network
        self._place = (host, port)
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        return self._place

    def close(self) -> None:
        self._network.listeners.pop(self._place, None)


class Network:
    """All hosts. Its two functions stand in for asyncio's."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop, seed: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.listeners: dict[tuple[str, int], tuple[Callable, contextvars.Context]] = {}
        self.connections: set[_Connection] = set()
        self.apart: set[tuple[str, str]] = set()  # ordered pairs whose packets are lost
        self._ports = itertools.count(40_000)

    def is_cut(self, source: str, target: str) -> bool:
        return (source, target) in self.apart

    def cut(self, hosts: set[str], others: set[str], *, one_way: bool = False) -> None:
        for host in hosts:
            for other in others - hosts:
                self.apart.add((host, other))
                if not one_way:
                    self.apart.add((other, host))

    def heal(self) -> None:
        self.apart = set()

    def reset(self, host: str) -> None:
        """Reset all connections of a host."""
        for connection in list(self.connections):
            if host in connection.ends:
                connection.reset()

    async def open_connection(self, host: str, port: int, **_: object):
        source = here.get()
        while self.is_cut(source, host) or self.is_cut(host, source):
            await asyncio.sleep(0.1)
        await asyncio.sleep(self.random.uniform(SHORTEST_S, LONGEST_S))
        found = self.listeners.get((host, port))
        if found is None:
            raise ConnectionRefusedError
        accept, context = found
        connection = _Connection(self, source, host)
        self.connections.add(connection)
        context.run(accept, connection.there.reader, Writer(connection.back, connection.there))
        return connection.back.reader, Writer(connection.there, connection.back)

    async def start_server(self, accept: Callable, host: str, port: int, **_: object) -> _Listener:
        if (host, port) in self.listeners:
            raise OSError
        self.listeners[host, port] = (accept, contextvars.copy_context())
        return _Listener(self, host, port)


__all__ = ["Network", "here"]
