"""What backend servers said of themselves to some entry, passed on to all others.

That a server leaves goes the way of its heartbeats, through the registry. A rest binds the VM that
was asked for it; the others are told so that they prefer other servers.
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

SAME_REST_S = 0.5
"""Part of a rest that is not worth telling again: a server asks all entries within some moments,
and each of them tells."""

log = get_logger("self-reports")

ChangeListener = Callable[[set[str], str], None]


class LeavingTable(Protocol):
    """Takes that a life of a backend server leaves."""

    def mark_leaving(self, life: str) -> None:
        """Take the word of a server that an entry heard."""
        ...


class ReportedBackoff(NamedTuple):
    """End of a rest, and the VM that told of it."""

    end_s: float
    vm: str


class SelfReportRelay:
    """Self-reports as one control replica knows them.

    Parameters
    ----------
    own_address
        Where other replicas reach us.
    replicas
        Gives the addresses of all replicas.

    Attributes
    ----------
    leaving
        VM that told first, by the life that said in an answer that it leaves.
    """

    __slots__ = (
        "_leaving_table",
        "_listeners",
        "_own_address",
        "_peers",
        "_replicas",
        "_rests",
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
        self._rests: dict[str, Rest] = {}  # by life
        self.leaving_reported_by: OrderedDict[str, str] = OrderedDict()
        self._listeners: list[ChangeListener] = []
        handlers.on_oneway(ServerWords, self._on_words)

    def on_change(self, listener: ChangeListener) -> None:
        """Call a function with the lives whose rest is news, and the VM that sent the news."""
        self._listeners.append(listener)

    def lives_in_backoff(self) -> set[str]:
        """Name the lives that want rest now, and forget the others."""
        now_s = clocks.elapsed_s()
        self._rests = {life: rest for life, rest in self._rests.items() if rest.end_s > now_s}
        return set(self._rests)

    def backoff(self, life: str) -> Rest | None:
        """Give the rest of a life, None where it wants none now."""
        found = self._rests.get(life)
        return found if found is not None and found.end_s > clocks.elapsed_s() else None

    def encode_backoffs(self, lives: Iterable[str]) -> list[ServerWord]:
        """Encode the rests of some lives, as far as they last."""
        now_s = clocks.elapsed_s()
        found = [(life, self.backoff(life)) for life in sorted(lives)]
        return [
            backoff_report(life, rest.end_s - now_s, told_by=rest.vm)
            for life, rest in found
            if rest is not None
        ]

    def _on_words(self, words: ServerWords, connection: Connection) -> None:
        checked = check_reports(words)
        if checked.is_err():
            log.warning("self-reports not taken", failure=str(checked.unwrap_err()))
            return
        sender = "" if connection.hello is None else connection.hello.vm
        leaving, resting = set(), set()
        for word in checked.unwrap():
            vm = word.told_by or sender
            if word.leaving and self._take_leaving(word.life, vm):
                leaving.add(word.life)
            if word.rest_ms and self._take_rest(word.life, word.rest_ms / 1000, vm):
                resting.add(word.life)
        if resting:
            for listener in self._listeners:
                listener(resting, sender)
        if not words.address and (leaving or resting):
            self._pass_on(leaving, resting)

    def _pass_on(self, leaving: set[str], resting: set[str]) -> None:
        """Tell the other replicas; what they tell us they have told each other."""
        words = [
            leaving_report(life, told_by=self.leaving_reported_by[life]) for life in sorted(leaving)
        ]
        news = ServerWords(self._own_address, words + self.encode_backoffs(resting))
        for address in self._replicas():
            if address != self._own_address:
                self._peers.post(address, news)

    def _take_leaving(self, life: str, vm: str) -> bool:
        """Take that a life leaves; tells whether that is news here."""
        self._leaving_table.mark_leaving(life)
        if life in self.leaving_reported_by:
            return False
        self.leaving_reported_by[life] = vm
        while len(self.leaving_reported_by) > MAX_REPORTS:
            self.leaving_reported_by.popitem(last=False)
        return True

    def _take_rest(self, life: str, rest_s: float, vm: str) -> bool:
        """Take a rest; tells whether it lasts much longer than what is known."""
        end_s = clocks.elapsed_s() + rest_s
        known = self.backoff(life)
        if known is not None and end_s - known.end_s < SAME_REST_S:
            return False
        if life not in self._rests and not self._has_room():
            log.warning("rest not passed on: too many servers rest", life=life)
            return False
        self._rests[life] = ReportedBackoff(end_s=end_s, vm=vm)
        return True

    def _has_room(self) -> bool:
        return len(self._rests) < MAX_REPORTS or len(self.lives_in_backoff()) < MAX_REPORTS


__all__ = ["ReportedBackoff", "SelfReportRelay"]
