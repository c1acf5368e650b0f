"""Suspects and quarantine of the calls behind gates, shared by all entries.

The backend role beside an engine says when the engine has ended. The entries whose calls ran there
report them to a state replica, which merges and judges, as control replicas do for the calls that
go to backend servers directly.
"""

from __future__ import annotations

import asyncio

from result import Result

from leadhollow.decide.fingerprints import short_fingerprint
from leadhollow.decide.quarantine_rules import SETTLE_S, VERDICT_DELAY_S
from leadhollow.decide.server_ends import ServerEnd
from leadhollow.entry.call import Call
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import ActiveTimer, active_sleep
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.suspect_ledger import SuspectLedger
from leadhollow.membership.suspect_news import SuspectChanges, all_records, encode_news
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import Settings
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import CatalogItem, VersionRecord
from leadhollow.wire.generated.ttypes import SuspectNews, SuspectWatch
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.streams import CallStream

RECONNECT_DELAY_S = 0.2
START_TIMEOUT_S = 1.5
"""How long a starting entry waits for the verdicts of a replica before it accepts calls. Without
any replica it goes on, as it would if it lost them later."""

LOCAL_VERDICT_DELAY_S = 4 * SETTLE_S
"""Time after an end until an entry that reaches no state replica decides on its own."""

log = get_logger("quarantine")


class EntrySuspects(TaskService):
    """Follows the suspect table of one state replica, and reports to it what this entry sees."""

    __slots__ = ("_informed", "_ledger", "_peers", "_settings", "_source")

    def __init__(self, *, settings: Settings, peers: PeerPool, catalog: Catalog) -> None:
        self._settings = settings
        self._peers = peers
        self._source = ""  # address of the replica that is followed
        self._ledger = SuspectLedger(
            clock=asyncio.get_running_loop().time, on_change=self._send_changes
        )
        self._informed = asyncio.Event()  # once the table of a replica was merged
        catalog.on_change(self._on_catalog)
        super().__init__()

    async def start(self) -> Result[None, Failure]:
        """Start to follow a replica, and wait for its verdicts."""
        started = await super().start()
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await self._informed.wait()
        except TimeoutError:
            log.warning("no verdicts received", waited_s=START_TIMEOUT_S)
        return started

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a call must not be sent to any server."""
        return any(map(self._ledger.table.is_quarantined, call.traits))

    async def wait_for_verdict(self, call: Call) -> None:
        """Delay the retry of a call that may have ended a server before its last one."""
        table = self._ledger.table
        if any(len(table.suspected_lives(trait)) > 1 for trait in call.traits):
            await active_sleep(VERDICT_DELAY_S)

    def record_end(self, life: str, call: Call) -> None:
        """Record that an engine ended while it ran a call.

        Parameters
        ----------
        life
            Names the life of the engine; all entries whose calls ran there get the same name.
        """
        now_s = asyncio.get_running_loop().time()
        ran = [trait for trait in call.traits if not self._ledger.successes.contains(trait, now_s)]
        log.warning(
            "backend server ended while it ran requests",
            request_id=call.request_id,
            life=life,
            fingerprints=[short_fingerprint(trait) for trait in ran],
        )
        if ran and self._ledger.record_end(ServerEnd(life=life, ran=ran, happened_s=now_s)):
            ActiveTimer(delay_s=LOCAL_VERDICT_DELAY_S, callback=self._decide_locally)

    def record_success(self, call: Call) -> None:
        """Record a call whose response was complete."""
        self._ledger.record_success("", call.traits)

    async def _work(self) -> None:
        replicas = sorted(
            self._settings.state_replicas,
            key=lambda peer: (
                peer.failure_domain != self._settings.failure_domain,
                peer.vm != self._settings.vm,
            ),
        )
        while True:
            for replica in replicas:
                connected = await self._peers.connection(replica.address)
                if connected.is_err():
                    continue
                stream = connected.unwrap().stream(SuspectWatch(self._settings.vm))
                await self._follow(replica.address, stream)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _follow(self, address: str, stream: CallStream) -> None:
        """Merge the updates of a replica until it is lost."""
        try:
            while True:
                received = await stream.next()
                if received.is_err():
                    return
                update: SuspectNews | None = received.unwrap()
                if update is None:
                    return
                self._ledger.merge(update)
                self._informed.set()
                if not self._source:
                    self._source = address
                    self._ledger.unsent.merge(all_records(self._ledger.table))
                    self._send_changes()
        finally:
            self._source = ""

    def _on_catalog(self, items: list[CatalogItem]) -> None:
        if any(isinstance(item.value, VersionRecord) for item in items):
            self._ledger.successes.clear()  # engines will run other weights from now on

    def _send_changes(self) -> None:
        if self._source and self._ledger.unsent:
            now_s = asyncio.get_running_loop().time()
            changes: SuspectChanges = self._ledger.unsent.pop_all()
            self._peers.post(self._source, encode_news(self._ledger.table, changes, now_s))

    def _decide_locally(self) -> None:
        if not self._source:
            self._ledger.decide()


__all__ = ["EntrySuspects"]
