"""Decoding and encoding of the platform's messages.

A message that cannot be decoded gives a failure with a code; no part of it is used.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.control.api import (
    Announce,
    Deregister,
    GetRouteTable,
    NameWeightsVersion,
    PutRouteTable,
    SetDomainEvacuation,
)
from leadhollow.failure import Failure
from leadhollow.forward.dialect import DispatchMetadata
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import Framing, RequestHead, ResponseHead
from leadhollow.membership.instances import InstanceState
from leadhollow.platform.callers import PlatformCalls
from leadhollow.platform.configuration import read_configuration
from leadhollow.platform.control import PlatformControl
from leadhollow.platform.engines import PlatformEngine
from leadhollow.platform.origin import PlatformOrigin
from leadhollow.routing.model import CallKind
from leadhollow.staging.engine_dialect import LoadOrder


def read_report(body: bytes, *fields: tuple[bytes, bytes]):
    response = ResponseHead(
        status=200, reason=b"OK", headers=Headers(items=fields), framing=Framing.LENGTH
    )
    return PlatformEngine().parse_report(response, body)


def request_head(method: str = "POST", target: str = "/a/b", **fields: str) -> RequestHead:
    items = [(name.replace("_", "-").encode(), value.encode()) for name, value in fields.items()]
    return RequestHead(method=method.encode(), target=target.encode(), headers=Headers(items=items))


class TestReadCall:
    def test_decodes_all_fields(self):
        facts = (
            PlatformCalls()
            .parse_request(
                request_head(
                    X_Attempt_Id="abc",
                    X_Deadline_Ms="6077",
                    X_Model="m",
                    X_Token_Usage="1460,80",
                    X_Length_Hint="33.5",
                    X_Prompt_Prefix="5c:800,91:410",
                    Last_Event_Id="12",
                    Authorization="Bearer secret",
                )
            )
            .unwrap()
        )
        assert facts.attempt_id == "abc"
        assert facts.deadline_ms == 6077.0
        assert facts.model == "m"
        assert (facts.prompt_tokens, facts.output_tokens) == (1460, 80)
        assert facts.output_hint_tokens == 33.5
        assert facts.prefix_ids == ("5c", "91")
        assert facts.last_event_id == 12
        assert facts.key == "secret"

    # A part under another spelling of its id would be taken for another part.
    @pytest.mark.parametrize(
        "items",
        [
            [(b"X-Prompt-Prefix", b"5C:800, 91 :1,,e4")],
            [(b"X-Prompt-Prefix", b"5c:800,91"), (b"x-prompt-prefix", b" E4:2")],
        ],
    )
    def test_reads_each_spelling_of_prompt_parts_alike(self, items):
        head = request_head()
        for name, value in items:
            head.headers.add(name, value)
        facts = PlatformCalls().parse_request(head).unwrap()
        assert facts.prefix_ids == ("5c", "91", "e4")

    def test_gives_defaults_without_fields(self):
        facts = PlatformCalls().parse_request(request_head()).unwrap()
        assert (facts.deadline_ms, facts.key, facts.model, facts.last_event_id) == (
            None,
            "",
            "",
            None,
        )

    @pytest.mark.parametrize(
        "fields",
        [{"X_Deadline_Ms": "soon"}, {"X_Token_Usage": "many,few"}, {"Last_Event_Id": "first"}],
    )
    def test_refuses_malformed_numbers(self, fields):
        failure = PlatformCalls().parse_request(request_head(**fields)).unwrap_err()
        assert failure.code is Code.REQUEST_MALFORMED


class TestDispatched:
    def test_replaces_the_fields_of_the_entry_and_forwards_the_others(self):
        sent = request_head(
            Host="h.example",
            X_Attempt_Id="abc",
            X_Model="m",
            X_Tenant="forged",
            X_Expect_Instance="forged",
            X_Request_Priority="0",
            Authorization="Bearer secret",
            Connection="keep-alive, X-Hop",
            X_Hop="one",
            Content_Length="3",
        )
        fields = PlatformCalls().dispatch_headers(
            sent,
            DispatchMetadata(
                deadline_ms=1500.7,
                instance="i-1",
                organisation="group",
                version=3,
                last_event_id=12,
            ),
        )
        assert fields.get_all(b"x-tenant") == [b"group"]
        assert fields.get_all(b"x-expect-instance") == [b"i-1"]
        assert fields.get_all(b"x-deadline-ms") == [b"1500"]
        assert fields.get_all(b"x-expect-version") == [b"3"]
        assert fields.get_all(b"last-event-id") == [b"12"]
        assert fields.get(b"x-attempt-id") == b"abc"
        assert fields.get(b"host") == b"h.example"
        for dropped in (b"authorization", b"x-hop", b"connection", b"x-request-priority"):
            assert fields.get(dropped) is None

    def test_drops_a_forged_tenant_where_there_is_no_group(self):
        dispatch = DispatchMetadata(deadline_ms=1.0, instance="i-1", organisation=None)
        fields = PlatformCalls().dispatch_headers(request_head(X_Tenant="forged"), dispatch)
        assert fields.get(b"x-tenant") is None


class TestReadAnswer:
    def test_decodes_all_fields(self):
        headers = Headers(
            items=[
                (b"X-Attempt-Id", b"abc"),
                (b"X-Response-Signature", b"s"),
                (b"X-Instance-Id", b"i-2"),
            ]
        )
        response = ResponseHead(status=200, reason=b"OK", headers=headers, framing=Framing.LENGTH)
        facts = PlatformCalls().parse_response(response)
        assert (facts.attempt_id, facts.signed, facts.not_executed, facts.instance) == (
            "abc",
            True,
            False,
            "i-2",
        )

    def test_decodes_not_executed(self):
        headers = Headers(items=[(b"X-Not-Executed", b"1")])
        response = ResponseHead(status=503, reason=b"", headers=headers, framing=Framing.LENGTH)
        assert PlatformCalls().parse_response(response).not_executed


ROUTE = {
    "name": "r",
    "host": "h.example",
    "pathPrefix": "/a/",
    "type": "streaming",
    "timeoutMs": 6000,
    "targetLatencyMs": 405,
    "priority": 1,
    "service": "engines",
    "maxAttempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapTargetMs": 400,
    "someday": 1,
}
ENGINE = {
    "slots": 16,
    "kvCapacity": 317000,
    "stride": 5,
    "models": [{"name": "m", "pace": 1.0, "loadS": 4.0, "warmS": 0.3}],
    "step_ms": 9.27,
    "read_per_s": 20700.0,
    "usual": {"prompt": 979, "answer": 92},
    "layers": 16,
    "chunks": 96,
    "chunkBytes": 24576,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "engines", "healthPath": "/health", "maxConnections": 264, "engine": ENGINE},
        {"name": "origin", "origin": "172.20.0.3:8006", "zone": "z", "maxConnections": 48},
    ],
    "limits": {
        "maxHeaderBytes": 100,
        "maxBodyBytes": 200,
        "headerTimeoutMs": 3,
        "idleTimeoutMs": 4,
    },
    "tenants": [{"name": "g", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def configuration(**changes) -> bytes:
    return json.dumps({**CONFIGURATION, **changes}).encode()


def with_route(**changes) -> bytes:
    return configuration(routes=[{**ROUTE, **changes}])


class TestReadConfiguration:
    def test_decodes_a_whole_document(self):
        table = read_configuration(configuration()).unwrap()
        (route,) = table.routes
        assert table.number == 7
        assert route.kind is CallKind.STREAM
        assert (route.path_prefix, route.timeout_ms, route.objective_ms) == ("/a/", 6000, 405)
        assert (route.attempts, route.resumable, route.pause_objective_ms) == (2, True, 400)
        assert [(target.service, target.weight) for target in route.targets] == [("engines", 1.0)]
        engine, origin = table.services
        assert engine.engine.load_s == {"m": 0.3}
        assert (engine.engine.layers, engine.engine.chunks) == (16, 96)
        assert origin.origin == "172.20.0.3:8006"
        assert (table.limits.header_bytes, table.limits.idle_timeout_ms) == (100, 4)
        assert table.keyed
        assert len(table.organisations[0].key_sha256s) == 2

    def test_keeps_the_weights_of_a_split(self):
        split = [{"service": "engines", "weight": 90}, {"service": "origin", "weight": 10}]
        (route,) = read_configuration(with_route(backends=split)).unwrap().routes
        assert [target.weight for target in route.targets] == [90.0, 10.0]

    # a bound was dropped while decoding, or "null" was read as a bound that no region satisfies
    @pytest.mark.parametrize(
        ("regions", "expected"),
        [(["north", "nowhere-yet"], ("north", "nowhere-yet")), ([], ()), (None, ())],
    )
    def test_decodes_the_regions_of_routes_and_groups(self, regions, expected):
        (tenant,) = CONFIGURATION["tenants"]
        body = configuration(
            routes=[{**ROUTE, "allowedRegions": regions}],
            tenants=[{**tenant, "allowedRegions": regions}],
        )
        table = read_configuration(body).unwrap()
        assert table.routes[0].allowed_regions == expected
        assert table.organisations[0].allowed_regions == expected

    def test_binds_nobody_by_default(self):
        table = read_configuration(configuration()).unwrap()
        assert table.routes[0].allowed_regions == table.organisations[0].allowed_regions == ()

    def test_requires_no_key_without_tenants(self):
        without = {key: value for key, value in CONFIGURATION.items() if key != "tenants"}
        assert not read_configuration(json.dumps(without).encode()).unwrap().keyed

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            configuration()[:-20],
            b"[]",
            configuration(version="seven"),
            json.dumps({"version": 1}).encode(),
            with_route(type="carrier-pigeon"),
            with_route(timeoutMs="long"),
            with_route(allowedRegions="north"),
            with_route(allowedRegions=["north", 7]),
            configuration(tenants=[{"name": "g", "allowedRegions": {"north": True}}]),
        ],
    )
    def test_refuses_a_document_that_cannot_be_decoded(self, body):
        assert read_configuration(body).unwrap_err().code is Code.TABLE_UNREADABLE


def read_control_call(method: str, target: str, body: bytes = b""):
    return PlatformControl().parse_request(request_head(method, target), body, 100.0)


HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "coldRemainingMs": 500,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": [{"from": 0, "target": 16, "version": 1}],
    "sequence": 4,
}


class TestControlCalls:
    def test_decodes_calls_of_operators_and_deregistrations(self):
        assert isinstance(read_control_call("GET", "/-/config").unwrap(), GetRouteTable)
        put = read_control_call("PUT", "/-/config", configuration()).unwrap()
        assert isinstance(put, PutRouteTable)
        assert put.source == configuration()
        named = read_control_call("POST", "/-/version-put", b'{"model":"m","version":2}').unwrap()
        assert isinstance(named, NameWeightsVersion)
        assert (named.model, named.number) == ("m", 2)
        deregistration = read_control_call("DELETE", "/-/instances/i-1").unwrap()
        assert isinstance(deregistration, Deregister)
        assert deregistration.instance == "i-1"

    @pytest.mark.parametrize(("method", "evacuated"), [("POST", True), ("DELETE", False)])
    @pytest.mark.parametrize(
        ("target", "domain"),
        [
            ("/-/evacuations/kontinent-a", "kontinent-a"),
            ("/-/evacuations/north%20hall", "north hall"),
            ("/-/evacuations/halle-%C3%B6", "halle-\u00f6"),
            ("/-/evacuations/a%2Fb?x=1", "a/b"),
        ],
    )
    def test_decodes_evacuations(self, method, evacuated, target, domain):
        order = read_control_call(method, target).unwrap()
        assert isinstance(order, SetDomainEvacuation)
        assert (order.domain, order.evacuated) == (domain, evacuated)

    @pytest.mark.parametrize("name", ["", "%", "a%2", "a%zz", "%FF", "a%00", "a%0Ab"])
    @pytest.mark.parametrize("method", ["POST", "DELETE"])
    def test_refuses_a_failure_domain_that_is_no_encoded_name(self, method, name):
        failure = read_control_call(method, f"/-/evacuations/{name}").unwrap_err()
        assert failure.code is Code.REQUEST_MALFORMED

    def test_decodes_heartbeats(self):
        heartbeat = read_control_call(
            "PUT", "/-/instances/i-1", json.dumps(HEARTBEAT).encode()
        ).unwrap()
        assert isinstance(heartbeat, Announce)
        instance = heartbeat.instance
        assert (instance.instance, instance.address, instance.failure_domain) == (
            "i-1",
            "10.0.0.9:80",
            "z",
        )
        assert (instance.sequence, instance.state, instance.cold_until_s) == (
            4,
            InstanceState.READY,
            100.5,
        )
        assert [served.key() for served in instance.served] == [("m", 1, 0, 16)]

    def test_decodes_the_start_time_of_the_engine(self):
        heartbeat = json.dumps({**HEARTBEAT, "born": 1_790_000_000_123}).encode()
        announced = read_control_call("PUT", "/-/instances/i-1", heartbeat).unwrap()
        assert announced.instance.born_ms == 1_790_000_000_123
        deregistration = read_control_call("DELETE", "/-/instances/i-1", b'{"born":7}').unwrap()
        assert deregistration.born_ms == 7

    @pytest.mark.parametrize(
        "changes",
        [
            *({name: None} for name in ("service", "address", "zone", "state", "sequence")),
            *(
                {name: []}
                for name in HEARTBEAT
                if name not in ("version", "models", "layers", "stage")
            ),
            *({"born": born} for born in ("soon", 1.5, -1, 1 << 64, None)),
        ],
    )
    def test_refuses_a_heartbeat_with_a_field_of_a_wrong_type(self, changes):
        heartbeat = json.dumps({**HEARTBEAT, **changes}).encode()
        failure = read_control_call("PUT", "/-/instances/i-1", heartbeat).unwrap_err()
        assert failure.code is Code.REQUEST_MALFORMED

    @pytest.mark.parametrize("name", ["service", "address", "zone", "state", "sequence"])
    def test_refuses_a_heartbeat_without_a_required_field(self, name):
        heartbeat = {field: value for field, value in HEARTBEAT.items() if field != name}
        failure = read_control_call(
            "PUT", "/-/instances/i-1", json.dumps(heartbeat).encode()
        ).unwrap_err()
        assert failure.code is Code.REQUEST_MALFORMED

    @given(st.binary(max_size=200))
    def test_refuses_a_heartbeat_of_random_bytes(self, body):
        assert read_control_call("PUT", "/-/instances/i-1", body).is_err()

    @pytest.mark.parametrize(
        ("method", "target", "body", "code"),
        [
            ("GET", "/-/nothing", b"", Code.SERVICE_UNKNOWN),
            ("PUT", "/-/config", b"{", Code.TABLE_UNREADABLE),
            ("PUT", "/-/config", with_route(service="nobody"), Code.TABLE_INVALID),
            ("PUT", "/-/config", with_route(timeoutMs=0), Code.TABLE_INVALID),
            ("POST", "/-/version-put", b"{}", Code.VERSION_MALFORMED),
            ("PUT", "/-/instances/i-1", b"no", Code.REQUEST_MALFORMED),
            ("DELETE", "/-/instances/i-1", b'{"born":"soon"}', Code.REQUEST_MALFORMED),
            (
                "PUT",
                "/-/instances/i-1",
                json.dumps({**HEARTBEAT, "state": "asleep"}).encode(),
                Code.REQUEST_MALFORMED,
            ),
            (
                "PUT",
                "/-/instances/i-1",
                json.dumps({**HEARTBEAT, "slots": -5}).encode(),
                Code.REQUEST_MALFORMED,
            ),
        ],
    )
    def test_refuses_a_wrong_call_with_a_code(self, method, target, body, code):
        assert read_control_call(method, target, body).unwrap_err().code is code

    @pytest.mark.parametrize(
        ("code", "status"),
        [
            (Code.TABLE_INVALID, 400),
            (Code.TABLE_UNREADABLE, 400),
            (Code.NO_MAJORITY, 503),
            (Code.EDIT_UNKNOWN, 503),
            (Code.READ_UNCONFIRMED, 503),
        ],
    )
    def test_status_of_a_failure_tells_whether_to_retry(self, code, status):
        assert PlatformControl().error_response(Failure(code=code)).status == status


class TestEngineCalls:
    def test_decodes_reports(self):
        body = {
            "stage": "both",
            "models": [{"name": "m", "version": 2, "adapters": []}],
            "layers": {"from": 0, "target": 16, "version": 2},
            "busy": True,
            "sequence": 2,
            "queued": 1,
            "active": 12,
            "kvUsed": 41000,
            "kvTotal": 90000,
            "pace": 1.5,
        }
        report = read_report(json.dumps(body).encode()).unwrap()
        assert (report.busy, report.sequence, report.queued, report.active) == (True, 2, 1, 12)
        assert report.pace == 1.5
        assert [served.key() for served in report.served] == [("m", 2, 0, 16)]

    def test_a_model_without_layers_is_complete(self):
        report = read_report(b'{"models":[{"name":"m","version":1}]}').unwrap()
        assert report.served[0].end_layer > 1_000

    def test_serves_nothing_without_models(self):
        assert read_report(b'{"models":[],"layers":[]}').unwrap().served == ()

    def test_refuses_a_malformed_report_with_a_code(self):
        assert read_report(b"no").unwrap_err().code is Code.ENGINE_FAILED

    def test_encodes_load_orders(self):
        order = LoadOrder(model="m", version=2, preempt=True, expected_sequence=3)
        assert json.loads(PlatformEngine().encode_order(order)) == {
            "op": "start",
            "model": "m",
            "version": 2,
            "startMode": "preempt",
            "precondition": 3,
        }

    def test_encodes_an_order_to_drop_all_layers(self):
        order = LoadOrder(model="m", version=2, preempt=True, expected_sequence=3, end_layer=0)
        encoded = json.loads(PlatformEngine().encode_order(order))
        assert (encoded["from"], encoded["target"]) == (0, 0)


class TestOriginCalls:
    def test_decodes_manifests(self):
        digests = ["00" * 32, "ff" * 32]
        body = {"model": "m", "version": 2, "chunkBytes": 9, "layers": 4, "digests": digests}
        described = PlatformOrigin().read_manifest(json.dumps(body).encode()).unwrap()
        assert (described.model, described.number) == ("m", 2)
        assert described.manifest.piece_count == 2
        assert described.manifest.algorithm == "sha256"

    @pytest.mark.parametrize("digests", [["zz"], ["00"]])
    def test_refuses_malformed_digests_with_a_code(self, digests):
        body = {"model": "m", "version": 2, "chunkBytes": 9, "digests": digests}
        failure = PlatformOrigin().read_manifest(json.dumps(body).encode()).unwrap_err()
        assert failure.code is Code.MANIFEST_INVALID


class TestServerLimit:
    @staticmethod
    def read(*values: bytes):
        fields = [(b"Server-Limit", value) for value in values]
        calls = PlatformCalls()
        response = ResponseHead(
            status=503, reason=b"", headers=Headers(items=fields), framing=Framing.LENGTH
        )
        for _ in range(3):  # the field is looked up on every response, not only on the first
            facts = calls.parse_response(response)
        return facts

    @pytest.mark.parametrize(
        ("value", "per_s"), [(b"1.3", 1.3), (b"0", 0.0), (b" 50 ", 50.0), (b"0.000000001", 1e-9)]
    )
    def test_decodes_a_decimal_number(self, value, per_s):
        assert self.read(value).limit_per_s == per_s

    @pytest.mark.parametrize(
        "values",
        [
            (b"",),
            (b"-1",),
            (b"nan",),
            (b"inf",),
            (b"1e12",),
            (b"1,3",),
            (b"1", b"2"),
            (b"9" * 10_000,),
        ],
    )
    def test_a_malformed_limit_differs_from_no_limit(self, values):
        facts = self.read(*values)
        assert facts.limit_per_s is None
        assert facts.limit_malformed

    def test_a_response_without_the_field_has_no_limit(self):
        facts = self.read()
        assert facts.limit_per_s is None
        assert not facts.limit_malformed


def read_repeatedly(status: int, *fields: tuple[bytes, bytes]):
    calls = PlatformCalls()
    response = ResponseHead(
        status=status, reason=b"", headers=Headers(items=fields), framing=Framing.LENGTH
    )
    for _ in range(3):
        facts = calls.parse_response(response)
    return facts


class TestLeaving:
    def test_is_decoded_from_reports(self):
        assert read_report(b"{}", (b"Server-Leaving", b"1")).unwrap().leaving
        assert not read_report(b"{}").unwrap().leaving

    @pytest.mark.parametrize("status", [200, 429, 500, 503])
    def test_is_decoded_from_a_response_of_any_status(self, status):
        assert read_repeatedly(status, (b"Server-Leaving", b"1")).leaving

    @pytest.mark.parametrize("value", [b"", b"0", b"yes", b"1" * 10_000])
    def test_is_announced_by_one_value_only(self, value):
        assert not read_repeatedly(200, (b"Server-Leaving", value)).leaving


class TestBackoff:
    @pytest.mark.parametrize(
        ("value", "rest_s"), [(b"0", 0.0), (b"0.05", 0.05), (b"3", 3.0), (b" 600 ", 600.0)]
    )
    def test_is_decoded_in_seconds_from_a_503_response(self, value, rest_s):
        facts = read_repeatedly(503, (b"Retry-After", value))
        assert (facts.rest_s, facts.rest_malformed) == (rest_s, False)

    @pytest.mark.parametrize("status", [200, 429, 500])
    def test_is_ignored_on_other_statuses(self, status):
        facts = read_repeatedly(status, (b"Retry-After", b"3"))
        assert (facts.rest_s, facts.rest_malformed) == (None, False)

    @pytest.mark.parametrize(
        "values",
        [
            (b"",),
            (b"-1",),
            (b"nan",),
            (b"inf",),
            (b"1e9",),
            (b"1,5",),
            (b"Thu, 03 Dec 2026 11:00:00 GMT",),
            (b"1", b"2"),
            (b"9" * 10_000,),
        ],
    )
    def test_a_malformed_value_differs_from_no_back_off(self, values):
        facts = read_repeatedly(503, *[(b"Retry-After", value) for value in values])
        assert (facts.rest_s, facts.rest_malformed) == (None, True)

    def test_is_decoded_together_with_leaving(self):
        facts = read_repeatedly(503, (b"Retry-After", b"3"), (b"Server-Leaving", b"1"))
        assert (facts.rest_s, facts.leaving) == (3.0, True)

    def test_field_is_kept_from_the_caller_on_a_503_response_only(self):
        assert read_repeatedly(503, (b"Retry-After", b"3")).internal_fields == {b"retry-after"}
        assert read_repeatedly(429, (b"Retry-After", b"3")).internal_fields == frozenset()
