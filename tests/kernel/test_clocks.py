"""A suspension of the machine must not extend leases, confirmations or other validity periods.

The monotonic clock stops while a machine is suspended, and the clocks of other machines go on. Each
test sets up fresh state, suspends for longer than the state is valid, and checks it at once, before
anything else in the process has run.
"""

from __future__ import annotations

import ast
import asyncio
from pathlib import Path
from types import SimpleNamespace

import pytest
from result import Ok

import leadhollow
from leadhollow.control.confirmation import ConfirmationMonitor
from leadhollow.decide.version_policy import VersionPolicy
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.dialect import RequestMetadata
from leadhollow.forward.pool import ConnectionPool
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.kernel import clocks
from leadhollow.membership.naming_times import NamingTimes
from leadhollow.placement.domain_lease import DomainLease
from leadhollow.settings.node import Bounds
from leadhollow.state.catalog import Catalog
from leadhollow.state.leases import LeaseManager
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion
from tests.support import eventually

SUSPENDED_S = 30.0


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that simulates a suspension of the machine."""

    def suspend() -> None:
        before_s = clocks.suspended_s()
        monkeypatch.setattr(clocks, "suspended_s", lambda: before_s + SUSPENDED_S)

    return suspend


class TestLeader:
    async def test_is_not_ready_after_a_suspension(self, replica_group, suspend):
        def leading():
            return [node.replica for node in replica_group.nodes.values() if node.replica.ready()]

        await eventually(lambda: len(leading()) == 1, "a leader")
        leader = leading()[0]
        suspend()
        assert not leader.ready()

    async def test_is_ready_again_once_a_majority_has_answered(self, replica_group, suspend):
        def leading():
            return [node.replica for node in replica_group.nodes.values() if node.replica.ready()]

        await eventually(lambda: len(leading()) == 1, "a leader")
        suspend()
        await eventually(lambda: len(leading()) == 1, "a leader after the suspension")


class TestMajorityConfirmation:
    async def test_age_includes_the_suspension(self, suspend):
        asked = asyncio.Event()

        async def confirm(*, timeout_s: float):
            if asked.is_set():
                await asyncio.sleep(SUSPENDED_S)
            asked.set()
            return Ok(1)

        confirmation = ConfirmationMonitor(gateway=SimpleNamespace(confirm=confirm))
        await confirmation.start()
        await asyncio.wait_for(asked.wait(), 5)
        await asyncio.sleep(0.01)
        assert 0 <= confirmation.age_ms() < 1_000
        suspend()
        assert confirmation.age_ms() >= SUSPENDED_S * 1000
        await confirmation.stop()


class TestNamedVersion:
    async def test_age_includes_the_suspension(self):
        suspended = [0.0]
        loop = asyncio.get_running_loop()
        times = NamingTimes(clock=loop.time, suspended=lambda: suspended[0])
        catalog = Catalog()
        policy = VersionPolicy(
            catalog=catalog, times=times, bounds=Bounds(version_ms=8_000), clock=loop.time
        )
        named = NamedVersion(model="m", number=2, named=True)
        times.record("m", 2)
        catalog.apply([CatalogItem(key="weights/m/2", revision=1, value=named)], revision=1)
        assert policy.oldest_allowed("m") == 0
        suspended[0] = SUSPENDED_S
        assert policy.oldest_allowed("m") == 2
        assert policy.begin_by_s("m", 1) < loop.time()
        assert times.ages()[0].age_ms >= SUSPENDED_S * 1000


class TestDomainLease:
    async def test_expires_for_a_suspended_holder(self, suspend):
        settings = SimpleNamespace(
            domain=SimpleNamespace(lease_ttl_ms=2_000), failure_domain="d", vm="vm"
        )
        renewed = Ok(SimpleNamespace(renewed=True, fence=7, ttl_ms=2_000))

        async def renew_lease(**kwargs):
            return renewed

        lease = DomainLease(settings=settings, state=SimpleNamespace(renew_lease=renew_lease))
        await lease.start()
        await eventually(lambda: lease.valid, "the lease")
        suspend()
        assert not lease.valid
        await lease.stop()

    async def test_can_be_taken_after_the_granting_leader_was_suspended(self, suspend):
        record = SimpleNamespace(holder="one", fence=3, ttl_ms=2_000)
        taken = []

        async def propose(command):
            taken.append(command)
            return Ok(SimpleNamespace(index=4))

        replica = SimpleNamespace(
            ready=lambda: True,
            machine=SimpleNamespace(catalog=SimpleNamespace(lease=lambda name: record)),
            leader_since_s=clocks.elapsed_s(),
            propose=propose,
        )
        keeper = LeaseManager(replica=replica, ttl_ms=2_000)
        assert (await keeper.renew_or_acquire(name="l", holder="one", fence=3)).is_ok()
        assert (await keeper.renew_or_acquire(name="l", holder="two", fence=0)).is_err()
        assert not taken
        suspend()
        await keeper.renew_or_acquire(name="l", holder="two", fence=0)
        assert len(taken) == 1


class TestForwardedDeadline:
    async def test_is_reduced_by_the_suspension(self, suspend):
        call = ForwardedCall(
            head=RequestHead(method=b"GET", target=b"/", headers=Headers()),
            body=None,
            metadata=RequestMetadata(deadline_ms=40_000.0),
            route=SimpleNamespace(timeout_ms=60_000, objective_ms=500),
            service="s",
            organisation=None,
            reply=None,
            received_s=clocks.steady_s(),
            fingerprint=b"",
            bounds=None,
        )
        assert 39_000 < call.remaining_ms() <= 40_000
        suspend()
        assert call.remaining_ms() <= 10_000


class TestIdleConnection:
    async def test_is_not_reused_after_a_suspension(self, suspend):
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        address = f"{host}:{port}"
        pool = ConnectionPool()
        assert await pool.preconnect(address)
        assert await pool.preconnect(address)
        assert (await pool.acquire(address, fresh=False)).is_ok()
        assert (pool.opened, pool.reused) == (2, 1)
        suspend()
        assert (await pool.acquire(address, fresh=False)).is_ok()
        assert (pool.opened, pool.reused) == (3, 1)
        await pool.stop()
        server.close()


class TestClockUse:
    SOURCE = Path(leadhollow.__file__).parent
    EXEMPT = ("bench", "demo", "standin", "experiment", "cli")  # they only measure durations

    def test_only_the_clocks_module_reads_system_clocks(self):
        readers = []
        for module in sorted(self.SOURCE.rglob("*.py")):
            part = module.relative_to(self.SOURCE).parts
            if part[0] in self.EXEMPT or part == ("kernel", "clocks.py"):
                continue
            for node in ast.walk(ast.parse(module.read_text(encoding="utf-8"))):
                if (
                    isinstance(node, ast.Attribute)
                    and isinstance(node.value, ast.Name)
                    and node.value.id == "time"
                    and node.attr in ("monotonic", "perf_counter", "clock_gettime", "time_ns")
                ):
                    readers.append("/".join(part))
        assert readers == []
