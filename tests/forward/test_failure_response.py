"""Why a request ended, as its line says it."""

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
    """What was logged."""

    def __init__(self) -> None:
        self.fields: list[dict[str, object]] = []

    def info(self, _: str, **fields: object) -> None:
        self.fields.append(fields)


@pytest.fixture
def lines(monkeypatch) -> Lines:
    made = Lines()
    monkeypatch.setattr("leadhollow.forward.failure_response.log", made)
    return made


class TestReason:
    # Guards against: a line says that a server ended what this process took back.
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
    async def test_is_that_of_the_failure(self, lines, code, attempts, reason):
        call = StreamWorld().call
        call.attempts = attempts
        call.reply.started = True
        ending = FailureResponder(dialect=Dialect())
        await ending.unknown(call, Failure(code=code))
        assert lines.fields[0]["reason"] == reason.value
        assert ending.cut[reason] == 1

    async def test_is_the_caller_s_deadline_where_that_came_first(self, lines):
        call = StreamWorld().call
        call.deadline_s -= 1.0
        call.attempts, call.reply.started = 1, True
        await FailureResponder(dialect=Dialect()).timed_out(call)
        assert lines.fields[0]["reason"] == EndReason.CALLER_DEADLINE.value
