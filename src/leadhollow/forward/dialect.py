"""Interface that reads and writes the HTTP metadata of callers, entries and backend servers.

A deployment implements `CallDialect` for its own header names.
"""

from __future__ import annotations

from typing import Protocol

from result import Result

from leadhollow.failure import Failure
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead, ResponseHead


class RequestMetadata:
    """Metadata that a caller sends with its request.

    Parameters
    ----------
    attempt_id
        Id that the caller assigned to this attempt; empty if it assigned none.
    deadline_ms
        How long the caller waits from now on; None if it does not state it.
    key
        The caller's key; empty if it sent none.
    model
        Requested model; empty for a plain service.
    prompt_tokens, output_tokens
        Size of the prompt, and the maximum number of tokens to generate.
    output_hint_tokens
        The caller's estimate of the generated tokens; None if it gave none.
    prefix_ids
        Ids of the prompt's prefix parts in order.
    last_event_id
        Event after which the stream is to resume; None to start at the beginning.
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
    """Metadata that an entry adds to a request for a backend server.

    Parameters
    ----------
    deadline_ms
        Remaining time of the caller.
    instance
        Name of the instance that the request is meant for; any other instance refuses it.
    organisation
        Group of the caller; None on a public route.
    version
        Version of the weights that must serve the request; None if any may.
    last_event_id
        Event after which the stream resumes; None from the beginning.
    urgency
        Priority from 0 (first) to 9 (last); None for the default.

    Attributes
    ----------
    connect_s
        Time that it took to get a connection.
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
    """Metadata of a backend server's response.

    Parameters
    ----------
    attempt_id
        Attempt that the response belongs to; None if it does not state it.
    signed
        Whether the backend server signed the response.
    not_executed
        Whether the backend server states that the request did not run and never will.
    instance
        Name of the instance that responded; None if it is not stated.
    limit_per_s
        Requests per second that the server takes from all entries together; None if it states no
        limit.
    limit_malformed
        Whether the stated limit cannot be parsed, so that the previous one stays in force.
    cold_remaining_ms
        Time for which the server stays cold; None if it does not state it.
    cold_malformed
        Whether the stated time cannot be parsed, so that what was known before holds.
    leaving
        Whether the server is about to end and wants no more requests.
    rest_s
        Back-off: time for which the server wants no more requests from this VM; None if it asks for
        none.
    rest_malformed
        Whether the back-off cannot be parsed, so that the previous one stays in force.
    internal_fields
        Names of header fields that are meant for this VM and not for the caller.
    event_fields
        Names of fields that the events of a stream may have beside the usual ones.
    """

    __slots__ = (
        "attempt_id",
        "cold_malformed",
        "cold_remaining_ms",
        "event_fields",
        "instance",
        "internal_fields",
        "leaving",
        "limit_malformed",
        "limit_per_s",
        "not_executed",
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
        cold_remaining_ms: float | None = None,
        cold_malformed: bool = False,
        leaving: bool = False,
        rest_s: float | None = None,
        rest_malformed: bool = False,
        ours: frozenset[bytes] = frozenset(),
        event_fields: frozenset[bytes] = frozenset(),
    ) -> None:
        self.event_fields = event_fields
        self.internal_fields = ours
        self.attempt_id = attempt_id
        self.instance = instance
        self.leaving = leaving
        self.rest_s = rest_s
        self.rest_malformed = rest_malformed
        self.limit_per_s = limit_per_s
        self.limit_malformed = limit_malformed
        self.cold_remaining_ms = cold_remaining_ms
        self.cold_malformed = cold_malformed
        self.signed = signed
        self.not_executed = not_executed


class CallDialect(Protocol):
    """Reads and writes the metadata of requests and responses."""

    def parse_request(self, head: RequestHead) -> Result[RequestMetadata, Failure]:
        """Parse the metadata of a caller's request.

        Errors
        ------
        REQUEST_MALFORMED
            A field cannot be parsed.
        """
        ...

    def dispatch_headers(self, head: RequestHead, dispatch: DispatchMetadata) -> Headers:
        """Return the header fields for a backend server, without those that frame the body."""
        ...

    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Parse the metadata of a backend server's response."""
        ...

    def error_headers(self, failure: Failure, retry_after_s: float | None) -> Headers:
        """Return the header fields of an error response that the entry itself sends."""
        ...


__all__ = ["CallDialect", "DispatchMetadata", "RequestMetadata", "ResponseMetadata"]
