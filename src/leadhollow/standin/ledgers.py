"""Compares what callers were told with what engines and services recorded."""

from __future__ import annotations

from collections import Counter

import msgspec

from leadhollow.codes import Outcome
from leadhollow.standin.caller import CallRecord
from leadhollow.standin.engine_records import Generation, Load
from leadhollow.standin.plain_service import Execution


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Broken promises, counted.

    Parameters
    ----------
    lost
        Calls that ended without any word.
    doubled
        Calls that may not be repeated and ran more than once; each order's text is its own.
    wrong_answers
        Answers told as executed that are cut short, mixed or somebody else's.
    mixed_versions
        Loads whose bytes are not those of the version.
    false_not_executed
        Calls told as not executed that ran.
    """

    requests: int
    executed: int
    not_executed: int
    unknown: int
    lost: int
    doubled: int
    wrong_answers: int
    mixed_versions: int
    false_not_executed: int


def compare_ledgers(
    *,
    records: list[CallRecord],
    generations: list[Generation],
    executions: list[Execution],
    loads: list[Load],
    file_hashes: dict[str, str],
) -> Verdict:
    """Judge a run.

    Parameters
    ----------
    file_hashes
        Hash of the published bytes of each root.
    """
    runs = _runs_by_request(generations, executions)
    outcomes = Counter(record.outcome for record in records)
    single = [record for record in records if not record.repeatable]
    orders = Counter(execution.body for execution in executions if execution.method == "POST")
    doubled_orders = sum(1 for count in orders.values() if count > 1)
    doubled_calls = sum(1 for record in single if record.request_id and runs[record.request_id] > 1)
    return Verdict(
        requests=len(records),
        executed=outcomes[Outcome.EXECUTED],
        not_executed=outcomes[Outcome.NOT_EXECUTED],
        unknown=outcomes[Outcome.UNKNOWN],
        lost=sum(1 for record in records if not record.outcome and not record.superseded),
        doubled=max(doubled_orders, doubled_calls),
        wrong_answers=sum(1 for record in records if record.correct is False),
        mixed_versions=sum(1 for load in loads if file_hashes.get(load.root) != load.file_hash),
        false_not_executed=sum(
            1
            for record in records
            if record.outcome == Outcome.NOT_EXECUTED and runs[record.request_id]
        ),
    )


def _runs_by_request(generations: list[Generation], executions: list[Execution]) -> Counter[str]:
    runs = Counter(generation.request_id for generation in generations)
    runs.update(execution.request_id for execution in executions)
    return runs


__all__ = ["Verdict", "compare_ledgers"]
