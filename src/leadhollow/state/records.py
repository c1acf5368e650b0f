"""What the replicated state holds: rows, versions, leases, drains."""

from __future__ import annotations

from enum import Enum

import msgspec

from leadhollow.routing.model import (
    CallerLimits,
    Organisation,
    Route,
    ServiceRecord,
    TableNumber,
)
from leadhollow.weights.named_versions import NamedVersion


class Policy(Enum):
    """What a model's distribution saves first."""

    LEAST_TIME = "least-time"
    FEWEST_ORIGIN_BYTES = "fewest-origin-bytes"


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Ceilings of one group over the whole system."""

    concurrency: int = 64
    tokens_per_s: int = 1_000_000
    queue: int = 256


class ModelChoice(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which version of a model a group runs."""

    version: str
    minimum_replicas: int = 1
    policy: Policy = Policy.FEWEST_ORIGIN_BYTES


class ServiceRule(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a group's calls of a plain service are treated.

    Parameters
    ----------
    repeatable
        Whether POST and PATCH calls may run more than once.
    """

    repeatable: bool = False


class Row(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One row of the table."""

    group: str
    weight: float
    limits: Limits = Limits()
    models: dict[str, ModelChoice] = {}
    services: dict[str, ServiceRule] = {}
    key_sha256s: tuple[str, ...] = ()


class StoredRow(msgspec.Struct, frozen=True, kw_only=True, tag="row"):
    """A row as accepted, with what the rollout still needs of the row before."""

    row: Row
    previous_versions: dict[str, str] = {}


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True, tag="version"):
    """A published, immutable model version."""

    model: str
    version: str
    root: str
    size_bytes: int
    origin_url: str


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True, tag="lease"):
    """Who may order within a failure domain, and the fencing number of its orders."""

    name: str
    holder: str
    fence: int
    ttl_ms: int


class DrainRecord(msgspec.Struct, frozen=True, kw_only=True, tag="drain"):
    """A backend server that an operator sends away."""

    server: str
    operator: str


CatalogValue = (
    StoredRow
    | VersionRecord
    | LeaseRecord
    | DrainRecord
    | Route
    | ServiceRecord
    | Organisation
    | CallerLimits
    | TableNumber
    | NamedVersion
)


class CatalogItem(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the catalog; a removed one keeps its key with no value."""

    key: str
    revision: int
    value: CatalogValue | None


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change of a row."""

    revision: int
    operation_id: str
    operator: str
    group: str
    before: Row | None
    after: Row | None


ROW_PREFIX = "row/"


def row_key(group: str) -> str:
    """Catalog key of a row."""
    return f"{ROW_PREFIX}{group}"


def version_key(model: str, version: str) -> str:
    """Catalog key of a model version."""
    return f"version/{model}/{version}"


def lease_key(name: str) -> str:
    """Catalog key of a lease."""
    return f"lease/{name}"


def drain_key(server: str) -> str:
    """Catalog key of a drain."""
    return f"drain/{server}"


__all__ = [
    "CatalogItem",
    "CatalogValue",
    "DrainRecord",
    "HistoryEntry",
    "LeaseRecord",
    "Limits",
    "ModelChoice",
    "Policy",
    "Row",
    "ServiceRule",
    "StoredRow",
    "VersionRecord",
    "drain_key",
    "lease_key",
    "row_key",
    "version_key",
]
