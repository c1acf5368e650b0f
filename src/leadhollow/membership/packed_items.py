"""Many items of the catalog in few bytes.

Routes repeat each other but for a few letters. A thousand of them, told to every entry of a failure
domain over a link between regions, would fill it for seconds.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.records import CatalogItem

MIN_PACKED_ITEMS = 8  # items; fewer are told one by one
LEVEL = 1  # of zlib; the higher ones take five times as long for a sixth less
LARGEST_BYTES = 64 * 1024 * 1024  # unpacked; more is damage

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[CatalogItem])


def pack_items(items: Sequence[CatalogItem]) -> bytes:
    """Pack items in their order."""
    return zlib.compress(_encoder.encode(items), LEVEL)


def unpack_items(packed: bytes) -> Result[list[CatalogItem], Failure]:
    """Give packed items.

    Errors
    ------
    FRAME_MALFORMED
        The bytes are damaged, or grow beyond what any catalog takes.
    """
    unpacking = zlib.decompressobj()
    try:
        encoded = unpacking.decompress(packed, LARGEST_BYTES)
        if not unpacking.eof:
            detail = "packed items end too early, or are too large"
            return Err(Failure(code=Code.FRAME_MALFORMED, detail=detail))
        return Ok(_decoder.decode(encoded))
    except (zlib.error, msgspec.MsgspecError) as error:
        return Err(Failure(code=Code.FRAME_MALFORMED, detail=f"packed items: {error}"))


__all__ = ["MIN_PACKED_ITEMS", "LARGEST_BYTES", "pack_items", "unpack_items"]
