"""Emulation of the control replicas that relay messages between the entries of a run."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.decide.pressure import DecisionCounts, DecisionKey
from leadhollow.decide.server import Server
from leadhollow.experiment.emulated_entry import EmulatedEntry
from leadhollow.experiment.scenario import Scenario
from leadhollow.experiment.virtual_clock import VirtualClock
from leadhollow.membership.uses import Use

BATCH_WINDOW_MS = 14.0  # changes within it are sent in one update


class EmulatedRelay:
    """Relays uses, decisions and back-offs between entries with the lag of their views.

    Parameters
    ----------
    entries
        Entries of the run; more may be added later.
    shares_pressure
        Whether decisions are relayed.
    """

    __slots__ = (
        "_clock",
        "_dirty",
        "_entries",
        "_local_lag_ms",
        "_remote_lag_ms",
        "_shares_pressure",
    )

    def __init__(
        self,
        *,
        clock: VirtualClock,
        scenario: Scenario,
        entries: list[EmulatedEntry],
        shares_pressure: bool,
    ) -> None:
        self._clock = clock
        self._entries = entries
        self._local_lag_ms = scenario.view_lag_ms
        self._remote_lag_ms = scenario.far_view_lag_ms or scenario.view_lag_ms
        self._shares_pressure = shares_pressure
        self._dirty: set[str] = set()

    def publish_backoff(
        self, sender: EmulatedEntry, address: str, receive: Callable[[Server], None]
    ) -> None:
        """Report the back-off of an engine to all entries but the sender."""
        for entry in self._entries:
            if entry is not sender:
                server = entry.view.by_address[address]
                is_local = server.instance.failure_domain == entry.domain
                lag_ms = self._local_lag_ms if is_local else self._remote_lag_ms
                self._clock.call_after_ms(lag_ms, lambda server=server: receive(server))  # type: ignore[misc]

    def record_change(self, address: str) -> None:
        """Schedule an update about the use of an engine to all entries."""
        if not self._dirty:
            self._clock.call_after_ms(BATCH_WINDOW_MS, self._send)
        self._dirty.add(address)

    def _send(self) -> None:
        """Send the current state of all changed engines in one update."""
        changed = {}
        for address in self._dirty:
            uses = [entry.view.by_address[address].use() for entry in self._entries]
            changed[address] = (
                uses,
                sum(use.requests for use in uses),
                sum(use.unread_tokens for use in uses),
            )
        self._dirty.clear()
        peer_decisions = self._decisions_of_others()
        if self._remote_lag_ms == self._local_lag_ms:
            self._deliver_after(self._local_lag_ms, changed, peer_decisions, local=None)
            return
        self._deliver_after(self._local_lag_ms, changed, peer_decisions, local=True)
        self._deliver_after(self._remote_lag_ms, changed, peer_decisions, local=False)

    def _deliver_after(
        self,
        lag_ms: float,
        changed: dict[str, tuple[list[Use], int, int]],
        peer_decisions: list[dict[DecisionKey, DecisionCounts]],
        *,
        local: bool | None,
    ) -> None:
        """Deliver an update after a lag.

        Parameters
        ----------
        lag_ms
            Age of the update at delivery; the batch window has passed already.
        local
            True for engines in the entry's failure domain, False for all others, None for both.
        """
        self._clock.call_after_ms(
            lag_ms - BATCH_WINDOW_MS, lambda: self._deliver(changed, peer_decisions, local)
        )

    def _deliver(
        self,
        changed: dict[str, tuple[list[Use], int, int]],
        peer_decisions: list[dict[DecisionKey, DecisionCounts]],
        local: bool | None,
    ) -> None:
        for index, entry in enumerate(self._entries):
            for address, (uses, requests, unread) in changed.items():
                server = entry.view.by_address[address]
                if local is not None and local != (server.instance.failure_domain == entry.domain):
                    continue
                own_use = uses[index]
                others = Use(
                    requests=requests - own_use.requests,
                    unread_tokens=unread - own_use.unread_tokens,
                )
                server.update_peer_use(others, self._clock.now_s)
            if self._shares_pressure:
                entry.queue.update_peer_decisions(peer_decisions[index])
            if entry.queue.waiting:
                entry.view.changed()

    def _decisions_of_others(self) -> list[dict[DecisionKey, DecisionCounts]]:
        """Return for each entry the sum of the recent decisions of all other entries."""
        own_decisions = [entry.queue.decisions() for entry in self._entries]
        total: dict[DecisionKey, DecisionCounts] = {}
        for own in own_decisions:
            for key, counts in own.items():
                total.setdefault(key, DecisionCounts()).add(counts)
        return [
            {key: counts.without(own.get(key, DecisionCounts())) for key, counts in total.items()}
            for own in own_decisions
        ]


__all__ = ["EmulatedRelay"]
