"""What a rollout costs the live requests on the same machines."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from leadhollow.bench.open_loop import Latencies, run_open_loop
from leadhollow.bench.stage import MODEL, Stage, StagePlan, stage_row
from leadhollow.failure import Failure

ENTRIES = {"ifrane": 1, "azrou": 1, "midelt": 1}
ENGINES = {"ifrane": 3, "azrou": 3, "midelt": 3}
LINK_BYTES_PER_S = 8 * 1024 * 1024
MODEL_BYTES = 32 * 1024 * 1024
CHUNK_BYTES = 256 * 1024
RATE_PER_S = 40.0
TOKENS = 20
QUIET_S = 5.0
ROLLOUT_S = 7.0
SEED = 29


class LiveReport(msgspec.Struct, frozen=True, kw_only=True):
    """Live requests without and with a rollout, in one run."""

    requests: int
    failed: int
    wrong_answers: int
    quiet_p95_ms: float
    rollout_p95_ms: float
    live_latency_ratio: float
    rollout_time_s: float
    origin_copies: float
    elapsed_s: float


async def run_live() -> Result[LiveReport, Failure]:
    """Run the bench in a folder of its own."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="leadhollow-bench-") as name:
        plan = StagePlan(
            entries=ENTRIES,
            engines=ENGINES,
            step_ms=4.0,
            link_bytes_per_s=LINK_BYTES_PER_S,
        )
        stage = Stage(plan=plan, folder=Path(name))
        try:
            started = await stage.start([stage_row("ploughs")])
            if started.is_err():
                return Err(started.unwrap_err())
            quiet = await _load(stage, QUIET_S)
            published = await stage.publish("v2", model_bytes=MODEL_BYTES, chunk_bytes=CHUNK_BYTES)
            if published.is_err():
                return Err(published.unwrap_err())
            rolling = asyncio.ensure_future(_roll_out(stage))
            loaded = await _load(stage, ROLLOUT_S)
            rolled = await rolling
        finally:
            await stage.stop()
    if rolled.is_err():
        return Err(rolled.unwrap_err())
    return Ok(
        LiveReport(
            requests=quiet.count + loaded.count,
            failed=quiet.failed + loaded.failed,
            wrong_answers=quiet.wrong + loaded.wrong,
            quiet_p95_ms=quiet.p95_ms,
            rollout_p95_ms=loaded.p95_ms,
            live_latency_ratio=round(loaded.p95_ms / quiet.p95_ms, 3),
            rollout_time_s=round(rolled.unwrap(), 3),
            origin_copies=round(stage.origin.weight_bytes_sent(MODEL, "v2") / MODEL_BYTES, 4),
            elapsed_s=round(time.monotonic() - started_s, 2),
        )
    )


class _Loaded:
    __slots__ = ("count", "failed", "p95_ms", "wrong")

    def __init__(self, *, count: int, failed: int, wrong: int, p95_ms: float) -> None:
        self.count = count
        self.failed = failed
        self.wrong = wrong
        self.p95_ms = p95_ms


async def _load(stage: Stage, duration_s: float) -> _Loaded:
    """Stream answers at a fixed rate through all entries."""
    latencies = Latencies()
    caller = stage.caller("ploughs")
    urls = [stage.entry_url(vm) for vm in stage.entries()]
    loop = asyncio.get_running_loop()

    async def send(number: int, intended_s: float) -> None:
        await caller.chat(urls[number % len(urls)], model=MODEL, tokens=TOKENS)
        latencies.add(loop.time() - intended_s)

    count = await run_open_loop(rate_per_s=RATE_PER_S, duration_s=duration_s, seed=SEED, send=send)
    return _Loaded(
        count=count,
        failed=sum(1 for record in caller.records if record.correct is None),
        wrong=sum(1 for record in caller.records if record.correct is False),
        p95_ms=latencies.percentile_ms(95.0),
    )


async def _roll_out(stage: Stage) -> Result[float, Failure]:
    started_s = asyncio.get_running_loop().time()
    edited = await stage.write_rows([stage_row("ploughs", version="v2")])
    if edited.is_err():
        return Err(edited.unwrap_err())
    waited = await stage.wait_serving("v2", list(stage.engine_urls))
    if waited.is_err():
        return Err(waited.unwrap_err())
    return Ok(asyncio.get_running_loop().time() - started_s)


__all__ = ["LiveReport", "run_live"]
