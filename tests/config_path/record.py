"""What operators sent and were told, what entries had in force, and what must never be seen."""

from __future__ import annotations

import json
from collections.abc import Callable

from leadhollow.routing.index import RouteIndex

HOST = "crews.example"
IN_FORCE_S = 2.0  # from the acknowledgement until the table must be in force everywhere


class Document:
    """A route table as an operator sends it.

    Parameters
    ----------
    prefixes
        Routes by prefix, each with its time-out.
    fault
        What makes it invalid; empty for a valid one.
    """

    def __init__(self, *, number: int, prefixes: dict[str, int], fault: str = "") -> None:
        self.number = number
        self.prefixes = prefixes
        self.fault = fault
        self.body = _spoil(fault, self._content())

    def _content(self) -> dict[str, object]:
        routes = [
            {
                "name": f"r{place}",
                "host": HOST,
                "pathPrefix": prefix,
                "type": "idempotent",
                "timeoutMs": timeout_ms,
                "service": "s",
                "public": True,
            }
            for place, (prefix, timeout_ms) in enumerate(self.prefixes.items())
        ]
        return {"version": self.number, "routes": routes, "services": [{"name": "s"}]}


FAULTS = ("cut short", "unknown service", "same place", "no weight", "no timeout", "shared key")


def _spoil(fault: str, content: dict[str, object]) -> bytes:
    routes: list[dict[str, object]] = content["routes"]  # type: ignore[assignment]
    match fault:
        case "cut short":
            return json.dumps(content).encode()[:-7]
        case "unknown service":
            routes[0]["service"] = "nobody"
        case "same place":
            routes.append({**routes[0], "name": "again", "host": HOST.upper()})
        case "no weight":
            del routes[0]["service"]
            routes[0]["backends"] = [{"service": "s", "weight": 0}]
        case "no timeout":
            routes[0]["timeoutMs"] = 0
        case "shared key":
            content["tenants"] = [{"name": name, "apiKeys": ["k"]} for name in ("a", "b")]
    return json.dumps(content).encode()


class Record:
    """History of one run; ``broken`` holds what was seen and must not be."""

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self.lost_answers = 0.0
        self.broken: list[str] = []
        self._valid: dict[int, list[Document]] = {}  # by number, as they were sent
        self._acknowledged: dict[int, float] = {}  # when first
        self._content: dict[int, dict[str, int]] = {}  # as first seen in force or read
        self._in_force: dict[str, int] = {}  # by entry, in this life of its process
        self.refusals_of_valid: list[int] = []

    def break_rule(self, what: str) -> None:
        if len(self.broken) < 20:
            self.broken.append(f"{self._now_s():.3f}: {what}")

    # operators

    def sent(self, document: Document) -> None:
        if not document.fault:
            self._valid.setdefault(document.number, []).append(document)

    def acknowledged(self, document: Document, began_s: float) -> None:
        if document.fault:
            self.break_rule(f"an invalid table ({document.fault}) was acknowledged")
        self._acknowledged.setdefault(document.number, self._now_s())

    def refused(self, document: Document, status: int) -> None:
        if not document.fault:
            self.break_rule(f"the valid table {document.number} was refused with {status}")

    def refused_start(self, host: str, failure: str) -> None:
        self.break_rule(f"{host} does not start: {failure}")

    def newest_acknowledged(self) -> int:
        """Give the highest number that was acknowledged so far, -1 before any."""
        return max(self._acknowledged, default=-1)

    def read(self, host: str, found: dict[str, object], expected: int) -> None:
        number = found["version"]
        assert isinstance(number, int)
        if number < expected:
            self.break_rule(f"{host} read {number} after {expected} was acknowledged")
        bodies = [json.loads(document.body) for document in self._valid.get(number, [])]
        if found not in bodies:
            self.break_rule(f"{host} read under {number} what nobody sent under it")
            return
        routes = found["routes"]
        assert isinstance(routes, list)
        self._same(host, number, {each["pathPrefix"]: each["timeoutMs"] for each in routes})

    # entries

    def entry_starts(self, host: str) -> None:
        self._in_force.pop(host, None)

    def seen(self, host: str, routes: RouteIndex) -> None:
        """Take what an entry has in force now."""
        if not routes.has_table:
            return
        number = routes.number
        before = self._in_force.get(host)
        if before == number:
            return
        if before is not None and number < before:
            self.break_rule(f"{host} went back from {before} to {number}")
        self._in_force[host] = number
        self._same(host, number, self._served(routes))

    def _served(self, routes: RouteIndex) -> dict[str, int]:
        """Give what requests find, of all prefixes that any table ever had."""
        every = {
            prefix for found in self._valid.values() for each in found for prefix in each.prefixes
        }
        served = {}
        for prefix in every:
            route = routes.route(HOST, f"{prefix}x")
            if route is not None and route.path_prefix == prefix:
                served[prefix] = route.timeout_ms
        return served

    def _same(self, host: str, number: int, content: dict[str, int]) -> None:
        """Check that content was sent under its number, and is the same wherever it is seen."""
        if content not in [document.prefixes for document in self._valid.get(number, [])]:
            self.break_rule(f"{host} has under {number} what nobody sent under it: {content}")
        first = self._content.setdefault(number, content)
        if first != content:
            self.break_rule(f"{host} has other content under {number} than was seen before")

    def check_in_force(self, hosts: tuple[str, ...]) -> None:
        """Check that all entries have the newest acknowledged table, where all was calm."""
        newest = self.newest_acknowledged()
        for host in hosts:
            number = self._in_force.get(host, -1)
            if number < newest:
                self.break_rule(f"{host} has {number} in force, {newest} was acknowledged")


__all__ = ["FAULTS", "HOST", "IN_FORCE_S", "Document", "Record"]
