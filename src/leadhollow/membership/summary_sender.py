"""Tells other failure domains what this one has free."""

from __future__ import annotations

import asyncio

from leadhollow.kernel import clocks
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.domain_service import DomainService
from leadhollow.membership.summary import summarise
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import PeerSettings, Settings
from leadhollow.wire.generated.ttypes import CapacityLine, DomainSummary
from leadhollow.wire.peers import PeerPool

SEND_TIMEOUT_MS = 800

log = get_logger("summaries")


class SummarySender(TaskService):
    """Sends one summary an interval to its share of the other domains' replicas."""

    __slots__ = ("_domain", "_epoch", "_peers", "_sent", "_sequence", "_settings")

    def __init__(self, *, settings: Settings, peers: PeerPool, domain: DomainService) -> None:
        self._settings = settings
        self._peers = peers
        self._domain = domain
        self._sent: dict[str, list[CapacityLine]] = {}
        self._sequence = 0
        self._epoch = clocks.wall_ns()
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(self._settings.domain.summary_ms / 1000)
            self._sequence += 1
            summary = summarise(
                failure_domain=self._settings.failure_domain,
                sequence=self._sequence,
                epoch=self._epoch,
                sender=self._settings.vm,
                members=self._domain.members.members(),
            )
            await asyncio.gather(*(self._send(peer, summary) for peer in await self._targets()))

    async def _send(self, peer: PeerSettings, summary: DomainSummary) -> None:
        """Send a summary, or only that its lines have not changed."""
        unchanged = self._sent.get(peer.vm) == summary.lines
        body = DomainSummary(
            summary.failure_domain,
            summary.sequence,
            None if unchanged else summary.lines,
            summary.members,
            summary.sender,
            summary.epoch,
            unchanged,
        )
        sent = await self._peers.call(peer.address, body, timeout_ms=SEND_TIMEOUT_MS)
        if sent.is_ok():
            self._sent[peer.vm] = summary.lines
            return
        self._sent.pop(peer.vm, None)
        log.debug("summary not delivered", peer=peer.vm, failure=str(sent.unwrap_err()))

    async def _targets(self) -> list[PeerSettings]:
        """Share the other domains' replicas among the live replicas of ours."""
        alive = []
        for peer in self._settings.own_domain_replicas():
            if peer.vm == self._settings.vm or (await self._peers.connection(peer.address)).is_ok():
                alive.append(peer.vm)
        rank = alive.index(self._settings.vm)
        targets = []
        positions: dict[str, int] = {}
        for peer in self._settings.domain_replicas:
            if peer.failure_domain == self._settings.failure_domain:
                continue
            position = positions.get(peer.failure_domain, 0)
            positions[peer.failure_domain] = position + 1
            if position % len(alive) == rank:
                targets.append(peer)
        return targets


__all__ = ["SummarySender"]
