"""Entries on a virtual clock with the product's forwarders, decisions and tables, but no network.

Servers connect slowly, refuse, break off, are silent or leave; tables, evacuations and cuts come at
any moment.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from leadhollow.decide.engine_queue import PUMP_INTERVAL_S
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion
from tests.config_path.virtual_loop import VirtualLoop
from tests.forward.region_entry import GROUPS, ROUTES, SPEC, Entry

SETTLE_S = 12.0  # longer than the timeout of the routes

Step = tuple[Any, ...]


class Laboratory:
    """Plays steps and records what reached which server.

    Attributes
    ----------
    breaches
        Sends to servers that the table or the evacuations at their entry ruled out.
    sends, bound_sends
        Number of sends, and of those whose table ruled out some failure domain.
    """

    def __init__(self, *, seed: int) -> None:
        self.random = random.Random(seed)
        self.sent: set[str] = set()
        self.breaches: list[str] = []
        self.sends = 0
        self.bound_sends = 0
        self._lives: dict[int, int] = {}
        self._sequence = 0
        self._calls: list[asyncio.Task[None]] = []

    async def play(self, steps: list[Step]) -> None:
        entries = [Entry(laboratory=self, number=number) for number in range(2)]
        pumps = [asyncio.create_task(_pump(entry)) for entry in entries]
        for entry in entries:
            entry.put_table({})
        for number, step in enumerate(steps):
            self._take(entries, number, *step)
            await asyncio.sleep(self.random.choice((0.0, 0.01, 0.1, 0.4)))
        await asyncio.sleep(SETTLE_S)
        for pump in pumps:
            pump.cancel()
        assert all(call.done() for call in self._calls)
        for call in self._calls:
            call.result()

    def _take(self, entries: list[Entry], number: int, kind: str, *fields: Any) -> None:
        match kind:
            case "table":
                for entry in entries:
                    entry.tell(lambda found: found.put_table(fields[0]))
            case "evacuate":
                for entry in entries:
                    entry.tell(lambda found: found.domains.set_evacuated(fields[0]))
            case "cut":
                entries[fields[0]].cut = True
            case "heal":
                entries[fields[0]].heal()
            case "engine":
                record_fields = self._next_life(*fields)
                for entry in entries:
                    record = Instance(**record_fields)
                    entry.tell(lambda found, record=record: found.instances.merge(record))
            case "call":
                for copy in range(fields[3]):
                    request_id = f"{ROUTES[fields[1]]}/{GROUPS[fields[2]]}/{number}-{copy}"
                    work = entries[fields[0]].serve(
                        ROUTES[fields[1]], GROUPS[fields[2]], request_id
                    )
                    self._calls.append(asyncio.create_task(work))

    def _next_life(
        self, place: int, service: str, domain: str, state: InstanceState
    ) -> dict[str, Any]:
        """Return the fields of a record of the engine; one that is ready begins a new life."""
        self._sequence += 1
        if state is InstanceState.READY:
            self._lives[place] = 1_000 + self._sequence
        whole = ServedVersion(model="m", version=1, first_layer=0, end_layer=SPEC.layers)
        return {
            "instance": f"i-{place}",
            "service": service,
            "address": f"10.0.0.{place + 1}:80",
            "failure_domain": domain,
            "sequence": self._sequence,
            "born_ms": self._lives.get(place, 0),
            "state": state,
            "slots": SPEC.slots,
            "served": (whole,),
            "heard_s": asyncio.get_running_loop().time(),
        }


async def _pump(entry: Entry) -> None:
    """Place waiting requests, as the entry's dispatcher does."""
    while True:
        await asyncio.sleep(PUMP_INTERVAL_S)
        if entry.queue.waiting:
            entry.queue.pump()
            entry.queue.pump_held()


def play(seed: int, steps: list[Step]) -> Laboratory:
    """Play steps in a laboratory of their own."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        laboratory = Laboratory(seed=seed)
        loop.run_until_complete(laboratory.play(steps))
        return laboratory
    finally:
        asyncio.set_event_loop(None)
        loop.close()


__all__ = ["Laboratory", "play"]
