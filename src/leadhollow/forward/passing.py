"""Passes an answer on to its caller unchanged."""

from __future__ import annotations

from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.exchange import Exchange


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
    fields = head.headers.end_to_end().without({b"content-length"})
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


__all__ = ["pass_on"]
