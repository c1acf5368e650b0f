"""Strict decoding of settings files: each failure names the field that is wrong."""

from __future__ import annotations

import copy
import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.settings.load import load_settings, parse_settings
from leadhollow.settings.rules import check_deployment

EXAMPLES = Path(__file__).parents[2] / "examples"
ENTRY = json.loads((EXAMPLES / "ifrane" / "ifrane-entry-1.json").read_text())
BACKEND = json.loads((EXAMPLES / "ifrane" / "ifrane-dispatch-1.json").read_text())


def changed(base: dict, path: str, value: object) -> bytes:
    """Return settings with one field replaced; ``...`` as the value removes the field."""
    document = copy.deepcopy(base)
    *parents, last = path.split(".")
    target = document
    for name in parents:
        target = target[int(name)] if name.isdigit() else target[name]
    key = int(last) if last.isdigit() else last
    if value is ...:
        del target[key]
    else:
        target[key] = value
    return json.dumps(document).encode()


class TestExamples:
    @pytest.mark.parametrize("deployment", ["ifrane", "valdadige"])
    def test_are_valid_each_and_as_a_deployment(self, deployment):
        loaded = [load_settings(path) for path in sorted((EXAMPLES / deployment).glob("*.json"))]
        assert len(loaded) == 17
        assert [each.unwrap_err() for each in loaded if each.is_err()] == []
        assert check_deployment([each.unwrap() for each in loaded]) is None


class TestInvalidSettings:
    @pytest.mark.parametrize(
        ("base", "path", "value", "code", "field"),
        [
            (ENTRY, "vm", ..., Code.SETTINGS_FIELD, ""),
            (ENTRY, "vm", "Not A Name", Code.SETTINGS_FIELD, "vm"),
            (ENTRY, "colour", "red", Code.SETTINGS_FIELD, "colour"),
            (ENTRY, "wire.listen", "ifrane:7400", Code.SETTINGS_FIELD, "wire.listen"),
            (ENTRY, "wire.listen", "192.0.2.1:99999", Code.SETTINGS_FIELD, "wire.listen"),
            (ENTRY, "wire.token", "short", Code.SETTINGS_FIELD, "wire.token"),
            (ENTRY, "drain_deadline_ms", "30s", Code.SETTINGS_FIELD, "drain_deadline_ms"),
            (ENTRY, "drain_deadline_s", 30, Code.SETTINGS_FIELD, "drain_deadline_s"),
            (ENTRY, "drain_deadline_ms", 0, Code.SETTINGS_FIELD, "drain_deadline_ms"),
            (ENTRY, "roles", ["king"], Code.SETTINGS_FIELD, "roles[0]"),
            (ENTRY, "roles", [], Code.SETTINGS_FIELD, "roles"),
            (ENTRY, "logs.level", "loud", Code.SETTINGS_FIELD, "logs.level"),
            (ENTRY, "entry.retry_ratio", 2.0, Code.SETTINGS_FIELD, "entry.retry_ratio"),
            (ENTRY, "entry.retry_slack", -1.0, Code.SETTINGS_FIELD, "entry.retry_slack"),
            (ENTRY, "entry.retry_window_s", 0.0, Code.SETTINGS_FIELD, "entry.retry_window_s"),
            (ENTRY, "state.heartbeat_ms", 500, Code.SETTINGS_COMBINATION, "state.election"),
            (ENTRY, "data_folder", None, Code.SETTINGS_COMBINATION, "data_folder"),
            (ENTRY, "operators", None, Code.SETTINGS_COMBINATION, "operators"),
            (ENTRY, "entry", None, Code.SETTINGS_COMBINATION, "entry"),
            (ENTRY, "state_replicas.2", ..., Code.SETTINGS_COMBINATION, "state_replicas"),
            (ENTRY, "state_replicas.1.vm", "ifrane-entry-1", Code.SETTINGS_DUPLICATE, "[1].vm"),
            (ENTRY, "domain_replicas.1.address", "192.0.2.11:7400", Code.SETTINGS_DUPLICATE, "[1]"),
            (ENTRY, "failure_domain", "elsewhere", Code.SETTINGS_COMBINATION, "domain_replicas"),
            (BACKEND, "backend.slots", "x", Code.SETTINGS_FIELD, "backend.slots"),
            (BACKEND, "backend.slots", 0, Code.SETTINGS_FIELD, "backend.slots"),
            (BACKEND, "backend.url", "ftp://x", Code.SETTINGS_FIELD, "backend.url"),
            (BACKEND, "backend.kind", "service", Code.SETTINGS_COMBINATION, "backend.service"),
            (BACKEND, "backend.weights_share", 0, Code.SETTINGS_FIELD, "backend.weights_share"),
        ],
    )
    def test_failure_names_the_field(self, base, path, value, code, field):
        failure = parse_settings(changed(base, path, value)).unwrap_err()
        assert failure.code is code
        assert field in str(failure)

    def test_failure_of_a_wrong_unit_names_the_expected_one(self):
        failure = parse_settings(changed(ENTRY, "drain_deadline_ms", "30s")).unwrap_err()
        assert "milliseconds" in str(failure)

    def test_two_of_three_replicas_in_one_domain_are_refused(self):
        data = changed(ENTRY, "state_replicas.1.failure_domain", "ifrane")
        failure = parse_settings(data).unwrap_err()
        assert "failure domain" in failure.detail

    def test_text_other_than_json_is_refused(self):
        assert parse_settings(b"{").unwrap_err().code is Code.SETTINGS_NOT_JSON

    def test_a_missing_file_is_refused(self, tmp_path):
        failure = load_settings(tmp_path / "absent.json").unwrap_err()
        assert failure.code is Code.SETTINGS_UNREADABLE

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        field=st.sampled_from(sorted(ENTRY)),
        value=st.none() | st.booleans() | st.integers() | st.text() | st.lists(st.integers()),
    )
    def test_a_random_value_raises_no_exception(self, field, value):
        parse_settings(changed(ENTRY, field, value))


class TestCheckDeployment:
    def test_two_processes_with_the_same_vm_are_refused(self):
        loaded = parse_settings(json.dumps(ENTRY).encode()).unwrap()
        assert check_deployment([loaded, loaded]).code is Code.SETTINGS_DUPLICATE
