"""Sums over all entries of their use of each engine and of the requests that they refused lately.

An entry reports each change to its control replica at once. Replicas exchange sums only, so the
traffic between them grows with the number of engines and not with entries times requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from leadhollow.decide.pressure import DecisionCounts, DecisionKey
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

BATCH_WINDOW_S = 0.01  # changes within it are sent to other replicas in one message
RELAY_BYTES_PER_S = 13_000.0
"""Rate of sums sent to each other replica; ten engines are sent every 20 ms, thirty every 60 ms.

Entries in other failure domains get these updates at most every third of a second anyway. The limit
protects links between regions: thirty engines every 10 ms would take 78 kB/s per replica."""

TOTAL_BYTES = 26.0  # encoded size of one engine's sum with its address
REFRESH_S = 0.5  # interval at which a replica sends all its sums again
VALID_S = 1.6  # three refreshes; reports that are older are dropped

log = get_logger("uses")


class _Source:
    """Last report of one entry or of one other replica."""

    __slots__ = ("_decisions", "_decisions_s", "received_s", "uses")

    def __init__(self) -> None:
        self.uses: dict[str, Use] = {}
        self.received_s = 0.0
        self._decisions: dict[DecisionKey, DecisionCounts] = {}
        self._decisions_s = 0.0

    def set_decisions(self, reported: dict[DecisionKey, DecisionCounts], now_s: float) -> None:
        """Replace the counts of decisions on requests, by service."""
        self._decisions = reported
        self._decisions_s = now_s

    def decisions(self, now_s: float) -> dict[DecisionKey, DecisionCounts]:
        """Return the counts of decisions, by service, decayed by their age."""
        age_s = now_s - self._decisions_s
        return {name: counts.decayed(age_s) for name, counts in self._decisions.items()}

    def update(self, reported: dict[str, Use], *, whole: bool, now_s: float) -> dict[str, Use]:
        """Apply a report.

        Returns
        -------
        dict of str to Use
            Previous use of each engine whose use changed, by address.
        """
        self.received_s = now_s
        touched = self.uses.keys() | reported.keys() if whole else reported.keys()
        before = {address: self.uses.get(address, NO_USE) for address in touched}
        for address in touched:
            use = reported.get(address, NO_USE)
            if use.is_empty:
                self.uses.pop(address, None)
            else:
                self.uses[address] = use
        return {
            address: use for address, use in before.items() if use != self.uses.get(address, NO_USE)
        }


class _Totals:
    """Sums of the use of each engine over several sources, updated incrementally."""

    __slots__ = ("_uses",)

    def __init__(self) -> None:
        self._uses: dict[str, Use] = {}

    def __getitem__(self, address: str) -> Use:
        return self._uses.get(address, NO_USE)

    def addresses(self) -> set[str]:
        """Return the addresses of the engines that are in use."""
        return set(self._uses)

    def change(self, address: str, *, before: Use, after: Use) -> None:
        """Replace the use that one source contributes to an engine."""
        current = self[address]
        total = Use(
            requests=current.requests + after.requests - before.requests,
            unread_tokens=current.unread_tokens + after.unread_tokens - before.unread_tokens,
        )
        if total.is_empty:
            self._uses.pop(address, None)
        else:
            self._uses[address] = total


class UseAggregator(BatchingService):
    """Sums of the use of engines over all entries.

    Parameters
    ----------
    own_address
        Wire address of this replica.
    replicas
        Returns the addresses of all replicas.
    """

    __slots__ = (
        "_changed",
        "_last_sent",
        "_listeners",
        "_local_sources",
        "_local_totals",
        "_own_address",
        "_peers",
        "_remote_sources",
        "_remote_totals",
        "_replicas",
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
        self._local_sources: dict[str, _Source] = {}
        self._remote_sources: dict[str, _Source] = {}
        self._local_totals = _Totals()  # over entries that report to this replica
        self._remote_totals = _Totals()  # over those that report to other replicas
        self._last_sent = 0  # number of engines in the last message
        self._changed: set[str] = set()
        self._listeners: list[Callable[[set[str], str], None]] = []
        super().__init__(batch_window_s=BATCH_WINDOW_S, refresh_s=REFRESH_S)
        handlers.on_oneway(UseReport, self._on_report)
        handlers.on_oneway(UseTotals, self._on_totals)

    def on_change(self, listener: Callable[[set[str], str], None]) -> None:
        """Register a listener for changed use.

        It gets the addresses of the engines and the VM of the entry that reported the change. The
        VM is empty for changes from other replicas and for reports that expired.
        """
        self._listeners.append(listener)

    def engines(self) -> set[str]:
        """Return the addresses of the engines that any entry uses."""
        return self._local_totals.addresses() | self._remote_totals.addresses()

    def total(self, address: str, *, excluding: str = "") -> Use:
        """Return the use of an engine summed over all entries but one."""
        local = self._local_totals[address]
        remote = self._remote_totals[address]
        source = self._local_sources.get(excluding)
        excluded = NO_USE if source is None else source.uses.get(address, NO_USE)
        return Use(
            requests=local.requests + remote.requests - excluded.requests,
            unread_tokens=local.unread_tokens + remote.unread_tokens - excluded.unread_tokens,
        )

    def decisions(self, *, excluding: str = "") -> dict[DecisionKey, DecisionCounts]:
        """Return the recent decisions summed over all entries but one, by service."""
        now_s = asyncio.get_running_loop().time()
        sources = [source for vm, source in self._local_sources.items() if vm != excluding]
        return _merge_decisions([*sources, *self._remote_sources.values()], now_s)

    def remove_entry(self, vm: str) -> None:
        """Drop the reports of an entry that follows another replica now or has ended."""
        source = self._local_sources.pop(vm, None)
        if source is None:
            return
        changed = self._drop(source, self._local_totals)
        self._changed |= changed
        self.note_change()
        self._notify_listeners(changed, vm)

    def expire(self, *, silence_s: Callable[[float], float]) -> None:
        """Drop reports that are older than ``VALID_S``.

        Parameters
        ----------
        silence_s
            Returns for how long a source has been silent, given the time of its last report.
        """
        for sources, totals in (
            (self._local_sources, self._local_totals),
            (self._remote_sources, self._remote_totals),
        ):
            for name, source in list(sources.items()):
                if silence_s(source.received_s) > VALID_S:
                    del sources[name]
                    self._notify_listeners(self._drop(source, totals), "")

    def batch_window_s(self) -> float:
        """Return the batch window, which grows with the size of the last message."""
        return max(BATCH_WINDOW_S, self._last_sent * TOTAL_BYTES / RELAY_BYTES_PER_S)

    async def _publish(self, *, whole: bool) -> None:
        """Send the sums over the entries that report to this replica to the other replicas."""
        if whole:
            self.expire(silence_s=active_time.active_since_s)
        changed, self._changed = self._changed, set()
        if whole:
            changed = self._local_totals.addresses()
        if not changed and not whole:
            return
        self._last_sent = len(changed)
        engines, uses = encode_uses(
            {address: self._local_totals[address] for address in sorted(changed)}
        )
        now_s = asyncio.get_running_loop().time()
        decision_records = encode_decisions(_merge_decisions(self._local_sources.values(), now_s))
        totals = UseTotals(self._own_address, engines, uses, whole, decision_records)
        for address in self._replicas():
            if address != self._own_address:
                self._peers.post(address, totals)

    def _on_report(self, report: UseReport, connection: Connection) -> None:
        if connection.hello is None:
            return
        vm = connection.hello.vm
        source = self._local_sources.setdefault(vm, _Source())
        changed = self._merge(source, report, self._local_totals)
        self._changed |= changed
        if changed:
            self.note_change()
        self._notify_listeners(changed, vm)

    def _on_totals(self, totals: UseTotals, connection: Connection) -> None:
        source = self._remote_sources.setdefault(totals.address, _Source())
        self._notify_listeners(self._merge(source, totals, self._remote_totals), "")

    def _merge(self, source: _Source, reported: UseReport | UseTotals, totals: _Totals) -> set[str]:
        decoded = decode_uses(reported.engines, reported.uses)
        if decoded.is_err():
            log.warning("uses not understood", failure=str(decoded.unwrap_err()))
            return set()
        now_s = asyncio.get_running_loop().time()
        if reported.decisions is not None:
            source.set_decisions(decode_decisions(reported.decisions), now_s)
        changed = source.update(decoded.unwrap(), whole=bool(reported.whole), now_s=now_s)
        for address, before in changed.items():
            totals.change(address, before=before, after=source.uses.get(address, NO_USE))
        return set(changed)

    def _drop(self, source: _Source, totals: _Totals) -> set[str]:
        """Subtract a source from the sums; return the addresses of the engines that it used."""
        for address, use in source.uses.items():
            totals.change(address, before=use, after=NO_USE)
        return set(source.uses)

    def _notify_listeners(self, changed: set[str], vm: str) -> None:
        if not changed:
            return
        for listener in self._listeners:
            listener(changed, vm)


def _merge_decisions(sources: Iterable[_Source], now_s: float) -> dict[DecisionKey, DecisionCounts]:
    total: dict[DecisionKey, DecisionCounts] = {}
    for source in sources:
        for name, counts in source.decisions(now_s).items():
            total.setdefault(name, DecisionCounts()).add(counts)
    return total


__all__ = ["UseAggregator"]
