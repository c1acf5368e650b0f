"""What entries of a run tell each other through control, some moments later."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.decide.pressure import DecisionCounts
from leadhollow.decide.server import Server
from leadhollow.experiment.emulated_entry import SERVICE, EmulatedEntry
from leadhollow.experiment.scenario import Scenario
from leadhollow.experiment.virtual_clock import VirtualClock
from leadhollow.membership.uses import Use

GATHER_MS = 14.0  # changes within it travel together, in two steps


class EmulatedRelay:
    """Passes on uses, decisions and rests, each with the age that views of them have.

    Parameters
    ----------
    entries
        Entries of the run, which may be added to.
    shares_pressure
        Whether decisions are passed on.
    """

    __slots__ = ("_clock", "_dirty", "_entries", "_far_ms", "_near_ms", "_shares_pressure")

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
        self._near_ms = scenario.view_lag_ms
        self._far_ms = scenario.far_view_lag_ms or scenario.view_lag_ms
        self._shares_pressure = shares_pressure
        self._dirty: set[str] = set()

    def publish_backoff(
        self, teller: EmulatedEntry, address: str, hear: Callable[[Server], None]
    ) -> None:
        """Let the other entries hear that an engine wants rest."""
        for entry in self._entries:
            if entry is not teller:
                server = entry.view.by_address[address]
                near = server.instance.failure_domain == entry.domain
                lag_ms = self._near_ms if near else self._far_ms
                self._clock.after_ms(lag_ms, lambda server=server: hear(server))  # type: ignore[misc]

    def record_change(self, address: str) -> None:
        """Let all entries know, a little later, what others have at an engine."""
        if not self._dirty:
            self._clock.after_ms(GATHER_MS, self._send)
        self._dirty.add(address)

    def _send(self) -> None:
        """Pass on what changed, all together, as it is now."""
        changed = {}
        for address in self._dirty:
            uses = [entry.view.by_address[address].use() for entry in self._entries]
            changed[address] = (
                uses,
                sum(use.requests for use in uses),
                sum(use.unread_tokens for use in uses),
            )
        self._dirty.clear()
        told = self._decisions_of_others()
        if self._far_ms == self._near_ms:
            self._hear_after(self._near_ms, changed, told, inside=None)
            return
        self._hear_after(self._near_ms, changed, told, inside=True)
        self._hear_after(self._far_ms, changed, told, inside=False)

    def _hear_after(
        self,
        lag_ms: float,
        changed: dict[str, tuple[list[Use], int, int]],
        told: list[dict[str, DecisionCounts]],
        *,
        inside: bool | None,
    ) -> None:
        """Let entries hear of engines inside or outside their failure domain; None for both."""
        self._clock.after_ms(lag_ms - GATHER_MS, lambda: self._hear(changed, told, inside))

    def _hear(
        self,
        changed: dict[str, tuple[list[Use], int, int]],
        told: list[dict[str, DecisionCounts]],
        inside: bool | None,
    ) -> None:
        for place, entry in enumerate(self._entries):
            for address, (uses, requests, unread) in changed.items():
                server = entry.view.by_address[address]
                if inside is not None and inside != (
                    server.instance.failure_domain == entry.domain
                ):
                    continue
                own = uses[place]
                others = Use(
                    requests=requests - own.requests, unread_tokens=unread - own.unread_tokens
                )
                server.update_peer_use(others, self._clock.now_s)
            if self._shares_pressure:
                entry.queue.update_peer_decisions(told[place])
            if entry.queue.waiting:
                entry.view.changed()

    def _decisions_of_others(self) -> list[dict[str, DecisionCounts]]:
        """Give what all others decided lately, for each entry: the sum without its own part."""
        found = [entry.queue.decisions().get(SERVICE, DecisionCounts()) for entry in self._entries]
        made = sum(own.made for own in found)
        refused = sum(own.refused for own in found)
        return [
            {SERVICE: DecisionCounts(made=made - own.made, refused=refused - own.refused)}
            for own in found
        ]


__all__ = ["EmulatedRelay"]
