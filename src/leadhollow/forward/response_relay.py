"""Relays a response to its caller unchanged."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.exchange import Exchange
from leadhollow.http1.headers import Headers
from leadhollow.http1.pieces import Pieces
from leadhollow.kernel import clocks

FRAMING_FIELDS = frozenset({b"content-length"})


def relayed_headers(exchange: Exchange) -> Headers:
    """Return the header fields of a response for its caller, without those that frame the body."""
    excluded = exchange.metadata.internal_fields | FRAMING_FIELDS
    return exchange.response.head.headers.end_to_end().without(excluded)


async def relay_response(
    call: ForwardedCall,
    exchange: Exchange,
    *,
    buffered: Pieces | None = None,
    complete: bool = False,
) -> Result[None, Failure]:
    """Relay a response as it arrives.

    Parameters
    ----------
    buffered
        Part of the body that has been read already; it is emptied as the caller reads it.
    complete
        Whether ``buffered`` is the complete body.

    Errors
    ------
    BACKEND_LOST
        The response ended early; what the caller got must not look complete.
    """
    try:
        return await _relay(call, exchange, buffered=buffered or Pieces(), complete=complete)
    finally:
        exchange.abort()  # unless it has finished: the caller left, or its time is over


async def _relay(
    call: ForwardedCall, exchange: Exchange, *, buffered: Pieces, complete: bool
) -> Result[None, Failure]:
    head = exchange.response.head
    fields = relayed_headers(exchange)
    length = buffered.size_bytes if complete else head.content_length
    call.reply.start(head.status, fields, reason=head.reason, content_length=length)
    while buffered:
        await call.reply.write(buffered.pop())
    while not complete:
        read = await exchange.read()
        if read.is_err():
            return Err(read.unwrap_err())
        call.last_contact_s = clocks.steady_s()
        data = read.unwrap()
        if not data:
            break
        await call.reply.write(data)
    call.reply.finish()
    exchange.finish()
    return Ok(None)


__all__ = ["relay_response", "relayed_headers"]
