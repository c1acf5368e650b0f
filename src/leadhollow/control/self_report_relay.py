"""Relays self-reports of backend servers, which one entry received in responses, to all others.

A report that a server leaves goes through the registry, like its heartbeats. A back-off is binding
for the VM that was asked for it; other VMs get it so that they prefer other servers.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from leadhollow.kernel import clocks
from leadhollow.membership.self_reports import (
    MAX_REPORTS,
    backoff_report,
    check_reports,
    leaving_report,
)
from leadhollow.observe.logs import get_logger
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import ServerWord, ServerWords
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

MIN_BACKOFF_CHANGE_S = 0.5
"""Minimum extension of a back-off that is relayed.

A server asks all entries for a back-off at nearly the same time, and each of them reports it."""

log = get_logger("self-reports")

ChangeListener = Callable[[set[str], str], None]


class LeavingTable(Protocol):
    """Receives reports that a backend server leaves."""

    def mark_leaving(self, life: str) -> None:
        """Mark a life as leaving, as it said in a response to an entry."""
        ...


class ReportedBackoff(NamedTuple):
    """End of a back-off, and the VM that reported it."""

    end_s: float
    vm: str


class SelfReportRelay:
    """Self-reports as one control replica knows them.

    Parameters
    ----------
    own_address
        Wire address of this replica.
    replicas
        Returns the addresses of all replicas.

    Attributes
    ----------
    leaving_reported_by
        The VM that first reported a life as leaving, by life.
    """

    __slots__ = (
        "_backoffs",
        "_leaving_table",
        "_listeners",
        "_own_address",
        "_peers",
        "_replicas",
        "leaving_reported_by",
    )

    def __init__(
        self,
        *,
        own_address: str,
        replicas: Callable[[], list[str]],
        leaving_table: LeavingTable,
        peers: PeerPool,
        handlers: HandlerTable,
    ) -> None:
        self._own_address = own_address
        self._replicas = replicas
        self._leaving_table = leaving_table
        self._peers = peers
        self._backoffs: dict[str, ReportedBackoff] = {}  # by life
        self.leaving_reported_by: OrderedDict[str, str] = OrderedDict()
        self._listeners: list[ChangeListener] = []
        handlers.on_oneway(ServerWords, self._on_words)

    def on_change(self, listener: ChangeListener) -> None:
        """Register a listener that gets lives with a changed back-off and the VM that sent it."""
        self._listeners.append(listener)

    def lives_in_backoff(self) -> set[str]:
        """Return the lives that are in a back-off now, and remove expired back-offs."""
        now_s = clocks.elapsed_s()
        self._backoffs = {
            life: backoff for life, backoff in self._backoffs.items() if backoff.end_s > now_s
        }
        return set(self._backoffs)

    def backoff(self, life: str) -> ReportedBackoff | None:
        """Return the back-off of a life, None if it has none now."""
        backoff = self._backoffs.get(life)
        return backoff if backoff is not None and backoff.end_s > clocks.elapsed_s() else None

    def encode_backoffs(self, lives: Iterable[str]) -> list[ServerWord]:
        """Encode the back-offs of some lives that have not expired."""
        now_s = clocks.elapsed_s()
        backoffs = [(life, self.backoff(life)) for life in sorted(lives)]
        return [
            backoff_report(life, backoff.end_s - now_s, told_by=backoff.vm)
            for life, backoff in backoffs
            if backoff is not None
        ]

    def _on_words(self, message: ServerWords, connection: Connection) -> None:
        checked = check_reports(message)
        if checked.is_err():
            log.warning("self-reports rejected", failure=str(checked.unwrap_err()))
            return
        sender = "" if connection.hello is None else connection.hello.vm
        leaving, in_backoff = set(), set()
        for report in checked.unwrap():
            vm = report.told_by or sender
            if report.leaving and self._merge_leaving(report.life, vm):
                leaving.add(report.life)
            if report.rest_ms and self._merge_backoff(report.life, report.rest_ms / 1000, vm):
                in_backoff.add(report.life)
        if in_backoff:
            for listener in self._listeners:
                listener(in_backoff, sender)
        if not message.address and (leaving or in_backoff):
            self._relay(leaving, in_backoff)

    def _relay(self, leaving: set[str], in_backoff: set[str]) -> None:
        """Send reports of entries to the other replicas; reports of replicas are not relayed."""
        words = [
            leaving_report(life, told_by=self.leaving_reported_by[life]) for life in sorted(leaving)
        ]
        message = ServerWords(self._own_address, words + self.encode_backoffs(in_backoff))
        for address in self._replicas():
            if address != self._own_address:
                self._peers.post(address, message)

    def _merge_leaving(self, life: str, vm: str) -> bool:
        """Mark a life as leaving; return whether that was unknown."""
        self._leaving_table.mark_leaving(life)
        if life in self.leaving_reported_by:
            return False
        self.leaving_reported_by[life] = vm
        while len(self.leaving_reported_by) > MAX_REPORTS:
            self.leaving_reported_by.popitem(last=False)
        return True

    def _merge_backoff(self, life: str, rest_s: float, vm: str) -> bool:
        """Store a back-off; return whether it lasts much longer than the known one."""
        end_s = clocks.elapsed_s() + rest_s
        known = self.backoff(life)
        if known is not None and end_s - known.end_s < MIN_BACKOFF_CHANGE_S:
            return False
        if life not in self._backoffs and not self._has_room():
            log.warning("back-off not relayed: too many servers in back-off", life=life)
            return False
        self._backoffs[life] = ReportedBackoff(end_s=end_s, vm=vm)
        return True

    def _has_room(self) -> bool:
        return len(self._backoffs) < MAX_REPORTS or len(self.lives_in_backoff()) < MAX_REPORTS


__all__ = ["ReportedBackoff", "SelfReportRelay"]
