"""State that an entry keeps of a backend server, and drops when the server restarts."""

from __future__ import annotations

import pytest

from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.wire.generated.ttypes import LoadRecord
from tests.membership.test_instances import make_instance

FIRST_MS, SECOND_MS = 1_000, 2_000
ADDRESS = "10.0.0.1:80"
NOW_S = 100.0


class Entry:
    """Directory with one server in its first life."""

    def __init__(self) -> None:
        self.table = InstanceTable(forget_after_s=60.0)
        self.directory = ServerDirectory(table=self.table, clock=lambda: NOW_S)
        self.closed: list[str] = []
        self.directory.on_restart(self.closed.append)
        self.table.merge(make_instance(sequence=40, born_ms=FIRST_MS))

    def restart(self) -> None:
        self.table.merge(make_instance(sequence=1, born_ms=SECOND_MS))


@pytest.fixture
def entry():
    return Entry()


class TestRestartedServer:
    def test_does_not_inherit_bad_health(self, entry):
        entry.directory.server("i-1").health.record_unreachable(NOW_S)
        assert not entry.directory.server("i-1").health.usable(NOW_S)
        entry.restart()
        assert entry.directory.server("i-1").health.usable(NOW_S)

    def test_is_announced_so_that_its_idle_connections_are_closed(self, entry):
        entry.restart()
        assert entry.closed == [ADDRESS]

    def test_ignores_a_late_load_report_of_its_former_life(self, entry):
        entry.restart()
        entry.directory.update_load_report(LoadRecord(ADDRESS, active=9, born_ms=FIRST_MS), NOW_S)
        assert entry.directory.server("i-1").report is None
        entry.directory.update_load_report(LoadRecord(ADDRESS, active=1, born_ms=SECOND_MS), NOW_S)
        assert entry.directory.server("i-1").report.record.active == 1

    async def test_is_found_again_after_an_instance_mismatch(self, entry):
        entry.directory.record_instance_mismatch("i-1")
        assert entry.directory.server("i-1") is None
        entry.restart()
        assert entry.directory.server("i-1") is not None


class TestRunningServer:
    def test_keeps_its_state_when_its_announcement_changes(self, entry):
        server = entry.directory.server("i-1")
        entry.table.merge(make_instance(sequence=41, version=2, born_ms=FIRST_MS))
        assert entry.directory.server("i-1") is server
        assert not entry.closed
