"""Settings of processes that discover each other from seeds: decoding and validation."""

from __future__ import annotations

import json

import pytest

from leadhollow.codes import Code
from leadhollow.settings.node import load_node_settings, parse_node_settings

VALID = {
    "vm": "v",
    "region": "r",
    "failure_domain": "d",
    "role": "entry",
    "host": "10.0.0.1",
    "ports": [7000, 7009],
    "seeds": ["10.0.0.2:80"],
    "callers": "10.0.0.1:8000",
    "readiness": "10.0.0.1:8001",
}


def parse(**changes):
    fields = {key: value for key, value in {**VALID, **changes}.items() if value is not None}
    return parse_node_settings(json.dumps(fields).encode())


class TestNodeSettings:
    def test_valid_settings_are_accepted(self):
        assert parse().unwrap().metrics_address == "10.0.0.1:7001"

    @pytest.mark.parametrize(
        ("changes", "code", "field"),
        [
            ({"vm": 3}, Code.SETTINGS_FIELD, "vm"),
            ({"extra": 1}, Code.SETTINGS_FIELD, "extra"),
            ({"role": "king"}, Code.SETTINGS_FIELD, "role"),
            ({"seeds": ["nowhere"]}, Code.SETTINGS_FIELD, "seeds[0]"),
            ({"statsd": "nowhere"}, Code.SETTINGS_FIELD, "statsd"),
            ({"seeds": []}, Code.SETTINGS_COMBINATION, "seeds"),
            ({"ports": [7000, 7000]}, Code.SETTINGS_FIELD, "ports"),
            ({"ports": [9, 3]}, Code.SETTINGS_FIELD, "ports"),
            ({"callers": None}, Code.SETTINGS_COMBINATION, "callers"),
            ({"role": "control"}, Code.SETTINGS_COMBINATION, "operators"),
            ({"role": "stager"}, Code.SETTINGS_COMBINATION, "engine"),
            ({"tolerated_losses": -1}, Code.SETTINGS_FIELD, "tolerated_losses"),
            ({"readiness": "10.0.0.1:99999"}, Code.SETTINGS_FIELD, "readiness"),
            ({"memory_mb": 63}, Code.SETTINGS_FIELD, "memory_mb"),
            ({"max_descriptors": 63}, Code.SETTINGS_FIELD, "max_descriptors"),
        ],
    )
    def test_failure_names_the_field(self, changes, code, field):
        failure = parse(**changes).unwrap_err()
        assert (failure.code, failure.field) == (code, field)

    def test_text_other_than_json_is_refused(self):
        assert parse_node_settings(b"{").unwrap_err().code is Code.SETTINGS_NOT_JSON

    def test_a_missing_file_is_refused(self, tmp_path):
        result = load_node_settings(tmp_path / "absent")
        assert result.unwrap_err().code is Code.SETTINGS_UNREADABLE
