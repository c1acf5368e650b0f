"""The demo run: starts a deployment with stand-ins, puts it under load and checks the outcome.

``leadhollow demo`` runs it. It publishes and distributes a model, sends requests of several
groups, edits the table, resends requests, changes the version under load, stops one backend server
and drains another. Then it compares the callers' records with those of the stand-ins.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable
from pathlib import Path

import aiohttp
from result import Err, Ok, Result

from leadhollow.demo.model_file import make_model_file, make_next_version
from leadhollow.demo.report import DemoReport, find_failures
from leadhollow.failure import Failure
from leadhollow.operator_client import OperatorClient
from leadhollow.standin.caller import Caller, CallRecord
from leadhollow.standin.engine_records import hash_file
from leadhollow.standin.ledgers import compare_ledgers
from leadhollow.standin.site import Site, SitePlan
from leadhollow.state.commands import RowEdit
from leadhollow.state.records import Limits, ModelChoice, Row, ServiceRule

MODEL = "dispatch"
SERVICE = "depot"
ENTRIES_BY_DOMAIN = {"ifrane": 3, "azrou": 2, "midelt": 2}
ENGINES_BY_DOMAIN = {"ifrane": 3, "azrou": 3, "midelt": 3}
GROUP_WEIGHTS = {"ploughs": 6.0, "gendarmerie": 3.0, "depot-clerks": 1.0}
DEFAULT_MODEL_BYTES = 64 * 1024 * 1024
MODEL_SEED = 33
CALL_SEED = 7
TOKENS_PER_CALL = 24
BURST_CALLS = 60
INSTALL_TIMEOUT_S = 12.0
DRAIN_GRACE_S = 2.0
OPERATOR = "demo"
LATE_GROUP = "late-group"
LONG_ORDER = "clear N8 " + "and salt it " * 25_000  # longer than one read of a socket
EDIT_TIMEOUT_S = 5.0
ODD_SHARE = 0.2  # of answers, with bytes of no request around them or cut

ProgressCallback = Callable[[str], None]


class DemoRun:
    """One demo run.

    Parameters
    ----------
    folder
        Folder for the data of all processes and the origin.
    model_path
        Model file of the first version; None generates one from a fixed seed.
    on_progress
        Called with a sentence for the user after each step.
    """

    __slots__ = (
        "_callers",
        "_file_hashes",
        "_folder",
        "_model_path",
        "_on_progress",
        "_operator",
        "_random",
        "_request_tasks",
        "_roots",
        "_session",
        "_site",
        "_step_failures",
        "_tokens",
    )

    def __init__(
        self, *, folder: Path, model_path: Path | None, on_progress: ProgressCallback
    ) -> None:
        self._folder = folder
        self._model_path = model_path
        self._on_progress = on_progress
        self._site = Site(
            plan=SitePlan(
                entries=ENTRIES_BY_DOMAIN, engines=ENGINES_BY_DOMAIN, service=(SERVICE, "azrou")
            ),
            folder=folder,
        )
        self._random = random.Random(CALL_SEED)
        self._roots: dict[str, str] = {}
        self._file_hashes: dict[str, str] = {}
        self._callers: dict[str, Caller] = {}
        self._step_failures: list[str] = []
        self._request_tasks: set[asyncio.Task[CallRecord]] = set()
        self._operator: OperatorClient | None = None
        self._session: aiohttp.ClientSession | None = None
        self._tokens = TOKENS_PER_CALL

    async def run(self) -> Result[DemoReport, Failure]:
        """Start the site, run all steps and report; stops the site also after a failure.

        Returns
        -------
        Result[DemoReport, Failure]
            The report, also where checks failed; a failure if the site or the first version could
            not be set up.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        try:
            started = await self._site.start()
            if started.is_err():
                return Err(started.unwrap_err())
            self._operator = self._site.operator()
            return await self._run_steps(started_s)
        finally:
            for task in self._request_tasks:
                task.cancel()
            await asyncio.gather(*self._request_tasks, return_exceptions=True)
            if self._operator is not None:
                await self._operator.close()
            await self._session.close()
            await self._site.stop()

    async def _run_steps(self, started_s: float) -> Result[DemoReport, Failure]:
        published = await self._publish("v1", self._first_model_file())
        if published.is_err():
            return Err(published.unwrap_err())
        self._on_progress(
            "Three failure domains, 7 entry VMs and 10 backend servers are up; v1 published."
        )
        edited = await self._write_rows("v1")
        if edited.is_err():
            return Err(edited.unwrap_err())
        time_to_all_s = await self._wait_for_version("v1")
        weight_bytes = self._site.origin.weight_bytes_sent(MODEL, "v1")
        origin_copies = weight_bytes / self._first_model_file().stat().st_size
        self._on_progress(f"v1 runs on all 9 engines after {time_to_all_s:.2f} s.")
        self._set_odd_share(ODD_SHARE)
        await self._send_group_requests()
        edit_in_force_s = await self._measure_edit_delay()
        self._on_progress(f"An edit is in force at all 7 entries after {edit_in_force_s:.3f} s.")
        resend_same_answer = await self._resend_orders()
        self._set_odd_share(0.0)  # the next step measures how long a change takes
        change_to_all_s = await self._change_version()
        self._on_progress(f"v2 replaced v1 under load after {change_to_all_s:.2f} s.")
        await self._stop_backend_server()
        self._on_progress("A backend server was lost with streams in progress.")
        work_after_drain = await self._drain_backend_server()
        self._on_progress("A backend server was drained.")
        records = [record for caller in self._callers.values() for record in caller.records]
        verdict = compare_ledgers(
            records=records,
            generations=[
                generation
                for engine in self._site.engines.values()
                for generation in engine.generations
            ],
            executions=[
                execution
                for service in self._site.services.values()
                for execution in service.executions
            ],
            loads=[load for engine in self._site.engines.values() for load in engine.loads],
            file_hashes=self._file_hashes,
        )
        failures = find_failures(
            verdict=verdict,
            origin_copies=origin_copies,
            resend_same_answer=resend_same_answer,
            work_after_drain=work_after_drain,
            step_failures=self._step_failures,
        )
        resumed = sum(
            1
            for engine in self._site.engines.values()
            for generation in engine.generations
            if generation.resumed_from
        )
        return Ok(
            DemoReport(
                ok=not failures,
                origin_copies=round(origin_copies, 4),
                time_to_all_s=round(time_to_all_s, 3),
                change_to_all_s=round(change_to_all_s, 3),
                requests=verdict.requests,
                executed=verdict.executed,
                not_executed=verdict.not_executed,
                unknown=verdict.unknown,
                lost=verdict.lost,
                doubled=verdict.doubled,
                wrong_answers=verdict.wrong_answers,
                mixed_versions=verdict.mixed_versions,
                false_not_executed=verdict.false_not_executed,
                edit_in_force_s=round(edit_in_force_s, 4),
                resend_same_answer=resend_same_answer,
                resumed_streams=resumed,
                work_after_drain=work_after_drain,
                metrics_received=sum(self._site.statsd.received.values()),
                elapsed_s=round(asyncio.get_running_loop().time() - started_s, 2),
                failures=failures,
            )
        )

    # Steps of the run.

    def _first_model_file(self) -> Path:
        if self._model_path is not None:
            return self._model_path
        path = self._folder / "model-v1.bin"
        if not path.exists():
            make_model_file(path, size_bytes=DEFAULT_MODEL_BYTES, seed=MODEL_SEED)
        return path

    async def _publish(self, version: str, path: Path) -> Result[None, Failure]:
        published = await self._require_operator().publish(
            path, model=MODEL, version=version, origin_url=self._site.origin.server.url
        )
        if published.is_err():
            return Err(published.unwrap_err())
        root = published.unwrap().root
        self._roots[version] = root
        self._file_hashes[root] = await asyncio.to_thread(hash_file, path)
        return Ok(None)

    async def _write_rows(self, version: str) -> Result[None, Failure]:
        current = await self._require_operator().rows()
        if current.is_err():
            return Err(current.unwrap_err())
        revisions = {reply.row.group: reply.revision for reply in current.unwrap()}
        edits = [
            RowEdit(
                group=group,
                expected_revision=revisions.get(group, 0),
                row=_row(group, weight, version),
            )
            for group, weight in GROUP_WEIGHTS.items()
        ]
        edited = await self._require_operator().edit(edits, operator=OPERATOR, wait_ms=5_000)
        if edited.is_err():
            return Err(edited.unwrap_err())
        for group in GROUP_WEIGHTS:
            self._callers.setdefault(group, self._make_caller(group))
        return Ok(None)

    async def _wait_for_version(self, version: str) -> float:
        names = [name for name in self._site.engines if name in self._site.processes]
        waited = await self._site.wait_serving(
            self._roots[version], names, timeout_s=INSTALL_TIMEOUT_S
        )
        if waited.is_err():
            self._step_failures.append(f"{version}: {waited.unwrap_err()}")
            return INSTALL_TIMEOUT_S
        return waited.unwrap()

    def _set_odd_share(self, share: float) -> None:
        for engine in self._site.engines.values():
            engine.faults.odd_share = share
        for service in self._site.services.values():
            service.faults.odd_share = share

    async def _send_group_requests(self) -> None:
        """Send requests of all groups together with a burst of one group."""
        await asyncio.sleep(0.3)
        steady = [self._chat(group) for group in GROUP_WEIGHTS for _ in range(12)]
        burst = [self._chat("depot-clerks") for _ in range(BURST_CALLS)]
        await asyncio.gather(*steady, *burst)

    async def _measure_edit_delay(self) -> float:
        """Add a group and remove it again.

        Returns
        -------
        float
            The longer of the two times, in seconds, until every entry applied the edit.
        """
        row = _row(LATE_GROUP, 1.0, "v1")
        added_s = await self._time_edit(row, revision=0, expected_status=200)
        found = await self._require_operator().row(LATE_GROUP)
        revision = found.unwrap().revision if found.is_ok() else 0
        removed_s = await self._time_edit(None, revision=revision, expected_status=401)
        return max(added_s, removed_s)

    async def _time_edit(self, row: Row | None, *, revision: int, expected_status: int) -> float:
        caller = self._make_caller(LATE_GROUP)
        edit = RowEdit(group=LATE_GROUP, expected_revision=revision, row=row)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        editing = loop.create_task(self._require_operator().edit([edit], operator=OPERATOR))
        waiting = set(self._site.entry_urls())
        while waiting and loop.time() - started_s < EDIT_TIMEOUT_S:
            for url in list(waiting):
                if await caller.ping(url, service=SERVICE) == expected_status:
                    waiting.discard(url)
        elapsed_s = loop.time() - started_s
        edited = await editing
        if waiting or edited.is_err():
            self._step_failures.append(
                "an accepted edit was not in force at every entry within 5 s"
            )
        return elapsed_s

    async def _resend_orders(self) -> bool:
        """Send orders twice with the same idempotency key, through different entries.

        A long order without a key is sent once; its response is compared like all others. The
        service stand-in runs the second order with a key and cuts its connection. Its outcome must
        be unknown both times.

        Returns
        -------
        bool
            Whether the resend of the first order got the same response.
        """
        urls = self._site.entry_urls()
        caller = self._callers["ploughs"]
        first = await caller.order(urls[0], service=SERVICE, text="clear N8", key="order-1")
        second = await caller.order(urls[-1], service=SERVICE, text="clear N8", key="order-1")
        await caller.order(urls[1], service=SERVICE, text=LONG_ORDER)
        service = next(iter(self._site.services.values()))
        service.faults.cut_after_run = 1
        cut = await caller.order(urls[1], service=SERVICE, text="clear N13", key="order-2")
        again = await caller.order(urls[2], service=SERVICE, text="clear N13", key="order-2")
        if (cut.outcome, again.outcome) != ("unknown", "unknown"):
            self._step_failures.append(
                f"a cut order was told as {cut.outcome}, then {again.outcome}"
            )
        return first.status == 200 and first.received == second.received

    async def _change_version(self) -> float:
        """Publish and roll out v2 under load; return the seconds until all engines run it."""
        second = self._folder / "model-v2.bin"
        await asyncio.to_thread(make_next_version, self._first_model_file(), second)
        published = await self._publish("v2", second)
        if published.is_err():
            self._step_failures.append(f"v2 was not published: {published.unwrap_err()}")
            return 0.0
        load = asyncio.get_running_loop().create_task(self._background_load())
        edited = await self._write_rows("v2")
        if edited.is_err():
            self._step_failures.append(f"v2 was not accepted: {edited.unwrap_err()}")
        elapsed_s = await self._wait_for_version("v2")
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        await self._finish_requests()
        return elapsed_s

    async def _stop_backend_server(self) -> None:
        """Kill the engine with the most running requests, and its VM's process."""
        calls = [self._start_chat(group, tokens=60) for group in GROUP_WEIGHTS for _ in range(6)]
        await asyncio.sleep(0.3)
        lost = max(self._site.engines, key=self._count_running)
        await self._site.engines[lost].stop()
        await self._site.kill_process(lost)
        await asyncio.gather(*calls)

    async def _drain_backend_server(self) -> int:
        """Drain an engine under load; count the requests that reach it after the grace period."""
        drained = next(name for name in self._site.engines if name in self._site.processes)
        load = asyncio.get_running_loop().create_task(self._background_load())
        await asyncio.sleep(0.3)
        ordered = await self._require_operator().drain(drained, draining=True, operator=OPERATOR)
        if ordered.is_err():
            self._step_failures.append(f"the drain was not accepted: {ordered.unwrap_err()}")
        await asyncio.sleep(DRAIN_GRACE_S)
        before = len(self._site.engines[drained].generations)
        await asyncio.sleep(1.0)
        after = len(self._site.engines[drained].generations)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        await self._finish_requests()
        return after - before

    # Requests of the callers.

    async def _background_load(self) -> None:
        groups = list(GROUP_WEIGHTS)
        while True:
            self._start_chat(self._random.choice(groups), tokens=self._tokens)
            await asyncio.sleep(0.04)

    def _start_chat(self, group: str, *, tokens: int) -> asyncio.Task[CallRecord]:
        task = asyncio.get_running_loop().create_task(self._chat(group, tokens=tokens))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)
        return task

    async def _chat(self, group: str, *, tokens: int = TOKENS_PER_CALL) -> CallRecord:
        url = self._random.choice(self._site.entry_urls())
        return await self._callers[group].chat(
            url, model=MODEL, tokens=tokens, stream=self._random.random() < 0.7
        )

    async def _finish_requests(self) -> None:
        await asyncio.gather(*self._request_tasks)

    def _count_running(self, name: str) -> int:
        return sum(
            1
            for generation in self._site.engines[name].generations
            if not generation.finished and generation.generated
        )

    def _make_caller(self, group: str) -> Caller:
        if self._session is None:
            message = "the story has not begun"
            raise RuntimeError(message)
        return Caller(group=group, key=_api_key(group), roots=self._roots, session=self._session)

    def _require_operator(self) -> OperatorClient:
        if self._operator is None:
            message = "the story has not begun"
            raise RuntimeError(message)
        return self._operator


def _api_key(group: str) -> str:
    return f"key-of-{group}"


def _row(group: str, weight: float, version: str) -> Row:
    return Row(
        group=group,
        weight=weight,
        limits=Limits(concurrency=256, queue=512),
        models={MODEL: ModelChoice(version=version, minimum_replicas=3)},
        services={SERVICE: ServiceRule(repeatable=False)},
        key_sha256s=(hashlib.sha256(_api_key(group).encode()).hexdigest(),),
    )


__all__ = ["DemoRun"]
