"""Records operators' requests and the tables in force, and checks them for violations."""

from __future__ import annotations

import json
from collections.abc import Callable

from leadhollow.routing.index import RouteIndex

HOST = "crews.example"
IN_FORCE_S = 2.0  # from the acknowledgement of a table until all entries must serve it


class Document:
    """A route table as an operator sends it.

    Parameters
    ----------
    prefixes
        Routes by prefix, each with its time-out.
    fault
        What makes it invalid; empty if it is valid.
    """

    def __init__(self, *, number: int, prefixes: dict[str, int], fault: str = "") -> None:
        self.number = number
        self.prefixes = prefixes
        self.fault = fault
        self.body = _apply_fault(fault, self._build_content())

    def _build_content(self) -> dict[str, object]:
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


DOCUMENT_FAULTS = (
    "cut short",
    "unknown service",
    "same place",
    "no weight",
    "no timeout",
    "shared key",
)


def _apply_fault(fault: str, content: dict[str, object]) -> bytes:
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


class History:
    """History of one run.

    Attributes
    ----------
    violations
        Observations that break a promise of the system.
    lost_response_share
        Share of the responses to operators that are lost.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self.lost_response_share = 0.0
        self.violations: list[str] = []
        self._valid_documents: dict[int, list[Document]] = {}  # by number, in the order sent
        self._acknowledged_s: dict[int, float] = {}  # time of the first acknowledgement
        self._contents: dict[int, dict[str, int]] = {}  # as first in force or read
        self._in_force: dict[str, int] = {}  # by entry, since its process started
        self._newest_at_stop = -1  # acknowledged when no replica ran
        self.refusals_of_valid: list[int] = []

    def report_violation(self, what: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(f"{self._now_s():.3f}: {what}")

    # operators

    def note_sent(self, document: Document) -> None:
        if not document.fault:
            self._valid_documents.setdefault(document.number, []).append(document)

    def note_acknowledged(self, document: Document, began_s: float) -> None:
        if document.fault:
            self.report_violation(f"an invalid table ({document.fault}) was acknowledged")
        self._acknowledged_s.setdefault(document.number, self._now_s())

    def note_rejected(self, document: Document, status: int) -> None:
        if not document.fault:
            self.report_violation(f"the valid table {document.number} was refused with {status}")

    def note_failed_start(self, host: str, failure: str) -> None:
        self.report_violation(f"{host} does not start: {failure}")

    def newest_acknowledged(self) -> int:
        """Return the highest acknowledged number, -1 if there is none."""
        return max(self._acknowledged_s, default=-1)

    def check_read(self, host: str, found: dict[str, object], expected: int) -> None:
        number = found["version"]
        assert isinstance(number, int)
        if number < expected:
            self.report_violation(f"{host} read {number} after {expected} was acknowledged")
        bodies = [json.loads(document.body) for document in self._valid_documents.get(number, [])]
        if found not in bodies:
            self.report_violation(f"{host} read content under {number} that nobody sent")
            return
        routes = found["routes"]
        assert isinstance(routes, list)
        self._check_content(
            host, number, {each["pathPrefix"]: each["timeoutMs"] for each in routes}
        )

    # entries

    def note_entry_start(self, host: str) -> None:
        self._in_force.pop(host, None)

    def note_no_replica(self) -> None:
        """Record that no replica runs, so that all later confirmations cover what is known now."""
        self._newest_at_stop = self.newest_acknowledged()

    def note_in_force(self, host: str, routes: RouteIndex) -> None:
        """Record the table that an entry has in force now."""
        number = routes.number
        before = self._in_force.get(host)
        if before is None and number < self._newest_at_stop:
            newest = self._newest_at_stop
            self.report_violation(f"{host} starts with {number}, {newest} was acknowledged before")
        if before == number:
            return
        if before is not None and number < before:
            self.report_violation(f"{host} went back from {before} to {number}")
        self._in_force[host] = number
        self._check_content(host, number, self._served_prefixes(routes))

    def _served_prefixes(self, routes: RouteIndex) -> dict[str, int]:
        """Return the timeouts of the routes that requests match, for all prefixes of any table."""
        every = {
            prefix
            for found in self._valid_documents.values()
            for each in found
            for prefix in each.prefixes
        }
        served = {}
        for prefix in every:
            route = routes.route(HOST, f"{prefix}x")
            if route is not None and route.path_prefix == prefix:
                served[prefix] = route.timeout_ms
        return served

    def _check_content(self, host: str, number: int, content: dict[str, int]) -> None:
        """Check that content was sent under its number and is the same everywhere."""
        if content not in [document.prefixes for document in self._valid_documents.get(number, [])]:
            self.report_violation(f"{host} has content under {number} that nobody sent: {content}")
        first = self._contents.setdefault(number, content)
        if first != content:
            self.report_violation(f"{host} has different content under {number} than another host")

    def check_in_force(self, hosts: tuple[str, ...]) -> None:
        """Check that all entries have the newest acknowledged table, without faults."""
        newest = self.newest_acknowledged()
        for host in hosts:
            number = self._in_force.get(host, -1)
            if number < newest:
                self.report_violation(f"{host} has {number} in force, {newest} was acknowledged")


__all__ = ["DOCUMENT_FAULTS", "HOST", "IN_FORCE_S", "Document", "History"]
