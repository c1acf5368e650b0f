"""Versions of weights in the replicated state: named by operators, with manifests of the origin."""

from __future__ import annotations

from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import DescribeVersion, NameVersion
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion, weights_key

VERSIONS_KEPT = 3  # per model: the newest, the one before it, and a skipped one between them


def name_version(command: NameVersion, catalog: Catalog, *, revision: int) -> list[CatalogItem]:
    """Name a version that engines are to run; an older one changes nothing."""
    known = versions_of(catalog, command.model)
    existing = next((version for version in known if version.number == command.number), None)
    if existing is not None and existing.named:
        return []
    if any(version.named and version.number > command.number for version in known):
        return []
    manifest = None if existing is None else existing.manifest
    named = NamedVersion(model=command.model, number=command.number, named=True, manifest=manifest)
    return [_item(named, revision), *_evicted(known, named, revision)]


def describe_version(
    command: DescribeVersion, catalog: Catalog, *, revision: int
) -> list[CatalogItem]:
    """Add the manifest of a version; the first one committed is kept."""
    known = versions_of(catalog, command.model)
    existing = next((version for version in known if version.number == command.number), None)
    if existing is not None and existing.manifest is not None:
        return []
    described = NamedVersion(
        model=command.model,
        number=command.number,
        named=existing is not None and existing.named,
        manifest=command.manifest,
    )
    return [_item(described, revision), *_evicted(known, described, revision)]


def versions_of(catalog: Catalog, model: str) -> list[NamedVersion]:
    """Return the known versions of a model, newest first."""
    versions = [version for version in catalog.values(NamedVersion) if version.model == model]
    versions.sort(key=lambda version: -version.number)
    return versions


def _evicted(known: list[NamedVersion], added: NamedVersion, revision: int) -> list[CatalogItem]:
    numbers = sorted({version.number for version in known} | {added.number}, reverse=True)
    return [
        CatalogItem(key=weights_key(added.model, number), revision=revision, value=None)
        for number in numbers[VERSIONS_KEPT:]
        if number != added.number
    ]


def _item(version: NamedVersion, revision: int) -> CatalogItem:
    key = weights_key(version.model, version.number)
    return CatalogItem(key=key, revision=revision, value=version)


__all__ = ["describe_version", "name_version", "versions_of"]
