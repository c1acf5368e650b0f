"""Tests of the format of log records."""

from __future__ import annotations

import json
import logging

from leadhollow.observe.logs import LogFormat, _FieldFormatter, get_logger, log_decision


def capture(work) -> logging.LogRecord:
    records = []
    handler = logging.Handler()
    handler.emit = records.append
    logger = logging.getLogger("absl")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.DEBUG)
    try:
        work()
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
    return records[0]


class TestFormats:
    def test_json_record_is_one_line_with_fields(self):
        record = capture(lambda: get_logger("part").warning("it\nhappened", server="s", count=2))
        line = _FieldFormatter(LogFormat.JSON).format(record)
        assert "\n" not in line
        document = json.loads(line)
        assert document["component"] == "part"
        assert (document["server"], document["count"]) == ("s", 2)

    def test_text_record_lists_fields(self):
        record = capture(lambda: log_decision("route", request_id="r", server="s"))
        text = _FieldFormatter(LogFormat.TEXT).format(record)
        assert text.endswith("decision: route request_id=r server=s")

    def test_exception_is_a_field_of_the_record(self):
        def work():
            try:
                raise ValueError("planted")
            except ValueError:
                get_logger("part").exception("failed")

        document = json.loads(_FieldFormatter(LogFormat.JSON).format(capture(work)))
        assert "planted" in document["exception"]
