"""Weights on every replica: time against one link's own copy time, and copies of the origin."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from leadhollow.bench.daemons import Daemon
from leadhollow.bench.fleet import Fleet
from leadhollow.codes import Code
from leadhollow.demo.model_file import make_model_file
from leadhollow.failure import Failure
from leadhollow.settings.model import LeaseMode, WeightsSettings
from leadhollow.standin.engine_records import hash_file
from leadhollow.standin.origin import OriginStandin
from leadhollow.state.commands import RowEdit
from leadhollow.state.records import ModelChoice, Policy, Row

DOMAINS = ("ifrane", "azrou", "midelt")
ORIGIN_LINKS = 2
LOWER_BOUND = "model_bytes / link_bytes_per_s: one copy through one machine's own link"
INSTALL_TIMEOUT_S = 40.0
ENGINES_SEEN_EMPTY_S = 1.5
MIB = 1024 * 1024
FARM_SIZE = 8
SMALL_REPLICAS = 12
SMALL_PART = 4  # baseline and lease modes copy a quarter of the model


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One distribution of one version."""

    replicas: int
    model_bytes: int
    origin_bytes: int
    origin_copies: float
    time_s: float
    time_lower_bound_s: float
    time_ratio: float
    cpu_s_per_gib: float
    mixed_loads: int


class LeaseRun(msgspec.Struct, frozen=True, kw_only=True):
    """One distribution under another way to share origin reads out."""

    mode: str
    window: int
    run: Run


class DistributionReport(msgspec.Struct, frozen=True, kw_only=True):
    """Everything ``leadhollow bench distribution`` prints."""

    policy: str
    replicas: int
    model_bytes: int
    origin_bytes: int
    origin_copies: float
    time_s: float
    time_lower_bound_s: float
    lower_bound: str
    time_ratio: float
    cpu_s_per_gib: float
    mixed_loads: int
    corrupt_accepted: int
    baseline: Run
    lease_modes: tuple[LeaseRun, ...]
    elapsed_s: float


class DistributionBench:
    """Publishes versions of its own and times them onto every replica."""

    __slots__ = (
        "_chunk_bytes",
        "_fleet",
        "_folder",
        "_link_bytes_per_s",
        "_numbers",
        "_origin",
        "_policy",
        "_replicas",
    )

    def __init__(
        self,
        *,
        folder: Path,
        replicas: int,
        link_bytes_per_s: float,
        chunk_bytes: int,
        policy: Policy,
    ) -> None:
        self._folder = folder
        self._replicas = replicas
        self._link_bytes_per_s = link_bytes_per_s
        self._chunk_bytes = chunk_bytes
        self._policy = policy
        self._numbers = 0
        self._fleet = Fleet(
            folder=folder / "fleet",
            domains=DOMAINS,
            replicas=replicas,
            farm_size=FARM_SIZE if replicas <= 64 else replicas // 8,
            link_bytes_per_s=link_bytes_per_s,
        )
        self._origin = OriginStandin(
            folder=folder / "origin", link_bytes_per_s=ORIGIN_LINKS * link_bytes_per_s
        )

    async def start(self) -> Result[None, Failure]:
        """Start daemons and origin."""
        (self._folder / "origin").mkdir(parents=True)
        await self._origin.server.start()
        return await self._fleet.start(WeightsSettings())

    async def stop(self) -> None:
        """Stop everything."""
        await self._fleet.stop()
        await self._origin.server.stop()

    async def use(self, weights: WeightsSettings) -> Result[None, Failure]:
        """Restart the trackers with other settings."""
        await self._fleet.stop_heads()
        return await self._fleet.start_heads(weights)

    @property
    def origin(self) -> OriginStandin:
        """The origin, for its faults."""
        return self._origin

    @property
    def farms(self) -> list[Daemon]:
        """Processes that play the backend roles."""
        return self._fleet.farms

    @property
    def heads(self) -> list[Daemon]:
        """Processes that play state and domain."""
        return self._fleet.heads

    async def distribute(self, model_bytes: int, *, forget: bool = True) -> Result[Run, Failure]:
        """Bring a new version to every replica.

        Parameters
        ----------
        forget
            Whether the engines run nothing before, so that none has to wait for its wave.
        """
        self._numbers += 1
        version = f"v{self._numbers}"
        path = self._folder / f"{version}.bin"
        make_model_file(path, size_bytes=model_bytes, seed=self._numbers)
        published = await self._fleet.operator.publish(
            path,
            model="dispatch",
            version=version,
            origin_url=self._origin.server.url,
            chunk_bytes=self._chunk_bytes,
        )
        if published.is_err():
            return Err(published.unwrap_err())
        root = published.unwrap().root
        if forget:
            self._fleet.engines.forget_all()
            await asyncio.sleep(ENGINES_SEEN_EMPTY_S)
        cpu_before_s = self._fleet.farm_cpu_s()
        started_s = asyncio.get_running_loop().time()
        edited = await self._name_version(version)
        if edited.is_err():
            return Err(edited.unwrap_err())
        waited = await self._wait_all(root)
        if waited.is_err():
            return Err(waited.unwrap_err())
        time_s = waited.unwrap() - started_s
        cpu_s = self._fleet.farm_cpu_s() - cpu_before_s
        file_hash = hash_file(path)
        loads = [load for load in self._fleet.engines.loads if load.root == root]
        origin_bytes = self._origin.weight_bytes_sent("dispatch", version)
        lower_bound_s = model_bytes / self._link_bytes_per_s
        return Ok(
            Run(
                replicas=self._replicas,
                model_bytes=model_bytes,
                origin_bytes=origin_bytes,
                origin_copies=round(origin_bytes / model_bytes, 4),
                time_s=round(time_s, 3),
                time_lower_bound_s=round(lower_bound_s, 3),
                time_ratio=round(time_s / lower_bound_s, 3),
                cpu_s_per_gib=round(cpu_s / (model_bytes * self._replicas / 2**30), 2),
                mixed_loads=sum(1 for load in loads if load.file_hash != file_hash),
            )
        )

    async def _name_version(self, version: str) -> Result[None, Failure]:
        operator = self._fleet.operator
        found = await operator.row("ploughs")
        revision = found.unwrap().revision if found.is_ok() else 0
        choice = ModelChoice(version=version, policy=self._policy)
        row = Row(group="ploughs", weight=1.0, models={"dispatch": choice})
        edit = RowEdit(group="ploughs", expected_revision=revision, row=row)
        edited = await operator.edit([edit], operator="bench")
        return Err(edited.unwrap_err()) if edited.is_err() else Ok(None)

    async def _wait_all(self, root: str) -> Result[float, Failure]:
        engines = self._fleet.engines
        deadline_s = time.monotonic() + INSTALL_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if engines.serving(root) >= self._replicas:
                loads = [load for load in engines.loads if load.root == root]
                if len(loads) >= self._replicas:
                    return Ok(max(load.loaded_s for load in loads))
            await asyncio.sleep(0.01)
        detail = f"{engines.serving(root)} of {self._replicas} replicas in time"
        return Err(Failure(code=Code.CHECK_FAILED, detail=detail))


