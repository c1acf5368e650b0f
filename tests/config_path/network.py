"""In-memory connections: bytes are delayed and stay in order; a long partition resets them."""

from __future__ import annotations

import asyncio
import contextvars
import itertools
import random
from collections import deque
from collections.abc import Callable

UNDELIVERED_LIMIT_S = 2.0  # TCP_USER_TIMEOUT of the product
MIN_DELAY_S, MAX_DELAY_S = 0.0003, 0.004

current_host: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="outside")
"""Host of the process that is running; tasks inherit it."""


class _Pipe:
    """One direction of a connection."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self.network = network
        self.source = source
        self.target = target
        self.reader = asyncio.StreamReader(limit=2**20)
        self.queued: deque[bytes | None] = deque()  # None is the end of the stream
        self.connection: _Connection
        self._delivery_timer: asyncio.TimerHandle | None = None
        self._blocked_since_s: float | None = None

    def put(self, data: bytes | None) -> None:
        self.queued.append(data)
        self._schedule()

    def _schedule(self) -> None:
        if self._delivery_timer is None:
            delay_s = self.network.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
            self._delivery_timer = self.network.loop.call_later(delay_s, self._deliver)

    def _deliver(self) -> None:
        self._delivery_timer = None
        if self.connection.is_reset:
            return
        now_s = self.network.loop.time()
        if self.network.is_blocked(self.source, self.target):
            if self._blocked_since_s is None:
                self._blocked_since_s = now_s
            if now_s - self._blocked_since_s > UNDELIVERED_LIMIT_S:
                self.connection.reset()
                return
            self._delivery_timer = self.network.loop.call_later(0.05, self._deliver)
            return
        self._blocked_since_s = None
        while self.queued:
            data = self.queued.popleft()
            if data is None:
                self.reader.feed_eof()
            elif not self.reader._eof:
                self.reader.feed_data(data)


class _Connection:
    """A connection with its two directions."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self.network = network
        self.is_reset = False
        self.hosts = (source, target)
        self.forward = _Pipe(network, source, target)
        self.backward = _Pipe(network, target, source)
        self.forward.connection = self.backward.connection = self

    def reset(self) -> None:
        """End the connection on both sides; bytes in transit are lost."""
        if self.is_reset:
            return
        self.is_reset = True
        self.network.connections.discard(self)
        for pipe in (self.forward, self.backward):
            if not pipe.reader.at_eof():
                pipe.reader.feed_eof()


class Writer:
    """The methods of a stream writer that the product uses."""

    def __init__(self, pipe: _Pipe, own: _Pipe) -> None:
        self._pipe = pipe
        self._own = own
        self._closed = False
        self.transport = self

    def write(self, data: bytes) -> None:
        if not self._closed and not self._pipe.connection.is_reset:
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
        self._address = (host, port)
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def close(self) -> None:
        self._network.listeners.pop(self._address, None)


class Network:
    """Network of all hosts; it replaces asyncio's functions that connect and listen."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop, seed: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.listeners: dict[tuple[str, int], tuple[Callable, contextvars.Context]] = {}
        self.connections: set[_Connection] = set()
        self.blocked_paths: set[tuple[str, str]] = set()  # source and target of lost packets
        self._ports = itertools.count(40_000)

    def is_blocked(self, source: str, target: str) -> bool:
        return (source, target) in self.blocked_paths

    def partition(self, hosts: set[str], others: set[str], *, one_way: bool = False) -> None:
        for host in hosts:
            for other in others - hosts:
                self.blocked_paths.add((host, other))
                if not one_way:
                    self.blocked_paths.add((other, host))

    def heal(self) -> None:
        self.blocked_paths = set()

    def reset(self, host: str) -> None:
        """Reset all connections of a host."""
        for connection in list(self.connections):
            if host in connection.hosts:
                connection.reset()

    async def open_connection(self, host: str, port: int, **_: object):
        source = current_host.get()
        while self.is_blocked(source, host) or self.is_blocked(host, source):
            await asyncio.sleep(0.1)
        await asyncio.sleep(self.random.uniform(MIN_DELAY_S, MAX_DELAY_S))
        found = self.listeners.get((host, port))
        if found is None:
            raise ConnectionRefusedError
        accept, context = found
        connection = _Connection(self, source, host)
        self.connections.add(connection)
        context.run(
            accept, connection.forward.reader, Writer(connection.backward, connection.forward)
        )
        return connection.backward.reader, Writer(connection.forward, connection.backward)

    async def start_server(self, accept: Callable, host: str, port: int, **_: object) -> _Listener:
        if (host, port) in self.listeners:
            raise OSError
        self.listeners[host, port] = (accept, contextvars.copy_context())
        return _Listener(self, host, port)


__all__ = ["Network", "current_host"]
