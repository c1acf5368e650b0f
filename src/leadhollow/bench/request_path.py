"""What one request costs an entry, stage by stage, as engines and routes grow.

Each figure is the median of several rounds in this process, without network or logs.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import statistics
import time
from collections.abc import Callable
from functools import partial

import msgspec
from result import Ok, Result

from leadhollow.bench.table_costs import route_index, timed
from leadhollow.decide.engine_queue import DECISION_DEADLINE_SHARE, EngineQueue
from leadhollow.decide.engine_request import EngineRequest, QueuePriority
from leadhollow.decide.recent_successes import RecentSuccesses
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.decide.server import Server
from leadhollow.decide.share_allocator import EntryDemand, LimitedServer, ShareAllocator
from leadhollow.decide.suspects import SuspectTable
from leadhollow.experiment.patterns import ENGINE
from leadhollow.experiment.server_view import ServerView, SingleVersion
from leadhollow.failure import Failure
from leadhollow.forward.body_retention import BodyRetention
from leadhollow.forward.call_regions import CallRegions
from leadhollow.forward.dialect import ResponseMetadata
from leadhollow.forward.events import EventSplitter
from leadhollow.forward.fingerprint import fingerprint_of, part_fingerprints
from leadhollow.forward.request_body import RequestBody
from leadhollow.forward.self_reports import SelfReports
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.membership.control_feed import BackoffListener, FullUpdateListener
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion
from leadhollow.membership.packed_uses import pack_uses, unpack_uses
from leadhollow.membership.uses import Use
from leadhollow.routing.model import Organisation, ServiceRecord
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

ENGINES = (3, 10, 39, 102)
ROUTES = (10, 100, 1_500)
LIMITED_FLEETS = ((7, 2), (39, 10), (98, 60))  # entries, and servers that name limits
ASKS_PER_S = 4.0  # of each entry
DOMAINS = 3
ROUNDS = 15
REPEATS = 100  # of one stage in a round
OWN_DOMAIN = "d0"
MODEL = "m"
BODY_BYTES = 2_000
EVENT_BYTES = 85
PARTS = 8


class RouteCost(msgspec.Struct, frozen=True, kw_only=True):
    """Time in which the route of a request is found."""

    routes: int
    lookup_us: float


class ChoiceCost(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of a decision among some engines.

    Parameters
    ----------
    decide_us
        A request is placed and its place given back, with all engines looked at anew.
    decide_limited_us
        The same where every engine limits what it takes.
    told_us
        An update of what others have at every engine is taken in.
    """

    engines: int
    decide_us: float
    decide_limited_us: float
    told_us: float


class ShareCost(msgspec.Struct, frozen=True, kw_only=True):
    """Time in which the leader answers one request for shares of limits."""

    entries: int
    limited: int
    ask_us: float


class PathReport(msgspec.Struct, frozen=True, kw_only=True):
    """All figures.

    Parameters
    ----------
    fingerprint_us
        Digest of a request with a body of 2 kB.
    parts_us
        Fingerprints of eight shared parts of a prompt, known ones, their look-up before a send, and
        their record after a success, without any suspicion.
    head_us
        Head of a request for a backend server, as bytes.
    event_us
        One event of a stream.
    answer_us
        What an answer says of its server is looked for, and there is nothing.
    regions_us
        The regions of a request are found, and asked at its send, where nothing is bound.
    """

    fingerprint_us: float
    parts_us: float
    head_us: float
    event_us: float
    answer_us: float
    regions_us: float
    routes: list[RouteCost]
    choices: list[ChoiceCost]
    shares: list[ShareCost]


async def run_request_path() -> Result[PathReport, Failure]:
    """Measure every stage."""
    head = _head()
    body = RequestBody(
        head=head,
        incoming=IncomingBody(pause=lambda: None, resume=lambda: None),
        limit_bytes=BODY_BYTES,
        retention=BodyRetention(),
    )
    event = b"id: 7\ndata: %b\n\n" % (b"x" * EVENT_BYTES)
    splitter = EventSplitter()
    return Ok(
        PathReport(
            fingerprint_us=_median_us(partial(fingerprint_of, head, body, organisation="group")),
            parts_us=_parts_us(),
            head_us=_median_us(head.encode),
            event_us=_median_us(partial(splitter.feed, event)),
            answer_us=_answer_us(),
            regions_us=_regions_us(),
            routes=[_route_cost(size) for size in ROUTES],
            choices=[_choice_cost(engines) for engines in ENGINES],
            shares=[_share_cost(*size) for size in LIMITED_FLEETS],
        )
    )


def _parts_us() -> float:
    prefix_ids = tuple(f"{number:08x}" for number in range(PARTS + 1))
    table = SuspectTable(clock=lambda: 0.0)
    successes = RecentSuccesses()

    def ask() -> None:
        parts = part_fingerprints(prefix_ids, model="model")
        any(map(table.is_quarantined, parts))
        for part in parts:
            successes.add(part, 0.0)
            table.is_suspected(part)

    return _median_us(ask)


def _head() -> RequestHead:
    fields = [(b"X-Field-%d" % number, b"v" * 24) for number in range(10)]
    return RequestHead(method=b"POST", target=b"/prefix/of/it/7", headers=Headers(items=fields))


