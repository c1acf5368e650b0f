"""What callers get of an answer's fields."""

from __future__ import annotations

from types import SimpleNamespace

from leadhollow.forward.response_relay import relayed_headers
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import Framing, ResponseHead
from leadhollow.platform.callers import PlatformCalls


def passed(status: int, *fields: tuple[bytes, bytes]) -> list[bytes]:
    head = ResponseHead(
        status=status, reason=b"", headers=Headers(items=fields), framing=Framing.LENGTH
    )
    exchange = SimpleNamespace(
        answer=SimpleNamespace(head=head), facts=PlatformCalls().parse_response(head)
    )
    return [name for name, _ in relayed_headers(exchange)]


class TestFields:
    # Guards against: callers that stay away for as long as a server wants rest of this VM.
    def test_that_ask_this_vm_for_rest_are_not_passed_on(self):
        fields = [(b"X-Response-Signature", b"s"), (b"Retry-After", b"600"), (b"X-Own", b"1")]
        assert passed(503, *fields) == [b"X-Response-Signature", b"X-Own"]

    def test_are_passed_on_else_but_for_those_that_frame_the_body(self):
        fields = [(b"Retry-After", b"600"), (b"Content-Length", b"3"), (b"Connection", b"close")]
        assert passed(429, *fields) == [b"Retry-After"]
