"""The operator: a table every second, and a version of the weights now and then."""

from __future__ import annotations

import asyncio
import json

from tests.at_size.callers import ROUTES
from tests.at_size.world import SLOTS
from tests.soak.ledger import Table
from tests.soak.traffic import HOST, KEY, Operator
from tests.soak.weights import LAYERS, MODEL, PIECE_BYTES, PIECES

TIMEOUT_S = 6.0
TABLE_S = 1.0
VERSION_S = 20.0
EXTRA_ROUTES = 5


def table_body(number: int, origin: str) -> bytes:
    """Write a table; each one has other routes beside those that are asked."""
    asked = [_route(route.name, route.objective_ms, resumable=route.resumable) for route in ROUTES]
    others = [
        _route(f"other-{number}-{place}", 500, resumable=True)
        for place in range(number % EXTRA_ROUTES)
    ]
    engine = {
        "slots": SLOTS,
        "models": [{"name": MODEL, "warmS": 0.2}],
        "layers": LAYERS,
        "chunks": PIECES,
        "chunkBytes": PIECE_BYTES,
        "step_ms": 10.0,
        "stride": 5,
        "read_per_s": 20_700.0,
    }
    models = {"name": "models", "engine": engine}
    weights = {"name": "weights", "origin": origin, "zone": "b"}
    document = {
        "version": number,
        "routes": asked + others,
        "services": [models, weights],
        "tenants": [{"name": "group", "apiKeys": [KEY]}],
    }
    return json.dumps(document).encode()


def _route(name: str, objective_ms: int, *, resumable: bool) -> dict[str, object]:
    return {
        "name": f"r-{name}",
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": "streaming",
        "timeoutMs": round(TIMEOUT_S * 1000),
        "targetLatencyMs": objective_ms,
        "service": "models",
        "maxAttempts": 2,
        "resumable": resumable,
        "gapTargetMs": 400,
    }


class SizedOperator(Operator):
    """An operator that works all the while."""

    async def change(self, *, patience_s: float = 30.0) -> bool:
        """Send one more table until it is acknowledged."""
        self._number += 1
        body = table_body(self._number, self._world.origin_proxy.address)
        table = Table(number=self._number, body=body, lookup_service="", regions=frozenset())
        self._ledger.tables.append(table)
        if not await self.insist("PUT", "/-/config", body, patience_s):
            return False
        table.acknowledged_s = self._ledger.now_s()
        return True

    async def keep_changing(self) -> None:
        """Send tables until cancelled."""
        while True:
            if not await self.change():
                self._ledger.break_rule(f"ACK table {self._number} is not acknowledged")
            await asyncio.sleep(TABLE_S)

    async def keep_naming(self) -> None:
        """Name versions until cancelled."""
        while True:
            await asyncio.sleep(VERSION_S)
            if not await self.name_version():
                self._ledger.break_rule(f"ACK version {self._world.origin.newest}")


__all__ = ["TIMEOUT_S", "SizedOperator", "table_body"]
