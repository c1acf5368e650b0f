"""Route tables in the replicated state: the highest number is in force, and it is kept as sent."""

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
        The operator's document of the table in force, compressed; empty where there is none.
    """

    __slots__ = ("source",)

    def __init__(self) -> None:
        self.source = b""

    def replace(
        self, command: ReplaceRouteTable, catalog: Catalog, *, revision: int
    ) -> list[CatalogItem]:
        """Put a newer table in force; give the items that change."""
        if command.number <= held_number(catalog):
            return []
        try:
            table = msgspec.msgpack.decode(zlib.decompress(command.table), type=RouteTable)
        except (zlib.error, msgspec.MsgspecError) as error:
            log.error("route table not understood", number=command.number, error=str(error))
            return []
        self.source = command.source
        return changed_items(table, catalog.items(), revision=revision)

    def document(self) -> bytes | None:
        """Give the operator's document of the table in force, None where there is none."""
        return zlib.decompress(self.source) if self.source else None


def held_number(catalog: Catalog) -> int:
    """Give the number of the table in force, one below the lowest where there is none."""
    held = catalog.value(TABLE_KEY, TableNumber)
    return MIN_TABLE_NUMBER - 1 if held is None else held.number


def replacement_command(table: RouteTable, source: bytes) -> ReplaceRouteTable:
    """Make the command that puts a table in force."""
    return ReplaceRouteTable(
        number=table.number,
        table=zlib.compress(msgspec.msgpack.encode(table), COMPRESSION_LEVEL),
        source=zlib.compress(source, COMPRESSION_LEVEL),
    )


__all__ = ["RouteTables", "held_number", "replacement_command"]
