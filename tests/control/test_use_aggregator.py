"""Sums of entries' use of engines at control replicas, without the entry that asks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from leadhollow.codes import Code
from leadhollow.control.use_aggregator import VALID_S, UseAggregator
from leadhollow.decide.pressure import DecisionCounts, DecisionKey
from leadhollow.membership.uses import (
    Use,
    decode_decisions,
    decode_uses,
    encode_decisions,
    encode_uses,
)
from leadhollow.settings.address import Address
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.wire.generated.ttypes import EngineUse, UseReport, UseTotals
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.support import TOKEN, eventually

FIRST = "10.0.0.1:80"
SECOND = "10.0.0.2:80"


class Node:
    """A control replica on loopback that only aggregates uses."""

    def __init__(self, address: str, replicas: list[str]) -> None:
        self.address = address
        self.handlers = HandlerTable()
        self.peers = PeerPool(vm=address, failure_domain="d", token=TOKEN, handlers=self.handlers)
        self.server = WireServer(
            address=Address.parse(address).unwrap(), token=TOKEN, handlers=self.handlers
        )
        self.uses = UseAggregator(
            own_address=address,
            replicas=lambda: replicas,
            peers=self.peers,
            handlers=self.handlers,
        )

    async def start(self) -> None:
        assert (await self.server.start()).is_ok()
        await self.uses.start()

    async def stop(self) -> None:
        await self.uses.stop()
        await self.peers.stop()
        await self.server.stop()


def run_with_nodes(work: Callable[[Node, Node], Awaitable[None]]) -> None:
    async def run() -> None:
        take = LoopbackAddresses()
        addresses = [take(vm, Listener.WIRE) for vm in ("one", "two")]
        nodes = [Node(address, addresses) for address in addresses]
        for node in nodes:
            await node.start()
        try:
            await work(*nodes)
        finally:
            for node in nodes:
                await node.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


async def send_use_report(
    node: Node,
    vm: str,
    uses: dict[str, Use],
    *,
    whole: bool = False,
    decisions: dict[DecisionKey, DecisionCounts] | None = None,
) -> PeerPool:
    """Send a use report as an entry does."""
    peers = PeerPool(vm=vm, failure_domain="d", token=TOKEN, handlers=HandlerTable())
    connection = (await peers.connection(node.address)).unwrap()
    decision_records = None if decisions is None else encode_decisions(decisions)
    connection.oneway(UseReport(*encode_uses(uses), whole, decision_records))
    return peers


def use(requests: int, unread_tokens: int = 0) -> Use:
    return Use(requests=requests, unread_tokens=unread_tokens)


class TestUseAggregator:
    def test_total_sums_entries_of_both_replicas_without_the_excluded_one(self):
        async def work(one: Node, two: Node) -> None:
            peers = [
                await send_use_report(one, "entry-1", {FIRST: use(2, 500)}),
                await send_use_report(one, "entry-2", {FIRST: use(3), SECOND: use(1, 70)}),
                await send_use_report(two, "entry-3", {FIRST: use(4, 20)}),
            ]
            await eventually(lambda: one.uses.total(FIRST) == use(9, 520))
            await eventually(lambda: two.uses.total(FIRST) == use(9, 520))
            assert one.uses.total(FIRST, excluding="entry-1") == use(7, 20)
            assert two.uses.total(SECOND, excluding="entry-3") == use(1, 70)
            assert one.uses.engines() == {FIRST, SECOND}
            for pool in peers:
                await pool.stop()

        run_with_nodes(work)

    def test_full_report_resets_engines_that_it_does_not_list(self):
        async def work(one: Node, two: Node) -> None:
            peers = await send_use_report(one, "entry-1", {FIRST: use(2), SECOND: use(1)})
            await eventually(lambda: two.uses.total(SECOND) == use(1))
            again = await send_use_report(one, "entry-1", {FIRST: use(1)}, whole=True)
            await eventually(lambda: two.uses.total(SECOND) == use(0))
            assert two.uses.total(FIRST) == use(1)
            await peers.stop()
            await again.stop()

        run_with_nodes(work)

    def test_removed_entry_is_subtracted_at_all_replicas(self):
        async def work(one: Node, two: Node) -> None:
            peers = await send_use_report(one, "entry-1", {FIRST: use(2)})
            await eventually(lambda: two.uses.total(FIRST) == use(2))
            one.uses.remove_entry("entry-1")
            assert one.uses.total(FIRST) == use(0)
            await eventually(lambda: two.uses.total(FIRST) == use(0))
            await peers.stop()

        run_with_nodes(work)

    def test_expired_report_is_subtracted(self):
        async def work(one: Node, two: Node) -> None:
            peers = await send_use_report(one, "entry-1", {FIRST: use(2)})
            await eventually(lambda: one.uses.total(FIRST) == use(2))
            changes: list[set[str]] = []
            one.uses.on_change(lambda engines, vm: changes.append(engines))
            late_s = asyncio.get_running_loop().time() + VALID_S + 0.1
            one.uses.expire(silence_s=lambda heard_s: late_s - heard_s)
            assert one.uses.total(FIRST) == use(0)
            assert {FIRST} in changes
            await peers.stop()

        run_with_nodes(work)

    def test_malformed_report_is_ignored(self):
        async def work(one: Node, two: Node) -> None:
            peers = await send_use_report(one, "entry-1", {FIRST: use(2)})
            await eventually(lambda: one.uses.total(FIRST) == use(2))
            connection = (await peers.connection(one.address)).unwrap()
            connection.oneway(UseReport([FIRST], [EngineUse(7, 1, 0)], True))
            connection.oneway(UseTotals("elsewhere", [FIRST], [EngineUse(0, -4, 0)], False))
            connection.oneway(UseReport([SECOND], [EngineUse(0, 1, 0)], False))
            await eventually(lambda: one.uses.total(SECOND) == use(1))
            assert one.uses.total(FIRST) == use(2)
            await peers.stop()

        run_with_nodes(work)


class TestUseRecords:
    def test_round_trip_preserves_uses(self):
        uses = {FIRST: use(2, 500), SECOND: use(0)}
        assert decode_uses(*encode_uses(uses)).unwrap() == uses

    @pytest.mark.parametrize(
        "record",
        [EngineUse(1, 1, 1), EngineUse(-1, 1, 1), EngineUse(0, -1, 0), EngineUse(0, 0, -1)],
    )
    def test_invalid_record_is_rejected(self, record):
        assert decode_uses([FIRST], [record]).unwrap_err().code is Code.FRAME_MALFORMED


class TestDecisions:
    def test_refusals_are_summed_at_both_replicas_without_the_excluded_entry(self):
        async def work(one: Node, two: Node) -> None:
            peers = [
                await send_use_report(
                    one,
                    "entry-1",
                    {},
                    decisions={DecisionKey("m"): DecisionCounts(made=10.0, refused=4.0)},
                ),
                await send_use_report(
                    one,
                    "entry-2",
                    {},
                    decisions={DecisionKey("m"): DecisionCounts(made=10.0, refused=1.0)},
                ),
                await send_use_report(
                    two,
                    "entry-3",
                    {},
                    decisions={DecisionKey("m"): DecisionCounts(made=10.0, refused=7.0)},
                ),
            ]
            for node in (one, two):
                await eventually(lambda node=node: refused(node) > 8.0)
                assert refused(node) <= 12.0
            assert refused(one, without="entry-1") < refused(one)
            for pool in peers:
                await pool.stop()

        run_with_nodes(work)

    def test_nothing_is_encoded_without_refusals(self):
        assert encode_decisions({DecisionKey("m"): DecisionCounts(made=50.0, refused=0.0)}) == []

    def test_urgency_survives_encoding(self):
        decisions = {
            DecisionKey("m", 0): DecisionCounts(made=50.0, refused=0.0),
            DecisionKey("m", 2): DecisionCounts(made=20.0, refused=10.0),
        }
        decoded = decode_decisions(encode_decisions(decisions))
        assert decoded.keys() == decisions.keys()
        assert decoded[DecisionKey("m", 0)].made == 50.0
        assert decoded[DecisionKey("m", 2)].refused == 10.0

    def test_urgency_takes_no_bytes_where_it_is_the_same_for_all(self):
        decisions = {DecisionKey("m"): DecisionCounts(made=50.0, refused=10.0)}
        assert encode_decisions(decisions)[0].urgency is None


def refused(node: Node, *, without: str = "") -> float:
    found = node.uses.decisions(excluding=without).get(DecisionKey("m"))
    return 0.0 if found is None else found.refused
