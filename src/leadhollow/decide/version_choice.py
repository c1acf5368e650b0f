"""Chooses the versions of weights that a VM fetches, and the one that its engine runs next.

It covers two versions that are named within seconds of each other while the origin becomes
unavailable. VMs then hold parts of the older one, and nobody can fetch the newer one. If VMs
continued with the newer one alone, all engines would run out of weights that requests may begin on,
until the origin is back and a whole model has been distributed. The VMs can complete the older one
among themselves, and it serves requests until then.
"""

from __future__ import annotations

from collections.abc import Sequence

DESCRIPTION_TIMEOUT_S = 0.8
"""Time after the naming of a version from which it counts as unavailable if its pieces are still
unknown. The origin describes a version in a tenth of that."""

SWITCH_LEAD_S = 2.5
"""Time before the age limit at which engines begin to change to a version. They change in two
groups, which take one second each."""

USUAL_LINK_SHARE = 0.65  # of the link of a VM that pieces get while requests go first

MIN_USEFUL_S = 2.0  # a version that becomes too old sooner is not worth two changes of weights


class VersionProgress:
    """Progress of a VM with one version.

    Parameters
    ----------
    named_s
        When the version was named. None if that is unknown, as for the version that engines
        started with.
    described
        Whether the pieces of the version are known.
    missing
        Number of pieces that the VM does not have yet.
    piece_s
        Time in which the link of this VM carries one piece.
    blocked
        Whether some pieces are held by no peer while the origin does not respond.
    """

    __slots__ = ("blocked", "described", "missing", "named_s", "number", "piece_s")

    def __init__(
        self,
        *,
        number: int,
        named_s: float | None,
        described: bool,
        missing: int,
        piece_s: float = 0.0,
        blocked: bool = False,
    ) -> None:
        self.number = number
        self.named_s = named_s
        self.described = described
        self.missing = missing
        self.piece_s = piece_s
        self.blocked = blocked

    @property
    def complete(self) -> bool:
        """Whether the VM has all pieces."""
        return self.described and not self.missing

    def unavailable(self, now_s: float) -> bool:
        """Tell whether the version cannot be fetched now."""
        if self.described:
            return self.missing > 0 and self.blocked
        return self.named_s is not None and now_s - self.named_s >= DESCRIPTION_TIMEOUT_S


class VersionPlan:
    """Versions to fetch and to install next.

    Parameters
    ----------
    fetch
        Numbers of the versions to fetch. If there are two, the first is unavailable: it waits for
        the origin and leaves the link to the second.
    install
        Number of the version that the engine should run; None to leave it as it is.
    """

    __slots__ = ("fetch", "install")

    def __init__(self, *, fetch: tuple[int, ...], install: int | None) -> None:
        self.fetch = fetch
        self.install = install


def plan_versions(
    versions: Sequence[VersionProgress],
    *,
    held: int | None,
    version_s: float,
    now_s: float,
) -> VersionPlan:
    """Choose the versions to fetch and to install.

    Parameters
    ----------
    versions
        Named or found versions, the newest first; not empty.
    held
        Version that the engine holds completely; None if it holds none.
    version_s
        Time from the naming of a version until no request may begin on an older one.
    """
    newest = versions[0]
    interim = _interim_version(versions, held=held, version_s=version_s, now_s=now_s)
    fetch = [newest.number] if newest.described and newest.missing else []
    newest_unavailable = newest.unavailable(now_s)
    if interim is not None and interim.missing and newest_unavailable:
        fetch.append(interim.number)
    install = newest.number if newest.complete and newest.number != held else None
    if install is None and not newest.complete and interim is not None and interim.complete:
        deadline_s = staleness_deadline_s(versions, held, version_s)
        expected_s = float("inf")
        if not newest_unavailable:
            expected_s = now_s + newest.missing * newest.piece_s + SWITCH_LEAD_S
        if held is None or (now_s >= deadline_s - SWITCH_LEAD_S and expected_s > deadline_s):
            install = interim.number
    return VersionPlan(fetch=tuple(fetch), install=install)


def is_urgent(
    versions: Sequence[VersionProgress],
    *,
    held: int | None,
    version_s: float,
    now_s: float,
) -> bool:
    """Tell whether the newest version would arrive too late at the usual rate.

    Its pieces may then use the part of the link that is otherwise left to requests. Requests are
    delayed a little; without it, no engine could serve them later.
    """
    newest = versions[0]
    if not newest.described or newest.complete or newest.number == held:
        return False
    left_s = staleness_deadline_s(versions, held, version_s) - SWITCH_LEAD_S - now_s
    return newest.missing * newest.piece_s / USUAL_LINK_SHARE > left_s


def staleness_deadline_s(
    versions: Sequence[VersionProgress], held: int | None, version_s: float
) -> float:
    """Return the time from which no request may begin on the version that the engine holds.

    Infinite if no newer version was named, or if its time of naming is unknown.
    """
    if held is None:
        return float("inf")
    named = [found.named_s for found in versions if found.number > held]
    return min((moment + version_s for moment in named if moment is not None), default=float("inf"))


def _interim_version(
    versions: Sequence[VersionProgress], *, held: int | None, version_s: float, now_s: float
) -> VersionProgress | None:
    """Return the newest useful version between the held one and the newest, or None."""
    for found in versions[1:]:
        if held is not None and found.number <= held:
            return None
        too_old_s = staleness_deadline_s(versions, found.number, version_s)
        if found.described and too_old_s - now_s > MIN_USEFUL_S:
            return found
    return None


__all__ = [
    "DESCRIPTION_TIMEOUT_S",
    "SWITCH_LEAD_S",
    "VersionPlan",
    "VersionProgress",
    "is_urgent",
    "plan_versions",
    "staleness_deadline_s",
]
