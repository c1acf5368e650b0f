"""Makes requests between replicas small, so that tables and snapshots go in parts."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest.mock import patch

PART_BYTES = 120  # below the size of a small table
LOG_BYTES = 1_500  # a few tables


@contextmanager
def small_requests() -> Iterator[None]:
    """Bound requests and logs by a fraction of what they hold otherwise."""
    with ExitStack() as stack:
        for module in ("request_parts", "follower_requests"):
            stack.enter_context(patch(f"leadhollow.state.{module}.PART_BYTES", PART_BYTES))
        stack.enter_context(patch("leadhollow.state.replica.LOG_BYTES", LOG_BYTES))
        yield


__all__ = ["small_requests"]
