"""Parses the responses that a server sends on one connection."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import Framing, ResponseHead, response_framing
from leadhollow.http1.response_checks import (
    JoinedResponseDetector,
    ResponseBounds,
    UnacceptableResponse,
    check_head,
)


class IncomingResponse:
    """A response whose head was received; its body may still arrive.

    Attributes
    ----------
    joined
        Looks for the head of another response within the body.
    """

    __slots__ = ("body", "head", "joined")

    def __init__(self, *, head: ResponseHead, body: IncomingBody) -> None:
        self.head = head
        self.body = body
        self.joined = JoinedResponseDetector()

    def feed(self, data: bytes) -> None:
        """Append a part of the body."""
        self.joined.feed(data)
        self.body.feed(data)

    def end(self, *, bytes_follow: bool) -> None:
        """End the body, as incomplete if another response seems to have begun within it."""
        if self._is_joined(bytes_follow=bytes_follow):
            detail = "another response began within the body"
            self.body.fail(Failure(code=Code.ENGINE_FAILED, detail=detail))
            self.body.discard()  # a relay must not get as many bytes as were declared
        else:
            self.body.finish()

    def _is_joined(self, *, bytes_follow: bool) -> bool:
        if self.head.framing is Framing.UNTIL_CLOSE:
            return self.joined.ends_within_head
        return bytes_follow and self.joined.may_be_joined


class ResponseParser:
    """Parser of one connection's responses.

    Parameters
    ----------
    on_response
        Called with each final response when its head is complete.
    pause, resume
        Pause and resume reading from the socket.

    Attributes
    ----------
    in_message
        Whether a part of a response was parsed and its end was not.
    keep_alive
        Whether the responses allow another request.
    keep_alive_s
        How long the server keeps an idle connection open; None if it did not say.
    """

    __slots__ = (
        "_bounds",
        "_ended",
        "_headers",
        "_in_head",
        "_method",
        "_on_response",
        "_parser",
        "_pause",
        "_progressed",
        "_reason",
        "_response",
        "_resume",
        "in_message",
        "keep_alive",
        "keep_alive_s",
    )

    def __init__(
        self,
        *,
        on_response: Callable[[IncomingResponse], None],
        pause: Callable[[], None],
        resume: Callable[[], None],
    ) -> None:
        self._on_response = on_response
        self._pause = pause
        self._resume = resume
        self._parser = httptools.HttpResponseParser(self)
        self._bounds = ResponseBounds()
        self._method = b"GET"
        self._headers = Headers()
        self._reason = b""
        self._in_head = False
        self._progressed = False  # whether the parsed bytes brought a part of a final response
        self._response: IncomingResponse | None = None
        self._ended: IncomingResponse | None = None  # its last byte was parsed just now
        self.in_message = False
        self.keep_alive = True
        self.keep_alive_s: float | None = None

    # interface for the connection

    def begin_request(self, method: bytes) -> None:
        """Expect the response to a request."""
        self._method = method
        self._bounds.begin_request()

    def feed(self, data: bytes) -> Failure | None:
        """Parse received bytes; return why they are not acceptable.

        Errors
        ------
        ENGINE_FAILED
            The bytes are not HTTP, exceed a bound, or hold joined responses.
        """
        refused = self._parse(data)
        if refused is not None:
            self._end_response(bytes_follow=True)
            self._release()
            return Failure(code=Code.ENGINE_FAILED, detail=refused)
        if self._ended is not None and not self._ended.joined.ends_within_head:
            self.end_response()
        return None

    @property
    def awaits_more(self) -> bool:
        """Whether a response is held back, because another one may have begun within its body."""
        return self._ended is not None

    def end_response(self) -> None:
        """Complete the response that is held back."""
        self._end_response(bytes_follow=False)

    def end_stream(self) -> None:
        """Complete a response that is delimited by the end of the connection."""
        self.end_response()
        response = self._response
        if response is not None and response.head.framing is Framing.UNTIL_CLOSE:
            response.end(bytes_follow=False)
            self._response = None

    def fail(self, failure: Failure) -> None:
        """Fail the response in progress; one that is held back has all its bytes."""
        self.end_response()
        if self._response is not None:
            self._response.body.fail(failure)
            self._response = None

    # parser callbacks

    def on_message_begin(self) -> None:
        """Start a response."""
        self._end_response(bytes_follow=True)
        self.in_message = self._in_head = True
        self._bounds.begin_message()
        self._headers = Headers()
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailers are dropped."""
        self._bounds.add_field()
        if self._in_head:
            self._headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Pass the response on; interim (1xx) responses are skipped."""
        self._in_head = False
        check_head(self._reason, self._headers)
        status = self._parser.get_status_code()
        if status < HTTPStatus.OK:
            self._bounds.add_interim()
            return
        self._progressed = True
        framing = response_framing(status=status, method=self._method, headers=self._headers)
        head = ResponseHead(
            status=status, reason=self._reason, headers=self._headers, framing=framing
        )
        body = IncomingBody(pause=self._pause, resume=self._resume)
        response = IncomingResponse(head=head, body=body)
        self.keep_alive_s = _keep_alive_s(self._headers)
        if self._method == b"HEAD":  # the parser expects a body, which a HEAD response lacks
            self.keep_alive = self.in_message = False
            body.finish()
        else:
            self._response = response
        self._on_response(response)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._progressed = True
        if self._response is not None:
            self._response.feed(data)

    def on_message_complete(self) -> None:
        """Complete the response, unless the bytes behind it say otherwise."""
        self.in_message = False
        if self._response is None:
            return
        if not self._parser.should_keep_alive():
            self.keep_alive = False
        self._ended, self._response = self._response, None

    def _parse(self, data: bytes) -> str | None:
        """Parse received bytes; return a reason to refuse them."""
        self._progressed = False
        try:
            self._parser.feed_data(data)
            if self._progressed:
                self._bounds.reset_overhead()
            else:
                self._bounds.add_overhead(len(data))
        except UnacceptableResponse as error:
            return str(error)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            return str(cause) if isinstance(cause, UnacceptableResponse) else f"no HTTP: {error}"
        return None

    def _release(self) -> None:
        """Drop what was kept of a refused response.

        Parser and callbacks refer to each other, so that it would wait for a garbage collection.
        """
        self._headers = Headers()
        self._reason = b""
        self._parser = httptools.HttpResponseParser(self)

    def _end_response(self, *, bytes_follow: bool) -> None:
        """End the response whose last byte was parsed, once it is known if bytes follow."""
        response, self._ended = self._ended, None
        if response is not None:
            response.end(bytes_follow=bytes_follow)


def _keep_alive_s(headers: Headers) -> float | None:
    """Return how long the server keeps an idle connection open (``Keep-Alive: timeout=5``)."""
    for token in headers.tokens(b"keep-alive"):
        name, _, value = token.partition(b"=")
        if name.strip() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None


__all__ = ["IncomingResponse", "ResponseParser"]
