"""Operators and callers of ``leadhollow bench recovery``, who ask without pause."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Sequence
from typing import Any

import aiohttp
import msgspec

from leadhollow.bench.edit_history import EditSeen, ReadSeen
from leadhollow.bench.recovery_cluster import DOMAINS, Cluster
from leadhollow.bench.recovery_report import Observed
from leadhollow.bench.stage import SERVICE, api_key
from leadhollow.codes import Code
from leadhollow.operator_client import OperatorClient
from leadhollow.state.commands import RowEdit

ROWS = ("row-0", "row-1", "row-2")
CALLER = "callers"
WRITERS_PER_ROW = 2
PROBE_PAUSE_S = 0.05


class RecoveryTraffic:
    """Edits, reads and requests.

    Parameters
    ----------
    operators
        Clients that edit and read; filled once the cluster has started.
    generator
        Of every random choice.
    """

    __slots__ = ("_cluster", "_generator", "_operators", "_serial")

    def __init__(
        self, *, cluster: Cluster, operators: Sequence[OperatorClient], generator: random.Random
    ) -> None:
        self._cluster = cluster
        self._operators = operators
        self._generator = generator
        self._serial = 0

    def load(self, seen: Observed, stop: asyncio.Event) -> list[Coroutine[Any, Any, None]]:
        """Give everything that runs beside a fault until it is stopped."""
        writers = [
            self._write(row, number, seen, stop)
            for row in ROWS
            for number in range(WRITERS_PER_ROW)
        ]
        readers = [self._read(row, seen, stop) for row in ROWS]
        return [*writers, *readers, self._probe(seen, stop)]

    async def _write(self, row: str, number: int, seen: Observed, stop: asyncio.Event) -> None:
        """Edit one row again and again; an unknown answer is asked for until it is known."""
        operator = self._operators[number % len(self._operators)]
        loop = asyncio.get_running_loop()
        while not stop.is_set():
            found = await operator.row(row)
            if found.is_err():
                await asyncio.sleep(0.02)
                continue
            self._serial += 1
            operation_id = f"{row}-{number}-{self._serial}"
            changed = msgspec.structs.replace(found.unwrap().row, weight=1.0 + self._serial)
            revision = found.unwrap().revision
            edit = RowEdit(group=row, expected_revision=revision, row=changed)
            sent_s = loop.time()
            reply = await self._edit_until_known(operator, edit, operation_id)
            if reply is not None:
                seen.edits.append(
                    EditSeen(
                        row=row,
                        operation_id=operation_id,
                        expected_revision=revision,
                        revision=reply,
                        sent_s=sent_s,
                        answered_s=loop.time(),
                    )
                )
            await asyncio.sleep(0.01)

    async def _edit_until_known(
        self, operator: OperatorClient, edit: RowEdit, operation_id: str
    ) -> int | None:
        while True:
            edited = await operator.edit([edit], operator="bench", operation_id=operation_id)
            if edited.is_ok():
                return edited.unwrap().revision
            if edited.unwrap_err().code is Code.REVISION_CONFLICT:
                return None
            await asyncio.sleep(0.02)

    async def _read(self, row: str, seen: Observed, stop: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        while not stop.is_set():
            operator = self._generator.choice(self._operators)
            sent_s = loop.time()
            found = await operator.row(row)
            if found.is_ok() and not operator.last_answer_stale:
                seen.reads.append(
                    ReadSeen(
                        row=row,
                        revision=found.unwrap().revision,
                        sent_s=sent_s,
                        answered_s=loop.time(),
                    )
                )
            await asyncio.sleep(0.03)

    async def _probe(self, seen: Observed, stop: asyncio.Event) -> None:
        """Send callers' requests; what a dead entry swallows goes to another, as by a balancer."""
        while not stop.is_set():
            seen.requests += 1
            domains = self._generator.sample(DOMAINS, len(DOMAINS))
            for domain in domains:
                if await self._request(domain):
                    break
            else:
                seen.requests_failed += 1
            await asyncio.sleep(PROBE_PAUSE_S)

    async def _request(self, domain: str) -> bool:
        headers = {"Authorization": f"Bearer {api_key(CALLER)}", "Leadhollow-Deadline-Ms": "1500"}
        url = f"{self._cluster.entry_url(domain)}/services/{SERVICE}/ping"
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with self._cluster.session.get(url, headers=headers, timeout=timeout) as response:
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


__all__ = ["CALLER", "ROWS", "RecoveryTraffic"]
