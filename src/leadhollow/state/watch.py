"""Streams a catalog and its changes to the processes that watch it."""

from __future__ import annotations

from result import Err, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.state.catalog import Catalog, encode_item
from leadhollow.wire.generated.ttypes import CatalogUpdate, CatalogWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

ITEMS_PER_UPDATE = 1_000

log = get_logger("catalog")


async def serve_catalog(
    catalog: Catalog, request: CatalogWatch, sink: StreamSink
) -> Result[None, Failure]:
    """Send all items newer than the watcher's revision, then every later change.

    A new watcher starts with revision 0 and gets the whole catalog. So does a watcher that lags
    behind the catalog's floor.

    Errors
    ------
    PEER_REFUSED
        The watcher lags behind the floor and is of a release that cannot take a whole view.
    """
    sent = request.from_revision or 0
    first = True
    while True:
        revision = catalog.revision
        whole = catalog.needs_whole_view(sent)
        if whole and sent and not request.takes_whole:
            log.warning("watcher of an older release refused", revision=sent, floor=catalog.floor)
            return Err(too_old(sent, floor=catalog.floor))
        items = catalog.whole_view() if whole else catalog.items_after(sent)
        if items or first or whole:
            await _send_items(sink, [encode_item(item) for item in items], revision, whole=whole)
            sent = max(sent, revision)
            first = False
            continue
        await catalog.changed()


def too_old(revision: int, *, floor: int) -> Failure:
    """Return the failure for a process that lags behind the floor and cannot take a whole view."""
    detail = f"changes after {revision} are not known, only after {floor}; restart the process"
    return Failure(code=Code.PEER_REFUSED, detail=detail)


async def _send_items(sink: StreamSink, items: list[bytes], revision: int, *, whole: bool) -> None:
    for start in range(0, max(len(items), 1), ITEMS_PER_UPDATE):
        part = items[start : start + ITEMS_PER_UPDATE]
        last = start + ITEMS_PER_UPDATE >= len(items)
        await sink.send(CatalogUpdate(revision if last else 0, part, whole))


def register_catalog_source(handlers: HandlerTable, catalog: Catalog) -> None:
    """Serve a catalog that this process follows itself."""

    async def on_watch(request: CatalogWatch, sink: StreamSink) -> Result[None, Failure]:
        return await serve_catalog(catalog, request, sink)

    handlers.on_stream(CatalogWatch, on_watch)


__all__ = ["register_catalog_source", "serve_catalog", "too_old"]
