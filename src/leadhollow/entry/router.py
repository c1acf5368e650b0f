"""Chooses a backend server for an attempt."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from blake3 import blake3

from leadhollow.codes import Code
from leadhollow.membership.summary import ENGINE_KIND, SERVICE_KIND
from leadhollow.membership.view import DomainView
from leadhollow.settings.model import Balance
from leadhollow.wire.generated.ttypes import MemberView

AFFINITY_LOAD_FACTOR = 1.25
EJECT_FIRST_S = 1.0
FULL_PAUSE_S = 0.01
FULL_PAUSE_LONGEST_S = 0.16
STALE_PAUSE_S = 0.1
EJECT_LONGEST_S = 30.0


class Wish:
    """What an attempt needs.

    Parameters
    ----------
    kind
        ``engine`` or ``service``.
    names
        Roots, the preferred one first, or the service's name.
    affinity
        Hash of the prompt's prefix; requests that share it are sent to the same engine while its
        load allows.
    """

    __slots__ = ("affinity", "kind", "names")

    def __init__(self, *, kind: str, names: tuple[str, ...], affinity: bytes) -> None:
        self.kind = kind
        self.names = names
        self.affinity = affinity


class Choice:
    """A backend server with a slot reserved on it."""

    __slots__ = ("candidates", "member", "name", "reason")

    def __init__(self, *, member: MemberView, name: str, reason: str, candidates: int) -> None:
        self.member = member
        self.name = name
        self.reason = reason
        self.candidates = candidates


class _Ejection:
    __slots__ = ("failures", "until_s")

    def __init__(self) -> None:
        self.failures = 0
        self.until_s = 0.0


class Router:
    """Weighs candidates by version, free slots, prefix affinity and recent failures.

    Parameters
    ----------
    view
        Members of the own failure domain and summaries of the others.
    seed
        Seed of the random part of the choice.
    """

    __slots__ = (
        "_balance",
        "_ejections",
        "_full_times",
        "_in_flight",
        "_others",
        "_paused_until_s",
        "_peak",
        "_random",
        "_turn",
        "_view",
    )

    def __init__(self, *, view: DomainView, seed: int, balance: Balance = Balance.AFFINITY) -> None:
        self._view = view
        self._balance = balance
        self._turn = 0
        self._random = random.Random(seed)
        self._in_flight: dict[str, int] = {}
        self._peak: dict[str, int] = {}
        self._others: dict[str, int] = {}
        self._paused_until_s: dict[str, float] = {}
        self._full_times: dict[str, int] = {}
        view.on_load(self._note_report)
        view.report_loads()
        self._ejections: dict[str, _Ejection] = {}

    def choose(self, wish: Wish, *, excluded: Iterable[str], now_s: float) -> Choice | None:
        """Choose a backend server with a free slot and reserve the slot.

        Returns
        -------
        Choice or None
            None where no candidate has a free slot now.
        """
        avoided = set(excluded)
        for name in wish.names:
            for members, place in self._tiers(wish.kind, name):
                usable = [
                    member
                    for member in self._trusted(members, now_s)
                    if member.server not in avoided
                    and self._free_slots(member) > 0
                    and now_s >= self._paused_until_s.get(member.server, 0.0)
                ]
                if usable:
                    member, reason = self._pick(wish, usable)
                    self._reserve(member.server)
                    return Choice(
                        member=member,
                        name=name,
                        reason=f"{place}, {reason}",
                        candidates=len(usable),
                    )
        return None

    def refused(self, server: str, code: Code, *, now_s: float) -> None:
        """Note a confirmed refusal: what we know of the server is old, so it gets a pause.

        A slot comes free soon, so the first pause is short and each one in a row is twice as long;
        a server that left or runs another version is shown by the view.
        """
        pause_s = STALE_PAUSE_S
        if code is Code.SLOTS_FULL:
            times = self._full_times.get(server, 0)
            self._full_times[server] = times + 1
            pause_s = min(FULL_PAUSE_S * 2**times, FULL_PAUSE_LONGEST_S)
        self._paused_until_s[server] = now_s + pause_s

    def release(self, choice: Choice) -> None:
        """Give a reserved slot back."""
        server = choice.member.server
        left = self._in_flight.get(server, 0) - 1
        if left > 0:
            self._in_flight[server] = left
        else:
            self._in_flight.pop(server, None)

    def exists(self, wish: Wish) -> bool:
        """Tell whether anyone serves what is wished, free or not."""
        return any(members for name in wish.names for members, _ in self._tiers(wish.kind, name))

    def succeeded(self, server: str) -> None:
        """Note an attempt that went well; trust returns step by step."""
        self._full_times.pop(server, None)
        ejection = self._ejections.get(server)
        if ejection is None:
            return
        ejection.failures -= 1
        if ejection.failures <= 0:
            del self._ejections[server]

    def failed(self, server: str, *, now_s: float) -> None:
        """Note a failed attempt; each one in a row keeps the server out for twice as long."""
        ejection = self._ejections.setdefault(server, _Ejection())
        ejection.failures += 1
        pause_s = min(EJECT_FIRST_S * 2 ** (ejection.failures - 1), EJECT_LONGEST_S)
        ejection.until_s = now_s + pause_s

    def _tiers(self, kind: str, name: str) -> list[tuple[Sequence[MemberView], str]]:
        own = self._view.serving(name) if kind == ENGINE_KIND else self._view.service(name)
        elsewhere = [
            candidate
            for line in self._view.remote_lines(kind, name)
            for candidate in line.candidates or ()
        ]
        return [(own, "own domain"), (elsewhere, "other domain")]

    def _pick(self, wish: Wish, usable: list[MemberView]) -> tuple[MemberView, str]:
        if self._balance is Balance.ROUND_ROBIN:
            self._turn += 1
            return usable[self._turn % len(usable)], "round robin"
        if self._balance is Balance.LEAST_CONNECTIONS:
            return min(usable, key=self._load), "least connections"
        if wish.affinity:
            preferred = max(usable, key=lambda member: _rendezvous(wish.affinity, member.server))
            mean = sum(self._load(member) for member in usable) / len(usable)
            if self._load(preferred) <= mean * AFFINITY_LOAD_FACTOR:
                return preferred, "prefix affinity"
        if len(usable) == 1:
            return usable[0], "only candidate"
        first, second = self._random.sample(usable, 2)
        return min(first, second, key=self._load), "less loaded of two"

    def _load(self, member: MemberView) -> float:
        return self._busy_slots(member) / max(int(member.slots), 1)

    def _reserve(self, server: str) -> None:
        own = self._in_flight.get(server, 0) + 1
        self._in_flight[server] = own
        self._peak[server] = max(self._peak.get(server, 0), own)

    def _note_report(self, server: str, in_flight: int) -> None:
        """Split a report into our own part and the other entries'.

        The report lags, so our part of it is taken as the most that we had there since the report
        before. Too low a guess of the others' part costs a confirmed refusal, too high a one an
        idle slot.
        """
        own = self._in_flight.get(server, 0)
        self._others[server] = max(0, in_flight - max(self._peak.get(server, 0), own))
        self._peak[server] = own

    def _busy_slots(self, member: MemberView) -> int:
        return self._others.get(member.server, 0) + self._in_flight.get(member.server, 0)

    def _free_slots(self, member: MemberView) -> int:
        return int(member.slots) - self._busy_slots(member)

    def _trusted(self, members: Sequence[MemberView], now_s: float) -> Sequence[MemberView]:
        """Leave out those that failed lately, unless that leaves nobody."""
        trusted = [member for member in members if not self._ejected(member.server, now_s)]
        return trusted or members

    def _ejected(self, server: str, now_s: float) -> bool:
        ejection = self._ejections.get(server)
        return ejection is not None and now_s < ejection.until_s


def _rendezvous(affinity: bytes, server: str) -> bytes:
    return bytes(blake3(affinity + server.encode()).digest(length=8))


__all__ = ["ENGINE_KIND", "SERVICE_KIND", "Choice", "Router", "Wish"]
