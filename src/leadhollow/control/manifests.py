"""Reads from the origin what a version consists of, and puts it into the replicated state.

Only the leader reads. What an origin sends may be spoilt on its way, so a manifest counts once two
readings of it agree.
"""

from __future__ import annotations

import asyncio

from leadhollow.http1.fetch import HttpCaller
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger
from leadhollow.routing.model import ServiceRecord
from leadhollow.settings.address import Address
from leadhollow.state.commands import DescribeVersion
from leadhollow.state.gateway import LeaderGateway
from leadhollow.state.replica import Replica
from leadhollow.state.weights_versions import versions_of
from leadhollow.weights.origin_dialect import DescribedVersion, OriginDialect

POLL_S = 0.1
READ_TIMEOUT_S = 1.5
PROPOSE_TIMEOUT_S = 2.0
AGREEING_READS = 2
FIRST_VERSION = 1  # what engines bring with them where no version was named yet

log = get_logger("manifests")


class Wanted:
    """A version whose manifest is not known yet."""

    __slots__ = ("model", "number")

    def __init__(self, *, model: str, number: int) -> None:
        self.model = model
        self.number = number


class ManifestReader(TaskService):
    """Describes each version that engines may have to run."""

    __slots__ = ("_dialect", "_gateway", "_http", "_replica")

    def __init__(self, *, replica: Replica, gateway: LeaderGateway, dialect: OriginDialect) -> None:
        self._replica = replica
        self._gateway = gateway
        self._dialect = dialect
        self._http = HttpCaller()
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            if not self._replica.ready():
                continue
            for wanted in self._wanted():
                await self._describe(wanted)

    def _wanted(self) -> list[Wanted]:
        catalog = self._replica.machine.catalog
        services = catalog.values(ServiceRecord)
        models = {
            model
            for service in services
            if service.engine is not None and service.engine.chunks
            for model in service.engine.load_s
        }
        found = []
        for model in sorted(models):
            held = versions_of(catalog, model)
            if not held:
                found.append(Wanted(model=model, number=FIRST_VERSION))
            elif held[0].manifest is None:
                found.append(Wanted(model=model, number=held[0].number))
        return found

    async def _describe(self, wanted: Wanted) -> None:
        origin = self._origin()
        if origin is None:
            return
        readings: list[DescribedVersion] = []
        for _ in range(AGREEING_READS + 1):
            read = await self._read(origin, wanted)
            if read is None:
                return
            if any(_agree(read, earlier) for earlier in readings):
                await self._commit(read)
                return
            readings.append(read)
        log.warning("manifest readings differ", model=wanted.model, number=wanted.number)

    async def _read(self, origin: Address, wanted: Wanted) -> DescribedVersion | None:
        target = self._dialect.manifest_target(wanted.model, wanted.number)
        answered = await self._http.fetch("GET", origin, target, timeout_s=READ_TIMEOUT_S)
        if answered.is_err():
            log.warning("manifest not read", failure=str(answered.unwrap_err()))
            return None
        answer = answered.unwrap()
        if answer.status != 200:
            log.warning("manifest refused", status=answer.status, model=wanted.model)
            return None
        decoded = self._dialect.read_manifest(answer.body)
        if decoded.is_err():
            log.warning("manifest not understood", failure=str(decoded.unwrap_err()))
            return None
        described = decoded.unwrap()
        if (described.model, described.number) != (wanted.model, wanted.number):
            log.warning("manifest of another version", number=described.number)
            return None
        return described

    async def _commit(self, described: DescribedVersion) -> None:
        command = DescribeVersion(
            model=described.model, number=described.number, manifest=described.manifest
        )
        done = await self._gateway.propose(command, timeout_s=PROPOSE_TIMEOUT_S)
        if done.is_err():
            log.warning("manifest not committed", failure=str(done.unwrap_err()))
            return
        log.info("version described", model=described.model, number=described.number)

    def _origin(self) -> Address | None:
        for service in self._replica.machine.catalog.values(ServiceRecord):
            if service.origin is not None:
                parsed = Address.parse(service.origin)
                if parsed.is_ok():
                    return parsed.unwrap()
        return None


def _agree(one: DescribedVersion, other: DescribedVersion) -> bool:
    return one.manifest == other.manifest


__all__ = ["ManifestReader"]
