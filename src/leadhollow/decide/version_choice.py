"""Which versions of weights a VM fetches, and which one its engine is to run next.

It answers two versions that are named within seconds of each other while the origin goes away: the
older one lies half on the VMs, the newer one cannot be had. With the newer one alone all engines
run out of weights that requests may begin on, until the origin is back and a whole model has
travelled; the older one, finished among the VMs, carries the requests until then.
"""

from __future__ import annotations

from collections.abc import Sequence

UNDESCRIBED_S = 0.8
"""A version whose pieces nobody knows so long after its naming cannot be had now: the origin
describes it in a tenth of that."""

SWITCH_LEAD_S = 2.5
"""Time before the bound at which engines begin to change to a version: enough for two parts of one
second each."""

USUAL_PACE = 0.65  # of its link at which a VM gets pieces while requests go first

USEFUL_S = 2.0  # a version that will be too old itself by then is not worth two changes


class VersionProgress:
    """How far a VM is with one version.

    Parameters
    ----------
    named_s
        When it was named; None where nobody said, as of the one that engines came with.
    described
        Whether its pieces are known.
    missing
        Pieces that are not here yet.
    piece_s
        Time in which this VM's link carries one piece.
    blocked
        Whether nobody holds some of its pieces and the origin does not answer.
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
        """Whether all of it is here."""
        return self.described and not self.missing

    def out_of_reach(self, now_s: float) -> bool:
        """Tell whether it cannot be had now."""
        if self.described:
            return self.missing > 0 and self.blocked
        return self.named_s is not None and now_s - self.named_s >= UNDESCRIBED_S


class VersionPlan:
    """What to do next.

    Parameters
    ----------
    fetch
        Numbers of the versions to fetch. Where there are two, the first is out of reach: it only
        waits for the origin, and leaves the link to the second.
    install
        Number of the version that the engine is to run; None leaves it as it is.
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
    """Choose what to fetch and what to install.

    Parameters
    ----------
    versions
        Named or found ones, the newest first; not empty.
    held
        Version that the engine holds as a whole; None where it holds none.
    version_s
        Time from the naming of a version until no request may begin on an older one.
    """
    newest = versions[0]
    bridge = _bridge(versions, held=held, version_s=version_s, now_s=now_s)
    fetch = [newest.number] if newest.described and newest.missing else []
    unreachable = newest.out_of_reach(now_s)
    if bridge is not None and bridge.missing and unreachable:
        fetch.append(bridge.number)
    install = newest.number if newest.complete and newest.number != held else None
    if install is None and not newest.complete and bridge is not None and bridge.complete:
        by_s = staleness_deadline_s(versions, held, version_s)
        comes_s = float("inf")
        if not unreachable:
            comes_s = now_s + newest.missing * newest.piece_s + SWITCH_LEAD_S
        if held is None or (now_s >= by_s - SWITCH_LEAD_S and comes_s > by_s):
            install = bridge.number
    return VersionPlan(fetch=tuple(fetch), install=install)


def is_urgent(
    versions: Sequence[VersionProgress],
    *,
    held: int | None,
    version_s: float,
    now_s: float,
) -> bool:
    """Tell whether the newest version would come too late at the usual pace.

    Its pieces then may take what they otherwise leave to requests: these wait a little, where later
    nobody could serve them at all.
    """
    newest = versions[0]
    if not newest.described or newest.complete or newest.number == held:
        return False
    left_s = staleness_deadline_s(versions, held, version_s) - SWITCH_LEAD_S - now_s
    return newest.missing * newest.piece_s / USUAL_PACE > left_s


def staleness_deadline_s(
    versions: Sequence[VersionProgress], held: int | None, version_s: float
) -> float:
    """Give the time from which no request may begin on the version that the engine holds.

    Infinite while no newer one was named, or where nobody said when.
    """
    if held is None:
        return float("inf")
    named = [found.named_s for found in versions if found.number > held]
    return min((moment + version_s for moment in named if moment is not None), default=float("inf"))


def _bridge(
    versions: Sequence[VersionProgress], *, held: int | None, version_s: float, now_s: float
) -> VersionProgress | None:
    """Give the newest version between the held one and the newest that is worth running."""
    for found in versions[1:]:
        if held is not None and found.number <= held:
            return None
        too_old_s = staleness_deadline_s(versions, found.number, version_s)
        if found.described and too_old_s - now_s > USEFUL_S:
            return found
    return None


__all__ = [
    "SWITCH_LEAD_S",
    "UNDESCRIBED_S",
    "VersionPlan",
    "VersionProgress",
    "staleness_deadline_s",
    "is_urgent",
    "plan_versions",
]
