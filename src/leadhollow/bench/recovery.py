"""State that never reverts: real replicas under kills, cuts, freezes and lost disks."""

from __future__ import annotations

import asyncio
import random
import statistics
import tempfile
import time
from collections.abc import Callable, Coroutine
from itertools import pairwise
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from leadhollow.bench.edit_history import HistoryLine, judge
from leadhollow.bench.recovery_cluster import DOMAINS, Cluster
from leadhollow.bench.recovery_faults import RecoveryFaults
from leadhollow.bench.recovery_report import InForce, Observed, RecoveryReport, case_report
from leadhollow.bench.recovery_traffic import CALLER, ROWS, RecoveryTraffic
from leadhollow.bench.stage import stage_row
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.operator_client import OperatorClient
from leadhollow.state.commands import RowEdit
from leadhollow.state.records import Row

CASE_S = 1.9
READY_TIMEOUT_S = 20.0
IN_FORCE_SAMPLES = 10
DEFAULT_SEEDS = 20


class RecoveryBench:
    """Edits, reads and requests without pause while faults come and go."""

    __slots__ = ("_cluster", "_faults", "_generator", "_operators", "_traffic")

    def __init__(self, *, folder: Path) -> None:
        self._cluster = Cluster(folder=folder)
        self._generator = random.Random(0)
        self._operators: list[OperatorClient] = []
        self._faults = RecoveryFaults(
            cluster=self._cluster, operators=self._operators, generator=self._generator
        )
        self._traffic = RecoveryTraffic(
            cluster=self._cluster, operators=self._operators, generator=self._generator
        )

    async def run(self, seeds: int) -> Result[RecoveryReport, Failure]:
        """Run one case for each seed."""
        started_s = time.monotonic()
        cases = self._faults.cases()
        observed: dict[str, list[Observed]] = {}
        gaps: dict[str, float] = {}
        try:
            await self._cluster.start()
            ready = await self._prepare()
            if ready.is_err():
                return Err(ready.unwrap_err())
            in_force = await self._in_force()
            for seed in range(seeds):
                self._generator.seed(seed)
                name = list(cases)[seed % len(cases)]
                seen, gap_s = await self._run_case(cases[name])
                observed.setdefault(name, []).append(seen)
                gaps[name] = max(gaps.get(name, 0.0), gap_s)
                healed = await self._wait_ready()
                if healed.is_err():
                    return Err(Failure(code=Code.CHECK_FAILED, detail=f"no recovery: {name}"))
            histories = [await self._history(domain) for domain in DOMAINS]
        finally:
            for operator in self._operators:
                await operator.close()
            await self._cluster.stop()
        everything = [seen for runs in observed.values() for seen in runs]
        total = judge(
            [edit for seen in everything for edit in seen.edits],
            [read for seen in everything for read in seen.reads],
            histories[0],
        )
        reports = [
            case_report(name, runs, histories[0], gaps[name]) for name, runs in observed.items()
        ]
        equal = all(history == histories[0] for history in histories)
        return Ok(
            RecoveryReport(
                seeds=seeds,
                cases=tuple(reports),
                over_all_cases=total,
                config_in_force_s=in_force,
                history_equal_on_all_replicas=equal,
                elapsed_s=round(time.monotonic() - started_s, 2),
            )
        )

    async def _run_case(
        self, fault: Callable[[], Coroutine[Any, Any, None]]
    ) -> tuple[Observed, float]:
        seen = Observed()
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        began_s = loop.time()
        load = [loop.create_task(work) for work in self._traffic.load(seen, stop)]
        disturbing = loop.create_task(fault())
        await asyncio.sleep(CASE_S)
        await disturbing
        stop.set()
        await asyncio.gather(*load)
        accepted = sorted([began_s, *(edit.answered_s for edit in seen.edits)])
        pairs = pairwise(accepted)
        return seen, max((later - earlier for earlier, later in pairs), default=CASE_S)

    # Preparation and state.

    async def _prepare(self) -> Result[None, Failure]:
        self._operators += [self._cluster.operator(), self._cluster.operator(*reversed(DOMAINS))]
        ready = await self._wait_ready()
        if ready.is_err():
            return ready
        rows = [Row(group=row, weight=1.0) for row in ROWS]
        rows.append(stage_row_of_callers())
        edits = [RowEdit(group=row.group, expected_revision=0, row=row) for row in rows]
        edited = await self._operators[0].edit(edits, operator="bench", wait_ms=5_000)
        return Err(edited.unwrap_err()) if edited.is_err() else Ok(None)

    async def _wait_ready(self) -> Result[None, Failure]:
        """Wait until every replica follows one leader and every domain is connected."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        clients = [self._cluster.operator(domain) for domain in DOMAINS]
        try:
            while time.monotonic() < deadline_s:
                asked = await asyncio.gather(*(client.status() for client in clients))
                statuses = [each.unwrap() for each in asked if each.is_ok()]
                leaders = {status.leader for status in statuses}
                if len(statuses) == len(DOMAINS) and len(leaders) == 1 and "" not in leaders:
                    return Ok(None)
                await asyncio.sleep(0.05)
        finally:
            for client in clients:
                await client.close()
        return Err(Failure(code=Code.CHECK_FAILED, detail="the replicas did not come together"))

    async def _in_force(self) -> InForce:
        taken_s = []
        loop = asyncio.get_running_loop()
        for number in range(IN_FORCE_SAMPLES):
            found = await self._operators[0].row(ROWS[0])
            if found.is_err():
                continue
            row = msgspec.structs.replace(found.unwrap().row, weight=100.0 + number)
            edit = RowEdit(group=ROWS[0], expected_revision=found.unwrap().revision, row=row)
            sent_s = loop.time()
            edited = await self._operators[0].edit([edit], operator="bench", wait_ms=5_000)
            if edited.is_ok() and not edited.unwrap().not_in_force:
                taken_s.append(loop.time() - sent_s)
        return InForce(
            samples=len(taken_s),
            median=round(statistics.median(taken_s or [5.0]), 4),
            maximum=round(max(taken_s or [5.0]), 4),
        )

    async def _history(self, domain: str) -> list[HistoryLine]:
        operator = self._cluster.operator(domain)
        try:
            found = await operator.history("")
        finally:
            await operator.close()
        if found.is_err():
            return []
        return [
            HistoryLine(row=entry.group, operation_id=entry.operation_id, revision=entry.revision)
            for entry in found.unwrap()
        ]


def stage_row_of_callers() -> Row:
    """Give the row of the callers whose requests run beside the faults."""
    return msgspec.structs.replace(stage_row(CALLER), models={})


async def run_recovery(seeds: int) -> Result[RecoveryReport, Failure]:
    """Run the bench in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="leadhollow-bench-") as name:
        return await RecoveryBench(folder=Path(name)).run(seeds)


__all__ = ["RecoveryReport", "run_recovery"]
