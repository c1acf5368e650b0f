"""What the product asks of the interface between callers, entries and backend servers."""

from __future__ import annotations

from typing import Protocol

from result import Result

from leadhollow.failure import Failure
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead, ResponseHead


class RequestMetadata:
    """What a caller says of its request.

    Parameters
    ----------
    attempt_id
        The caller's name of this attempt; empty where it gave none.
    deadline_ms
        How long the caller waits from now on; None where it does not say.
    key
        The caller's key; empty where it sent none.
    model
        Model that shall answer; empty for a plain service.
    prompt_tokens, output_tokens
        Size of the prompt, and the most that may be generated.
    output_hint_tokens
        The caller's guess of what will be generated; None where it gave none.
    prefix_ids
        Names of the prompt's parts in order.
    last_event_id
        Event of the stream after which to go on; None from the beginning.
    """

    __slots__ = (
        "attempt_id",
        "deadline_ms",
        "key",
        "last_event_id",
        "model",
        "output_hint_tokens",
        "output_tokens",
        "prefix_ids",
        "prompt_tokens",
    )

    def __init__(
        self,
        *,
        attempt_id: str = "",
        deadline_ms: float | None = None,
        key: str = "",
        model: str = "",
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        output_hint_tokens: float | None = None,
        prefix_ids: tuple[str, ...] = (),
        last_event_id: int | None = None,
    ) -> None:
        self.attempt_id = attempt_id
        self.deadline_ms = deadline_ms
        self.key = key
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.output_hint_tokens = output_hint_tokens
        self.prefix_ids = prefix_ids
        self.last_event_id = last_event_id


class DispatchMetadata:
    """What an entry adds to a request for a backend server.

    Parameters
    ----------
    deadline_ms
        What is left of the caller's time.
    instance
        Incarnation that the request is meant for; any other one refuses it.
    organisation
        Group of the caller; None on a public route.
    version
        Weights that must answer; None where any may.
    last_event_id
        Event after which the stream goes on; None from the beginning.
    urgency
        0 goes first, 9 last; None leaves the usual place.

    Attributes
    ----------
    connect_s
        Time until there was a connection.
    """

    __slots__ = (
        "connect_s",
        "deadline_ms",
        "instance",
        "last_event_id",
        "organisation",
        "urgency",
        "version",
    )

    def __init__(
        self,
        *,
        deadline_ms: float,
        instance: str,
        organisation: str | None,
        version: int | None = None,
        last_event_id: int | None = None,
        urgency: int | None = None,
    ) -> None:
        self.deadline_ms = deadline_ms
        self.instance = instance
        self.organisation = organisation
        self.version = version
        self.last_event_id = last_event_id
        self.urgency = urgency
        self.connect_s = 0.0


class ResponseMetadata:
    """What a backend server says of its answer.

    Parameters
    ----------
    attempt_id
        Attempt that it answers; None where it does not say.
    signed
        Whether it bears the backend server's signature.
    not_executed
        Whether the backend server says that the request did not run and never will.
    instance
        Incarnation that answered, where it says so.
    limit_per_s
        Requests a second that it takes from all entries together; None where it names no limit.
    limit_malformed
        Whether it names a limit that cannot be understood, so that what it said before holds.
    leaving
        Whether it says that it is about to end and wants no more requests.
    rest_s
        Time for which it wants no more requests from this VM; None where it asks for no rest.
    rest_malformed
        Whether it asks for a rest that cannot be understood, so that what it said before holds.
    ours
        Names of fields that are meant for this VM and not for the caller.
    """

    __slots__ = (
        "attempt_id",
        "instance",
        "leaving",
        "limit_malformed",
        "limit_per_s",
        "not_executed",
        "internal_fields",
        "rest_malformed",
        "rest_s",
        "signed",
    )

    def __init__(
        self,
        *,
        attempt_id: str | None,
        signed: bool,
        not_executed: bool,
        instance: str | None = None,
        limit_per_s: float | None = None,
        limit_malformed: bool = False,
        leaving: bool = False,
        rest_s: float | None = None,
        rest_malformed: bool = False,
        ours: frozenset[bytes] = frozenset(),
    ) -> None:
        self.internal_fields = ours
        self.attempt_id = attempt_id
        self.instance = instance
        self.leaving = leaving
        self.rest_s = rest_s
        self.rest_malformed = rest_malformed
        self.limit_per_s = limit_per_s
        self.limit_malformed = limit_malformed
        self.signed = signed
        self.not_executed = not_executed


class CallDialect(Protocol):
    """How requests and answers look on the wire."""

    def parse_request(self, head: RequestHead) -> Result[RequestMetadata, Failure]:
        """Decode what a caller says.

        Errors
        ------
        REQUEST_MALFORMED
            A field cannot be understood.
        """
        ...

    def dispatch_headers(self, head: RequestHead, dispatch: DispatchMetadata) -> Headers:
        """Give the fields that a backend server gets, without those that frame the body."""
        ...

    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Decode what a backend server says."""
        ...

    def error_headers(self, failure: Failure, retry_after_s: float | None) -> Headers:
        """Give the fields of an answer of our own."""
        ...


__all__ = ["AnswerFacts", "CallDialect", "CallFacts", "Dispatch"]
