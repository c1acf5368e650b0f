"""What ``leadhollow bench recovery`` saw, and what it prints."""

from __future__ import annotations

import msgspec

from leadhollow.bench.edit_history import EditSeen, HistoryLine, Judgement, ReadSeen, judge


class CaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """One fault, over all seeds that chose it.

    Parameters
    ----------
    unavailable_s
        Longest time in which no edit was accepted.
    requests_failed
        Callers' requests that no entry answered well, of ``requests``.
    """

    name: str
    runs: int
    edits_accepted: int
    edits_lost: int
    edits_reverted: int
    edits_doubled: int
    unavailable_s: float
    requests: int
    requests_failed: int


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """Time until an accepted edit was in force in every failure domain."""

    samples: int
    median: float
    maximum: float


class RecoveryReport(msgspec.Struct, frozen=True, kw_only=True):
    """Everything ``leadhollow bench recovery`` prints."""

    seeds: int
    cases: tuple[CaseReport, ...]
    over_all_cases: Judgement
    config_in_force_s: InForce
    history_equal_on_all_replicas: bool
    elapsed_s: float


class Observed:
    """What operators and callers saw during one case."""

    def __init__(self) -> None:
        self.edits: list[EditSeen] = []
        self.reads: list[ReadSeen] = []
        self.requests = 0
        self.requests_failed = 0


def case_report(
    name: str,
    runs: list[Observed],
    history: list[HistoryLine],
    gap_s: float,
) -> CaseReport:
    """Judge all runs of one fault."""
    edits = [edit for seen in runs for edit in seen.edits]
    reads = [each for seen in runs for each in seen.reads]
    found = judge(edits, reads, history)
    return CaseReport(
        name=name,
        runs=len(runs),
        edits_accepted=len(edits),
        edits_lost=found.lost,
        edits_reverted=found.reverted,
        edits_doubled=found.doubled,
        unavailable_s=round(gap_s, 3),
        requests=sum(seen.requests for seen in runs),
        requests_failed=sum(seen.requests_failed for seen in runs),
    )


__all__ = ["CaseReport", "InForce", "Observed", "RecoveryReport", "case_report"]
