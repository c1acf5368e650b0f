"""Announcements of cold times: which of them listeners are told of, and in which order."""

from __future__ import annotations

import asyncio

from leadhollow.membership.instance_table import COLD_CHANGE_S, InstanceTable
from leadhollow.membership.instances import Instance, InstanceState


class Table:
    """A table that counts the records of which its listeners are told."""

    def __init__(self, *, tells_cold: bool = True) -> None:
        self.table = InstanceTable(forget_after_s=60.0, tells_cold=lambda service: tells_cold)
        self.told: list[Instance] = []
        self.table.on_change(self.told.append)

    def announce(self, sequence: int, *, cold_s: float, born_ms: int = 1) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self.table.merge(
            Instance(
                instance="i-1",
                service="s",
                address="10.0.0.1:80",
                failure_domain="d",
                sequence=sequence,
                state=InstanceState.READY,
                slots=8,
                served=(),
                heard_s=now_s,
                cold_until_s=now_s + cold_s,
                born_ms=born_ms,
            )
        )

    @property
    def cold_s(self) -> float:
        return self.table.get("i-1").cold_until_s - asyncio.get_running_loop().time()


def with_table(work, **fields) -> None:
    async def run() -> None:
        work(Table(**fields))

    asyncio.run(run())


class TestColdTimes:
    # Guards against: only the first announcement of a life is relayed to entries.
    def test_that_begin_end_or_change_are_told(self):
        def work(table: Table) -> None:
            for sequence, cold_s in enumerate((0.0, 3.0, 1.0, 2.0, 0.0, 3.0), start=1):
                assert table.announce(sequence, cold_s=cold_s)
                assert abs(table.cold_s - cold_s) < 0.1
            assert len(table.told) == 6

        with_table(work)

    def test_that_pass_as_announced_are_not_told_again(self):
        def work(table: Table) -> None:
            table.announce(1, cold_s=3.0)
            assert not table.announce(2, cold_s=3.0 - COLD_CHANGE_S / 2)
            assert not table.announce(3, cold_s=3.0 + COLD_CHANGE_S / 2)
            assert len(table.told) == 1

        with_table(work)

    # Guards against: an announcement that arrives late ends a cold time that began after it.
    def test_of_an_outdated_announcement_are_ignored(self):
        def work(table: Table) -> None:
            table.announce(5, cold_s=3.0)
            assert not table.announce(4, cold_s=0.0)
            assert table.cold_s > 2.9

        with_table(work)

    def test_of_a_former_life_are_ignored(self):
        def work(table: Table) -> None:
            table.announce(1, cold_s=3.0, born_ms=2)
            assert not table.announce(9, cold_s=0.0, born_ms=1)
            assert table.cold_s > 2.9

        with_table(work)

    # Guards against: a deployment without a rate for cold servers sends more than before.
    def test_of_services_without_a_rate_are_not_told(self):
        def work(table: Table) -> None:
            table.announce(1, cold_s=0.0)
            assert not table.announce(2, cold_s=3.0)
            assert not table.announce(3, cold_s=0.0)
            assert len(table.told) == 1

        with_table(work, tells_cold=False)
