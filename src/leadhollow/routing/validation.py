"""Validation rules of route tables."""

from __future__ import annotations

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.routing.model import (
    MIN_TABLE_NUMBER,
    Organisation,
    Route,
    RouteTable,
    ServiceRecord,
)

MAX_COLD_START_S = 3_600.0
MAX_COLD_REQUESTS_PER_S = 1e9


def check_table(table: RouteTable) -> Failure | None:
    """Check a table and return its first violation of a rule.

    Returns
    -------
    Failure or None
        ``TABLE_INVALID`` with the path of the field; None if the table is valid.
    """
    if table.number < MIN_TABLE_NUMBER:
        return _invalid("number", f"{table.number} is below {MIN_TABLE_NUMBER}")
    services = [service.name for service in table.services]
    if len(set(services)) != len(services):
        return _invalid("services", "a service is named twice")
    return (
        _check_routes(table.routes, set(services))
        or _check_services(table.services)
        or _check_keys(table.organisations)
    )


def _check_services(services: tuple[ServiceRecord, ...]) -> Failure | None:
    for service in services:
        field = f"services.{service.name}"
        if not 0 <= service.cold_start_s <= MAX_COLD_START_S:
            detail = f"cold for {service.cold_start_s} s, expected 0 to {MAX_COLD_START_S:g}"
            return _invalid(field, detail)
        if not 0 <= service.cold_requests_per_s <= MAX_COLD_REQUESTS_PER_S:
            detail = f"{service.cold_requests_per_s} requests per second while cold"
            return _invalid(field, f"{detail}, expected 0 to {MAX_COLD_REQUESTS_PER_S:g}")
    return None


def _check_routes(routes: tuple[Route, ...], services: set[str]) -> Failure | None:
    names_by_prefix: dict[tuple[str, str], str] = {}
    for route in routes:
        field = f"routes.{route.name}"
        host_and_prefix = (route.host.lower(), route.path_prefix)  # host names are case-insensitive
        if host_and_prefix in names_by_prefix:
            return _invalid(field, f"has the host and prefix of {names_by_prefix[host_and_prefix]}")
        names_by_prefix[host_and_prefix] = route.name
        for target in route.targets:
            if target.service not in services:
                return _invalid(field, f"leads to the unknown service {target.service}")
            if target.weight < 0:
                return _invalid(field, f"weight {target.weight} is below 0")
        if sum(target.weight for target in route.targets) <= 0:
            return _invalid(field, "its weights add up to 0")
        if route.timeout_ms <= 0:
            return _invalid(field, f"timeout of {route.timeout_ms} ms")
    return None


def _check_keys(organisations: tuple[Organisation, ...]) -> Failure | None:
    owners: dict[str, str] = {}
    names: set[str] = set()
    for organisation in organisations:
        if organisation.name in names:
            return _invalid(f"organisations.{organisation.name}", "is named twice")
        names.add(organisation.name)
        for key in organisation.key_sha256s:
            owner = owners.setdefault(key, organisation.name)
            if owner != organisation.name:
                return _invalid(f"organisations.{organisation.name}", f"shares a key with {owner}")
    return None


def _invalid(field: str, detail: str) -> Failure:
    return Failure(code=Code.TABLE_INVALID, detail=detail, field=field)


__all__ = ["check_table"]
