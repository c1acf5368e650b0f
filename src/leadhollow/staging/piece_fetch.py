"""Brings one version to this VM: from neighbours, and each piece only once from afar."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from leadhollow.http1.fetch import HttpCaller
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address
from leadhollow.staging.pieces import StagedVersion
from leadhollow.staging.sharing import Stager, importer, origin_reader
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.origin_dialect import OriginDialect
from leadhollow.wire.generated.ttypes import PieceNews, PieceRequest, PieceWatch
from leadhollow.wire.peers import PeerPool

WORKERS = 3  # keeps the link full while an answer is on its way
PER_SOURCE = 2
REQUEST_TIMEOUT_MS = 2_500  # four pieces at once over a squeezed link
ORIGIN_TIMEOUT_S = 4.0
IDLE_S = 0.1
FOLLOW_INTERVAL_S = 0.3
WATCH_AGAIN_S = 0.3
IMPORT_ANYWAY_S = 1.0  # without progress for this long, do what another one should have done
ORIGIN_ANYWAY_S = 2.0
FAILED_PAUSE_S = 0.2

log = get_logger("fetch")


class OriginSource:
    """Where pieces come from in the first place.

    Parameters
    ----------
    address
        Gives the origin's address, None while it is not known.
    """

    __slots__ = ("_address", "_dialect", "_http", "bytes_read")

    def __init__(self, *, address: Callable[[], Address | None], dialect: OriginDialect) -> None:
        self._address = address
        self._dialect = dialect
        self._http = HttpCaller()
        self.bytes_read = 0

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        """Read one piece; None where it did not come."""
        address = self._address()
        if address is None:
            return None
        target = self._dialect.piece_target(model, number, index)
        answered = await self._http.fetch("GET", address, target, timeout_s=ORIGIN_TIMEOUT_S)
        if answered.is_err():
            log.warning("piece not read", index=index, failure=str(answered.unwrap_err()))
            return None
        answer = answered.unwrap()
        self.bytes_read += len(answer.body)
        if answer.status != 200:
            log.warning("piece refused", index=index, status=answer.status)
            return None
        return answer.body


class _Source:
    """What another stager holds."""

    __slots__ = ("busy", "held", "stager", "task")

    def __init__(self, *, stager: Stager, count: int) -> None:
        self.stager = stager
        self.held = Bitmap(count=count)
        self.busy = 0
        self.task: asyncio.Task[None] | None = None


class _Job:
    __slots__ = ("index", "source")

    def __init__(self, *, index: int, source: _Source | None) -> None:
        self.index = index
        self.source = source


class PieceFetch:
    """One version on its way.

    Parameters
    ----------
    own
        This stager.
    others
        Gives the other stagers that may take part.
    """

    __slots__ = (
        "_in_flight",
        "_origin",
        "_others",
        "_own",
        "_peers",
        "_progress_s",
        "_random",
        "_sources",
        "_wake",
        "version",
    )

    def __init__(
        self,
        *,
        version: StagedVersion,
        own: Stager,
        others: Callable[[], list[Stager]],
        origin: OriginSource,
        peers: PeerPool,
        seed: int,
    ) -> None:
        self.version = version
        self._own = own
        self._others = others
        self._origin = origin
        self._peers = peers
        self._random = random.Random(seed)
        self._sources: dict[str, _Source] = {}
        self._in_flight: set[int] = set()
        self._progress_s = 0.0
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Fetch until every piece is here."""
        loop = asyncio.get_running_loop()
        started_s = self._progress_s = loop.time()
        self._follow_stagers()
        tasks = [loop.create_task(self._work()) for _ in range(WORKERS)]
        tasks.append(loop.create_task(self._keep_following()))
        try:
            while not self.version.complete:
                await self.version.changed()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for source in self._sources.values():
                if source.task is not None:
                    source.task.cancel()
        log.info(
            "version complete",
            model=self.version.model,
            number=self.version.number,
            seconds=round(loop.time() - started_s, 2),
            origin_bytes=self._origin.bytes_read,
        )

    async def _keep_following(self) -> None:
        while True:
            await asyncio.sleep(FOLLOW_INTERVAL_S)
            self._follow_stagers()

    def _follow_stagers(self) -> None:
        """Watch each stager that is there, and forget those that are not."""
        present = {stager.address: stager for stager in self._others()}
        for address in list(self._sources):
            if address not in present:
                source = self._sources.pop(address)
                if source.task is not None:
                    source.task.cancel()
        for address, stager in present.items():
            if address not in self._sources:
                source = _Source(stager=stager, count=self.version.held.count)
                self._sources[address] = source
                source.task = asyncio.get_running_loop().create_task(self._watch(source))

    async def _watch(self, source: _Source) -> None:
        """Follow what another stager holds for as long as it takes part."""
        version = self.version
        request = PieceWatch(
            version.model, version.number, self._own.address, self._own.failure_domain
        )
        while not source.held.complete:
            connected = await self._peers.connection(source.stager.address)
            if connected.is_ok():
                stream = connected.unwrap().stream(request)
                while (received := await stream.next()).is_ok():
                    news: PieceNews | None = received.unwrap()
                    if news is None:
                        break
                    source.held.add_all(
                        Bitmap.from_bytes(news.held or b"", count=version.held.count).indexes()
                    )
                    source.held.add_all(news.added or ())
                    self._wake_workers()
            await asyncio.sleep(WATCH_AGAIN_S)

    async def _work(self) -> None:
        while True:
            job = self._next_job()
            if job is None:
                await self._wait()
                continue
            self._in_flight.add(job.index)
            try:
                taken = await self._download(job)
            finally:
                self._in_flight.discard(job.index)
            if taken:
                self._progress_s = asyncio.get_running_loop().time()
                self._wake_workers()
            else:
                await asyncio.sleep(FAILED_PAUSE_S)

    async def _download(self, job: _Job) -> bool:
        version = self.version
        if job.source is None:
            data = await self._origin.piece(version.model, version.number, job.index)
        else:
            data = await self._ask(job.source, job.index)
        if data is None:
            return False
        if not version.take(job.index, data):
            where = "origin" if job.source is None else job.source.stager.address
            log.warning("piece spoilt", index=job.index, source=where)
            return False
        return True

    async def _ask(self, source: _Source, index: int) -> bytes | None:
        request = PieceRequest(self.version.model, self.version.number, index)
        source.busy += 1
        try:
            reply = await self._peers.call(
                source.stager.address, request, timeout_ms=REQUEST_TIMEOUT_MS
            )
        finally:
            source.busy -= 1
        if reply.is_err():
            source.held.discard_all([index])  # the watch tells if it is there after all
            return None
        data: bytes = reply.unwrap().data or b""
        return data

    def _next_job(self) -> _Job | None:
        """Choose what to fetch next: what others wait for, then what is rarest nearby."""
        missing = [index for index in self.version.held.missing() if index not in self._in_flight]
        if not missing:
            return None
        self._random.shuffle(missing)
        stalled_s = asyncio.get_running_loop().time() - self._progress_s
        stagers = [self._own, *(source.stager for source in self._sources.values())]
        nearby: list[tuple[int, int]] = []
        for index in missing:
            holders = self._holders(index, inside=True)
            if holders:
                nearby.append((len(holders), index))
                continue
            job = self._import(index, stagers, stalled_s)
            if job is not None:
                return job
        for _, index in sorted(nearby):
            source = self._free_source(self._holders(index, inside=True))
            if source is not None:
                return _Job(index=index, source=source)
        return None

    def _import(self, index: int, stagers: list[Stager], stalled_s: float) -> _Job | None:
        """Bring a piece in from outside, where that is ours to do or nobody else does it."""
        number = self.version.number
        own_domain = self._own.failure_domain
        ours = importer(index, number, own_domain, stagers) == self._own
        if not ours and stalled_s < IMPORT_ANYWAY_S:
            return None
        outside = self._holders(index, inside=False)
        source = self._free_source(outside)
        if source is not None:
            return _Job(index=index, source=source)
        reads = origin_reader(index, number, stagers) == self._own
        if not outside and (reads or stalled_s >= ORIGIN_ANYWAY_S):
            return _Job(index=index, source=None)
        return None

    def _holders(self, index: int, *, inside: bool) -> list[_Source]:
        own_domain = self._own.failure_domain
        return [
            source
            for source in self._sources.values()
            if index in source.held and (source.stager.failure_domain == own_domain) == inside
        ]

    def _free_source(self, sources: list[_Source]) -> _Source | None:
        free = [source for source in sources if source.busy < PER_SOURCE]
        if not free:
            return None
        return min(free, key=lambda source: (source.busy, self._random.random()))

    async def _wait(self) -> None:
        wake = self._wake
        try:
            async with asyncio.timeout(IDLE_S):
                await wake.wait()
        except TimeoutError:
            return

    def _wake_workers(self) -> None:
        self._wake.set()
        self._wake = asyncio.Event()


__all__ = ["OriginSource", "PieceFetch"]
