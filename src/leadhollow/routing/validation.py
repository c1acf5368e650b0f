"""What makes a route table invalid."""

from __future__ import annotations

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.routing.model import MIN_TABLE_NUMBER, Organisation, Route, RouteTable


def check_table(table: RouteTable) -> Failure | None:
    """Find the first rule that a table breaks.

    Returns
    -------
    Failure or None
        ``TABLE_INVALID`` with the path of the field.
    """
    if table.number < MIN_TABLE_NUMBER:
        return _invalid("number", f"{table.number} is below {LOWEST_NUMBER}")
    services = [service.name for service in table.services]
    if len(set(services)) != len(services):
        return _invalid("services", "a service is named twice")
    return _check_routes(table.routes, set(services)) or _check_keys(table.organisations)


def _check_routes(routes: tuple[Route, ...], services: set[str]) -> Failure | None:
    places: dict[tuple[str, str], str] = {}
    for route in routes:
        field = f"routes.{route.name}"
        place = (route.host.lower(), route.path_prefix)  # hosts are the same in any case
        if place in places:
            return _invalid(field, f"has the host and prefix of {places[place]}")
        places[place] = route.name
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
