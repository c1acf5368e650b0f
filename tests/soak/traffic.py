"""Callers and the operator: they ask, believe what they are told, and write it down."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Collection

import aiohttp

from tests.node.site import route
from tests.soak.backend import event
from tests.soak.bodies import body_of, data_of, digest
from tests.soak.cold import COLD_PER_S, COLD_START_S
from tests.soak.ledger import GROUP_REGIONS, STREAM_KINDS, Kind, Ledger, Table, Told
from tests.soak.stream_judge import ATTEMPTS, TIMEOUT_S
from tests.soak.weights import LAYERS, MODEL, PIECE_BYTES, PIECES
from tests.soak.world import ZONES, World

HOST = "soak.example"
KEY = "key-of-the-soak"
BOUND_KEY = "key-of-the-bound-group"
TIMEOUT_MS = 3_000
PAUSE_S = 0.06
BOUND_TO = 2  # regions; the engine of one does not take all that is asked at once
BOUND_SHARE = 4  # one probe of a bound kind for so many of another
CALLERS = 10
OPERATOR_TIMEOUT_S = 1.5
STREAMS = {"once": False, "more": True}  # by whether they may be resumed
KINDS = {
    Kind.ORDER: "non_idempotent",
    Kind.LOOKUP: "idempotent",
    Kind.STREAM: "streaming",
    Kind.BOUND: "streaming",
    Kind.GROUP: "streaming",
}


def table_body(
    number: int, lookup_service: str, origin: str, regions: Collection[str] = ()
) -> bytes:
    """Write a configuration."""
    services = {Kind.ORDER: "orders", Kind.LOOKUP: lookup_service}
    routes = [
        {
            "name": f"r-{kind.value}",
            "host": HOST,
            "pathPrefix": f"/{kind.value}/",
            "type": wire_type,
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 600,
            "service": services.get(kind, "models"),
            "maxAttempts": 3,
            "resumable": kind in STREAM_KINDS,
            "gapTargetMs": 400,
            "allowedRegions": sorted(regions) if kind is Kind.BOUND else [],
        }
        for kind, wire_type in KINDS.items()
    ]
    routes += [
        {
            "name": f"r-{name}",
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "type": "streaming",
            "timeoutMs": round(1000 * TIMEOUT_S),
            "targetLatencyMs": 600,
            "service": "models",
            "maxAttempts": ATTEMPTS,
            "resumable": resumable,
            "gapTargetMs": 400,
        }
        for name, resumable in STREAMS.items()
    ]
    once = {"type": "non_idempotent", "maxAttempts": 1}
    routes += [  # those that crowds ask for
        route("/plain/", lookup_service),
        {**route("/once/", lookup_service), **once},
    ]
    engine = {
        "slots": 8,
        "models": [{"name": MODEL, "warmS": 0.2}],
        "layers": LAYERS,
        "chunks": PIECES,
        "chunkBytes": PIECE_BYTES,
        "step_ms": 10.0,
        "read_per_s": 50_000.0,
    }
    plain = [{"name": name} for name in ("orders", "left", "right")]
    models = {
        "name": "models",
        "engine": engine,
        "coldStartS": COLD_START_S,
        "coldPerS": COLD_PER_S,
    }
    weights = {"name": "weights", "origin": origin, "zone": "b"}
    document = {
        "version": number,
        "routes": routes,
        "services": [*plain, models, weights],
        "tenants": [
            {"name": "group", "apiKeys": [KEY]},
            {"name": "bound", "apiKeys": [BOUND_KEY], "allowedRegions": sorted(GROUP_REGIONS)},
        ],
    }
    return json.dumps(document).encode()


class Operator:
    """Sends configurations and versions until they are acknowledged, and reads back."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._ledger = world.ledger
        self._number = 0
        self._regions = random.Random(f"regions {world.seed}")

    async def change(self, *, patience_s: float = 30.0) -> bool:
        """Send one more configuration, that moves the lookups to the other service."""
        self._number += self._world.random.randint(1, 3)
        service = self._world.random.choice(["left", "right"])
        regions = frozenset(self._regions.sample(ZONES, BOUND_TO))
        body = table_body(self._number, service, self._world.origin_proxy.address, regions)
        table = Table(number=self._number, body=body, lookup_service=service, regions=regions)
        self._ledger.tables.append(table)
        if not await self.insist("PUT", "/-/config", body, patience_s):
            return False
        table.acknowledged_s = self._ledger.now_s()
        return True

    async def name_version(self, *, patience_s: float = 30.0) -> bool:
        """Name the next version of the model."""
        self._world.origin.newest += 1
        version = self._world.origin.newest
        body = json.dumps({"model": MODEL, "version": version}).encode()
        if not await self.insist("POST", "/-/version-put", body, patience_s):
            return False
        self._ledger.named[version] = self._ledger.now_s()
        return True

    async def keep_reading(self) -> None:
        """Read the configuration back again and again."""
        while True:
            await self.read()
            await asyncio.sleep(0.2)

    async def read(self) -> int:
        """Read it once; gives its number, 0 where none was told."""
        asked_s = self._ledger.now_s()
        control = self._world.random.choice(self._world.controls())
        status, body = await _call("GET", f"http://{control}/-/config")
        if status != 200:
            return 0
        oldest = self._ledger.acknowledged(asked_s)
        number = int(json.loads(body)["version"])
        if number < oldest:
            self._ledger.break_rule(f"CONFIG read {number} from {control}, {oldest} acknowledged")
        sent = next((table for table in self._ledger.tables if table.number == number), None)
        if sent is None or sent.body != body:
            self._ledger.break_rule(f"CONFIG read back {number} is not what was sent")
        return number

    async def insist(self, method: str, path: str, body: bytes, patience_s: float) -> bool:
        """Send an order until it is acknowledged; tell whether it was."""
        deadline_s = self._ledger.now_s() + patience_s
        while self._ledger.now_s() < deadline_s:
            for control in random.sample(self._world.controls(), 3):
                status, _ = await _call(method, f"http://{control}{path}", body)
                if status == 200:
                    return True
                if 400 <= status < 500:
                    self._ledger.break_rule(f"CONFIG proper {method} {path} got {status}")
                    return False
            await asyncio.sleep(0.1)
        return False


