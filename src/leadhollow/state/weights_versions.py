"""Versions of weights in the replicated state: named by operators, described by their origin."""

from __future__ import annotations

from leadhollow.state.catalog import Catalog
from leadhollow.state.commands import DescribeVersion, NameVersion
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion, weights_key

VERSIONS_KEPT = 3  # of each model: the newest, the one before, and one in between that was skipped


def name_version(command: NameVersion, catalog: Catalog, *, revision: int) -> list[CatalogItem]:
    """Take a version that engines shall run; one that is not newer changes nothing."""
    held = versions_of(catalog, command.model)
    existing = next((found for found in held if found.number == command.number), None)
    if existing is not None and existing.named:
        return []
    if any(found.named and found.number > command.number for found in held):
        return []
    manifest = None if existing is None else existing.manifest
    named = NamedVersion(model=command.model, number=command.number, named=True, manifest=manifest)
    return [_item(named, revision), *_forgotten(held, named, revision)]


def describe_version(
    command: DescribeVersion, catalog: Catalog, *, revision: int
) -> list[CatalogItem]:
    """Add a manifest; the first one that was committed stays."""
    held = versions_of(catalog, command.model)
    existing = next((found for found in held if found.number == command.number), None)
    if existing is not None and existing.manifest is not None:
        return []
    described = NamedVersion(
        model=command.model,
        number=command.number,
        named=existing is not None and existing.named,
        manifest=command.manifest,
    )
    return [_item(described, revision), *_forgotten(held, described, revision)]


def versions_of(catalog: Catalog, model: str) -> list[NamedVersion]:
    """Give the known versions of a model, the newest first."""
    found = [version for version in catalog.values(NamedVersion) if version.model == model]
    found.sort(key=lambda version: -version.number)
    return found


def _forgotten(held: list[NamedVersion], added: NamedVersion, revision: int) -> list[CatalogItem]:
    numbers = sorted({found.number for found in held} | {added.number}, reverse=True)
    return [
        CatalogItem(key=weights_key(added.model, number), revision=revision, value=None)
        for number in numbers[VERSIONS_KEPT:]
        if number != added.number
    ]


def _item(version: NamedVersion, revision: int) -> CatalogItem:
    key = weights_key(version.model, version.number)
    return CatalogItem(key=key, revision=revision, value=version)


__all__ = ["describe_version", "name_version", "versions_of"]
