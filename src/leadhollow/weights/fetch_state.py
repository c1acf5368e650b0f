"""State that the parts of one fetch share: chunks held, chunks in flight, progress events."""

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
    """Name, address and failure domain of this backend server, as sent to other ones."""

    __slots__ = ("address", "failure_domain", "server")

    def __init__(self, *, server: str, address: str, failure_domain: str) -> None:
        self.server = server
        self.address = address
        self.failure_domain = failure_domain


class FetchContext:
    """Dependencies that all fetches of one backend server share.

    Parameters
    ----------
    trackers
        Returns the addresses of the trackers of a root hash, the preferred one first.
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
        """Call the trackers of a version in order until one replies.

        Errors
        ------
        TRACKER_ABSENT
            No tracker replied.
        """
        for address in self.trackers(root):
            reply = await self.peers.call(address, body, timeout_ms=TRACKER_TIMEOUT_MS)
            if reply.is_ok():
                return reply
        return Err(Failure(code=Code.TRACKER_ABSENT))


class FetchState:
    """Progress of the fetch of one version.

    Attributes
    ----------
    in_flight
        Chunks that are being read now.
    completed
        Set once every chunk is held.
    last_progress_s
        When a chunk was last stored, by the clock of the event loop.
    """

    __slots__ = (
        "_progress",
        "completed",
        "context",
        "in_flight",
        "last_progress_s",
        "root",
        "stored",
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
        """Name of this backend server."""
        return self.context.identity.server

    def is_wanted(self, chunk: int) -> bool:
        """Whether a chunk is neither held nor in flight."""
        return chunk not in self.stored.held and chunk not in self.in_flight

    async def store_chunk(self, chunk: int, data: bytes, *, source: str) -> Result[None, Failure]:
        """Verify a chunk, write it to disk and wake the tasks that wait for progress.

        Errors
        ------
        CHUNK_MISMATCH, STORE_FULL
            The chunk was not stored.
        """
        written = await asyncio.to_thread(self.stored.write_chunk, chunk, data)
        if written.is_err():
            failure = written.unwrap_err()
            log.warning("chunk not stored", chunk=chunk, source=source, failure=str(failure))
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
        """Wake all tasks in ``wait_progress``."""
        self._progress.set()
        self._progress = asyncio.Event()

    async def wait_progress(self, timeout_s: float) -> None:
        """Wait for progress, at most ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._progress.wait()
        except TimeoutError:
            return


__all__ = ["FetchState", "FetchContext", "ServerIdentity"]
