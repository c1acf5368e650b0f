"""What operators and backend servers ask of a control replica, in the product's own terms."""

from __future__ import annotations

from typing import Protocol

from result import Result

from leadhollow.failure import Failure
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.membership.instances import Instance
from leadhollow.routing.model import RouteTable


class PutRouteTable:
    """An operator puts a whole route table in force.

    Parameters
    ----------
    source
        The document as it was sent; it is given back when the table is read.
    """

    __slots__ = ("source", "table")

    def __init__(self, *, table: RouteTable, source: bytes) -> None:
        self.table = table
        self.source = source


class GetRouteTable:
    """Somebody reads the route table in force."""

    __slots__ = ()


class NameWeightsVersion:
    """An operator names a version of a model's weights."""

    __slots__ = ("model", "number")

    def __init__(self, *, model: str, number: int) -> None:
        self.model = model
        self.number = number


class Announce:
    """A backend server says that it is there."""

    __slots__ = ("instance",)

    def __init__(self, *, instance: Instance) -> None:
        self.instance = instance


class Deregister:
    """A backend server says that it goes.

    Parameters
    ----------
    born_ms
        When the life that ends began; 0 where it does not say.
    """

    __slots__ = ("born_ms", "instance")

    def __init__(self, *, instance: str, born_ms: int = 0) -> None:
        self.instance = instance
        self.born_ms = born_ms


ControlRequest = PutRouteTable | GetRouteTable | NameWeightsVersion | Announce | Deregister


class ControlResponse:
    """An answer as it goes on the wire."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, *, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class ControlDialect(Protocol):
    """How control calls and their answers look on the wire."""

    def parse_request(
        self, head: RequestHead, body: bytes, now_s: float
    ) -> Result[ControlRequest, Failure]:
        """Decode a call.

        Errors
        ------
        REQUEST_MALFORMED
            There is no such call.
        TABLE_UNREADABLE, TABLE_INVALID, VERSION_MALFORMED
            The operator's document is wrong.
        """
        ...

    def accepted_response(self) -> ControlResponse:
        """Give the answer to a call that was carried out."""
        ...

    def document_response(self, source: bytes) -> ControlResponse:
        """Give the answer that carries the route table in force."""
        ...

    def error_response(self, failure: Failure) -> ControlResponse:
        """Give the answer to a call that was not carried out."""
        ...


__all__ = [
    "Announce",
    "ControlAnswer",
    "ControlCall",
    "ControlDialect",
    "Depart",
    "NameWeights",
    "PutTable",
    "ReadTable",
]
