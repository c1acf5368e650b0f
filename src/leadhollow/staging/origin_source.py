"""Reads pieces from the origin, the original source of all weights."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.http1.fetch import HttpFetcher
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address
from leadhollow.weights.origin_dialect import OriginDialect

ORIGIN_TIMEOUT_S = 4.0  # for one piece over the origin's link, which all stagers share

log = get_logger("origin")


class OriginSource:
    """Reads pieces from the origin.

    Parameters
    ----------
    address
        Returns the origin's address, None while it is unknown.
    """

    __slots__ = ("_address", "_dialect", "_http", "bytes_read")

    def __init__(self, *, address: Callable[[], Address | None], dialect: OriginDialect) -> None:
        self._address = address
        self._dialect = dialect
        self._http = HttpFetcher()
        self.bytes_read = 0

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        """Read one piece; None if the read failed."""
        address = self._address()
        if address is None:
            return None
        target = self._dialect.piece_target(model, number, index)
        result = await self._http.fetch("GET", address, target, timeout_s=ORIGIN_TIMEOUT_S)
        if result.is_err():
            log.warning("piece not read", index=index, failure=str(result.unwrap_err()))
            return None
        response = result.unwrap()
        self.bytes_read += len(response.body)
        if response.status != 200:
            log.warning("origin refused the piece", index=index, status=response.status)
            return None
        return response.body


__all__ = ["OriginSource"]
