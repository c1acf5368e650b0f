"""Callers of streams: each reads one, leaves after too long a pause, and notes what it saw."""

from __future__ import annotations

import asyncio
import random
import time
from enum import Enum
from typing import NamedTuple

from leadhollow.kernel.active_time import active_timeout, deadline_at
from tests.at_size.world import SizedWorld
from tests.soak.backend import event
from tests.soak.programs import Program
from tests.soak.self_reports import Sender
from tests.soak.traffic import HOST, KEY
from tests.soak.weights import MODEL

GAP_S = 3.2  # pause after which a caller gives up
DEADLINE_S = 6.08
SHORT_DEADLINE_S = 3.0
SHORT_SHARE = 0.05
LEAVING_SHARE = 0.02
LEAVES_AFTER_S = 0.6
OVERDUE_S = 1.0  # what callers wait beyond their deadline, to see how their stream ends
READ_BYTES = 65_536
LAST_CHUNK = b"0\r\n\r\n"


class Route(NamedTuple):
    """A kind of stream."""

    name: str
    events: int
    objective_ms: int
    resumable: bool
    share: float


ROUTES = (
    Route("order", 20, 506, False, 0.4),
    Route("report", 20, 406, True, 0.3),
    Route("reply", 14, 405, True, 0.3),
)


class Left(Enum):
    """Why a caller closed its connection."""

    EARLY = "as it had planned"
    GAP = "after too long a pause"
    OVERDUE = "after its deadline"


class Stream:
    """One stream, as its caller saw it.

    Attributes
    ----------
    status
        0 where no answer began.
    last_s
        When bytes came last; the time of sending before that.
    left
        Why the caller ended it, None where it did not.
    """

    def __init__(self, *, request: str, vm: str, route: Route, deadline_s: float) -> None:
        self.request = request
        self.vm = vm
        self.route = route
        self.deadline_s = deadline_s
        self.sent_s = self.last_s = self.ended_s = time.monotonic()
        self.first_event_s: float | None = None
        self.connected = False
        self.data = b""
        self.left: Left | None = None

    @property
    def status(self) -> int:
        """Status of the answer."""
        return int(self.data.split(None, 2)[1]) if b"\r\n\r\n" in self.data else 0

    @property
    def body(self) -> bytes:
        """What came of the body, without its framing."""
        head, _, left = self.data.partition(b"\r\n\r\n")
        body = b""
        if b"chunked" not in head.lower():
            return left
        while left:
            size, _, rest = left.partition(b"\r\n")
            length = int(size, 16)
            body, left = body + rest[:length], rest[length + 2 :]
            if not length:
                break
        return body

    @property
    def events(self) -> int:
        """How many whole events came."""
        return self.body.count(b"\n\n")

    @property
    def complete(self) -> bool:
        """Whether the answer ended as one that is complete."""
        return self.data.endswith(LAST_CHUNK)

    @property
    def right(self) -> bool:
        """Whether nothing is missing, twice, or of another stream, as far as it came."""
        wanted = b"".join(event(self.request, number) for number in range(1, self.route.events + 1))
        return self.body == wanted if self.complete else wanted.startswith(self.body)

    def took(self, data: bytes) -> None:
        """Note what came."""
        self.data += data
        self.last_s = time.monotonic()
        if self.first_event_s is None and b"\nid: " in self.data:
            self.first_event_s = self.last_s


class Callers:
    """A crowd that begins so many streams a second.

    Attributes
    ----------
    streams
        All that were sent.
    """

    def __init__(self, *, world: SizedWorld, rate_per_s: float) -> None:
        self._world = world
        self._rate_per_s = rate_per_s
        self._random = random.Random(f"callers {world.seed}")
        self.streams: list[Stream] = []
        self._sent = 0

    async def run(self, seconds: float) -> None:
        """Begin streams for so long, and wait until all have ended."""
        until_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                entry = self._world.entry_up()
                if entry is not None:
                    group.create_task(self._ask(entry))
                await asyncio.sleep(self._random.expovariate(self._rate_per_s))

    async def serves(self, entry: Program) -> bool:
        """Ask an entry for a stream of one event, beside those that are counted."""
        route = Route("reply", 1, 405, True, 0.0)
        stream = self._stream(entry, route, 1.0)
        await self._exchange(stream, entry, None)
        return stream.complete and stream.right

    async def _ask(self, entry: Program) -> None:
        (route,) = self._random.choices(ROUTES, [route.share for route in ROUTES])
        short = self._random.random() < SHORT_SHARE
        leaves = self._random.random() < LEAVING_SHARE
        stream = self._stream(entry, route, SHORT_DEADLINE_S if short else DEADLINE_S)
        self.streams.append(stream)
        await self._exchange(stream, entry, LEAVES_AFTER_S if leaves else None)

    def _stream(self, entry: Program, route: Route, deadline_s: float) -> Stream:
        self._sent += 1
        request = f"{self._sent:016x}"
        self._world.ledger.senders[request] = Sender(entry=entry.vm, span=entry.spans)
        return Stream(request=request, vm=entry.vm, route=route, deadline_s=deadline_s)

    async def _exchange(self, stream: Stream, entry: Program, leaves_s: float | None) -> None:
        host, _, port = str(entry.settings["callers"]).rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            stream.connected = True
            writer.write(_head(stream))
            await self._read(stream, reader, leaves_s)
        except (OSError, TimeoutError):
            pass  # what came before counts
        finally:
            stream.ended_s = time.monotonic()
            if writer is not None:
                writer.close()

    async def _read(
        self, stream: Stream, reader: asyncio.StreamReader, leaves_s: float | None
    ) -> None:
        planned_s = float("inf") if leaves_s is None else stream.sent_s + leaves_s
        overdue_s = stream.sent_s + stream.deadline_s + OVERDUE_S
        while not stream.complete:
            try:
                async with (
                    deadline_at(min(planned_s, overdue_s)),
                    active_timeout(GAP_S) as gap,
                ):
                    data = await reader.read(READ_BYTES)
            except TimeoutError:
                late = Left.EARLY if planned_s < overdue_s else Left.OVERDUE
                stream.left = Left.GAP if gap.expired() else late
                return
            if not data:
                return
            stream.took(data)


def _head(stream: Stream) -> bytes:
    fields = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "X-Attempt-Id": stream.request,
        "X-Deadline-Ms": str(round(stream.deadline_s * 1000)),
        "X-Model": MODEL,
        "X-Token-Usage": f"800,{5 * stream.route.events}",
        "Content-Length": "4",
        "Connection": "close",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    path = f"/{stream.route.name}/{stream.route.events}"
    return f"POST {path} HTTP/1.1\r\n{lines}\r\ngood".encode()


__all__ = ["GAP_S", "ROUTES", "Callers", "Left", "Route", "Stream"]
