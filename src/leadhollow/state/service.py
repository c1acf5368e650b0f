"""The state role: runs a replica of the log and serves it to other processes."""

from __future__ import annotations

import asyncio
import zlib
from pathlib import Path

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import active_s, active_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import Settings
from leadhollow.state.commands import ExpireClaims, TermStart, decode_command, encode
from leadhollow.state.domain_revisions import DomainRevisions
from leadhollow.state.leases import LeaseManager
from leadhollow.state.log_store import LogStore
from leadhollow.state.replica import Replica
from leadhollow.state.watch import serve_catalog
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import (
    CatalogWatch,
    DomainApplied,
    LeaseRenewal,
    LeaseRenewalReply,
    ProposeReply,
    ProposeRequest,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.streams import StreamSink

COMMIT_TIMEOUT_S = 1.4
CATCH_UP_TIMEOUT_S = 1.0  # then a watcher of the catalog tries another replica
CATCH_UP_POLL_S = 0.01
STATE_FOLDER = "state"

log = get_logger("state")


class StateService:
    """Replica, leases, catalog streams and domain reports of one state VM."""

    __slots__ = ("_leases", "_settings", "_tasks", "domain_revisions", "replica")

    def __init__(self, *, settings: Settings, peers: PeerPool, handlers: HandlerTable) -> None:
        self._settings = settings
        folder = Path(settings.data_folder or ".") / STATE_FOLDER
        self.replica = Replica(
            vm=settings.vm,
            replicas=settings.state_replicas,
            timing=settings.state,
            store=LogStore(folder=folder),
            peers=peers,
            seed=zlib.crc32(settings.vm.encode()),
        )
        self._leases = LeaseManager(replica=self.replica, ttl_ms=settings.domain.lease_ttl_ms)
        self.domain_revisions = DomainRevisions()
        self._tasks: list[asyncio.Task[None]] = []
        self.replica.register(handlers)
        handlers.on_call(ProposeRequest, self._on_propose)
        handlers.on_call(LeaseRenewal, self._on_lease)
        handlers.on_oneway(DomainApplied, self._on_domain_applied)
        handlers.on_stream(CatalogWatch, self._on_watch)

    async def start(self) -> Result[None, Failure]:
        """Open the log and start the replica."""
        started = await self.replica.start()
        if started.is_ok():
            loop = asyncio.get_running_loop()
            self._tasks.append(loop.create_task(self._expire_claims()))
        return started

    async def drain(self) -> None:
        """Do nothing: a state VM has no callers' requests in progress."""

    async def stop(self) -> None:
        """Stop the replica."""
        for task in self._tasks:
            task.cancel()
        await self.replica.stop()

    async def _on_propose(
        self, request: ProposeRequest, connection: Connection
    ) -> Result[ProposeReply, Failure]:
        decoded = decode_command(request.command or b"")
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        if isinstance(decoded.unwrap(), TermStart | ExpireClaims):
            return Err(Failure(code=Code.COMMAND_INVALID, detail="only a leader proposes this"))
        try:
            async with active_timeout(COMMIT_TIMEOUT_S):
                applied = await self.replica.propose(decoded.unwrap())
        except TimeoutError:
            return Err(Failure(code=Code.EDIT_UNKNOWN, detail="no majority answered in time"))
        if applied.is_err():
            return Err(applied.unwrap_err())
        done = applied.unwrap()
        return Ok(ProposeReply(0, "", encode(done.answer), done.index, self.replica.vm))

    async def _on_lease(
        self, request: LeaseRenewal, connection: Connection
    ) -> Result[LeaseRenewalReply, Failure]:
        try:
            async with active_timeout(COMMIT_TIMEOUT_S):
                granted = await self._leases.renew_or_acquire(
                    name=request.name, holder=request.holder, fence=request.fence
                )
        except TimeoutError:
            return Err(Failure(code=Code.EDIT_UNKNOWN, detail="no majority answered in time"))
        if granted.is_err():
            failure = granted.unwrap_err()
            if failure.code is Code.LEASE_HELD:
                return Ok(LeaseRenewalReply(False, 0, 0))
            return Err(failure)
        record = granted.unwrap()
        return Ok(LeaseRenewalReply(True, record.ttl_ms, record.fence))

    def _on_domain_applied(self, report: DomainApplied, connection: Connection) -> None:
        self.domain_revisions.record(report)

    async def _on_watch(self, request: CatalogWatch, sink: StreamSink) -> Result[None, Failure]:
        """Stream the catalog once it holds all that was committed before this replica started."""
        deadline_s = active_s() + CATCH_UP_TIMEOUT_S
        while not self.replica.caught_up():
            if active_s() >= deadline_s:
                return Err(Failure(code=Code.READ_UNCONFIRMED))
            await asyncio.sleep(CATCH_UP_POLL_S)
        return await serve_catalog(self.replica.machine.catalog, request, sink)

    async def _expire_claims(self) -> None:
        """Remove claims one retention time after they were seen, by the leader's clock."""
        retention_s = self._settings.state.claim_retention_ms / 1000
        while True:
            newest = self.replica.machine.last_claim_index()
            await asyncio.sleep(retention_s)
            if self.replica.ready() and newest:
                await self.replica.propose(ExpireClaims(through_index=newest))


__all__ = ["StateService"]
