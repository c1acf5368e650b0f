"""An entry of the laboratory of bound requests: the product's tables, decisions and forwarders.

Its sends and refusals are judged by the tables that it was given, without the code under test.
"""

from __future__ import annotations

import asyncio
import hashlib
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from leadhollow.codes import Code
from leadhollow.decide.eligibility import FailureDomains
from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.experiment.server_view import SingleVersion
from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.call_regions import CallRegions
from leadhollow.forward.dialect import RequestMetadata
from leadhollow.forward.exchange import AttemptEnd, AttemptFailure
from leadhollow.forward.failure_response import FailureResponder
from leadhollow.forward.plain_forwarder import PlainForwarder
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.forward.stream_attempt import StreamContext
from leadhollow.forward.stream_forwarder import StreamForwarder
from leadhollow.forward.targets import TargetChooser
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import InstanceState
from leadhollow.routing.catalog_items import changed_items
from leadhollow.routing.index import RouteIndex
from leadhollow.routing.model import (
    CallKind,
    EngineSpec,
    Organisation,
    Route,
    RouteTable,
    ServiceRecord,
    Target,
)
from leadhollow.state.catalog import Catalog
from tests.forward.stream_world import FakeExchange, FakeReply, _nothing, _track, event

if TYPE_CHECKING:
    from tests.forward.region_laboratory import Laboratory

HOST = "h.example"
REGION_OF = {"a": "north", "b": "south", "c": "south", "d": "east"}
DOMAINS = (*REGION_OF, "unnamed")
ROUTES = ("stream", "plain", "split")
GROUPS = ("g0", "g1")
SPEC = EngineSpec(slots=4, read_tokens_per_s=20_000.0)
SERVICES = {
    "engines": ServiceRecord(name="engines", engine=SPEC),
    "spare": ServiceRecord(name="spare", engine=SPEC),
    "plain": ServiceRecord(name="plain"),
}
TARGETS = {"stream": {"engines": 1.0}, "plain": {"plain": 1.0}, "split": {"engines": 1, "spare": 1}}
EVENTS = 6
AT_ONCE_S = 1e-3

Bounds = dict[str, tuple[str, ...]]


class Dialect:
    """Error responses without header fields."""

    def error_headers(self, *_: object) -> None:
        return None


class Reply(FakeReply):
    """Reply that also takes error responses."""

    async def send(self, *_: Any) -> None:
        self.started = True