def _route_cost(size: int) -> RouteCost:
    index = route_index(size)
    found = partial(index.route, "host1.example", f"/{1:08x}/a/b/c")
    assert found() is not None
    return RouteCost(routes=size, lookup_us=_median_us(found))


def _regions_us() -> float:
    index = route_index(ROUTES[0])
    host, path = "host1.example", f"/{1:08x}/a/b/c"
    route = index.route(host, path)
    assert route is not None
    group = Organisation(name="group")

    def ask() -> None:
        regions = CallRegions(
            routes=index, host=host, path=path, key="key", route=route, organisation=group
        )
        regions.allowed()  # for the choice of a service
        regions.allowed()  # for the choice of an engine
        regions.allowed()  # for the send

    return _median_us(ask)


def _choice_cost(engines: int) -> ChoiceCost:
    view = ServerView()
    for number in range(engines):
        server = _server(number)
        view.by_address[server.instance.address] = server
    queue = EngineQueue(
        directory=view,
        versions=SingleVersion(),
        failure_domain=OWN_DOMAIN,
        seed=1,
        clock=time.monotonic,
    )
    decide = partial(_decide, view, queue)
    decide_us = _median_us(decide)
    told_us = _median_us(partial(_take_told, list(view.by_address.values())))
    for server in view.by_address.values():
        server.send_limiter = _unbounded()
    return ChoiceCost(
        engines=engines,
        decide_us=decide_us,
        decide_limited_us=_median_us(decide),
        told_us=told_us,
    )


def _decide(view: ServerView, queue: EngineQueue) -> None:
    view.changed()
    now_s = time.monotonic()
    wish = EngineRequest(
        service=ServiceRecord(name="s", engine=ENGINE),
        model=MODEL,
        prompt_tokens=900,
        output_tokens=100.0,
        objective_s=0.5,
        on_time_until_s=now_s + 0.5,
        decide_by_s=now_s + 0.5 * DECISION_DEADLINE_SHARE,
        hold_until_s=now_s,
        queue_priority=QueuePriority.NEW,
        organisation="group",
        request_id="r",
        excluded=set(),
        last_attempt=False,
    )
    waiter = queue.submit(wish)
    assert waiter.placement is not None
    queue.release(waiter.placement)


class _NoFeed:
    """Nobody is followed, and nothing is heard."""

    source = ""

    def on_full_update(self, listener: FullUpdateListener) -> None:
        return

    def on_backoffs(self, listener: BackoffListener) -> None:
        return


def _answer_us() -> float:
    clock = asyncio.get_running_loop().time
    reports = SelfReports(
        directory=ServerDirectory(table=InstanceTable(forget_after_s=1.0), clock=clock),
        feed=_NoFeed(),
        peers=PeerPool(vm="bench", failure_domain="d", token="", handlers=HandlerTable()),
        seed=1,
    )
    facts = ResponseMetadata(attempt_id="a", signed=True, not_executed=False)
    return _median_us(partial(reports.record_response, _server(0), facts, sent_s=None, call=None))


def _take_told(servers: list[Server]) -> None:
    now_s = time.monotonic()
    packed = pack_uses(
        {place: Use(requests=place % 16, unread_tokens=900) for place in range(len(servers))}
    )
    for place, use in unpack_uses(packed).unwrap().items():
        servers[place].update_peer_use(use, now_s)


def _share_cost(entries: int, limited: int) -> ShareCost:
    """Let all entries ask in turn, at the rate at which they do."""
    moment = [0.0]
    ledger = ShareAllocator(clock=lambda: moment[0], entries=lambda: entries)
    servers = [
        LimitedServer(
            life=f"i-{number}@0",
            service="s",
            failure_domain=f"d{number % DOMAINS}",
            per_s=1.3,
        )
        for number in range(limited)
    ]
    turns = itertools.cycle(range(entries))

    def ask() -> None:
        moment[0] += 1 / (ASKS_PER_S * entries)
        number = next(turns)
        demand = EntryDemand(
            vm=f"entry-{number}",
            failure_domain=f"d{number % DOMAINS}",
            per_s={"s": 25.0},
            heard_s=moment[0],
        )
        ledger.lease_shares(demand, servers)

    return ShareCost(entries=entries, limited=limited, ask_us=_median_us(ask))


def _unbounded() -> SendLimiter:
    allowance = SendLimiter(
        per_s=1e9, entries=lambda: 1, clock=time.monotonic, source=random.Random(1)
    )
    allowance.lease(0.5, until_s=float("inf"))
    return allowance


def _server(number: int) -> Server:
    served = ServedVersion(model=MODEL, version=1, first_layer=0, end_layer=ENGINE.layers)
    return Server(
        instance=Instance(
            instance=f"i-{number}",
            service="s",
            address=f"10.0.0.{number}:80",
            failure_domain=f"d{number % DOMAINS}",
            sequence=1,
            state=InstanceState.READY,
            slots=ENGINE.slots,
            served=(served,),
            heard_s=0.0,
        )
    )


def _median_us(work: Callable[[], object]) -> float:
    """Give the median time of one stage over all rounds."""
    rounds = [timed(partial(_repeat, work))[1] / REPEATS for _ in range(ROUNDS)]
    return round(statistics.median(rounds), 2)


def _repeat(work: Callable[[], object]) -> None:
    for _ in range(REPEATS):
        work()


__all__ = ["ChoiceCost", "PathReport", "RouteCost", "ShareCost", "run_request_path"]
