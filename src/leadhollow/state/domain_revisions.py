"""Revisions that failure domains have applied, as their domain replicas report them."""

from __future__ import annotations

import asyncio

from leadhollow.wire.generated.ttypes import DomainApplied

REPORT_VALID_S = 5.0


class DomainReport:
    """Last report of a failure domain and its arrival time by the loop's clock."""

    __slots__ = ("received_s", "report")

    def __init__(self, *, report: DomainApplied, received_s: float) -> None:
        self.report = report
        self.received_s = received_s

    @property
    def revision(self) -> int:
        """Revision that every daemon of the domain has applied at least."""
        return int(self.report.revision or 0)


class DomainRevisions:
    """Last report of each failure domain."""

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, DomainReport] = {}

    def record(self, report: DomainApplied) -> None:
        """Store a report."""
        self._reports[report.failure_domain] = DomainReport(
            report=report, received_s=asyncio.get_running_loop().time()
        )

    def domains(self) -> dict[str, DomainReport]:
        """Return the last report of each failure domain that has reported."""
        return dict(self._reports)

    def is_connected(self, report: DomainReport) -> bool:
        """Return whether a report is recent enough to count its domain as connected."""
        return asyncio.get_running_loop().time() - report.received_s < REPORT_VALID_S

    def in_force(self, revision: int, domains: set[str]) -> tuple[set[str], set[str]]:
        """Split failure domains by whether all their daemons have applied a revision.

        Returns
        -------
        tuple of set
            Domains that have applied it; domains that have not, or whose report is outdated.
        """
        applied = set()
        for domain in domains:
            report = self._reports.get(domain)
            if report is not None and self.is_connected(report) and report.revision >= revision:
                applied.add(domain)
        return applied, domains - applied


__all__ = ["DomainReport", "DomainRevisions"]
