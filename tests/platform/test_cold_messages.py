"""Decoding of what services and engines say about cold servers, valid and malformed."""

from __future__ import annotations

import json

import pytest

from leadhollow.codes import Code
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import Framing, RequestHead, ResponseHead
from leadhollow.membership.instances import MAX_COLD_MS, Instance
from leadhollow.platform.callers import PlatformCalls
from leadhollow.platform.configuration import read_configuration
from leadhollow.platform.control import PlatformControl
from leadhollow.routing.validation import check_table
from leadhollow.state.catalog import encode_item
from leadhollow.state.records import CatalogItem
from leadhollow.wire.generated.ttypes import InstanceRecord
from tests.platform.test_messages import HEARTBEAT

NOW_S = 100.0


def read_service(**fields):
    service = {"name": "s", **fields}
    body = json.dumps({"version": 1, "routes": [], "services": [service]}).encode()
    return read_configuration(body)


class TestServices:
    def test_name_the_rate_and_the_time(self):
        (service,) = read_service(coldStartS=3, coldPerS=18.5).unwrap().services
        assert (service.cold_start_s, service.cold_requests_per_s) == (3.0, 18.5)

    # Guards against: a deployment without cold servers sends or stores more than before.
    @pytest.mark.parametrize("fields", [{}, {"coldStartS": 0, "coldPerS": 0}])
    def test_without_them_are_encoded_without_the_fields(self, fields):
        (service,) = read_service(**fields).unwrap().services
        assert service.cold_requests_per_s == 0.0
        item = CatalogItem(key="service/s", revision=1, value=service)
        assert b"cold" not in encode_item(item)

    @pytest.mark.parametrize(
        "fields",
        [
            {"coldPerS": -1},
            {"coldPerS": 1e300},
            {"coldStartS": -0.5},
            {"coldStartS": 1e9},
        ],
    )
    def test_with_values_out_of_range_are_refused_with_the_field(self, fields):
        failure = check_table(read_service(**fields).unwrap())
        assert failure.code is Code.TABLE_INVALID
        assert failure.field == "services.s"

    @pytest.mark.parametrize("value", ["nan", "18", None, [], {}, True])
    @pytest.mark.parametrize("field", ["coldPerS", "coldStartS"])
    def test_with_values_that_are_no_numbers_are_refused(self, field, value):
        failure = read_service(**{field: value}).unwrap_err()
        assert failure.code is Code.TABLE_UNREADABLE
        assert field in failure.detail

    @pytest.mark.parametrize("text", ["NaN", "Infinity", "1e999"])
    def test_with_numbers_beyond_json_are_refused(self, text):
        body = b'{"version": 1, "routes": [], "services": [{"name": "s", "coldPerS": TEXT}]}'
        read = read_configuration(body.replace(b"TEXT", text.encode()))
        assert read.is_err() or check_table(read.unwrap()) is not None


class TestHeartbeats:
    @staticmethod
    def read(cold_ms: object):
        body = json.dumps({**HEARTBEAT, "coldRemainingMs": cold_ms}).encode()
        head = RequestHead(method=b"PUT", target=b"/-/instances/i-1", headers=Headers(items=[]))
        return PlatformControl().parse_request(head, body, NOW_S)

    @pytest.mark.parametrize(
        ("cold_ms", "cold_s"), [(0, 0.0), (1500, 1.5), (-5, 0.0), (1e300, MAX_COLD_MS / 1000)]
    )
    def test_state_until_when_a_server_is_cold(self, cold_ms, cold_s):
        instance = self.read(cold_ms).unwrap().instance
        assert instance.cold_until_s == NOW_S + cold_s

    # Guards against: a number that no record can carry ends the task that sends it.
    def test_of_any_size_fit_a_record(self):
        record = self.read(1e300).unwrap().instance.to_record(NOW_S)
        assert isinstance(record, InstanceRecord)
        assert 0 <= record.cold_ms < 2**31
        assert Instance.from_record(record, NOW_S).cold_until_s == NOW_S + MAX_COLD_MS / 1000

    @pytest.mark.parametrize("cold_ms", ["nan", None, []])
    def test_with_no_number_are_refused(self, cold_ms):
        assert self.read(cold_ms).unwrap_err().code is Code.REQUEST_MALFORMED


class TestResponses:
    @staticmethod
    def read(*values: bytes, status: int = 200):
        fields = [(b"X-Cold-Ms", value) for value in values]
        response = ResponseHead(
            status=status, reason=b"", headers=Headers(items=fields), framing=Framing.LENGTH
        )
        return PlatformCalls().parse_response(response)

    @pytest.mark.parametrize("status", [200, 421, 503])
    @pytest.mark.parametrize(
        ("value", "cold_ms"), [(b"0", 0.0), (b" 1500.5 ", 1500.5), (b"999999999", MAX_COLD_MS)]
    )
    def test_name_the_remaining_time(self, status, value, cold_ms):
        found = self.read(value, status=status)
        assert (found.cold_remaining_ms, found.cold_malformed) == (cold_ms, False)

    @pytest.mark.parametrize(
        "values", [(b"",), (b"-1",), (b"nan",), (b"1e12",), (b"1,3",), (b"1", b"2"), (b"9" * 8000,)]
    )
    def test_with_a_malformed_time_differ_from_those_without(self, values):
        found = self.read(*values)
        assert (found.cold_remaining_ms, found.cold_malformed) == (None, True)

    def test_without_the_field_name_none(self):
        found = self.read()
        assert (found.cold_remaining_ms, found.cold_malformed) == (None, False)
