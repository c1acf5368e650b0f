"""Sends summaries of this failure domain's free capacity to the others."""

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
    """Sends a summary per interval to its share of the other failure domains' replicas."""

    __slots__ = ("_delivered_lines", "_domain", "_epoch", "_peers", "_sequence", "_settings")

    def __init__(self, *, settings: Settings, peers: PeerPool, domain: DomainService) -> None:
        self._settings = settings
        self._peers = peers
        self._domain = domain
        self._delivered_lines: dict[str, list[CapacityLine]] = {}
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
        """Send a summary, without its lines if the peer already has them."""
        unchanged = self._delivered_lines.get(peer.vm) == summary.lines
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
            self._delivered_lines[peer.vm] = summary.lines
            return
        self._delivered_lines.pop(peer.vm, None)
        log.debug("could not deliver the summary", peer=peer.vm, failure=str(sent.unwrap_err()))

    async def _targets(self) -> list[PeerSettings]:
        """Return this replica's share of the remote replicas, split among the live local ones."""
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
