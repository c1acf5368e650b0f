"""What an entry keeps of a backend server, and what it forgets with a former life."""

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
    """A board over a table, with a server in its first life."""

    def __init__(self) -> None:
        self.table = InstanceTable(forget_after_s=60.0)
        self.board = ServerDirectory(table=self.table, clock=lambda: NOW_S)
        self.closed: list[str] = []
        self.board.on_restart(self.closed.append)
        self.table.merge(make_instance(sequence=40, born_ms=FIRST_MS))

    def start_again(self) -> None:
        self.table.merge(make_instance(sequence=1, born_ms=SECOND_MS))


@pytest.fixture
def entry():
    return Entry()


class TestNewLife:
    def test_is_not_blamed_for_the_former_one(self, entry):
        entry.board.server("i-1").health.record_unreachable(NOW_S)
        assert not entry.board.server("i-1").health.usable(NOW_S)
        entry.start_again()
        assert entry.board.server("i-1").health.usable(NOW_S)

    def test_gets_no_connection_of_the_former_one(self, entry):
        entry.start_again()
        assert entry.closed == [ADDRESS]

    def test_is_not_judged_by_a_late_report_of_the_former_one(self, entry):
        entry.start_again()
        entry.board.update_load_report(LoadRecord(ADDRESS, active=9, born_ms=FIRST_MS), NOW_S)
        assert entry.board.server("i-1").report is None
        entry.board.update_load_report(LoadRecord(ADDRESS, active=1, born_ms=SECOND_MS), NOW_S)
        assert entry.board.server("i-1").report.record.active == 1

    async def test_may_use_the_name_that_was_given_up(self, entry):
        entry.board.record_instance_mismatch("i-1")
        assert entry.board.server("i-1") is None
        entry.start_again()
        assert entry.board.server("i-1") is not None


class TestSameLife:
    def test_that_says_something_new_keeps_what_was_found_out(self, entry):
        server = entry.board.server("i-1")
        entry.table.merge(make_instance(sequence=41, version=2, born_ms=FIRST_MS))
        assert entry.board.server("i-1") is server
        assert not entry.closed
