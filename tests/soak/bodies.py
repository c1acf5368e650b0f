"""Bodies of the soak's requests: one in ten is long, in either framing."""

from __future__ import annotations

import hashlib
import random
from collections.abc import AsyncIterator

LONG_EACH = 10
LONG_BYTES = (300_000, 900_000)  # more than an entry buffers of a body
PIECE_BYTES = 64 * 1024


def is_long(request: str) -> bool:
    """Return whether a request of the callers has a long body."""
    return int(request, 16) % LONG_EACH == 0


def body_of(request: str) -> bytes:
    """Return the body of a request of the callers."""
    if not is_long(request):
        return b"soak"
    source = random.Random(request)
    return source.randbytes(source.randint(*LONG_BYTES))


def data_of(request: str, body: bytes) -> bytes | AsyncIterator[bytes]:
    """Return a body as it is sent: every second long one in chunks, the others with a length."""
    if is_long(request) and int(request, 16) // LONG_EACH % 2:
        return _pieces(body)
    return body


def digest(body: bytes) -> str:
    """Return a digest of a body."""
    return hashlib.sha256(body).hexdigest()


async def _pieces(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]


__all__ = ["body_of", "data_of", "digest", "is_long"]