LEASE_MODES = (
    WeightsSettings(lease_mode=LeaseMode.DIRECT),
    WeightsSettings(lease_mode=LeaseMode.NONE),
    WeightsSettings(lease_mode=LeaseMode.WIDENED),
    WeightsSettings(lease_mode=LeaseMode.EXACT, lease_window=1),
    WeightsSettings(lease_mode=LeaseMode.EXACT, lease_window=4),
    WeightsSettings(lease_mode=LeaseMode.EXACT, lease_window=16),
)


async def _small_runs(
    folder: Path, *, link_bytes_per_s: float, chunk_bytes: int, model_bytes: int
) -> Result[list[LeaseRun], Failure]:
    """Measure every way to share origin reads out, on fewer replicas and a smaller model."""
    bench = DistributionBench(
        folder=folder,
        replicas=SMALL_REPLICAS,
        link_bytes_per_s=link_bytes_per_s,
        chunk_bytes=chunk_bytes,
        policy=Policy.FEWEST_ORIGIN_BYTES,
    )
    runs = []
    try:
        started = await bench.start()
        if started.is_err():
            return Err(started.unwrap_err())
        for weights in LEASE_MODES:
            used = await bench.use(weights)
            if used.is_err():
                return Err(used.unwrap_err())
            run = await bench.distribute(model_bytes)
            if run.is_err():
                return Err(run.unwrap_err())
            runs.append(
                LeaseRun(
                    mode=weights.lease_mode.value, window=weights.lease_window, run=run.unwrap()
                )
            )
    finally:
        await bench.stop()
    return Ok(runs)


async def run_distribution(
    *, replicas: int, model_mib: int, policy: Policy, link_mib_per_s: float, chunk_kib: int
) -> Result[DistributionReport, Failure]:
    """Run the bench in a folder of its own."""
    started_s = time.monotonic()
    link_bytes_per_s = link_mib_per_s * MIB
    chunk_bytes = chunk_kib * 1024
    with tempfile.TemporaryDirectory(prefix="leadhollow-bench-") as name:
        folder = Path(name)
        bench = DistributionBench(
            folder=folder / "main",
            replicas=replicas,
            link_bytes_per_s=link_bytes_per_s,
            chunk_bytes=chunk_bytes,
            policy=policy,
        )
        try:
            started = await bench.start()
            if started.is_err():
                return Err(started.unwrap_err())
            main = await bench.distribute(model_mib * MIB)
        finally:
            await bench.stop()
        if main.is_err():
            return Err(main.unwrap_err())
        small = await _small_runs(
            folder / "small",
            link_bytes_per_s=link_bytes_per_s,
            chunk_bytes=chunk_bytes,
            model_bytes=model_mib * MIB // SMALL_PART,
        )
    if small.is_err():
        return Err(small.unwrap_err())
    run = main.unwrap()
    mixed = run.mixed_loads + sum(each.run.mixed_loads for each in small.unwrap())
    return Ok(
        DistributionReport(
            policy=policy.value,
            replicas=run.replicas,
            model_bytes=run.model_bytes,
            origin_bytes=run.origin_bytes,
            origin_copies=run.origin_copies,
            time_s=run.time_s,
            time_lower_bound_s=run.time_lower_bound_s,
            lower_bound=LOWER_BOUND,
            time_ratio=run.time_ratio,
            cpu_s_per_gib=run.cpu_s_per_gib,
            mixed_loads=mixed,
            corrupt_accepted=mixed,
            baseline=small.unwrap()[0].run,
            lease_modes=tuple(small.unwrap()[1:]),
            elapsed_s=round(time.monotonic() - started_s, 2),
        )
    )


__all__ = ["DistributionReport", "run_distribution"]
