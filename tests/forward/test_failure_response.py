"""Reason why a request ended, as its log line states it."""

from __future__ import annotations

import pytest

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.forward.end_reason import EndReason
from leadhollow.forward.failure_response import FailureResponder
from tests.forward.stream_world import StreamWorld


class Dialect:
    def error_headers(self, *_: object) -> None:
        return None


class Lines:
    """Records the fields of log lines."""

    def __init__(self) -> None:
        self.fields: list[dict[str, object]] = []

    def info(self, _: str, **fields: object) -> None:
        self.fields.append(fields)


@pytest.fixture
def lines(monkeypatch) -> Lines:
    captured = Lines()
    monkeypatch.setattr("leadhollow.forward.failure_response.log", captured)
    return captured


class TestLoggedReason:
    # Guards against: the log line blames the server for a request that this process cancelled.
    @pytest.mark.parametrize(
        ("code", "attempts", "reason"),
        [
            (Code.BACKEND_LOST, 1, EndReason.ENGINE_ENDED),
            (Code.WEIGHTS_TOO_OLD, 1, EndReason.WEIGHTS_TOO_OLD),
            (Code.REQUEST_QUARANTINED, 1, EndReason.QUARANTINED),
            (Code.NO_CAPACITY, 0, EndReason.NOT_TAKEN),
            (Code.DEADLINE_PASSED, 1, EndReason.ROUTE_TIMEOUT),
        ],
    )
    async def test_follows_from_the_failure(self, lines, code, attempts, reason):
        call = StreamWorld().call
        call.attempts = attempts
        call.reply.started = True
        responder = FailureResponder(dialect=Dialect())
        await responder.unknown(call, Failure(code=code))
        assert lines.fields[0]["reason"] == reason.value
        assert responder.truncated[reason] == 1

    async def test_is_the_callers_deadline_if_it_is_before_the_route_timeout(self, lines):
        call = StreamWorld().call
        call.deadline_s -= 1.0
        call.attempts, call.reply.started = 1, True
        await FailureResponder(dialect=Dialect()).timed_out(call)
        assert lines.fields[0]["reason"] == EndReason.CALLER_DEADLINE.value


class TestStatus:
    # Guards against: a request that was sent on, and then refused for want of memory, is said not
    # to have run.
    async def test_promises_nothing_for_a_request_that_was_sent(self):
        call = StreamWorld().call
        call.attempts = 1
        call.body.failure = Failure(code=Code.CALLERS_OVERLOAD)
        sent = []

        async def send(status, *_):
            sent.append(status)

        call.reply.send = send
        await FailureResponder(dialect=Dialect()).unknown(call, Failure(code=Code.BACKEND_LOST))
        assert sent == [502]
