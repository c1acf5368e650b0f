"""Chooses the backend server of an attempt."""

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
MIN_EJECTION_S = 1.0
FULL_FIRST_PAUSE_S = 0.01
FULL_MAX_PAUSE_S = 0.16
STALE_PAUSE_S = 0.1
MAX_EJECTION_S = 30.0


class RoutingRequest:
    """Requirements of an attempt on its backend server.

    Parameters
    ----------
    kind
        ``engine`` or ``service``.
    names
        Roots of acceptable versions, the preferred one first, or the service's name.
    affinity
        Hash of the prompt's prefix. Requests with the same prefix go to the same engine unless its
        load is too high.
    """

    __slots__ = ("affinity", "kind", "names")

    def __init__(self, *, kind: str, names: tuple[str, ...], affinity: bytes) -> None:
        self.kind = kind
        self.names = names
        self.affinity = affinity


class Reservation:
    """A slot reserved on a backend server.

    Parameters
    ----------
    name
        Root of the version, or name of the service.
    reason, candidates
        Why this server was chosen, and of how many; for the log.
    """

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
    """Chooses servers by version, free slots, prefix affinity and recent failures.

    Parameters
    ----------
    view
        Members of the own failure domain and summaries of the other ones.
    seed
        Seed of the random number generator.
    """

    __slots__ = (
        "_balance",
        "_ejections",
        "_full_counts",
        "_in_flight",
        "_in_flight_elsewhere",
        "_paused_until_s",
        "_peak_in_flight",
        "_random",
        "_round_robin_index",
        "_view",
    )

    def __init__(self, *, view: DomainView, seed: int, balance: Balance = Balance.AFFINITY) -> None:
        self._view = view
        self._balance = balance
        self._round_robin_index = 0
        self._random = random.Random(seed)
        self._in_flight: dict[str, int] = {}
        self._peak_in_flight: dict[str, int] = {}
        self._in_flight_elsewhere: dict[str, int] = {}
        self._paused_until_s: dict[str, float] = {}
        self._full_counts: dict[str, int] = {}
        view.on_load(self._record_load)
        view.report_loads()
        self._ejections: dict[str, _Ejection] = {}

    def choose(
        self, request: RoutingRequest, *, excluded: Iterable[str], now_s: float
    ) -> Reservation | None:
        """Choose a backend server with a free slot and reserve the slot.

        Returns
        -------
        Reservation or None
            None if no candidate has a free slot.
        """
        excluded_servers = set(excluded)
        for name in request.names:
            for members, tier in self._tiers(request.kind, name):
                usable = [
                    member
                    for member in self._without_ejected(members, now_s)
                    if member.server not in excluded_servers
                    and self._free_slots(member) > 0
                    and now_s >= self._paused_until_s.get(member.server, 0.0)
                ]
                if usable:
                    member, reason = self._pick(request, usable)
                    self._reserve(member.server)
                    return Reservation(
                        member=member,
                        name=name,
                        reason=f"{tier}, {reason}",
                        candidates=len(usable),
                    )
        return None

    def record_refusal(self, server: str, code: Code, *, now_s: float) -> None:
        """Record a confirmed refusal and pause requests to the server, whose data here is stale.

        Slots free up quickly, so the first pause for a full server is short and doubles with each
        refusal in a row. After any other refusal the pause is fixed; the next update of the view
        shows whether the server left or runs another version.
        """
        pause_s = STALE_PAUSE_S
        if code is Code.SLOTS_FULL:
            count = self._full_counts.get(server, 0)
            self._full_counts[server] = count + 1
            pause_s = min(FULL_FIRST_PAUSE_S * 2**count, FULL_MAX_PAUSE_S)
        self._paused_until_s[server] = now_s + pause_s

    def release(self, reservation: Reservation) -> None:
        """Release a reserved slot."""
        server = reservation.member.server
        remaining = self._in_flight.get(server, 0) - 1
        if remaining > 0:
            self._in_flight[server] = remaining
        else:
            self._in_flight.pop(server, None)

    def has_candidates(self, request: RoutingRequest) -> bool:
        """Return whether any server can serve a request, whether or not it has a free slot."""
        return any(
            members for name in request.names for members, _ in self._tiers(request.kind, name)
        )

    def record_success(self, server: str) -> None:
        """Record a successful attempt, which offsets one earlier failure."""
        self._full_counts.pop(server, None)
        ejection = self._ejections.get(server)
        if ejection is None:
            return
        ejection.failures -= 1
        if ejection.failures <= 0:
            del self._ejections[server]

    def record_failure(self, server: str, *, now_s: float) -> None:
        """Record a failed attempt; each failure in a row doubles the ejection time."""
        ejection = self._ejections.setdefault(server, _Ejection())
        ejection.failures += 1
        pause_s = min(MIN_EJECTION_S * 2 ** (ejection.failures - 1), MAX_EJECTION_S)
        ejection.until_s = now_s + pause_s

    def _tiers(self, kind: str, name: str) -> list[tuple[Sequence[MemberView], str]]:
        own = self._view.serving(name) if kind == ENGINE_KIND else self._view.service(name)
        remote = [
            candidate
            for line in self._view.remote_lines(kind, name)
            for candidate in line.candidates or ()
        ]
        return [(own, "own domain"), (remote, "other domain")]

    def _pick(self, request: RoutingRequest, usable: list[MemberView]) -> tuple[MemberView, str]:
        if self._balance is Balance.ROUND_ROBIN:
            self._round_robin_index += 1
            return usable[self._round_robin_index % len(usable)], "round robin"
        if self._balance is Balance.LEAST_CONNECTIONS:
            return min(usable, key=self._load_ratio), "least connections"
        if request.affinity:
            preferred = max(usable, key=lambda member: _rendezvous(request.affinity, member.server))
            mean = sum(self._load_ratio(member) for member in usable) / len(usable)
            if self._load_ratio(preferred) <= mean * AFFINITY_LOAD_FACTOR:
                return preferred, "prefix affinity"
        if len(usable) == 1:
            return usable[0], "only candidate"
        first, second = self._random.sample(usable, 2)
        return min(first, second, key=self._load_ratio), "less loaded of two"

    def _load_ratio(self, member: MemberView) -> float:
        return self._busy_slots(member) / max(int(member.slots), 1)

    def _reserve(self, server: str) -> None:
        own = self._in_flight.get(server, 0) + 1
        self._in_flight[server] = own
        self._peak_in_flight[server] = max(self._peak_in_flight.get(server, 0), own)

    def _record_load(self, server: str, in_flight: int) -> None:
        """Split a load report into the requests of this entry and those of other entries.

        The report is delayed. Its share of this entry is therefore estimated as the most requests
        this entry had there since the previous report. If the share of the others is estimated too
        low, the cost is a confirmed refusal; if too high, a slot stays idle.
        """
        own = self._in_flight.get(server, 0)
        self._in_flight_elsewhere[server] = max(
            0, in_flight - max(self._peak_in_flight.get(server, 0), own)
        )
        self._peak_in_flight[server] = own

    def _busy_slots(self, member: MemberView) -> int:
        return self._in_flight_elsewhere.get(member.server, 0) + self._in_flight.get(
            member.server, 0
        )

    def _free_slots(self, member: MemberView) -> int:
        return int(member.slots) - self._busy_slots(member)

    def _without_ejected(self, members: Sequence[MemberView], now_s: float) -> Sequence[MemberView]:
        """Filter out ejected servers, unless that leaves none."""
        usable = [member for member in members if not self._is_ejected(member.server, now_s)]
        return usable or members

    def _is_ejected(self, server: str, now_s: float) -> bool:
        ejection = self._ejections.get(server)
        return ejection is not None and now_s < ejection.until_s


def _rendezvous(affinity: bytes, server: str) -> bytes:
    return bytes(blake3(affinity + server.encode()).digest(length=8))


__all__ = ["ENGINE_KIND", "SERVICE_KIND", "Reservation", "Router", "RoutingRequest"]
