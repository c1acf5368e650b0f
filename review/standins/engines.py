"""Stand-in of a plain engine: announces itself, runs requests and writes down what it ran.

It behaves as the protocol page says: one request at a time on a connection, ``slots`` requests at
once and a short queue, a refusal with ``X-Not-Executed`` if it is full or if the request names
another instance. By choice it answers some long requests before it has read their bodies; it then
reads on and drops the rest of the body, and keeps the connection.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
from collections.abc import Callable

from deployment import HEARTBEAT_MS, Record, call

WORK_S = 0.06
EARLY_AFTER_S = 0.005  # from the head of a request to an early answer
QUEUE = 24
EARLY_REFUSAL = "refuse"
EARLY_FAILURE = "too large"


class Engine:
    """One engine.

    Parameters
    ----------
    early
        How it answers the long requests that it chooses: not at all early (empty), with a refusal
        (503 and ``X-Not-Executed``) or with a 413 of its own, which is signed.
    early_each
        It chooses one long request of so many.
    long_bytes
        Bodies above this size are long.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        controls: list[str],
        record: Record,
        slots: int = 6,
        early: str = "",
        early_each: int = 50,
        long_bytes: int = 64 * 1024,
        on_run: Callable[[str, bytes], None] = lambda attempt, body: None,
    ) -> None:
        self.instance = f"i-{secrets.token_hex(4)}"
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self._controls = controls
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._admitted = 0
        self._early = early
        self._early_each = early_each
        self._long_bytes = long_bytes
        self._long_count = 0
        self._sequence = 0
        self._on_run = on_run
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None
        self.early_answers = 0
        self.answers = 0

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 20)
        self._beat = asyncio.create_task(self._announce())

    async def stop(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()

    async def _announce(self) -> None:
        place = 0
        while True:
            self._sequence += 1
            document = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self._slot_count,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self._sequence,
            }
            status = 0
            for _ in self._controls:  # without an acknowledgement the next machine is called
                control = self._controls[place % len(self._controls)]
                status, _ = await call(
                    control, "PUT", f"/-/instances/{self.instance}", json.dumps(document).encode()
                )
                if 200 <= status < 300:
                    break
                place += 1
            await asyncio.sleep(HEARTBEAT_MS / 1000 if status else 0.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        data = await reader.readuntil(b"\r\n\r\n")
        lines = data.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                fields[name.strip().lower()] = value.strip()
        attempt = fields.get("x-attempt-id", "")
        self.answers += 1
        if fields.get("x-expect-instance", self.instance) != self.instance:
            await _read_body(reader, fields)
            self._answer(writer, 421, attempt, not_executed=True)
            return True
        chosen = self._early and self._choose_early(fields)
        if chosen:
            self.early_answers += 1
            await asyncio.sleep(EARLY_AFTER_S)
            status = 503 if self._early == EARLY_REFUSAL else 413
            self._record.write(
                "engine answers early", engine=self.name, attempt=attempt, status=status
            )
            self._answer(writer, status, attempt, not_executed=self._early == EARLY_REFUSAL)
            await _read_body(reader, fields)  # it reads on, and keeps the connection
            return True
        body = await _read_body(reader, fields)
        if self._admitted >= self._slot_count + QUEUE:
            self._answer(writer, 503, attempt, not_executed=True)
            return True
        self._admitted += 1
        try:
            async with self._slots:
                self._on_run(attempt, body)
                self._record.write(
                    "engine runs",
                    engine=self.name,
                    attempt=attempt,
                    method=method,
                    target=target,
                    body_bytes=len(body),
                    sha256=hashlib.sha256(body).hexdigest()[:16],
                )
                await asyncio.sleep(WORK_S)
        finally:
            self._admitted -= 1
        self._answer(writer, 200, attempt)
        return True

    def _choose_early(self, fields: dict[str, str]) -> bool:
        """Choose some of the long requests; a body in chunks counts as long."""
        length = int(fields.get("content-length", self._long_bytes + 1))
        if length <= self._long_bytes:
            return False
        self._long_count += 1
        return self._long_count % self._early_each == 0

    def _answer(
        self, writer: asyncio.StreamWriter, status: int, attempt: str, *, not_executed: bool = False
    ) -> None:
        body = f"{attempt} answered by {self.instance}\n".encode()
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\n"
        if not_executed:
            head += "X-Not-Executed: 1\r\n"
        else:
            head += f"X-Response-Signature: {hashlib.sha256(body).hexdigest()[:24]}\r\n"
        head += f"Keep-Alive: timeout=5\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)


async def _read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    if "chunked" in fields.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            part = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return b"".join(parts)
            parts.append(part)
    return await reader.readexactly(int(fields.get("content-length", "0")))


__all__ = ["EARLY_FAILURE", "EARLY_REFUSAL", "Engine"]
