"""Header fields of caller requests and of backend server responses, in the platform's format.

Entries use this module to decode a caller's request, to write the request to a backend server,
and to decode its response.
"""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.forward.dialect import DispatchMetadata, RequestMetadata, ResponseMetadata
from leadhollow.http1.decimal_fields import parse_decimal
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead, ResponseHead
from leadhollow.membership.instances import MAX_COLD_MS
from leadhollow.observe.unknown_fields import UnknownFields
from leadhollow.platform import answer_fields
from leadhollow.platform.leaving import announces_leaving

ATTEMPT_ID = b"x-attempt-id"
DEADLINE_MS = b"x-deadline-ms"
MODEL = b"x-model"
TOKEN_USAGE = b"x-token-usage"  # prompt tokens, then the maximum of output tokens
PROMPT_PREFIX = b"x-prompt-prefix"
LENGTH_HINT = b"x-length-hint"
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = "bearer"
TENANT = b"x-tenant"  # the caller's organisation
EXPECT_INSTANCE = b"x-expect-instance"
EXPECT_VERSION = b"x-expect-version"
REQUEST_PRIORITY = b"x-request-priority"
SIGNATURE = b"x-response-signature"
NOT_EXECUTED = b"x-not-executed"
INSTANCE_ID = b"x-instance-id"
RETRY_AFTER = b"retry-after"
COLD_MS = b"x-cold-ms"  # time for which a server stays cold
SERVER_LIMIT = b"server-limit"  # requests per second that a server accepts from all entries

EVENT_FIELDS = frozenset({b"x-weight-versions"})  # in an event at which the version changes
BACKOFF_FIELDS = frozenset({RETRY_AFTER})
NO_FIELDS: frozenset[bytes] = frozenset()

NOT_FORWARDED = frozenset(
    {
        AUTHORIZATION,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        LAST_EVENT_ID,
        REQUEST_PRIORITY,
        TENANT,
        b"content-length",
        b"expect",
    }
)
"""Request fields of callers that are set by the entry or belong to the caller's connection."""


class PlatformCalls:
    """Decodes and writes the header fields of requests and responses."""

    __slots__ = ("_unknown",)

    def __init__(self) -> None:
        self._unknown = UnknownFields(
            message="answer", known=answer_fields.KNOWN, unusual=answer_fields.UNUSUAL
        )

    def parse_request(self, head: RequestHead) -> Result[RequestMetadata, Failure]:
        """Decode the header fields of a caller's request.

        Errors
        ------
        REQUEST_MALFORMED
            A number or a pair of token counts cannot be parsed.
        """
        headers = head.headers
        usage = _token_counts(headers.text(TOKEN_USAGE))
        deadline = _number(headers.text(DEADLINE_MS))
        hint = _number(headers.text(LENGTH_HINT))
        last_event = _number(headers.text(LAST_EVENT_ID))
        for parsed in (usage, deadline, hint, last_event):
            if parsed.is_err():
                return Err(parsed.unwrap_err())
        prompt_tokens, output_tokens = usage.unwrap()
        last_event_id = last_event.unwrap()
        return Ok(
            RequestMetadata(
                attempt_id=headers.text(ATTEMPT_ID),
                deadline_ms=deadline.unwrap(),
                key=_api_key(headers.text(AUTHORIZATION)),
                model=headers.text(MODEL),
                prompt_tokens=prompt_tokens,
                output_tokens=output_tokens,
                output_hint_tokens=hint.unwrap(),
                prefix_ids=_prefix_ids(headers.get_all(PROMPT_PREFIX)),
                last_event_id=None if last_event_id is None else int(last_event_id),
            )
        )

    def dispatch_headers(self, head: RequestHead, dispatch: DispatchMetadata) -> Headers:
        """Return the header fields of the request to a backend server."""
        headers = head.headers.end_to_end().without(NOT_FORWARDED)
        headers.add(b"X-Deadline-Ms", b"%d" % int(dispatch.deadline_ms))
        headers.add(b"X-Expect-Instance", dispatch.instance.encode())
        if dispatch.organisation is not None:
            headers.add(b"X-Tenant", dispatch.organisation.encode())
        if dispatch.version is not None:
            headers.add(b"X-Expect-Version", b"%d" % dispatch.version)
        if dispatch.last_event_id is not None:
            headers.add(b"Last-Event-Id", b"%d" % dispatch.last_event_id)
        if dispatch.urgency is not None:
            headers.add(b"X-Request-Priority", b"%d" % dispatch.urgency)
        return headers

    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Decode the header fields of a backend server's response."""
        headers = head.headers
        attempt_ids = headers.get_all(ATTEMPT_ID)
        instance = headers.text(INSTANCE_ID)
        has_unusual = self._unknown.check_headers(headers, sender=instance)
        limits = headers.get_all(SERVER_LIMIT) if has_unusual else []
        limit_per_s = parse_decimal(limits)
        colds = headers.get_all(COLD_MS) if has_unusual else []
        cold_ms = parse_decimal(colds)
        unavailable = has_unusual and head.status == HTTPStatus.SERVICE_UNAVAILABLE
        backoffs = headers.get_all(RETRY_AFTER) if unavailable else []
        backoff_s = parse_decimal(backoffs)
        return ResponseMetadata(
            attempt_id=b", ".join(dict.fromkeys(attempt_ids)).decode("latin-1") or None,
            limit_per_s=limit_per_s,
            limit_malformed=bool(limits) and limit_per_s is None,
            cold_remaining_ms=cold_ms if cold_ms is None else min(cold_ms, MAX_COLD_MS),
            cold_malformed=bool(colds) and cold_ms is None,
            leaving=has_unusual and announces_leaving(headers),
            rest_s=backoff_s,
            rest_malformed=bool(backoffs) and backoff_s is None,
            ours=BACKOFF_FIELDS if backoffs else NO_FIELDS,
            event_fields=EVENT_FIELDS,
            signed=headers.get(SIGNATURE) is not None,
            not_executed=headers.get(NOT_EXECUTED) is not None,
            instance=instance or None,
        )

    def error_headers(self, failure: Failure, retry_after_s: float | None) -> Headers:
        """Return the header fields of a response that the entry itself gives for a failure."""
        headers = Headers(items=[(b"Content-Type", b"text/plain")])
        if retry_after_s is not None:
            headers.add(b"Retry-After", b"%.2f" % retry_after_s)
        return headers


def _number(text: str) -> Result[float | None, Failure]:
    if not text:
        return Ok(None)
    try:
        return Ok(float(text))
    except ValueError:
        return Err(Failure(code=Code.REQUEST_MALFORMED, detail=f"no number: {text!r}"))


def _token_counts(text: str) -> Result[tuple[int, int], Failure]:
    if not text:
        return Ok((0, 0))
    first, _, second = text.partition(",")
    try:
        return Ok((int(first), int(second or 0)))
    except ValueError:
        return Err(Failure(code=Code.REQUEST_MALFORMED, detail=f"no token counts: {text!r}"))


def _api_key(text: str) -> str:
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == AUTHORIZATION_SCHEME else ""


def _prefix_ids(fields: Iterable[bytes]) -> tuple[str, ...]:
    """Return the ids in a list of ID:TOKENS entries, which may span several fields.

    Ids are hexadecimal, so their case carries no meaning.
    """
    entries = b",".join(fields).decode("latin-1").lower().split(",")
    parts = [entry.partition(":")[0].strip() for entry in entries]
    return tuple(part for part in parts if part)


__all__ = ["PlatformCalls"]
