"""Faults of ``leadhollow bench recovery``: kills, cuts, freezes and lost disks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from leadhollow.bench.link_proxy import LinkProxy
from leadhollow.bench.recovery_cluster import DOMAINS, Cluster
from leadhollow.operator_client import OperatorClient

FAULT_AFTER_S = 0.3
FAULT_S = 0.9


class RecoveryFaults:
    """What befalls the replicas.

    Parameters
    ----------
    operators
        Clients by whom the leader is found; filled once the cluster has started.
    generator
        Of every random choice.
    """

    __slots__ = ("_cluster", "_generator", "_operators")

    def __init__(
        self, *, cluster: Cluster, operators: Sequence[OperatorClient], generator: random.Random
    ) -> None:
        self._cluster = cluster
        self._operators = operators
        self._generator = generator

    def cases(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Give all faults by name."""
        return {
            "leader killed": self._leader_killed,
            "follower killed": self._follower_killed,
            "leader frozen": self._leader_frozen,
            "leader silently cut off": self._leader_cut,
            "one direction cut": self._one_direction_cut,
            "frames delayed": self._frames_delayed,
            "disk replaced": self._disk_replaced,
            "second loss right after a repair": self._second_loss,
            "two at once": self._two_at_once,
            "all restarted": self._all_restarted,
        }

    async def _leader(self) -> str:
        status = await self._operators[0].status()
        leader = status.unwrap().leader if status.is_ok() else ""
        return leader or DOMAINS[0]

    async def _wait_random(self) -> None:
        await asyncio.sleep(FAULT_AFTER_S * self._generator.uniform(0.5, 1.5))

    async def _restart(self, domain: str, *, wiped: bool = False) -> None:
        await self._cluster.daemons[domain].kill()
        if wiped:
            self._cluster.wipe(domain)
        await asyncio.sleep(self._generator.uniform(0.0, 0.2))
        await self._cluster.daemons[domain].start()

    async def _leader_killed(self) -> None:
        await self._wait_random()
        leader = await self._leader()
        await self._cluster.daemons[leader].kill()
        await asyncio.sleep(FAULT_S)
        await self._cluster.daemons[leader].start()

    async def _follower_killed(self) -> None:
        await self._wait_random()
        leader = await self._leader()
        victim = self._generator.choice([domain for domain in DOMAINS if domain != leader])
        await self._restart(victim)

    async def _leader_frozen(self) -> None:
        await self._wait_random()
        daemon = self._cluster.daemons[await self._leader()]
        daemon.freeze()
        await asyncio.sleep(2 * FAULT_S)
        daemon.thaw()

    async def _leader_cut(self) -> None:
        await self._wait_random()
        links = self._cluster.links_of(await self._leader())
        await self._cut(links, 2 * FAULT_S)

    async def _one_direction_cut(self) -> None:
        await self._wait_random()
        leader = await self._leader()
        links = [link for pair, link in self._cluster.links.items() if pair[0] == leader]
        await self._cut(links, 2 * FAULT_S)

    async def _cut(self, links: list[LinkProxy], duration_s: float) -> None:
        for link in links:
            link.cut()
        await asyncio.sleep(duration_s)
        for link in links:
            link.heal()

    async def _frames_delayed(self) -> None:
        for link in self._cluster.links.values():
            link.delay_s = 0.05
        await asyncio.sleep(FAULT_S)
        for link in self._cluster.links.values():
            link.heal()

    async def _disk_replaced(self) -> None:
        await self._wait_random()
        await self._restart(self._generator.choice(DOMAINS), wiped=True)

    async def _second_loss(self) -> None:
        first, second = self._generator.sample(DOMAINS, 2)
        await self._restart(first, wiped=True)
        await self._wait_caught_up(first)
        await self._restart(second, wiped=True)

    async def _two_at_once(self) -> None:
        await self._wait_random()
        first, second = self._generator.sample(DOMAINS, 2)
        await asyncio.gather(self._restart(first), self._restart(second))

    async def _all_restarted(self) -> None:
        await self._wait_random()
        await asyncio.gather(*(self._restart(domain) for domain in DOMAINS))

    async def _wait_caught_up(self, domain: str) -> None:
        """Wait until a replica that lost its disk has what the others have."""
        behind = self._cluster.operator(domain)
        try:
            for _ in range(200):
                mine = await behind.status()
                theirs = await self._operators[0].status()
                if mine.is_ok() and theirs.is_ok() and mine.unwrap().voter:
                    return
                await asyncio.sleep(0.02)
        finally:
            await behind.close()


__all__ = ["RecoveryFaults"]
