"""Passes an answer on to its caller unchanged."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.exchange import Exchange
from leadhollow.http1.headers import Headers
from leadhollow.kernel import clocks

FRAMING_FIELDS = frozenset({b"content-length"})


def relayed_headers(exchange: Exchange) -> Headers:
    """Give the fields of an answer that its caller gets, without those that frame the body."""
    ours = exchange.metadata.internal_fields | FRAMING_FIELDS
    return exchange.response.head.headers.end_to_end().without(ours)


async def relay_response(
    call: ForwardedCall, exchange: Exchange, *, buffered: bytes = b"", complete: bool = False
) -> Result[None, Failure]:
    """Pass an answer on as it comes.

    Parameters
    ----------
    taken
        What was read of its body before.
    whole
        Whether that is all of it.

    Errors
    ------
    BACKEND_LOST
        It broke off; what the caller has got of it must not look complete.
    """
    head = exchange.response.head
    fields = relayed_headers(exchange)
    length = len(buffered) if complete else head.content_length
    call.reply.start(head.status, fields, reason=head.reason, content_length=length)
    await call.reply.write(buffered)
    while not complete:
        read = await exchange.read()
        if read.is_err():
            exchange.abort()
            return Err(read.unwrap_err())
        call.last_contact_s = clocks.steady_s()
        data = read.unwrap()
        if not data:
            break
        await call.reply.write(data)
    call.reply.finish()
    exchange.finish()
    return Ok(None)


__all__ = ["pass_on", "passed_fields"]
