"""Reading and dropping the rest of a request body whose response was sent early."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.http1.body import IncomingBody
from leadhollow.kernel.active_time import active_s, active_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.observe.repeated_line import RepeatedLine

STOP_POLL_S = 0.2

log = get_logger("http")
_late = RepeatedLine(
    log=log, message="connection closed: the rest of a request did not arrive in time"
)
_too_long = RepeatedLine(log=log, message="connection closed: the rest of a request is too long")


async def drain_body(
    body: IncomingBody,
    *,
    limit_s: float,
    stop_limit_s: float,
    limit_bytes: int,
    is_stopping: Callable[[], bool],
) -> bool:
    """Read and drop the rest of a body, for a limited time and up to a limited size.

    Closing a connection with unread input would reset it, and the caller could lose the response.

    Parameters
    ----------
    limit_s
        Longest active time that the rest may take.
    stop_limit_s
        The same from the moment on at which the server is about to stop.
    limit_bytes
        Largest rest to read.
    is_stopping
        Returns whether the server is about to stop.

    Returns
    -------
    bool
        Whether the whole body has arrived.
    """
    end_s = active_s() + limit_s
    stopping = False
    read_bytes = 0
    while not body.complete and not body.failed:
        now_s = active_s()
        if not stopping and is_stopping():
            stopping = True
            end_s = min(end_s, now_s + stop_limit_s)
        if now_s >= end_s:
            _late.log()
            return False
        if read_bytes > limit_bytes:
            _too_long.log(limit_bytes=limit_bytes)
            return False
        try:
            async with active_timeout(min(end_s - now_s, STOP_POLL_S)):
                read = await body.read()
        except TimeoutError:
            continue
        read_bytes += len(read.unwrap_or(b""))
    return body.complete


__all__ = ["drain_body"]
