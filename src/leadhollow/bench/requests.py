"""A true answer to every caller, with every fault, and what the system adds to a direct call."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from leadhollow.bench.open_loop import Latencies, run_open_loop
from leadhollow.bench.stage import MODEL, SERVICE, Stage, StagePlan, stage_row
from leadhollow.codes import Outcome
from leadhollow.failure import Failure
from leadhollow.standin.caller import Caller, CallRecord
from leadhollow.standin.engine_records import EngineFaults
from leadhollow.standin.ledgers import compare_ledgers
from leadhollow.standin.plain_service import ServiceFaults

ENTRIES = {"ifrane": 2, "azrou": 1, "midelt": 1}
ENGINES = {"ifrane": 2, "azrou": 2, "midelt": 2}
GROUPS = {"ploughs": 3.0, "gendarmerie": 2.0, "clerks": 1.0}
SEED = 17
OVERHEAD_RATE = 200.0
OVERHEAD_S = 4.0
STREAMS = 40
STREAM_TOKENS = 300
PACED_TOKENS = 60
PACED_FACTOR = 40.0  # a token each 40 ms, as engines give them
FAULT_RATE = 60.0
FAULT_S = 3.0
FAULT_AFTER_S = 0.6
RESENDS = 6
RESEND_PAUSE_S = 0.3
TOKENS = 20
OVERHEAD_TOKENS = 8


class Overhead(msgspec.Struct, frozen=True, kw_only=True):
    """What the system adds to a direct call at the same rate in the same run."""

    rate_per_s: float
    direct_ms: dict[str, float]
    through_ms: dict[str, float]
    overhead_ms: dict[str, float]
    requests_per_cpu_s: float
    entry_us_per_request: float
    backend_us_per_request: float


class _Spent:
    __slots__ = ("backend_s", "entry_s")

    def __init__(self, *, entry_s: float, backend_s: float) -> None:
        self.entry_s = entry_s
        self.backend_s = backend_s

    def minus(self, before: _Spent) -> _Spent:
        """Give what was spent since an earlier reading."""
        return _Spent(
            entry_s=self.entry_s - before.entry_s, backend_s=self.backend_s - before.backend_s
        )


class StreamCost(msgspec.Struct, frozen=True, kw_only=True):
    """What streams cost the processes that carry them, undisturbed.

    Parameters
    ----------
    entry_us_per_token, backend_us_per_token
        Processor time; the cost of the requests themselves, measured before, is taken off.
    entry_bytes_per_stream
        Resident memory that the entry gained, over the streams that ran at once.
    """

    streams: int
    tokens: int
    tokens_per_s: float
    entry_us_per_token: float
    backend_us_per_token: float
    entry_us_per_request: float
    backend_us_per_request: float
    entry_bytes_per_stream: int


class FaultRun(msgspec.Struct, frozen=True, kw_only=True):
    """One fault under load."""

    fault: str
    sent: int
    executed: int
    not_executed: int
    unknown: int
    p95_ms: float


class RequestsReport(msgspec.Struct, frozen=True, kw_only=True):
    """Everything ``leadhollow bench requests`` prints."""

    sent: int
    answered: int
    lost: int
    doubled: int
    wrong_owner: int
    truncated: int
    false_not_executed: int
    unknown: int
    unknown_repeatable: int
    mixed_versions: int
    overhead: Overhead
    coalesced_streams: StreamCost
    paced_streams: StreamCost
    faults: tuple[FaultRun, ...]
    elapsed_s: float


class RequestsBench:
    """One stage, first undisturbed, then under one fault after the other."""

    __slots__ = ("_callers", "_generator", "_serial", "_stage")

    def __init__(self, *, folder: Path) -> None:
        self._stage = Stage(
            plan=StagePlan(entries=ENTRIES, engines=ENGINES, batch=24, step_ms=1.0), folder=folder
        )
        self._generator = random.Random(SEED)
        self._callers: dict[str, Caller] = {}
        self._serial = 0

    async def run(self) -> Result[RequestsReport, Failure]:
        """Run the bench."""
        started_s = time.monotonic()
        try:
            rows = [stage_row(group, weight=weight) for group, weight in GROUPS.items()]
            started = await self._stage.start(rows)
            if started.is_err():
                return Err(started.unwrap_err())
            self._callers = {group: self._stage.caller(group) for group in GROUPS}
            overhead = await self._measure_overhead()
            coalesced = await self._measure_streams(overhead, STREAM_TOKENS)
            await self._slow_local_engines(PACED_FACTOR)
            paced = await self._measure_streams(overhead, PACED_TOKENS)
            await self._slow_local_engines(1.0)
            faults = []
            for name, fault in self._faults().items():
                faults.append(await self._under_fault(name, fault))
            return Ok(await self._judge(overhead, (coalesced, paced), faults, started_s))
        finally:
            await self._stage.stop()

    # Overhead.

    async def _measure_overhead(self) -> Overhead:
        stage = self._stage
        entry = stage.entries()[0]
        local = [name for name in stage.engine_urls if name.startswith("ifrane")]
        urls = [stage.engine_urls[name] for name in local]
        direct = await self._latencies(lambda number: urls[number % len(urls)])
        before = self._cpu(entry, local)
        through = await self._latencies(lambda number: stage.entry_url(entry))
        spent = self._cpu(entry, local).minus(before)
        points = {"p50": 50.0, "p95": 95.0, "p99": 99.0}
        direct_ms = {name: direct.percentile_ms(point) for name, point in points.items()}
        through_ms = {name: through.percentile_ms(point) for name, point in points.items()}
        return Overhead(
            rate_per_s=OVERHEAD_RATE,
            direct_ms=direct_ms,
            through_ms=through_ms,
            overhead_ms={name: round(through_ms[name] - direct_ms[name], 3) for name in points},
            requests_per_cpu_s=round(
                through.count / max(spent.entry_s + spent.backend_s, 0.001), 1
            ),
            entry_us_per_request=round(spent.entry_s / through.count * 1e6, 1),
            backend_us_per_request=round(spent.backend_s / through.count * 1e6, 1),
        )

    def _cpu(self, entry: str, backends: list[str]) -> _Spent:
        daemons = self._stage.daemons
        return _Spent(
            entry_s=daemons[entry].cpu_s(),
            backend_s=sum(daemons[name].cpu_s() for name in backends),
        )

    async def _slow_local_engines(self, factor: float) -> None:
        for name in self._stage.engine_urls:
            if name.startswith("ifrane"):
                await self._stage.set_engine_faults(name, EngineFaults(slow_factor=factor))

    async def _measure_streams(self, overhead: Overhead, stream_tokens: int) -> StreamCost:
        """Run many long streams at once through one entry.

        At the engines' full speed several tokens share a frame; slowed down, each has its own.
        """
        stage = self._stage
        entry = stage.entries()[0]
        local = [name for name in stage.engine_urls if name.startswith("ifrane")]
        caller = stage.caller("ploughs")
        url = stage.entry_url(entry)
        resident = stage.daemons[entry].resident_bytes()
        before = self._cpu(entry, local)
        started_s = time.monotonic()
        calls = [
            asyncio.ensure_future(caller.chat(url, model=MODEL, tokens=stream_tokens))
            for _ in range(STREAMS)
        ]
        await asyncio.sleep(STREAM_TOKENS / 1000 / 2)
        gained = stage.daemons[entry].resident_bytes() - resident
        await asyncio.gather(*calls)
        elapsed_s = time.monotonic() - started_s
        spent = self._cpu(entry, local).minus(before)
        tokens = STREAMS * stream_tokens
        entry_us = spent.entry_s * 1e6 - STREAMS * overhead.entry_us_per_request
        backend_us = spent.backend_s * 1e6 - STREAMS * overhead.backend_us_per_request
        return StreamCost(
            streams=STREAMS,
            tokens=tokens,
            tokens_per_s=round(tokens / elapsed_s, 1),
            entry_us_per_token=round(max(0.0, entry_us) / tokens, 2),
            backend_us_per_token=round(max(0.0, backend_us) / tokens, 2),
            entry_us_per_request=overhead.entry_us_per_request,
            backend_us_per_request=overhead.backend_us_per_request,
            entry_bytes_per_stream=max(0, gained) // STREAMS,
        )

    async def _latencies(self, url_of: Callable[[int], str]) -> Latencies:
        latencies = Latencies()
        caller = self._stage.caller("ploughs")
        loop = asyncio.get_running_loop()

        async def send(number: int, intended_s: float) -> None:
            await caller.chat(url_of(number), model=MODEL, tokens=OVERHEAD_TOKENS, stream=False)
            latencies.add(loop.time() - intended_s)

        await run_open_loop(rate_per_s=OVERHEAD_RATE, duration_s=OVERHEAD_S, seed=SEED, send=send)
        return latencies

    # Faults.

    def _faults(self) -> dict[str, Callable[[], Awaitable[None]]]:
        return {
            "none": self._no_fault,
            "engine dies in mid-stream": self._engine_dies,
            "link cut after dispatch": self._backend_killed,
            "service cuts its link after the run": self._service_cuts,
            "brownout": self._brownout,
            "drain": self._drain,
            "entry killed": self._entry_killed,
            "failure domain cut off": self._domain_frozen,
        }

    async def _under_fault(self, name: str, fault: Callable[[], Awaitable[None]]) -> FaultRun:
        latencies = Latencies()
        first = {group: len(caller.records) for group, caller in self._callers.items()}
        loop = asyncio.get_running_loop()

        async def send(number: int, intended_s: float) -> None:
            await self._call(number)
            latencies.add(loop.time() - intended_s)

        disturbing = asyncio.ensure_future(fault())
        await run_open_loop(
            rate_per_s=FAULT_RATE, duration_s=FAULT_S, seed=SEED + len(name), send=send
        )
        await disturbing
        records = [
            record
            for group, caller in self._callers.items()
            for record in caller.records[first[group] :]
            if not record.superseded
        ]
        return FaultRun(
            fault=name,
            sent=len(records),
            executed=sum(record.outcome == Outcome.EXECUTED for record in records),
            not_executed=sum(record.outcome == Outcome.NOT_EXECUTED for record in records),
            unknown=sum(record.outcome == Outcome.UNKNOWN for record in records),
            p95_ms=latencies.percentile_ms(95.0),
        )

    async def _call(self, number: int) -> None:
        """Send a stream, a whole answer or an order; send again where no word came back."""
        caller = self._callers[self._generator.choice(list(GROUPS))]
        kind = number % 4
        key = f"order-{self._serial}"
        self._serial += 1
        for _ in range(RESENDS):
            url = self._stage.entry_url(self._generator.choice(self._stage.entries()))
            if kind == 0:
                record = await caller.order(url, service=SERVICE, text=key, key=key)
            else:
                record = await caller.chat(url, model=MODEL, tokens=TOKENS, stream=kind != 1)
            if record.outcome:
                return
            record.superseded = True
            await asyncio.sleep(RESEND_PAUSE_S)
        record.superseded = False

    async def _no_fault(self) -> None:
        await asyncio.sleep(0)

    async def _engine_dies(self) -> None:
        await asyncio.sleep(FAULT_AFTER_S)
        await self._stage.set_engine_faults("azrou-engine-1", EngineFaults(dead=True))

    async def _backend_killed(self) -> None:
        await asyncio.sleep(FAULT_AFTER_S)
        await self._stage.daemons["midelt-engine-1"].kill()

    async def _service_cuts(self) -> None:
        await asyncio.sleep(FAULT_AFTER_S)
        await self._stage.set_service_faults(ServiceFaults(cut_after_run=5))

    async def _brownout(self) -> None:
        await self._stage.set_engine_faults("ifrane-engine-1", EngineFaults(slow_factor=10.0))
        await asyncio.sleep(FAULT_S)
        await self._stage.set_engine_faults("ifrane-engine-1", EngineFaults())

    async def _drain(self) -> None:
        await asyncio.sleep(FAULT_AFTER_S)
        await self._stage.operator.drain("ifrane-engine-2", draining=True, operator="bench")
        await asyncio.sleep(FAULT_S)
        await self._stage.operator.drain("ifrane-engine-2", draining=False, operator="bench")

    async def _entry_killed(self) -> None:
        await asyncio.sleep(FAULT_AFTER_S)
        daemon = self._stage.daemons["ifrane-entry-2"]
        await daemon.kill()
        await asyncio.sleep(1.0)
        await daemon.start()

    async def _domain_frozen(self) -> None:
        """Freeze the processes of one failure domain, as a cut would look from the others."""
        await asyncio.sleep(FAULT_AFTER_S)
        frozen = [
            daemon
            for name, daemon in self._stage.daemons.items()
            if name.startswith("azrou") and name != "azrou-engine-1"
        ]
        for daemon in frozen:
            daemon.freeze()
        await asyncio.sleep(2.0)
        for daemon in frozen:
            daemon.thaw()

    async def _judge(
        self,
        overhead: Overhead,
        stream_costs: tuple[StreamCost, StreamCost],
        faults: list[FaultRun],
        started_s: float,
    ) -> RequestsReport:
        records = [record for caller in self._callers.values() for record in caller.records]
        ledgers = [await self._stage.ledger(name) for name in self._stage.engine_urls]
        verdict = compare_ledgers(
            records=records,
            generations=[run for ledger in ledgers for run in ledger.generations],
            executions=await self._stage.executions(),
            loads=[load for ledger in ledgers for load in ledger.loads],
            file_hashes=self._stage.file_hashes,
        )
        final = [record for record in records if not record.superseded]
        truncated = [record for record in final if _truncated(record)]
        return RequestsReport(
            sent=len(final),
            answered=sum(1 for record in final if record.outcome),
            lost=verdict.lost,
            doubled=verdict.doubled,
            wrong_owner=verdict.wrong_answers - len(truncated),
            truncated=len(truncated),
            false_not_executed=verdict.false_not_executed,
            unknown=sum(record.outcome == Outcome.UNKNOWN for record in final),
            unknown_repeatable=sum(
                record.outcome == Outcome.UNKNOWN and record.repeatable for record in final
            ),
            mixed_versions=verdict.mixed_versions,
            overhead=overhead,
            coalesced_streams=stream_costs[0],
            paced_streams=stream_costs[1],
            faults=tuple(faults),
            elapsed_s=round(time.monotonic() - started_s, 2),
        )


def _truncated(record: CallRecord) -> bool:
    """Tell a short answer from somebody else's: the beginning is right, the end is missing."""
    words = record.received.split()
    return record.correct is False and (
        not words or all(word.endswith(f".{index}") for index, word in enumerate(words))
    )


async def run_requests() -> Result[RequestsReport, Failure]:
    """Run the bench in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="leadhollow-bench-") as name:
        return await RequestsBench(folder=Path(name)).run()


__all__ = ["RequestsReport", "run_requests"]
