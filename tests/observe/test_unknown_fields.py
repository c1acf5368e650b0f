"""Fields that the adapter does not decode are reported once, and never fill the logs."""

from __future__ import annotations

import json

import pytest

from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import Framing, ResponseHead
from leadhollow.observe.unknown_fields import MAX_NAMES, UnknownFields
from leadhollow.platform import answer_fields
from leadhollow.platform.callers import PlatformCalls


@pytest.fixture
def lines(monkeypatch):
    found: list[dict[str, object]] = []

    class Recorder:
        def warning(self, message: str, **fields: object) -> None:
            found.append({"message": message, **fields})

    monkeypatch.setattr("leadhollow.observe.unknown_fields.log", Recorder())
    return found


def answer(*fields: tuple[bytes, bytes]) -> ResponseHead:
    return ResponseHead(
        status=200, reason=b"OK", headers=Headers(items=fields), framing=Framing.LENGTH
    )


class TestAnswers:
    def test_with_an_unknown_field_are_reported_once(self, lines):
        calls = PlatformCalls()
        for value in (b"1", b"2"):
            calls.parse_response(answer((b"X-Instance-Id", b"i-1"), (b"X-New-Field", value)))
        assert [(line["field"], line["sender"]) for line in lines] == [("x-new-field", "i-1")]

    def test_with_known_fields_are_not_reported(self, lines):
        fields = [(b"Content-Type", b"text/plain"), (b"X-ATTEMPT-ID", b"a"), (b"Date", b"now")]
        PlatformCalls().parse_response(answer(*fields))
        assert lines == []


class TestNames:
    def test_are_logged_without_their_values_and_cut(self, lines):
        PlatformCalls().parse_response(answer((b"X" * 10_000, b"secret")))
        assert "secret" not in json.dumps(lines)
        assert len(str(lines[0]["field"])) < 100

    def test_that_a_sender_invents_are_bounded(self, lines):
        unknown = UnknownFields(message="answer", known=())
        for number in range(10 * MAX_NAMES):
            unknown.check_headers(Headers(items=[(b"x-%d" % number, b"")]), sender="i-1")
        assert len(lines) == len(unknown.reported) == MAX_NAMES


class TestFieldsOfAnswers:
    # Guards against: a field of use that passes in silence because it is listed as known.
    def test_are_decoded_or_ignored_for_a_reason(self):
        assert not answer_fields.DECODED & answer_fields.IGNORED.keys()
        assert all(reason.strip() for reason in answer_fields.IGNORED.values())
        assert answer_fields.UNUSUAL <= answer_fields.DECODED

    def test_that_are_called_decoded_are_read_somewhere(self, project_root):
        folders = ("platform", "http1")
        code = "".join(
            path.read_text(encoding="utf-8")
            for folder in folders
            for path in (project_root / "src" / "leadhollow" / folder).glob("*.py")
            if path.name != "answer_fields.py"
        )
        unread = {name for name in answer_fields.DECODED if f'b"{name}"' not in code}
        assert not unread
