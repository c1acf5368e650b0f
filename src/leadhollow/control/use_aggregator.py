"""What all entries have at each engine, and refused lately, summed up for every one of them.

An entry tells its control replica each change at once. Replicas tell each other sums only, so
what travels grows with the engines of the domain and not with entries times requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from leadhollow.decide.pressure import DecisionCounts
from leadhollow.kernel import active_time
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.uses import (
    NO_USE,
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
RELAY_BYTES_PER_S = 13_000.0
"""Of sums to each other replica. Ten engines are told each 20 ms, thirty each 60 ms; entries
elsewhere hear of these no sooner than each third of a second. Links between regions carry it:
thirty each 10 ms would be 78 kB/s to each other replica."""

SUM_BYTES = 26.0  # one engine's sum with its address
REFRESH_S = 0.5  # replicas tell everything again this often
VALID_S = 1.6  # three refreshes; after it what was told counts no more

log = get_logger("uses")


class _Teller:
    """What one entry, or one other replica, last told."""

    __slots__ = ("_decided_s", "_decisions", "heard_s", "uses")

    def __init__(self) -> None:
        self.uses: dict[str, Use] = {}
        self.heard_s = 0.0
        self._decisions: dict[str, DecisionCounts] = {}
        self._decided_s = 0.0

    def take_decisions(self, told: dict[str, DecisionCounts], now_s: float) -> None:
        """Take what was decided on requests, by service."""
        self._decisions = told
        self._decided_s = now_s

    def decisions(self, now_s: float) -> dict[str, DecisionCounts]:
        """Give what was decided on requests, as it counts now."""
        age_s = now_s - self._decided_s
        return {name: found.decayed(age_s) for name, found in self._decisions.items()}

    def take(self, told: dict[str, Use], *, whole: bool, now_s: float) -> dict[str, Use]:
        """Take what was told; gives what was before at the engines whose use changed."""
        self.heard_s = now_s
        touched = self.uses.keys() | told.keys() if whole else told.keys()
        before = {address: self.uses.get(address, NO_USE) for address in touched}
        for address in touched:
            use = told.get(address, NO_USE)
            if use.is_empty:
                self.uses.pop(address, None)
            else:
                self.uses[address] = use
        return {
            address: use for address, use in before.items() if use != self.uses.get(address, NO_USE)
        }


class _Sums:
    """What several tellers have at each engine, kept up to date as they tell it."""

    __slots__ = ("_uses",)

    def __init__(self) -> None:
        self._uses: dict[str, Use] = {}

    def __getitem__(self, address: str) -> Use:
        return self._uses.get(address, NO_USE)

    def addresses(self) -> set[str]:
        """Give the engines at which anybody has something."""
        return set(self._uses)

    def change(self, address: str, *, before: Use, after: Use) -> None:
        """Take in that one of the tellers has something else at an engine."""
        found = self[address]
        total = Use(
            requests=found.requests + after.requests - before.requests,
            unread_tokens=found.unread_tokens + after.unread_tokens - before.unread_tokens,
        )
        if total.is_empty:
            self._uses.pop(address, None)
        else:
            self._uses[address] = total


class UseAggregator(BatchingService):
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
        "_elsewhere",
        "_entries",
        "_here",
        "_listeners",
        "_own_address",
        "_peers",
        "_relayed",
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
        self._here = _Sums()  # of entries that report here
        self._elsewhere = _Sums()  # of those that report to other replicas
        self._relayed = 0  # engines whose sums were told last
        self._dirty: set[str] = set()
        self._listeners: list[Callable[[set[str], str], None]] = []
        super().__init__(batch_window_s=RELAY_PAUSE_S, refresh_s=REFRESH_S)
        handlers.on_oneway(UseReport, self._on_report)
        handlers.on_oneway(UseTotals, self._on_totals)

    def on_change(self, listener: Callable[[set[str], str], None]) -> None:
        """Call a function with the engines whose use changed, and the entry that told so."""
        self._listeners.append(listener)

    def engines(self) -> set[str]:
        """Give the engines at which any entry has something."""
        return self._here.addresses() | self._elsewhere.addresses()

    def total(self, address: str, *, excluding: str = "") -> Use:
        """Sum up what entries have at an engine, one of them left out."""
        here = self._here[address]
        elsewhere = self._elsewhere[address]
        teller = self._entries.get(excluding)
        own = NO_USE if teller is None else teller.uses.get(address, NO_USE)
        return Use(
            requests=here.requests + elsewhere.requests - own.requests,
            unread_tokens=here.unread_tokens + elsewhere.unread_tokens - own.unread_tokens,
        )

    def decisions(self, *, excluding: str = "") -> dict[str, DecisionCounts]:
        """Sum up what entries decided lately, one of them left out, by service."""
        now_s = asyncio.get_running_loop().time()
        tellers = [teller for vm, teller in self._entries.items() if vm != excluding]
        return _sum_decisions([*tellers, *self._tellers.values()], now_s)

    def remove_entry(self, vm: str) -> None:
        """Drop what an entry told: it follows another replica now, or has ended."""
        teller = self._entries.pop(vm, None)
        if teller is None:
            return
        changed = self._drop(teller, self._here)
        self._dirty |= changed
        self.note_change()
        self._tell_here(changed, vm)

    def expire(self, *, silence_s: Callable[[float], float]) -> None:
        """Drop what was told too long ago.

        Parameters
        ----------
        silence_s
            Gives for how long whoever told something last at a time has been silent.
        """
        for tellers, sums in ((self._entries, self._here), (self._tellers, self._elsewhere)):
            for name, teller in list(tellers.items()):
                if silence_s(teller.heard_s) > VALID_S:
                    del tellers[name]
                    self._tell_here(self._drop(teller, sums), "")

    def batch_window_s(self) -> float:
        """Give how long changes are gathered, the longer the more were told last."""
        return max(RELAY_PAUSE_S, self._relayed * SUM_BYTES / RELAY_BYTES_PER_S)

    async def _publish(self, *, whole: bool) -> None:
        """Tell the other replicas the sums over the entries that report here."""
        if whole:
            self.expire(silence_s=active_time.active_since_s)
        dirty, self._dirty = self._dirty, set()
        if whole:
            dirty = self._here.addresses()
        if not dirty and not whole:
            return
        self._relayed = len(dirty)
        engines, uses = encode_uses({address: self._here[address] for address in sorted(dirty)})
        now_s = asyncio.get_running_loop().time()
        decided = encode_decisions(_sum_decisions(self._entries.values(), now_s))
        totals = UseTotals(self._own_address, engines, uses, whole, decided)
        for address in self._replicas():
            if address != self._own_address:
                self._peers.post(address, totals)

    def _on_report(self, report: UseReport, connection: Connection) -> None:
        if connection.hello is None:
            return
        vm = connection.hello.vm
        teller = self._entries.setdefault(vm, _Teller())
        changed = self._take(teller, report, self._here)
        self._dirty |= changed
        if changed:
            self.note_change()
        self._tell_here(changed, vm)

    def _on_totals(self, totals: UseTotals, connection: Connection) -> None:
        teller = self._tellers.setdefault(totals.address, _Teller())
        self._tell_here(self._take(teller, totals, self._elsewhere), "")

    def _take(self, teller: _Teller, told: UseReport | UseTotals, sums: _Sums) -> set[str]:
        decoded = decode_uses(told.engines, told.uses)
        if decoded.is_err():
            log.warning("uses not understood", failure=str(decoded.unwrap_err()))
            return set()
        now_s = asyncio.get_running_loop().time()
        if told.decisions is not None:
            teller.take_decisions(decode_decisions(told.decisions), now_s)
        changed = teller.take(decoded.unwrap(), whole=bool(told.whole), now_s=now_s)
        for address, before in changed.items():
            sums.change(address, before=before, after=teller.uses.get(address, NO_USE))
        return set(changed)

    def _drop(self, teller: _Teller, sums: _Sums) -> set[str]:
        """Take what a teller told out of the sums; gives the engines that it concerns."""
        for address, use in teller.uses.items():
            sums.change(address, before=use, after=NO_USE)
        return set(teller.uses)

    def _tell_here(self, changed: set[str], vm: str) -> None:
        if not changed:
            return
        for listener in self._listeners:
            listener(changed, vm)


def _sum_decisions(tellers: Iterable[_Teller], now_s: float) -> dict[str, DecisionCounts]:
    total: dict[str, DecisionCounts] = {}
    for teller in tellers:
        for name, found in teller.decisions(now_s).items():
            total.setdefault(name, DecisionCounts()).add(found)
    return total


__all__ = ["EngineUses"]
