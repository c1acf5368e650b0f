"""Header fields of a response that are relayed to the caller."""

from __future__ import annotations

from types import SimpleNamespace

from leadhollow.forward.response_relay import relayed_headers
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import Framing, ResponseHead
from leadhollow.platform.callers import PlatformCalls


def relayed(status: int, *fields: tuple[bytes, bytes]) -> list[bytes]:
    head = ResponseHead(
        status=status, reason=b"", headers=Headers(items=fields), framing=Framing.LENGTH
    )
    exchange = SimpleNamespace(
        response=SimpleNamespace(head=head), metadata=PlatformCalls().parse_response(head)
    )
    return [name for name, _ in relayed_headers(exchange)]


class TestFields:
    # Guards against: callers back off for as long as a server asked this VM to.
    def test_that_ask_this_vm_to_back_off_are_not_relayed(self):
        fields = [(b"X-Response-Signature", b"s"), (b"Retry-After", b"600"), (b"X-Own", b"1")]
        assert relayed(503, *fields) == [b"X-Response-Signature", b"X-Own"]

    def test_are_relayed_except_those_that_frame_the_body(self):
        fields = [(b"Retry-After", b"600"), (b"Content-Length", b"3"), (b"Connection", b"close")]
        assert relayed(429, *fields) == [b"Retry-After"]
