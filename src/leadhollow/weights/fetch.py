"""Fetches one version to this VM, from neighbours and by leased reads from the origin."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.weights.exchange import MANIFEST_INDEX
from leadhollow.weights.fetch_state import FetchContext, FetchState, ServerIdentity
from leadhollow.weights.manifest import decode_manifest
from leadhollow.weights.origin import OriginReader
from leadhollow.weights.origin_reads import OriginReads
from leadhollow.weights.peer_reads import PeerReads
from leadhollow.weights.store import StoredVersion
from leadhollow.wire.generated.ttypes import ChunkRequest, SwarmJoin, SwarmNeighbours

CALL_TIMEOUT_MS = 1_000
NEIGHBOUR_MANIFEST_TIMEOUT_S = 2.0
NEIGHBOUR_MANIFEST_POLL_S = 0.05
MANIFEST_RETRY_S = 1.0
SAVE_PROGRESS_INTERVAL_S = 2.0

log = get_logger("fetch")


class Fetch:
    """Fetch of one version to this VM.

    Parameters
    ----------
    root
        Root hash of the version.
    origin
        Reads chunks that no backend server holds.
    hedge
        Whether a chunk may also be read from the origin here while another server is slow to
        read it.
    """

    __slots__ = ("_context", "_hedge", "_origin", "root")

    def __init__(
        self, *, root: str, origin: OriginReader, context: FetchContext, hedge: bool
    ) -> None:
        self.root = root
        self._origin = origin
        self._context = context
        self._hedge = hedge

    async def run(self) -> Result[StoredVersion, Failure]:
        """Fetch until every chunk is held and its hash is verified.

        Errors
        ------
        ROOT_MISMATCH, MANIFEST_INVALID, EMPTY_MODEL
            The origin serves another version than the root hash names.
        STORE_FULL
            A write to disk failed.
        """
        opened = await self._open()
        if opened.is_err():
            return opened
        stored = opened.unwrap()
        self._context.have_notifier.notify(self.root)
        while not stored.held.complete:
            await self._fetch_missing(stored)
            finished = await asyncio.to_thread(stored.finish)
            if finished.is_err() and finished.unwrap_err().code is not Code.ROOT_MISMATCH:
                return Err(finished.unwrap_err())
        log.info("version complete", root=self.root[:12], server=self._context.identity.server)
        return Ok(stored)

    async def _open(self) -> Result[StoredVersion, Failure]:
        existing = self._context.store.version(self.root)
        if existing is not None:
            return Ok(existing)
        while True:
            encoded = await self._find_manifest()
            if encoded.is_ok():
                return await asyncio.to_thread(
                    self._context.store.open_version, self.root, encoded.unwrap()
                )
            failure = encoded.unwrap_err()
            if failure.code is not Code.ORIGIN_FAILED:
                return Err(failure)
            log.warning("manifest read failed; retrying", root=self.root[:12], failure=str(failure))
            await asyncio.sleep(MANIFEST_RETRY_S)

    async def _find_manifest(self) -> Result[bytes, Failure]:
        """Get the manifest from a neighbour, or from the origin.

        The origin is read at once if there is no neighbour, and after a timeout if none has it.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + NEIGHBOUR_MANIFEST_TIMEOUT_S
        identity = self._context.identity
        join = SwarmJoin(self.root, identity.server, identity.address, identity.failure_domain, 0)
        while loop.time() < deadline_s:
            reply = await self._context.call_tracker(self.root, join)
            swarm = reply.unwrap() if reply.is_ok() else SwarmNeighbours([])
            if not swarm.neighbours:
                break
            for neighbour in swarm.neighbours:
                found = await self._request_manifest(neighbour.address)
                if found is not None:
                    return Ok(found)
            await asyncio.sleep(NEIGHBOUR_MANIFEST_POLL_S)
        return await self._origin.manifest()

    async def _request_manifest(self, address: str) -> bytes | None:
        request = ChunkRequest(self.root, MANIFEST_INDEX)
        reply = await self._context.peers.call(address, request, timeout_ms=CALL_TIMEOUT_MS)
        if reply.is_err():
            return None
        encoded: bytes = reply.unwrap().data or b""
        return encoded if decode_manifest(encoded, root=self.root).is_ok() else None

    async def _fetch_missing(self, stored: StoredVersion) -> None:
        state = FetchState(root=self.root, stored=stored, context=self._context)
        peer_reads = PeerReads(state=state)
        origin_reads = OriginReads(
            state=state, origin=self._origin, peer_reads=peer_reads, hedge=self._hedge
        )
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(peer_reads.run()),
            loop.create_task(_save_progress(stored)),
            *origin_reads.start(),
        ]
        try:
            if not stored.held.complete:
                await state.completed.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def _save_progress(stored: StoredVersion) -> None:
    while True:
        await asyncio.sleep(SAVE_PROGRESS_INTERVAL_S)
        await asyncio.to_thread(stored.save_progress)


__all__ = ["Fetch", "FetchContext", "ServerIdentity"]
