"""Passes an answer on to its caller unchanged."""

from __future__ import annotations

from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.exchange import Exchange
from leadhollow.http1.headers import Headers

FRAMING_FIELDS = frozenset({b"content-length"})


def passed_fields(exchange: Exchange) -> Headers:
    """Give the fields of an answer that its caller gets, without those that frame the body."""
    ours = exchange.facts.ours | FRAMING_FIELDS
    return exchange.answer.head.headers.end_to_end().without(ours)


async def pass_on(
    call: ForwardedCall, exchange: Exchange, *, taken: bytes = b"", whole: bool = False
) -> None:
    """Pass an answer on as it comes; one that breaks off cannot look complete.

    Parameters
    ----------
    taken
        What was read of its body before.
    whole
        Whether that is all of it.
    """
    head = exchange.answer.head
    fields = passed_fields(exchange)
    length = len(taken) if whole else head.content_length
    call.reply.start(head.status, fields, reason=head.reason, content_length=length)
    await call.reply.write(taken)
    while not whole:
        read = await exchange.read()
        if read.is_err():
            call.reply.abort()
            exchange.abort()
            return
        data = read.unwrap()
        if not data:
            break
        await call.reply.write(data)
    call.reply.finish()
    exchange.finish()


__all__ = ["pass_on", "passed_fields"]
