"""Makes sure that other replicas hold a change before it is acknowledged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import RegistryPush
from leadhollow.wire.peers import PeerPool

CONFIRM_TIMEOUT_S = 0.5  # a server waits for a second, and then calls another replica

log = get_logger("registry")


class ChangeReplication:
    """Sends a change to the other replicas and waits until enough of them confirm it.

    Parameters
    ----------
    own_address
        Wire address of this replica.
    replicas
        Returns the addresses of all replicas.
    tolerated_losses
        Number of replicas that may be lost at once, so that many others have to hold the change.
    """

    __slots__ = ("_own_address", "_peers", "_replicas", "_tolerated_losses")

    def __init__(
        self,
        *,
        own_address: str,
        replicas: Callable[[], list[str]],
        peers: PeerPool,
        tolerated_losses: int,
    ) -> None:
        self._own_address = own_address
        self._replicas = replicas
        self._peers = peers
        self._tolerated_losses = tolerated_losses

    async def replicate(self, push: RegistryPush) -> bool:
        """Send a change; return whether enough other replicas confirm it in time.

        One confirmation is enough if the others do not answer: a replica that is alone in being
        reached is the best that can be had while several are lost.
        """
        others = [address for address in self._replicas() if address != self._own_address]
        needed = min(self._tolerated_losses, len(others))
        if needed == 0:
            return True
        pending = {
            asyncio.get_running_loop().create_task(self._confirmed(address, push))
            for address in others
        }
        confirmed = 0
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                while pending and confirmed < needed:
                    done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                    confirmed += sum(task.result() for task in done)
        except TimeoutError:
            log.warning("change not confirmed in time", confirmed=confirmed, needed=needed)
        finally:
            for task in pending:
                task.cancel()
        return confirmed > 0

    async def _confirmed(self, address: str, push: RegistryPush) -> bool:
        timeout_ms = CONFIRM_TIMEOUT_S * 1000
        return (await self._peers.call(address, push, timeout_ms=timeout_ms)).is_ok()


__all__ = ["ChangeReplication"]
