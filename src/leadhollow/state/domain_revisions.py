"""Which failure domains run which revision, as their own replicas report it."""

from __future__ import annotations

import asyncio

from leadhollow.wire.generated.ttypes import DomainApplied

REPORT_VALID_S = 5.0


class DomainReport:
    """Last report of one failure domain."""

    __slots__ = ("received_s", "report")

    def __init__(self, *, report: DomainApplied, received_s: float) -> None:
        self.report = report
        self.received_s = received_s

    @property
    def revision(self) -> int:
        """Revision that every daemon of the domain runs at least."""
        return int(self.report.revision or 0)


class DomainRevisions:
    """Applied revisions by failure domain and reporting replica."""

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, DomainReport] = {}

    def note(self, report: DomainApplied) -> None:
        """Take a report."""
        self._reports[report.failure_domain] = DomainReport(
            report=report, received_s=asyncio.get_running_loop().time()
        )

    def domains(self) -> dict[str, DomainReport]:
        """Give the last report of each failure domain that ever reported."""
        return dict(self._reports)

    def reachable(self, reach: DomainReport) -> bool:
        """Tell whether a report is recent enough to count its domain as connected."""
        return asyncio.get_running_loop().time() - reach.received_s < REPORT_VALID_S

    def in_force(self, revision: int, domains: set[str]) -> tuple[set[str], set[str]]:
        """Split failure domains by whether all their daemons run a revision.

        Returns
        -------
        tuple of set
            Domains that run it, and those that do not or are cut off.
        """
        done = set()
        for domain in domains:
            reach = self._reports.get(domain)
            if reach is not None and self.reachable(reach) and reach.revision >= revision:
                done.add(domain)
        return done, domains - done


__all__ = ["DomainReach", "DomainRevisions"]
