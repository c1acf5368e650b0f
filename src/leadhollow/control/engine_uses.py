"""What all entries have at each engine, and refused lately, summed up for every one of them.

An entry tells its control replica each change at once. Replicas tell each other sums only, so
what travels grows with the engines of the domain and not with entries times requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from leadhollow.decide.pressure import Decisions
from leadhollow.kernel.gathering_service import GatheringService
from leadhollow.membership.uses import (
    Use,
    decode_decisions,
    decode_uses,
    encode_decisions,
    encode_uses,
)
from leadhollow.observe.logs import get_logger
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import UseReport, UseTotals
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

RELAY_PAUSE_S = 0.01  # changes within it travel to the other replicas together
REFRESH_S = 0.5  # replicas tell everything again this often
VALID_S = 1.6  # three refreshes; after it what was told counts no more

log = get_logger("uses")


class _Teller:
    """What one entry, or one other replica, last told."""

    __slots__ = ("_decided_s", "_decisions", "heard_s", "uses")

    def __init__(self) -> None:
        self.uses: dict[str, Use] = {}
        self.heard_s = 0.0
        self._decisions: dict[str, Decisions] = {}
        self._decided_s = 0.0

    def take_decisions(self, told: dict[str, Decisions], now_s: float) -> None:
        """Take what was decided on requests, by service."""
        self._decisions = told
        self._decided_s = now_s

    def decisions(self, now_s: float) -> dict[str, Decisions]:
        """Give what was decided on requests, as it counts now."""
        age_s = now_s - self._decided_s
        return {name: found.faded(age_s) for name, found in self._decisions.items()}

    def take(self, told: dict[str, Use], *, whole: bool, now_s: float) -> set[str]:
        """Take what was told; gives the engines whose use changed."""
        self.heard_s = now_s
        before = self.uses if whole else {address: self.uses.get(address) for address in told}
        after = told if whole else self.uses | told
        self.uses = {address: use for address, use in after.items() if not use.nothing}
        touched = set(before) | set(told)
        return {address for address in touched if before.get(address) != self.uses.get(address)}


class EngineUses(GatheringService):
    """Sums of what entries have at engines.

    Parameters
    ----------
    own_address
        Where other replicas reach us.
    replicas
        Gives the addresses of all replicas.
    """

    __slots__ = (
        "_dirty",
        "_entries",
        "_listeners",
        "_own_address",
        "_peers",
        "_replicas",
        "_tellers",
    )

    def __init__(
        self,
        *,
        own_address: str,
        replicas: Callable[[], list[str]],
        peers: PeerPool,
        handlers: HandlerTable,
    ) -> None:
        self._own_address = own_address
        self._replicas = replicas
        self._peers = peers
        self._entries: dict[str, _Teller] = {}
        self._tellers: dict[str, _Teller] = {}
        self._dirty: set[str] = set()
        self._listeners: list[Callable[[set[str], str], None]] = []
        super().__init__(gather_s=RELAY_PAUSE_S, refresh_s=REFRESH_S)
        handlers.on_oneway(UseReport, self._on_report)
        handlers.on_oneway(UseTotals, self._on_totals)

    def on_change(self, listener: Callable[[set[str], str], None]) -> None:
        """Call a function with the engines whose use changed, and the entry that told so."""
        self._listeners.append(listener)

    def engines(self) -> set[str]:
        """Give the engines at which any entry has something."""
        tellers = [*self._entries.values(), *self._tellers.values()]
        return {address for teller in tellers for address in teller.uses}

    def total(self, address: str, *, without: str = "") -> Use:
        """Sum up what entries have at an engine, one of them left out."""
        found = [teller.uses.get(address) for vm, teller in self._entries.items() if vm != without]
        found += [teller.uses.get(address) for teller in self._tellers.values()]
        return _sum(use for use in found if use is not None)

    def decisions(self, *, without: str = "") -> dict[str, Decisions]:
        """Sum up what entries decided lately, one of them left out, by service."""
        now_s = asyncio.get_running_loop().time()
        tellers = [teller for vm, teller in self._entries.items() if vm != without]
        return _sum_decisions([*tellers, *self._tellers.values()], now_s)

    def forget(self, vm: str) -> None:
        """Drop what an entry told: it follows another replica now, or has ended."""
        teller = self._entries.pop(vm, None)
        if teller is None:
            return
        changed = set(teller.uses)
        self._dirty |= changed
        self.note_change()
        self._tell_here(changed, vm)

    def forget_silent(self, now_s: float) -> None:
        """Drop what was told too long ago."""
        for tellers in (self._entries, self._tellers):
            for name, teller in list(tellers.items()):
                if now_s - teller.heard_s > VALID_S:
                    del tellers[name]
                    self._tell_here(set(teller.uses), "")

    async def _tell(self, *, whole: bool) -> None:
        """Tell the other replicas the sums over the entries that report here."""
        if whole:
            self.forget_silent(asyncio.get_running_loop().time())
        dirty, self._dirty = self._dirty, set()
        if whole:
            dirty = {address for teller in self._entries.values() for address in teller.uses}
        if not dirty and not whole:
            return
        engines, uses = encode_uses({address: self._here(address) for address in sorted(dirty)})
        now_s = asyncio.get_running_loop().time()
        decided = encode_decisions(_sum_decisions(self._entries.values(), now_s))
        totals = UseTotals(self._own_address, engines, uses, whole, decided)
        for address in self._replicas():
            if address != self._own_address:
                self._peers.post(address, totals)

    def _here(self, address: str) -> Use:
        found = (teller.uses.get(address) for teller in self._entries.values())
        return _sum(use for use in found if use is not None)

    def _on_report(self, report: UseReport, connection: Connection) -> None:
        if connection.hello is None:
            return
        vm = connection.hello.vm
        teller = self._entries.setdefault(vm, _Teller())
        changed = self._take(teller, report)
        self._dirty |= changed
        if changed:
            self.note_change()
        self._tell_here(changed, vm)

    def _on_totals(self, totals: UseTotals, connection: Connection) -> None:
        teller = self._tellers.setdefault(totals.address, _Teller())
        self._tell_here(self._take(teller, totals), "")

    def _take(self, teller: _Teller, told: UseReport | UseTotals) -> set[str]:
        decoded = decode_uses(told.engines, told.uses)
        if decoded.is_err():
            log.warning("uses not understood", failure=str(decoded.unwrap_err()))
            return set()
        now_s = asyncio.get_running_loop().time()
        if told.decisions is not None:
            teller.take_decisions(decode_decisions(told.decisions), now_s)
        return teller.take(decoded.unwrap(), whole=bool(told.whole), now_s=now_s)

    def _tell_here(self, changed: set[str], vm: str) -> None:
        if not changed:
            return
        for listener in self._listeners:
            listener(changed, vm)


def _sum(uses: Iterable[Use]) -> Use:
    requests = 0
    unread = 0
    for use in uses:
        requests += use.requests
        unread += use.unread_tokens
    return Use(requests=requests, unread_tokens=unread)


def _sum_decisions(tellers: Iterable[_Teller], now_s: float) -> dict[str, Decisions]:
    total: dict[str, Decisions] = {}
    for teller in tellers:
        for name, found in teller.decisions(now_s).items():
            total.setdefault(name, Decisions()).add(found)
    return total


__all__ = ["EngineUses"]
