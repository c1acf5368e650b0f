"""Stand-in of clients: each keeps one connection and sends one request after the other.

A body is sent in chunks at the speed of the client's link. The client reads answers while it
sends, sends each body to its end, and gives a request up at its deadline, which closes the
connection. It repeats nothing.
"""

from __future__ import annotations

import asyncio
import hashlib
import secrets
import time

from deployment import Record, read_head

CHUNK_BYTES = 16 * 1024
DEADLINE_S = 4.0


def make_body(size: int) -> bytes:
    """Return a body in which each 16 bytes tell their place."""
    return b"".join(b"%015d\n" % place for place in range(0, size, 16))


class Answer:
    """What became of one request; status 0 if it got no answer until the client gave it up."""

    def __init__(self, attempt: str, status: int, waited_s: float, signed: bool, early: bool) -> None:
        self.attempt = attempt
        self.status = status
        self.waited_s = waited_s
        self.signed = signed
        self.early = early


class Client:
    """One client.

    Parameters
    ----------
    link_bytes_per_s
        Speed at which it sends.
    """

    def __init__(
        self, *, name: str, address: str, host_field: str, path: str, record: Record,
        link_bytes_per_s: float,
    ) -> None:
        self.name = name
        self._address = address
        self._host_field = host_field
        self._path = path
        self._record = record
        self._link = link_bytes_per_s
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self, body: bytes, *, chunked: bool, sent_bodies: dict[str, bytes] | None = None
    ) -> Answer:
        """Send one request on the kept connection and wait for its answer.

        Parameters
        ----------
        sent_bodies
            Gets the body under the id of the request.
        """
        attempt = secrets.token_hex(8)
        if sent_bodies is not None:
            sent_bodies[attempt] = body
        kept = self._writer is not None
        began_s = time.monotonic()
        self._record.write(
            "client sends", client=self.name, attempt=attempt, body_bytes=len(body), kept=kept,
            sha256=hashlib.sha256(body).hexdigest()[:16], chunked=chunked, entry=self._address,
        )
        status, signed, early, end = 0, False, False, "no answer until the deadline"
        sent = asyncio.Event()
        sender: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout(DEADLINE_S):
                if not kept:
                    host, _, port = self._address.rpartition(":")
                    self._reader, self._writer = await asyncio.open_connection(host, int(port))
                assert self._reader is not None
                sender = asyncio.create_task(self._send(attempt, body, chunked, sent))
                status, fields = await read_head(self._reader)
                early = not sent.is_set()
                await self._reader.readexactly(int(fields.get("content-length", "0")))
                signed = "x-response-signature" in fields
                end = "answered"
                await sender
                if fields.get("connection", "").lower() == "close":
                    self.close()
        except TimeoutError:
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            end = end if status else f"connection ended: {error!r}"
            self.close()
        finally:
            if sender is not None:
                sender.cancel()
        waited_s = time.monotonic() - began_s
        self._record.write(
            "client got", client=self.name, attempt=attempt, status=status, end=end,
            signed=signed, early=early, waited_s=round(waited_s, 3),
        )
        return Answer(attempt, status, waited_s, signed, early)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _send(self, attempt: str, body: bytes, chunked: bool, sent: asyncio.Event) -> None:
        writer = self._writer
        assert writer is not None
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
        writer.write(
            f"POST {self._path} HTTP/1.1\r\nHost: {self._host_field}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n{framing}\r\n\r\n".encode()
        )
        began_s = time.monotonic()
        for place in range(0, len(body), CHUNK_BYTES):
            part = body[place : place + CHUNK_BYTES]
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
            await writer.drain()
            due_s = began_s + (place + len(part)) / self._link
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        if chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        sent.set()


__all__ = ["Answer", "Client", "make_body"]
