"""Requests and responses of the control API, independent of their HTTP encoding.

Operators and backend servers send these requests to a control replica. A :class:`ControlDialect`
translates them from and to HTTP.
"""

from __future__ import annotations

from typing import Protocol

from result import Result

from leadhollow.failure import Failure
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.membership.instances import Instance
from leadhollow.routing.model import RouteTable


class PutRouteTable:
    """Request of an operator to replace the route table.

    Parameters
    ----------
    source
        The document as the operator sent it; :class:`GetRouteTable` returns it unchanged.
    """

    __slots__ = ("source", "table")

    def __init__(self, *, table: RouteTable, source: bytes) -> None:
        self.table = table
        self.source = source


class GetRouteTable:
    """Request for the route table in force."""

    __slots__ = ()


class NameWeightsVersion:
    """Request of an operator to name a new version of a model's weights."""

    __slots__ = ("model", "number")

    def __init__(self, *, model: str, number: int) -> None:
        self.model = model
        self.number = number


class SetDomainEvacuation:
    """Request of an operator to evacuate a failure domain, or to restore it.

    Parameters
    ----------
    evacuated
        Whether the backend servers of the failure domain are to get no requests.
    """

    __slots__ = ("domain", "evacuated")

    def __init__(self, *, domain: str, evacuated: bool) -> None:
        self.domain = domain
        self.evacuated = evacuated


class Announce:
    """Announcement of a backend server, repeated as its heartbeat."""

    __slots__ = ("instance",)

    def __init__(self, *, instance: Instance) -> None:
        self.instance = instance


class Deregister:
    """Request of a backend server to be removed from the registry.

    Parameters
    ----------
    born_ms
        Start time of the life that ends, in milliseconds of the server's clock; 0 if not given.
    """

    __slots__ = ("born_ms", "instance")

    def __init__(self, *, instance: str, born_ms: int = 0) -> None:
        self.instance = instance
        self.born_ms = born_ms


ControlRequest = (
    PutRouteTable | GetRouteTable | NameWeightsVersion | SetDomainEvacuation | Announce | Deregister
)


class ControlResponse:
    """HTTP response to a control request."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, *, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class ControlDialect(Protocol):
    """HTTP encoding of control requests and responses."""

    def parse_request(
        self, head: RequestHead, body: bytes, now_s: float
    ) -> Result[ControlRequest, Failure]:
        """Decode a request.

        Errors
        ------
        REQUEST_MALFORMED
            The API has no such request.
        TABLE_UNREADABLE, TABLE_INVALID, VERSION_MALFORMED
            The document of the operator is invalid.
        """
        ...

    def accepted_response(self) -> ControlResponse:
        """Return the response to a request that succeeded."""
        ...

    def document_response(self, source: bytes) -> ControlResponse:
        """Return the response that contains the route table in force."""
        ...

    def error_response(self, failure: Failure) -> ControlResponse:
        """Return the response to a request that failed."""
        ...


__all__ = [
    "Announce",
    "ControlDialect",
    "ControlRequest",
    "ControlResponse",
    "Deregister",
    "GetRouteTable",
    "NameWeightsVersion",
    "PutRouteTable",
    "SetDomainEvacuation",
]
