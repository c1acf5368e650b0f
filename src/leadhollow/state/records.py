"""Records of the replicated state: table rows, versions, leases and drains, with their keys."""

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
    """What the distribution of a model minimises."""

    LEAST_TIME = "least-time"
    FEWEST_ORIGIN_BYTES = "fewest-origin-bytes"


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits of a group over the whole system."""

    concurrency: int = 64
    tokens_per_s: int = 1_000_000
    queue: int = 256


class ModelChoice(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Version of a model that a group uses, with its placement."""

    version: str
    minimum_replicas: int = 1
    policy: Policy = Policy.FEWEST_ORIGIN_BYTES


class ServiceRule(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Treatment of a group's calls to a service that is not a model.

    Parameters
    ----------
    repeatable
        Whether POST and PATCH calls may be executed more than once.
    """

    repeatable: bool = False


class Row(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One row of the table: a group with its limits, models, services and API key hashes."""

    group: str
    weight: float
    limits: Limits = Limits()
    models: dict[str, ModelChoice] = {}
    services: dict[str, ServiceRule] = {}
    key_sha256s: tuple[str, ...] = ()


class StoredRow(msgspec.Struct, frozen=True, kw_only=True, tag="row"):
    """An accepted row, with the model versions of the row before that a rollout still needs."""

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
    """Holder of a lease, with the fencing number of its orders."""

    name: str
    holder: str
    fence: int
    ttl_ms: int


class DrainRecord(msgspec.Struct, frozen=True, kw_only=True, tag="drain"):
    """A backend server that an operator drains."""

    server: str
    operator: str


class Evacuation(msgspec.Struct, frozen=True, kw_only=True, tag="evacuation"):
    """A failure domain whose backend servers get no requests.

    Parameters
    ----------
    since_ms
        When the order was received, in Unix milliseconds.
    """

    domain: str
    since_ms: int


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
    | Evacuation
)


class CatalogItem(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One item of the catalog; a removed item keeps its key and has no value."""

    key: str
    revision: int
    value: CatalogValue | None


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change of a row."""

    revision: int
    operation_id: str
    operator: str
    group: str
    before: Row | None
    after: Row | None


ROW_PREFIX = "row/"
EVACUATION_PREFIX = "evacuation/"


def row_key(group: str) -> str:
    """Return the catalog key of a row."""
    return f"{ROW_PREFIX}{group}"


def version_key(model: str, version: str) -> str:
    """Return the catalog key of a model version."""
    return f"version/{model}/{version}"


def lease_key(name: str) -> str:
    """Return the catalog key of a lease."""
    return f"lease/{name}"


def drain_key(server: str) -> str:
    """Return the catalog key of a drain."""
    return f"drain/{server}"


def evacuation_key(domain: str) -> str:
    """Return the catalog key of the evacuation of a failure domain."""
    return f"{EVACUATION_PREFIX}{domain}"


__all__ = [
    "EVACUATION_PREFIX",
    "CatalogItem",
    "CatalogValue",
    "DrainRecord",
    "Evacuation",
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
    "evacuation_key",
    "lease_key",
    "row_key",
    "version_key",
]