async def _call(method: str, url: str, body: bytes | None = None) -> tuple[int, bytes]:
    timeout = aiohttp.ClientTimeout(total=OPERATOR_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with session.request(method, url, data=body) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""


class Callers:
    """A crowd of callers."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._ledger: Ledger = world.ledger
        self._sent = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self._ask_on())

    async def served_share(self, count: int) -> float:
        """Ask some requests of each kind; gives the share that was served."""
        counts = dict.fromkeys(KINDS, count)
        counts |= dict.fromkeys((Kind.BOUND, Kind.GROUP), count // BOUND_SHARE)
        asked = [self.ask(kind) for kind, number in counts.items() for _ in range(number)]
        told = await asyncio.gather(*asked)
        return sum(each.status == 200 for each in told) / len(told)

    async def _ask_on(self) -> None:
        while True:
            await self.ask(self._world.random.choice(list(KINDS)))
            await asyncio.sleep(PAUSE_S * self._world.random.uniform(0.5, 1.5))

    async def ask(self, kind: Kind) -> Told:
        """Ask once, and note what was told."""
        self._sent += 1
        request = f"{self._sent:08x}"
        entry = self._world.random.choice(self._world.callers())
        events = self._world.random.randint(3, 25)
        wanted = b"".join(event(request, number) for number in range(1, events + 1))
        told = Told(
            request=request,
            kind=kind,
            entry=entry,
            sent_s=self._ledger.now_s(),
            wanted=wanted if kind in STREAM_KINDS else b"",
        )
        self._ledger.told.append(told)
        self._ledger.senders[request] = self._world.sender(entry)
        self._ledger.bodies[request] = digest(body_of(request))
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {BOUND_KEY if kind is Kind.GROUP else KEY}",
            "X-Attempt-Id": request,
            "X-Deadline-Ms": str(TIMEOUT_MS),
        }
        if kind in STREAM_KINDS:
            headers |= {"X-Model": MODEL, "X-Token-Usage": f"200,{events}"}
        await self._exchange(told, f"http://{entry}/{kind.value}/{events}", headers)
        return told

    async def _exchange(self, told: Told, url: str, headers: dict[str, str]) -> None:
        timeout = aiohttp.ClientTimeout(total=2 * TIMEOUT_MS / 1000, connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                data = data_of(told.request, body_of(told.request))
                async with session.post(url, headers=headers, data=data) as answer:
                    body = await answer.read()
            except (aiohttp.ClientError, TimeoutError, OSError):
                return
            finally:
                told.told_s = self._ledger.now_s()
            told.body = body
            told.signature = answer.headers.get("X-Response-Signature", "")
            told.status = answer.status


__all__ = ["HOST", "KEY", "Callers", "Operator", "table_body"]
