"""Reads the manifests of versions from the origin and commits them to the replicated state.

Only the leader reads. A response of the origin may be corrupted in transit, so a manifest is
committed only after two reads of it match. Each has a connection of its own: a second response to
the first read would match it, too.
"""

from __future__ import annotations

import asyncio

from leadhollow.http1.fetch import HttpFetcher, Reuse
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
MATCHING_READS = 2
FIRST_VERSION = 1  # version that engines have before any version is named

log = get_logger("manifests")


class MissingManifest:
    """A version without a manifest in the replicated state."""

    __slots__ = ("model", "number")

    def __init__(self, *, model: str, number: int) -> None:
        self.model = model
        self.number = number


class ManifestReader(TaskService):
    """Fetches and commits the manifest of each version that engines may have to run."""

    __slots__ = ("_dialect", "_gateway", "_http", "_replica")

    def __init__(self, *, replica: Replica, gateway: LeaderGateway, dialect: OriginDialect) -> None:
        self._replica = replica
        self._gateway = gateway
        self._dialect = dialect
        self._http = HttpFetcher()
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            if not self._replica.ready():
                continue
            for missing in self._missing_manifests():
                await self._read_and_commit(missing)

    def _missing_manifests(self) -> list[MissingManifest]:
        catalog = self._replica.machine.catalog
        services = catalog.values(ServiceRecord)
        models = {
            model
            for service in services
            if service.engine is not None and service.engine.chunks
            for model in service.engine.load_s
        }
        missing_manifests = []
        for model in sorted(models):
            versions = versions_of(catalog, model)
            if not versions:
                missing_manifests.append(MissingManifest(model=model, number=FIRST_VERSION))
            elif versions[0].manifest is None:
                missing_manifests.append(MissingManifest(model=model, number=versions[0].number))
        return missing_manifests

    async def _read_and_commit(self, missing: MissingManifest) -> None:
        origin = self._origin()
        if origin is None:
            return
        earlier_reads: list[DescribedVersion] = []
        for _ in range(MATCHING_READS + 1):
            read = await self._read(origin, missing)
            if read is None:
                return
            if any(_same_manifest(read, earlier) for earlier in earlier_reads):
                await self._commit(read)
                return
            earlier_reads.append(read)
        log.warning("manifest reads differ", model=missing.model, number=missing.number)

    async def _read(self, origin: Address, missing: MissingManifest) -> DescribedVersion | None:
        target = self._dialect.manifest_target(missing.model, missing.number)
        fetched = await self._http.fetch(
            "GET", origin, target, timeout_s=READ_TIMEOUT_S, reuse=Reuse.NEVER
        )
        if fetched.is_err():
            log.warning("manifest not read", failure=str(fetched.unwrap_err()))
            return None
        response = fetched.unwrap()
        if response.status != 200:
            log.warning("manifest request refused", status=response.status, model=missing.model)
            return None
        decoded = self._dialect.read_manifest(response.body)
        if decoded.is_err():
            log.warning("manifest malformed", failure=str(decoded.unwrap_err()))
            return None
        described = decoded.unwrap()
        if (described.model, described.number) != (missing.model, missing.number):
            log.warning("manifest of another version", number=described.number)
            return None
        return described

    async def _commit(self, described: DescribedVersion) -> None:
        command = DescribeVersion(
            model=described.model, number=described.number, manifest=described.manifest
        )
        proposed = await self._gateway.propose(command, timeout_s=PROPOSE_TIMEOUT_S)
        if proposed.is_err():
            log.warning("manifest not committed", failure=str(proposed.unwrap_err()))
            return
        log.info("version described", model=described.model, number=described.number)

    def _origin(self) -> Address | None:
        for service in self._replica.machine.catalog.values(ServiceRecord):
            if service.origin is not None:
                parsed = Address.parse(service.origin)
                if parsed.is_ok():
                    return parsed.unwrap()
        return None


def _same_manifest(one: DescribedVersion, other: DescribedVersion) -> bool:
    return one.manifest == other.manifest


__all__ = ["ManifestReader"]
