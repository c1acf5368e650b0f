"""Tests that unknown fields of messages are logged once, and that their number is limited."""

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


def response(*fields: tuple[bytes, bytes]) -> ResponseHead:
    return ResponseHead(
        status=200, reason=b"OK", headers=Headers(items=fields), framing=Framing.LENGTH
    )


class TestResponses:
    def test_with_unknown_field_are_reported_once(self, lines):
        calls = PlatformCalls()
        for value in (b"1", b"2"):
            calls.parse_response(response((b"X-Instance-Id", b"i-1"), (b"X-New-Field", value)))
        assert [(line["field"], line["sender"]) for line in lines] == [("x-new-field", "i-1")]

    def test_with_known_fields_are_not_reported(self, lines):
        fields = [(b"Content-Type", b"text/plain"), (b"X-ATTEMPT-ID", b"a"), (b"Date", b"now")]
        PlatformCalls().parse_response(response(*fields))
        assert lines == []


class TestNames:
    def test_are_logged_truncated_and_without_values(self, lines):
        PlatformCalls().parse_response(response((b"X" * 10_000, b"secret")))
        assert "secret" not in json.dumps(lines)
        assert len(str(lines[0]["field"])) < 100

    def test_are_limited_in_number(self, lines):
        unknown = UnknownFields(message="answer", known=())
        for number in range(10 * MAX_NAMES):
            unknown.check_headers(Headers(items=[(b"x-%d" % number, b"")]), sender="i-1")
        assert len(lines) == len(unknown.reported) == MAX_NAMES


class TestResponseFields:
    # Guards against: a useful field goes unnoticed because it is listed as known.
    def test_are_decoded_or_ignored_with_a_reason(self):
        assert not answer_fields.DECODED & answer_fields.IGNORED.keys()
        assert all(reason.strip() for reason in answer_fields.IGNORED.values())
        assert answer_fields.UNUSUAL <= answer_fields.DECODED

    def test_listed_as_decoded_are_read_in_the_code(self, project_root):
        folders = ("platform", "http1")
        code = "".join(
            path.read_text(encoding="utf-8")
            for folder in folders
            for path in (project_root / "src" / "leadhollow" / folder).glob("*.py")
            if path.name != "answer_fields.py"
        )
        unread = {name for name in answer_fields.DECODED if f'b"{name}"' not in code}
        assert not unread