class Entry:
    """One entry with its own view of tables, evacuations and servers."""

    def __init__(self, *, laboratory: Laboratory, number: int) -> None:
        loop = asyncio.get_running_loop()
        self.laboratory = laboratory
        self.cut = False
        self.pending: list[Any] = []
        self.bounds: Bounds = {}
        self.changes = 0
        self._number = 0
        self._catalog = Catalog()
        self.routes = RouteIndex(catalog=self._catalog)
        self.instances = InstanceTable(forget_after_s=60.0)
        self.domains = FailureDomains(regions=REGION_OF)
        self.directory = ServerDirectory(
            table=self.instances, clock=loop.time, domains=self.domains
        )
        self.domains.on_change(self.directory.notify_change)
        self.queue = EngineQueue(
            directory=self.directory,
            versions=SingleVersion(),
            failure_domain="a",
            seed=number,
            clock=loop.time,
        )
        self.refusals: list[Code] = []
        responder = FailureResponder(dialect=Dialect(), on_refusal=self.refusals.append)  # type: ignore[arg-type]
        budget: Any = SimpleNamespace(try_acquire=lambda *_, **__: True, refund=lambda _: None)
        suspects: Any = SimpleNamespace(
            quarantine=SimpleNamespace(
                track=_track,
                admits=lambda _: True,
                is_quarantined=lambda _: False,
                wait_for_verdict=_nothing,
            ),
            record_interruption=lambda *_: None,
            record_success=lambda *_: None,
            record_complete=lambda *_: None,
        )
        context = StreamContext(
            directory=self.directory,
            budget=budget,
            client=self,  # type: ignore[arg-type]
            queue=self.queue,
            suspects=suspects,
        )
        self.streams = StreamForwarder(context=context, responder=responder)
        self.plain = PlainForwarder(
            directory=self.directory,
            budget=budget,
            responder=responder,
            client=self,  # type: ignore[arg-type]
            suspects=suspects,
            failure_domain="a",
            seed=number,
        )
        self.chooser = TargetChooser(
            directory=self.directory, record_request=lambda _: None, seed=number
        )

    def tell(self, change: Any) -> None:
        """Apply a change now, or once the entry is not cut off any more."""
        if self.cut:
            self.pending.append(change)
        else:
            change(self)
            self.changes += 1

    def heal(self) -> None:
        self.cut = False
        pending, self.pending = self.pending, []
        for change in pending:
            self.tell(change)

    def put_table(self, bounds: Bounds) -> None:
        self._number += 1
        self.bounds = bounds
        table = RouteTable(
            number=self._number,
            routes=tuple(
                Route(
                    name=name,
                    host=HOST,
                    path_prefix=f"/{name}/",
                    kind=CallKind.IDEMPOTENT if name == "plain" else CallKind.STREAM,
                    timeout_ms=6_000,
                    objective_ms=400,
                    pause_objective_ms=300,
                    attempts=4,
                    resumable=True,
                    targets=tuple(Target(service=s, weight=w) for s, w in TARGETS[name].items()),
                    allowed_regions=bounds.get(name, ()),
                )
                for name in ROUTES
            ),
            services=tuple(SERVICES.values()),
            organisations=tuple(
                Organisation(
                    name=name,
                    key_sha256s=(hashlib.sha256(name.encode()).hexdigest(),),
                    allowed_regions=bounds.get(name, ()),
                )
                for name in GROUPS
            ),
            keyed=True,
        )
        items = changed_items(table, self._catalog.items(), revision=self._number)
        self._catalog.apply(items, revision=self._number)

    def allows(self, route: str, group: str, domain: str) -> bool:
        """Tell by the table that was given whether a request may go to a failure domain."""
        bounds = [found for name in (route, group) if (found := self.bounds.get(name, ()))]
        return all(REGION_OF.get(domain) in found for found in bounds)

    async def serve(self, route_name: str, group: str, request_id: str) -> None:
        """Receive a request, as the listener for callers does, and judge how it was refused."""
        now_s = asyncio.get_running_loop().time()
        path = f"/{route_name}/x"
        route = self.routes.route(HOST, path)
        organisation = self.routes.organisation(group)
        assert route is not None
        bounds = CallRegions(
            routes=self.routes,
            host=HOST,
            path=path,
            key=group,
            route=route,
            organisation=organisation,
        )
        call = ForwardedCall(
            head=SimpleNamespace(),  # type: ignore[arg-type]
            body=SimpleNamespace(complete=True, replayable=True, failure=None),  # type: ignore[arg-type]
            metadata=RequestMetadata(
                attempt_id=request_id, model="m", prompt_tokens=900, output_tokens=30
            ),
            route=route,
            service=self.chooser.choose(route, bounds.allowed()),
            organisation=organisation,
            reply=Reply(),  # type: ignore[arg-type]
            received_s=now_s,
            fingerprint=request_id.encode().ljust(8),
            bounds=bounds,
        )
        expected = self._expected_refusal(route_name, group, call.service)
        changes, refused = self.changes, len(self.refusals)
        service = SERVICES[call.service]
        if service.engine is None:
            await self.plain.run(call)
        else:
            await self.streams.run(call, service)
        if self.changes != changes:
            return
        ended_s = asyncio.get_running_loop().time()
        sent = request_id in self.laboratory.sent
        if expected is not None:
            assert not sent
            assert expected in self.refusals[refused:]
            assert ended_s - now_s < AT_ONCE_S

    def _expected_refusal(self, route: str, group: str, service: str) -> Code | None:
        """Return the code of the refusal that is due now; None if a server may take the request."""
        domains = [
            server.instance.failure_domain
            for server in self.directory.all_servers()
            if server.instance.state is InstanceState.READY and server.instance.service == service
        ]
        allowed = [domain for domain in domains if self.allows(route, group, domain)]
        if any(domain not in self.domains.evacuated for domain in allowed):
            return None
        if allowed:
            return Code.DOMAIN_EVACUATED
        return Code.OUTSIDE_REGIONS if self.bounds.get(route) or self.bounds.get(group) else None

    # interface of the backend client

    async def send(
        self, *, server: Server, own_call: OwnCall, attempt_id: str, dispatch: Any, **_: Any
    ) -> Any:
        route, group, _number = attempt_id.split("/")
        may_send = {
            domain: self.allows(route, group, domain) for domain in DOMAINS
        }  # by the table in force as the send begins
        laboratory = self.laboratory
        manner = laboratory.random.choice(("whole", "whole", "break", "silent", "refuse", "lost"))
        await asyncio.sleep(laboratory.random.choice((0.0, 0.002, 0.29)))
        if manner == "lost":
            failure = Failure(code=Code.PEER_ABSENT)
            return Err(AttemptFailure(end=AttemptEnd.NOT_SENT, failure=failure))
        withheld = server.claim_send(own_call)
        if withheld is not None:
            failure = Failure(code=withheld)
            return Err(AttemptFailure(end=AttemptEnd.WITHHELD, failure=failure))
        domain = server.instance.failure_domain
        laboratory.sent.add(attempt_id)
        laboratory.sends += 1
        laboratory.bound_sends += not all(may_send.values())
        if not may_send[domain] or domain in self.domains.evacuated or server.dropped:
            laboratory.breaches.append(f"{attempt_id} to {domain}")
        return await self._respond(manner, dispatch)

    async def _respond(self, manner: str, dispatch: Any) -> Any:
        await asyncio.sleep(0.05)
        exchange = FakeExchange()
        if manner == "refuse":
            exchange.metadata.not_executed = True
            return Ok(exchange)
        first = 0 if dispatch.last_event_id is None else dispatch.last_event_id + 1
        last = EVENTS if manner == "whole" else min(EVENTS, first + 2)
        loop = asyncio.get_running_loop()
        for place, number in enumerate(range(first, last)):
            loop.call_later(0.1 * place, exchange.write, event(number))
        ends_s = 0.1 * (last - first)
        if manner == "whole":
            loop.call_later(ends_s, exchange.write, b"")
        elif manner == "break":
            loop.call_later(ends_s, exchange.write, None)
        return Ok(exchange)


__all__ = ["DOMAINS", "GROUPS", "REGION_OF", "ROUTES", "SERVICES", "SPEC", "Entry"]
