"""Bodies of requests without a connection."""

from __future__ import annotations

import math

from leadhollow.forward.body_retention import BodyRetention
from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.messages import RequestHead


async def empty_body(head: RequestHead) -> RequestBody:
    """Return the body of a request that has none."""
    incoming = IncomingBody(pause=lambda: None, resume=lambda: None)
    incoming.finish()
    body = RequestBody(head=head, incoming=incoming, limit_bytes=1, retention=BodyRetention())
    assert (await body.collect(deadline_s=math.inf, idle_s=1.0)).is_ok()
    return body


__all__ = ["empty_body"]
