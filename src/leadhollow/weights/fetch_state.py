"""What the parts of one fetch share: chunks held, in flight, and the news of progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.weights.exchange import HaveNotifier
from leadhollow.weights.pacing import Link
from leadhollow.weights.store import ChunkStore, StoredVersion
from leadhollow.wire.messages import Body
from leadhollow.wire.peers import PeerPool

TRACKER_TIMEOUT_MS = 1_000

log = get_logger("fetch")


class ServerIdentity:
    """Who we are to other backend servers."""

    __slots__ = ("address", "failure_domain", "server")

    def __init__(self, *, server: str, address: str, failure_domain: str) -> None:
        self.server = server
        self.address = address
        self.failure_domain = failure_domain


class FetchContext:
    """What every fetch of one backend server shares.

    Parameters
    ----------
    trackers
        Gives the addresses to ask for leases of a root, the preferred one first.
    """

    __slots__ = ("have_notifier", "identity", "link", "peers", "store", "trackers")

    def __init__(
        self,
        *,
        identity: ServerIdentity,
        store: ChunkStore,
        have_notifier: HaveNotifier,
        link: Link,
        peers: PeerPool,
        trackers: Callable[[str], list[str]],
    ) -> None:
        self.identity = identity
        self.store = store
        self.have_notifier = have_notifier
        self.link = link
        self.peers = peers
        self.trackers = trackers

    async def call_tracker(self, root: str, body: Body) -> Result[Body, Failure]:
        """Ask the first tracker of a version that answers.

        Errors
        ------
        TRACKER_ABSENT
            None answered.
        """
        for address in self.trackers(root):
            reply = await self.peers.call(address, body, timeout_ms=TRACKER_TIMEOUT_MS)
            if reply.is_ok():
                return reply
        return Err(Failure(code=Code.TRACKER_ABSENT))


class FetchState:
    """Chunks of one version on their way to this VM."""

    __slots__ = (
        "_progress",
        "completed",
        "in_flight",
        "last_progress_s",
        "root",
        "stored",
        "context",
    )

    def __init__(self, *, root: str, stored: StoredVersion, context: FetchContext) -> None:
        self.root = root
        self.stored = stored
        self.context = context
        self.in_flight: set[int] = set()
        self.completed = asyncio.Event()
        self.last_progress_s = asyncio.get_running_loop().time()
        self._progress = asyncio.Event()

    @property
    def server(self) -> str:
        """Our own name."""
        return self.context.identity.server

    def is_wanted(self, chunk: int) -> bool:
        """Tell whether a chunk is neither held nor on its way."""
        return chunk not in self.stored.held and chunk not in self.in_flight

    async def store_chunk(self, chunk: int, data: bytes, *, source: str) -> Result[None, Failure]:
        """Check a chunk, write it and tell everyone who waits.

        Errors
        ------
        CHUNK_MISMATCH, STORE_FULL
            It was not kept.
        """
        written = await asyncio.to_thread(self.stored.write_chunk, chunk, data)
        if written.is_err():
            failure = written.unwrap_err()
            log.warning("chunk refused", chunk=chunk, source=source, failure=str(failure))
            return written
        if self.stored.held.add(chunk):
            self.stored.arrivals.append(chunk)
        self.last_progress_s = asyncio.get_running_loop().time()
        self.context.have_notifier.notify(self.root)
        self.notify_progress()
        if self.stored.held.complete:
            self.completed.set()
        return Ok(None)

    def notify_progress(self) -> None:
        """Tell those who wait that something changed."""
        self._progress.set()
        self._progress = asyncio.Event()

    async def wait_progress(self, longest_s: float) -> None:
        """Wait for a change, at most for a time."""
        try:
            async with asyncio.timeout(longest_s):
                await self._progress.wait()
        except TimeoutError:
            return


__all__ = ["FetchState", "FetchTools", "ServerIdentity"]
