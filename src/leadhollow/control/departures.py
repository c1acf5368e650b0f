"""Makes sure that the departure of a server outlives the replica that accepts it."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from leadhollow.kernel.active_time import active_timeout
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import RegistryPush
from leadhollow.wire.peers import PeerPool

CONFIRM_TIMEOUT_S = 0.5  # a server waits for a second, and then calls another replica
CONFIRMED_KEPT = 1_024  # departures that are known to be confirmed; others are sent again

log = get_logger("registry")


class Departures:
    """Sends departures to the other replicas and waits until enough of them confirm.

    Parameters
    ----------
    table
        Backend servers as this replica knows them.
    describe
        Returns the message that tells other replicas of an instance.
    others
        Returns the addresses of the other replicas.
    tolerated_losses
        Number of replicas that may be lost at once; as many others have to know a departure.
    """

    __slots__ = ("_confirmed", "_describe", "_others", "_peers", "_table", "_tolerated_losses")

    def __init__(
        self,
        *,
        table: InstanceTable,
        describe: Callable[[Instance], RegistryPush],
        others: Callable[[], list[str]],
        peers: PeerPool,
        tolerated_losses: int,
    ) -> None:
        self._table = table
        self._describe = describe
        self._others = others
        self._peers = peers
        self._tolerated_losses = tolerated_losses
        self._confirmed: OrderedDict[tuple[str, InstanceState], None] = OrderedDict()

    async def confirm(self, instance: str) -> bool:
        """Wait until other replicas know that a server leaves.

        Call it before the server is told that its departure was accepted.

        Returns
        -------
        bool
            False if there are other replicas and none confirmed it in time. True also if the
            server is not leaving.
        """
        left = self._table.departed(instance)
        if left is None:
            return True
        key = (left.life, left.state)
        if key in self._confirmed:
            return True
        if not await self._replicate(self._describe(left)):
            log.warning("departure not confirmed", instance=instance, state=left.state.name.lower())
            return False
        self._confirmed[key] = None
        while len(self._confirmed) > CONFIRMED_KEPT:
            self._confirmed.popitem(last=False)
        return True

    async def _replicate(self, push: RegistryPush) -> bool:
        """Send a message; one confirmation is enough if the other replicas do not answer."""
        others = self._others()
        needed = min(self._tolerated_losses, len(others))
        if needed == 0:
            return True
        loop = asyncio.get_running_loop()
        pending = {loop.create_task(self._is_confirmed(address, push)) for address in others}
        confirmed = 0
        try:
            async with active_timeout(CONFIRM_TIMEOUT_S):
                while pending and confirmed < needed:
                    done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                    confirmed += sum(task.result() for task in done)
        except TimeoutError:
            log.warning("change not confirmed in time", confirmed=confirmed, needed=needed)
        finally:
            for task in pending:
                task.cancel()
        return confirmed > 0

    async def _is_confirmed(self, address: str, push: RegistryPush) -> bool:
        timeout_ms = CONFIRM_TIMEOUT_S * 1000
        return (await self._peers.call(address, push, timeout_ms=timeout_ms)).is_ok()


__all__ = ["Departures"]
