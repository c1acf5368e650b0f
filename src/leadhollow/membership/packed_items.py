"""Compressed encoding of catalog items.

Routes differ from each other in few characters and compress well. A thousand of them, sent
uncompressed to every entry of a failure domain, would fill a link between regions for seconds.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.records import CatalogItem

MIN_PACKED_ITEMS = 8  # fewer items are sent one by one
ZLIB_LEVEL = 1  # higher levels take five times as long and save only a sixth
LARGEST_BYTES = 64 * 1024 * 1024  # unpacked; anything larger is corrupt

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[CatalogItem])


def pack_items(items: Sequence[CatalogItem]) -> bytes:
    """Compress items, keeping their order."""
    return zlib.compress(_encoder.encode(items), ZLIB_LEVEL)


def unpack_items(packed: bytes) -> Result[list[CatalogItem], Failure]:
    """Decompress items.

    Errors
    ------
    FRAME_MALFORMED
        The bytes are corrupt, or decompress to more than ``LARGEST_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed, LARGEST_BYTES)
        if not decompressor.eof:
            detail = "packed items end too early, or are too large"
            return Err(Failure(code=Code.FRAME_MALFORMED, detail=detail))
        return Ok(_decoder.decode(encoded))
    except (zlib.error, msgspec.MsgspecError) as error:
        return Err(Failure(code=Code.FRAME_MALFORMED, detail=f"packed items: {error}"))


__all__ = ["MIN_PACKED_ITEMS", "LARGEST_BYTES", "pack_items", "unpack_items"]
