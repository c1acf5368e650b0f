"""Runs in which removed items are forgotten at once, as they are after thousands of removals."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

from leadhollow.state import removed_items
from leadhollow.state.removed_items import RemovedItems

KEPT = 2


@contextmanager
def early_floor() -> Iterator[None]:
    """Keep two removed items, and those of the newest revision."""
    forget = RemovedItems.forget
    with ExitStack() as stack:
        for name, value in (("MIN_REMOVED_KEPT", KEPT), ("REVISIONS_KEPT", 1)):
            stack.enter_context(mock.patch.object(removed_items, name, value))
        stack.enter_context(
            mock.patch.object(RemovedItems, "forget", lambda self, live_items: forget(self, 0))
        )
        yield


__all__ = ["early_floor"]
