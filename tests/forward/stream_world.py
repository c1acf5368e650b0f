"""Runs one stream against fake engines, without a network and without an engine queue."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any

from result import Err, Ok

from leadhollow.codes import Code
from leadhollow.decide.engine_request import Placement
from leadhollow.decide.health import Health
from leadhollow.decide.server_load import OwnCall
from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.exchange import AttemptEnd, AttemptFailure
from leadhollow.forward.stream_attempt import StreamContext
from leadhollow.forward.stream_forwarder import _StreamCall
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import Framing
from leadhollow.http1.pieces import Pieces

BROKEN = Failure(code=Code.BACKEND_LOST)


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


class FakeReply:
    """Records what the caller got; writes block while ``gate`` is an unset event."""

    def __init__(self) -> None:
        self.started = False
        self.finished = False
        self.data = b""
        self.gate: asyncio.Event | None = None

    def start(self, *_: Any, **__: Any) -> None:
        self.started = True

    async def write(self, data: bytes) -> None:
        self.data += data
        if self.gate is not None:
            await self.gate.wait()

    def finish(self) -> None:
        self.finished = True

    def abort(self) -> None:
        """Close the connection."""


class FakeExchange:
    """Response that a test writes; None breaks it off, ``b""`` ends it."""

    def __init__(self, *, status: int = 200) -> None:
        self.status = status
        self.closed = False
        self.metadata = SimpleNamespace(
            not_executed=False,
            signed=True,
            instance=None,
            internal_fields=frozenset(),
            event_fields=frozenset(),
        )
        head = SimpleNamespace(
            status=status,
            reason=b"",
            framing=Framing.CHUNKED,
            content_length=None,
            headers=Headers(),
        )
        self.response = SimpleNamespace(head=head)
        self.kept = Pieces()
        self._parts: asyncio.Queue[bytes | None] = asyncio.Queue()

    def write(self, data: bytes | None) -> None:
        self._parts.put_nowait(data)

    def log_fields(self) -> dict[str, object]:
        return {}

    async def read(self) -> Any:
        data = await self._parts.get()
        return Err(BROKEN) if data is None else Ok(data)

    def finish(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True


class FakeServer:
    """Records the health updates of an engine."""

    def __init__(self, name: str) -> None:
        self.instance = SimpleNamespace(instance=name, failure_domain="a", address=name)
        self.health = Health()
        self.lateness_ms: list[float] = []
        self.broken = 0

    def record_first_event(self, call: OwnCall) -> None:
        call.in_prefill = False

    def record_lateness(self, lateness_ms: float, _: float) -> None:
        self.lateness_ms.append(lateness_ms)

    def record_interruption(self, _: float) -> None:
        self.broken += 1


class StreamWorld:
    """One stream, the engines that it is placed at in order, and what happened to both.

    Attributes
    ----------
    sent, resumed_after
        Engines that the request was sent to, and the event id after which each was to resume.
    released
        Engines whose placements were released.
    endings
        Error responses that the entry itself sent.
    connect_s, begin_by_s
        Time until each engine is connected, and loop time until which its first event must have
        arrived.
    """

    def __init__(
        self,
        *,
        engines: Sequence[str] = ("A", "B", "C"),
        attempts: int = 2,
        repeatable: bool = True,
        deadline_s: float = 4.0,
    ) -> None:
        self.servers = {name: FakeServer(name) for name in engines}
        self.responses: dict[str, FakeExchange] = {}
        self.sent: list[str] = []
        self.resumed_after: list[int | None] = []
        self.released: list[str] = []
        self.endings: list[str] = []
        self.connect_s: dict[str, float] = {}
        self.begin_by_s: dict[str, float] = {}
        self.failing: set[str] = set()
        self.error_status: dict[str, int] = {}
        self.fresh: dict[str, bool] = {}
        self.on_placed: Callable[[str], None] = lambda _: None
        self.reply = FakeReply()
        self._placed: set[str] = set()
        self.call = self._make_call(attempts, repeatable, deadline_s)
        quarantine = SimpleNamespace(
            track=_track, is_quarantined=lambda _: False, wait_for_verdict=_nothing
        )
        context = StreamContext(
            directory=SimpleNamespace(),  # type: ignore[arg-type]
            budget=SimpleNamespace(try_acquire=lambda *_, **__: True, refund=lambda _: None),  # type: ignore[arg-type]
            client=SimpleNamespace(send=self._send),  # type: ignore[arg-type]
            queue=self,  # type: ignore[arg-type]
            suspects=SimpleNamespace(  # type: ignore[arg-type]
                quarantine=quarantine,
                record_interruption=lambda *_: None,
                record_success=lambda *_: None,
                record_complete=lambda *_: None,
            ),
        )
        service = SimpleNamespace(name="s", engine=SimpleNamespace())
        self.run = _StreamCall(
            context=context,
            responder=SimpleNamespace(  # type: ignore[arg-type]
                may_relay=lambda *_: True,
                **{name: self._record_ending(name) for name in ("unknown", "timed_out", "not_run")},
            ),
            call=self.call,
            service=service,  # type: ignore[arg-type]
            is_caller_retry=False,
        )
        self.task: asyncio.Task[None] | None = None

    def start(self) -> asyncio.Task[None]:
        self.task = asyncio.create_task(self.run.run())
        return self.task

    @property
    def leaks(self) -> list[str]:
        """Engines whose placement or connection was not released."""
        places = sorted(set(self._placed) - set(self.released))
        return places + [name for name, exchange in self.responses.items() if not exchange.closed]

    # interface of the engine queue

    def submit(self, request: Any) -> Any:
        name = next(
            (found for found in self.servers if found not in request.excluded | self._placed), None
        )
        placement = None
        if name is not None:
            self._placed.add(name)
            self.on_placed(name)
            loop = asyncio.get_running_loop()
            call = OwnCall(
                prompt_tokens=10, output_tokens=10, placed_s=loop.time(), predicted_ms=50.0
            )
            self.servers[name].health.claim_probe(call, loop.time())
            placement = Placement(
                server=self.servers[name],  # type: ignore[arg-type]
                call=call,
                version=1,
                expected_version=None,
                begin_by_s=self.begin_by_s.get(name, math.inf),
            )
        return SimpleNamespace(ended=True, placement=placement, out_of_reach=None, until_s=0.0)

    def release(self, placement: Placement) -> None:
        placement.server.health.release_probe(placement.call)
        self.released.append(placement.server.instance.instance)

    def withdraw(self, _: Any) -> None:
        """Do nothing, because requests never wait."""

    def retry_after_s(self, _: Any) -> float:
        return 1.0

    # interface of the backend client

    async def _send(
        self, *, server: FakeServer, own_call: OwnCall, dispatch: Any, fresh: bool, **_: Any
    ) -> Any:
        name = server.instance.instance
        self.fresh[name] = fresh
        await asyncio.sleep(self.connect_s.get(name, 0.0))
        own_call.sent = True
        self.sent.append(name)
        self.resumed_after.append(dispatch.last_event_id)
        if name in self.failing:
            return Err(AttemptFailure(end=AttemptEnd.UNKNOWN, failure=BROKEN))
        exchange = self.responses[name] = FakeExchange(status=self.error_status.get(name, 200))
        return Ok(exchange)

    def _record_ending(self, name: str) -> Any:
        async def end(*_: Any, **__: Any) -> None:
            self.endings.append(name)

        return end

    def _make_call(self, attempts: int, repeatable: bool, deadline_s: float) -> ForwardedCall:
        route = SimpleNamespace(
            name="r",
            attempts=attempts,
            repeatable=repeatable,
            timeout_ms=deadline_s * 1000,
            objective_ms=500,
            pause_objective_ms=400,
            allowed_regions=(),
            priority=0,
        )
        metadata = SimpleNamespace(
            attempt_id="r1",
            deadline_ms=None,
            last_event_id=None,
            model="m",
            prompt_tokens=10,
            output_tokens=10,
            output_hint_tokens=None,
        )
        return ForwardedCall(
            head=SimpleNamespace(),  # type: ignore[arg-type]
            body=SimpleNamespace(complete=True, replayable=True, failure=None),  # type: ignore[arg-type]
            metadata=metadata,  # type: ignore[arg-type]
            route=route,  # type: ignore[arg-type]
            service="s",
            organisation=None,
            reply=self.reply,  # type: ignore[arg-type]
            received_s=asyncio.get_running_loop().time(),
            fingerprint=b"12345678",
            bounds=SimpleNamespace(allowed=lambda: None),  # type: ignore[arg-type]
        )


@contextmanager
def _track(*_: Any):
    yield


async def _nothing(*_: Any) -> None:
    return


__all__ = ["FakeExchange", "FakeServer", "StreamWorld", "event"]
