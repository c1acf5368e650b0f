"""TCP connection between two leadhollow processes, with concurrent calls in both directions."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure, failure_from_number
from leadhollow.kernel.active_time import active_s, active_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.wire.codec import LENGTH, MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from leadhollow.wire.generated.ttypes import Hello
from leadhollow.wire.handlers import CallHandler, HandlerTable, StreamHandler
from leadhollow.wire.liveness import enable_dead_peer_detection
from leadhollow.wire.messages import Body, FrameKind
from leadhollow.wire.streams import CallStream, StreamSink

READ_BYTES = 256 * 1024
MAX_HANDSHAKE_BYTES = 64 * 1024  # of a frame from a peer that has not proved who it is
_FINAL_KINDS = (FrameKind.RESPONSE, FrameKind.END, FrameKind.ERROR)
_SERVED_KINDS = (FrameKind.RESPONSE, FrameKind.ITEM, FrameKind.END)  # sent by handlers

log = get_logger("wire")


class Connection:
    """Sends calls over one socket and serves the calls of the peer.

    Parameters
    ----------
    reader, writer
        Streams of the socket.
    handlers
        Handlers for requests of the peer.
    hello
        Identity of the peer; None until its handshake was accepted.
    """

    __slots__ = (
        "_calls",
        "_handler_tasks",
        "_handlers",
        "_next_call_id",
        "_partial_frame_s",
        "_reader",
        "_streams",
        "_writer",
        "closed",
        "hello",
        "peer_name",
    )

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handlers: HandlerTable,
        hello: Hello | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handlers = handlers
        self._calls: dict[int, asyncio.Future[Frame]] = {}
        self._streams: dict[int, CallStream] = {}
        self._handler_tasks: dict[int, asyncio.Task[None]] = {}
        self._next_call_id = 1
        self._partial_frame_s: float | None = None  # time of the last bytes of a partial frame
        self.hello = hello
        self.closed = asyncio.Event()
        enable_dead_peer_detection(writer)
        self.peer_name = str(writer.get_extra_info("peername"))

    def write(self, frame: Frame) -> Result[None, Failure]:
        """Write a frame without waiting; frames of one loop iteration are sent together.

        Errors
        ------
        FRAME_TOO_LARGE
            The peer would reject the frame and close the connection; nothing was written.
        """
        if self.closed.is_set():
            return Ok(None)
        encoded = encode_frame(frame)
        if len(encoded) - LENGTH.size > MAX_FRAME_BYTES:
            return Err(self._refuse_frame(frame, len(encoded) - LENGTH.size))
        try:
            self._writer.write(encoded)
        except RuntimeError as error:  # lost in this loop iteration; the reader sees it in the next
            log.info("connection closed", peer=self.peer_name, failure=str(error))
            self.close()
            return Ok(None)
        self._handlers.traffic.record_sent(type(frame.body), len(encoded))
        return Ok(None)

    def _refuse_frame(self, frame: Frame, size_bytes: int) -> Failure:
        """Log and count a frame above the limit, and tell the peer that its call has failed."""
        body = type(frame.body).__name__
        log.error(
            "frame not sent: too large",
            peer=self.peer_name,
            body=body,
            size_bytes=size_bytes,
            limit_bytes=MAX_FRAME_BYTES,
        )
        self._handlers.traffic.frames_refused += 1
        failure = Failure(
            code=Code.FRAME_TOO_LARGE,
            detail=f"{body} of {size_bytes} bytes, {MAX_FRAME_BYTES} are allowed",
        )
        if frame.kind in _SERVED_KINDS:
            self._write_failure(frame.call_id, failure)
            task = self._handler_tasks.get(frame.call_id)
            if task is not None:
                task.cancel()
        return failure

    @property
    def backlog_bytes(self) -> int:
        """Bytes in the write buffer, not yet passed to the socket."""
        return 0 if self.closed.is_set() else self._writer.transport.get_write_buffer_size()

    def partial_frame_age_s(self) -> float | None:
        """Return the active time since the last bytes of a partial frame, or None without one.

        While it is short, the peer is still sending a large frame and is not silent.
        """
        if self._partial_frame_s is None or self.closed.is_set():
            return None
        return active_s() - self._partial_frame_s

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        if self.closed.is_set():
            return
        try:
            await self._writer.drain()
        except OSError:
            self.close()

    async def call(self, body: Body, *, timeout_ms: float) -> Result[Body, Failure]:
        """Send a request and wait for its response.

        Errors
        ------
        PEER_LOST
            The connection ended first.
        PEER_TIMEOUT
            There was no response in time. Only active time counts. A late response is dropped.
        FRAME_TOO_LARGE
            The request or its response is larger than a frame may be.
        """
        if self.closed.is_set():
            return Err(Failure(code=Code.PEER_LOST))
        call_id = self._allocate_call_id()
        response: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()
        written = self.write(Frame(kind=FrameKind.REQUEST, call_id=call_id, body=body))
        if written.is_err():
            return Err(written.unwrap_err())
        self._calls[call_id] = response
        try:
            async with active_timeout(timeout_ms / 1000):
                frame = await response
        except TimeoutError:
            return Err(Failure(code=Code.PEER_TIMEOUT))
        finally:
            self._calls.pop(call_id, None)
        if frame.kind is FrameKind.ERROR:
            return Err(failure_from_number(frame.code, frame.detail))
        return Ok(frame.body)

    def stream(self, body: Body) -> CallStream:
        """Send a request whose response is a stream of bodies."""
        call_id = self._allocate_call_id()
        stream = CallStream(connection=self, call_id=call_id)
        if self.closed.is_set():
            stream.put(_peer_lost_frame(call_id))
            return stream
        written = self.write(Frame(kind=FrameKind.REQUEST, call_id=call_id, body=body))
        if written.is_err():
            stream.put(_failure_frame(call_id, written.unwrap_err()))
            return stream
        self._streams[call_id] = stream
        return stream

    def oneway(self, body: Body) -> None:
        """Send a one-way message, which gets no response."""
        self.write(Frame(kind=FrameKind.ONEWAY, call_id=0, body=body))

    def drop_stream(self, call_id: int, *, notify_peer: bool) -> None:
        """Ignore the rest of a stream, and optionally cancel it at the peer."""
        if self._streams.pop(call_id, None) is not None and notify_peer:
            self.write(Frame(kind=FrameKind.CANCEL, call_id=call_id))

    async def run(self) -> None:
        """Read and process frames until the connection ends; runs as the connection's task."""
        try:
            buffer = bytearray()
            while data := await self._read():
                buffer += data
                failure = self._process_frames(buffer)
                self._partial_frame_s = active_s() if buffer else None
                if failure is not None:
                    log.warning(
                        "connection closed: frame rejected",
                        peer=self.peer_name,
                        failure=str(failure),
                    )
                    break
        finally:
            self.close()

    async def _read(self) -> bytes:
        try:
            return await self._reader.read(READ_BYTES)
        except OSError:
            return b""

    def _process_frames(self, buffer: bytearray) -> Failure | None:
        """Process and remove all complete frames of a buffer.

        A burst of frames then costs a single wake-up of the task.
        """
        start = 0
        while len(buffer) - start >= LENGTH.size:
            (size,) = LENGTH.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                return Failure(code=Code.FRAME_TOO_LARGE, detail=f"{size} bytes")
            end = start + LENGTH.size + size
            if len(buffer) < end:
                break
            decoded = decode_frame(bytes(memoryview(buffer)[start + LENGTH.size : end]))
            start = end
            if decoded.is_ok():
                frame = decoded.unwrap()
                self._handlers.traffic.record_received(type(frame.body), size + LENGTH.size)
                self._route(frame)
                continue
            failure = decoded.unwrap_err()
            if failure.code is not Code.FRAME_TYPE_UNKNOWN:
                return failure
            log.warning(
                "skipped a frame of unknown type", peer=self.peer_name, failure=str(failure)
            )
        del buffer[:start]
        return None

    async def read_frame(self) -> Result[Frame | None, Failure]:
        """Read the single frame of a handshake; None if the connection ended."""
        try:
            (size,) = LENGTH.unpack(await self._reader.readexactly(LENGTH.size))
            if size > MAX_HANDSHAKE_BYTES:
                return Err(Failure(code=Code.FRAME_TOO_LARGE, detail=f"{size} bytes"))
            data = await self._reader.readexactly(size)
        except (OSError, asyncio.IncompleteReadError):
            return Ok(None)
        decoded = decode_frame(data)
        if decoded.is_ok():
            self._handlers.traffic.record_received(type(decoded.unwrap().body), size + LENGTH.size)
        return decoded

    def close(self) -> None:
        """Close the connection, fail its pending calls and cancel the handlers of the peer's."""
        if self.closed.is_set():
            return
        self.closed.set()
        self._writer.close()
        for call_id, response in self._calls.items():
            if not response.done():
                response.set_result(_peer_lost_frame(call_id))
        for call_id, stream in self._streams.items():
            stream.put(_peer_lost_frame(call_id))
        self._streams.clear()
        for task in list(self._handler_tasks.values()):
            task.cancel()

    def _allocate_call_id(self) -> int:
        call_id = self._next_call_id
        self._next_call_id += 1
        return call_id

    def _route(self, frame: Frame) -> None:
        if frame.kind is FrameKind.REQUEST:
            self._serve(frame)
        elif frame.kind is FrameKind.ONEWAY:
            self._serve_oneway(frame)
        elif frame.kind is FrameKind.CANCEL:
            task = self._handler_tasks.get(frame.call_id)
            if task is not None:
                task.cancel()
        elif frame.call_id in self._streams:
            stream = self._streams[frame.call_id]
            if frame.kind in _FINAL_KINDS:
                del self._streams[frame.call_id]
            stream.put(frame)
        else:
            response = self._calls.get(frame.call_id)
            if response is not None and not response.done():
                response.set_result(frame)

    def _serve(self, frame: Frame) -> None:
        call_handler = self._handlers.call_handler(frame.body)
        stream_handler = self._handlers.stream_handler(frame.body)
        if call_handler is not None:
            self._start_handler(frame.call_id, self._serve_call(call_handler, frame))
        elif stream_handler is not None:
            self._start_handler(frame.call_id, self._serve_stream(stream_handler, frame))
        else:
            name = type(frame.body).__name__
            log.warning("no handler for request", peer=self.peer_name, body=name)
            failure = Failure(code=Code.FRAME_TYPE_UNKNOWN, detail=f"no handler for {name}")
            self._write_failure(frame.call_id, failure)

    def _serve_oneway(self, frame: Frame) -> None:
        handler = self._handlers.oneway_handler(frame.body)
        if handler is None:
            log.warning(
                "no handler for one-way message",
                peer=self.peer_name,
                body=type(frame.body).__name__,
            )
            return
        try:
            handler(frame.body, self)
        except Exception:
            log.exception("handler failed", body=type(frame.body).__name__)

    def _start_handler(self, call_id: int, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._handler_tasks[call_id] = task
        task.add_done_callback(lambda _: self._handler_tasks.pop(call_id, None))

    async def _serve_call(self, handler: CallHandler, frame: Frame) -> None:
        try:
            response = await handler(frame.body, self)
        except Exception:
            log.exception("handler failed", body=type(frame.body).__name__)
            response = Err(Failure(code=Code.INTERNAL))
        if response.is_err():
            self._write_failure(frame.call_id, response.unwrap_err())
            return
        self.write(Frame(kind=FrameKind.RESPONSE, call_id=frame.call_id, body=response.unwrap()))

    async def _serve_stream(self, handler: StreamHandler, frame: Frame) -> None:
        sink = StreamSink(connection=self, call_id=frame.call_id)
        try:
            result = await handler(frame.body, sink)
        except Exception:
            log.exception("handler failed", body=type(frame.body).__name__)
            result = Err(Failure(code=Code.INTERNAL))
        if result.is_err():
            self._write_failure(frame.call_id, result.unwrap_err())
            return
        self.write(Frame(kind=FrameKind.END, call_id=frame.call_id, body=result.unwrap()))

    def _write_failure(self, call_id: int, failure: Failure) -> None:
        self.write(_failure_frame(call_id, failure))


def _failure_frame(call_id: int, failure: Failure) -> Frame:
    return Frame(
        kind=FrameKind.ERROR, call_id=call_id, code=int(failure.code), detail=failure.detail
    )


def _peer_lost_frame(call_id: int) -> Frame:
    return _failure_frame(call_id, Failure(code=Code.PEER_LOST))


__all__ = ["CallStream", "Connection", "StreamSink"]
