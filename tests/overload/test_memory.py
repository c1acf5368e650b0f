"""Account of the memory that callers hold."""

from __future__ import annotations

from leadhollow.overload.limits import ProcessLimits
from leadhollow.overload.memory import CallerMemory

LIMIT_BYTES = 1_600


class FakeConnection:
    def __init__(self, *, held_bytes: int, stalled_s: float) -> None:
        self.held = held_bytes
        self.stalled = stalled_s
        self.shed_calls = 0

    def held_bytes(self) -> int:
        return self.held

    def stalled_s(self) -> float:
        return self.stalled

    def shed(self) -> None:
        self.held = 0
        self.shed_calls += 1


def make_account(*connections: FakeConnection) -> CallerMemory:
    account = CallerMemory(limit_bytes=LIMIT_BYTES)
    for connection in connections:
        account.add(connection)
    return account


class TestCallerMemory:
    def test_sheds_nobody_up_to_the_limit(self):
        connection = FakeConnection(held_bytes=LIMIT_BYTES, stalled_s=9.0)
        account = make_account(connection)
        account.check()
        assert (connection.shed_calls, account.held_bytes) == (0, LIMIT_BYTES)

    async def test_sheds_enough_of_those_that_stand_still(self):
        still = [FakeConnection(held_bytes=200, stalled_s=3.0) for _ in range(10)]
        moving = [FakeConnection(held_bytes=200, stalled_s=0.001) for _ in range(3)]
        account = make_account(*still, *moving)
        account.check()
        assert sum(each.shed_calls for each in moving) == 0
        assert account.shed_count == sum(each.shed_calls for each in still)
        account.check()
        assert account.held_bytes <= LIMIT_BYTES

    async def test_checks_after_a_share_of_the_limit_was_received(self):
        connection = FakeConnection(held_bytes=2 * LIMIT_BYTES, stalled_s=1.0)
        account = make_account(connection)
        account.record_received(99)
        assert connection.shed_calls == 0
        account.record_received(1)
        assert connection.shed_calls == 1

    def test_forgets_connections_that_have_ended(self):
        connection = FakeConnection(held_bytes=2 * LIMIT_BYTES, stalled_s=1.0)
        account = make_account(connection)
        account.discard(connection)
        account.check()
        assert (connection.shed_calls, account.held_bytes) == (0, 0)


class TestProcessLimits:
    def test_are_parts_of_what_the_vm_has(self):
        limits = ProcessLimits(memory_mb=200, max_descriptors=500)
        assert limits.callers_memory_bytes == 40 * 1024 * 1024
        shares = limits.max_callers + limits.max_server_connections + limits.max_peers
        assert shares <= 500 - 125
        assert limits.max_server_connections > limits.max_callers

    def test_never_exceed_the_limit_of_the_operating_system(self):
        low = ProcessLimits(memory_mb=200, max_descriptors=None)
        high = ProcessLimits(memory_mb=200, max_descriptors=10**9)
        assert high.max_callers == low.max_callers


__all__: list[str] = []
