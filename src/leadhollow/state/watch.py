"""Streams a catalog and its changes to the processes that watch it."""

from __future__ import annotations

from result import Result

from leadhollow.failure import Failure
from leadhollow.state.catalog import Catalog, encode_item
from leadhollow.wire.generated.ttypes import CatalogUpdate, CatalogWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

ITEMS_PER_UPDATE = 1_000


async def serve_catalog(
    catalog: Catalog, request: CatalogWatch, sink: StreamSink
) -> Result[None, Failure]:
    """Send all items newer than the watcher's revision, then every later change.

    A new watcher starts with revision 0 and gets the whole catalog.
    """
    sent = request.from_revision or 0
    first = True
    while True:
        revision = catalog.revision
        items = catalog.items_after(sent)
        if items or first:
            await _send_items(sink, [encode_item(item) for item in items], revision)
            sent = max(sent, revision)
            first = False
            continue
        await catalog.changed()


async def _send_items(sink: StreamSink, items: list[bytes], revision: int) -> None:
    for start in range(0, max(len(items), 1), ITEMS_PER_UPDATE):
        part = items[start : start + ITEMS_PER_UPDATE]
        last = start + ITEMS_PER_UPDATE >= len(items)
        await sink.send(CatalogUpdate(revision if last else 0, part))


def register_catalog_source(handlers: HandlerTable, catalog: Catalog) -> None:
    """Serve a catalog that this process follows itself."""

    async def on_watch(request: CatalogWatch, sink: StreamSink) -> Result[None, Failure]:
        return await serve_catalog(catalog, request, sink)

    handlers.on_stream(CatalogWatch, on_watch)


__all__ = ["register_catalog_source", "serve_catalog"]
