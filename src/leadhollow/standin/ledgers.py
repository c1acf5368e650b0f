"""Compares the outcomes that callers received with the runs that engines and services recorded."""

from __future__ import annotations

from collections import Counter

import msgspec

from leadhollow.codes import Outcome
from leadhollow.standin.caller import CallRecord
from leadhollow.standin.engine_records import Generation, Load
from leadhollow.standin.plain_service import Execution


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Requests by outcome, and the number of violations of each guarantee.

    Parameters
    ----------
    lost
        Requests that ended without an outcome and were not sent again.
    doubled
        Requests that must not be repeated but ran more than once. Runs of an order are counted by
        its text, which has to be unique, and by request id; the larger number is given.
    wrong_answers
        Responses with the outcome "executed" that are truncated, mixed or of another request.
    mixed_versions
        Loads of weights whose bytes are not those of the version.
    false_not_executed
        Requests with the outcome "not executed" that ran.
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
    """Compare the records of the callers with the ledgers of engines and services.

    Parameters
    ----------
    file_hashes
        Hash of the published model file, by root hash of the version.
    """
    runs = _runs_by_request(generations, executions)
    outcomes = Counter(record.outcome for record in records)
    unrepeatable = [record for record in records if not record.repeatable]
    order_counts = Counter(execution.body for execution in executions if execution.method == "POST")
    doubled_orders = sum(1 for count in order_counts.values() if count > 1)
    doubled_calls = sum(
        1 for record in unrepeatable if record.request_id and runs[record.request_id] > 1
    )
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
