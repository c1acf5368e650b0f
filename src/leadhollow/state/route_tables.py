"""Route tables in the replicated state.

The table with the highest number is in force. The operator's document of it is kept unchanged.
"""

from __future__ import annotations

import zlib

import msgspec

from leadhollow.observe.logs import get_logger
from leadhollow.routing.catalog_items import TABLE_KEY, changed_items
from leadhollow.routing.model import MIN_TABLE_NUMBER, RouteTable, TableNumber
from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import ReplaceRouteTable
from leadhollow.state.records import CatalogItem

COMPRESSION_LEVEL = 6

log = get_logger("state")


class RouteTables:
    """The route table of a state machine.

    Attributes
    ----------
    source
        The operator's document of the table in force, compressed; empty if there is none.
    """

    __slots__ = ("source",)

    def __init__(self) -> None:
        self.source = b""

    def replace(
        self, command: ReplaceRouteTable, catalog: Catalog, *, revision: int
    ) -> list[CatalogItem]:
        """Replace the table if the new one has a higher number; return the changed items."""
        if command.number <= held_number(catalog):
            return []
        try:
            table = msgspec.msgpack.decode(zlib.decompress(command.table), type=RouteTable)
        except (zlib.error, msgspec.MsgspecError) as error:
            log.error("route table cannot be decoded", number=command.number, error=str(error))
            return []
        self.source = command.source
        return changed_items(table, catalog.items(), revision=revision)

    def document(self) -> bytes | None:
        """Return the operator's document of the table in force, None if there is none."""
        return zlib.decompress(self.source) if self.source else None


def held_number(catalog: Catalog) -> int:
    """Return the number of the table in force; without one, the lowest number minus 1."""
    current = catalog.value(TABLE_KEY, TableNumber)
    return MIN_TABLE_NUMBER - 1 if current is None else current.number


def replacement_command(table: RouteTable, source: bytes) -> ReplaceRouteTable:
    """Return the command that puts a table in force."""
    return ReplaceRouteTable(
        number=table.number,
        table=zlib.compress(msgspec.msgpack.encode(table), COMPRESSION_LEVEL),
        source=zlib.compress(source, COMPRESSION_LEVEL),
    )


__all__ = ["RouteTables", "held_number", "replacement_command"]
