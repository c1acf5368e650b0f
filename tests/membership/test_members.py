"""Backend servers that announce themselves, become silent and return."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.codes import Code
from leadhollow.membership.members import MemberTable
from leadhollow.membership.summary import capacity_lines
from leadhollow.wire.generated.ttypes import Announcement, Heartbeat, ServingVersion


class FakeConnection:
    """Connection with the one attribute that membership uses."""

    def __init__(self) -> None:
        self.closed = asyncio.Event()


@pytest.fixture
def table() -> MemberTable:
    return MemberTable(suspect_after_s=2.5, remove_after_s=5.0)


def announcement(server: str = "s", incarnation: int = 1, **overrides) -> Announcement:
    fields = {
        "server": server,
        "incarnation": incarnation,
        "address": f"{server}:1",
        "failure_domain": "d",
        "kind": "engine",
        "slots": 4,
        "in_flight": 0,
        "draining": False,
        "serving": [ServingVersion("m", "v1", "root")],
        "complete_roots": ["root"],
        "vm": f"vm-of-{server}",
    }
    return Announcement(**{**fields, **overrides})


class TestAnnounce:
    def test_a_new_server_is_routable(self, table):
        assert table.announce(announcement(), FakeConnection(), 0.0) is None
        assert table.member("s").routable
        assert table.take_changes()[0] == {"s"}

    def test_a_repeated_announcement_changes_nothing(self, table):
        table.announce(announcement(), FakeConnection(), 0.0)
        table.take_changes()
        table.announce(announcement(), FakeConnection(), 1.0)
        assert table.take_changes() == (set(), set(), set())

    def test_a_name_in_use_on_another_vm_is_refused(self, table):
        table.announce(announcement(), FakeConnection(), 0.0)
        other = announcement(incarnation=2, vm="another")
        assert table.announce(other, FakeConnection(), 0.1).code is Code.NAME_TAKEN

    def test_another_vm_may_use_the_name_after_the_connection_is_lost(self, table):
        lost = FakeConnection()
        table.announce(announcement(), lost, 0.0)
        lost.closed.set()
        other = announcement(incarnation=2, vm="another")
        assert table.announce(other, FakeConnection(), 0.1) is None
        assert table.member("s").announcement.vm == "another"

    def test_a_restart_on_the_same_vm_replaces_at_once(self, table):
        table.announce(announcement(), FakeConnection(), 0.0)
        assert table.announce(announcement(incarnation=2), FakeConnection(), 0.1) is None

    def test_a_late_announcement_of_an_earlier_incarnation_is_refused(self, table):
        table.announce(announcement(incarnation=2), FakeConnection(), 0.0)
        late = table.announce(announcement(incarnation=1), FakeConnection(), 0.1)
        assert late.code is Code.INCARNATION_OLD

    def test_a_draining_server_is_not_routable(self, table):
        table.announce(announcement(), FakeConnection(), 0.0)
        table.announce(announcement(draining=True), FakeConnection(), 0.1)
        assert not table.member("s").routable

    def test_a_leaving_announcement_removes_the_member(self, table):
        table.announce(announcement(), FakeConnection(), 0.0)
        table.announce(announcement(leaving=True), FakeConnection(), 0.1)
        assert table.members() == []
        assert table.take_changes()[1] == {"s"}


class TestSilence:
    def test_suspects_before_it_removes(self, table):
        table.announce(announcement(), FakeConnection(), 0.0)
        table.check_silence(3.0)
        assert not table.member("s").routable
        table.check_silence(6.0)
        assert table.member("s") is None

    def test_a_lost_connection_makes_a_member_suspect_at_once(self, table):
        connection = FakeConnection()
        table.announce(announcement(), connection, 0.0)
        connection.closed.set()
        table.check_silence(0.1)
        assert not table.member("s").routable

    def test_a_heartbeat_makes_a_suspect_routable_again(self, table):
        connection = FakeConnection()
        table.announce(announcement(), connection, 0.0)
        table.check_silence(3.0)
        table.heartbeat(Heartbeat(1, 7), connection, 3.1)
        assert table.member("s").routable

    def test_a_heartbeat_on_an_unknown_connection_is_ignored(self, table):
        assert table.heartbeat(Heartbeat(0, 0), FakeConnection(), 0.0) is None

    def test_a_heartbeat_on_the_old_connection_is_ignored(self, table):
        old, new = FakeConnection(), FakeConnection()
        table.announce(announcement(), old, 0.0)
        table.announce(announcement(), new, 1.0)
        assert table.heartbeat(Heartbeat(0, 0), old, 2.0) is None


class TestSummary:
    def test_size_depends_on_versions_and_not_on_members(self, table):
        for number in range(50):
            table.announce(announcement(f"s-{number}"), FakeConnection(), 0.0)
        lines = capacity_lines(table.members())
        assert len(lines) == 1
        assert (lines[0].total_slots, len(lines[0].candidates)) == (200, 4)

    def test_lists_the_members_with_most_free_slots(self, table):
        for number in range(8):
            table.announce(announcement(f"s-{number}", in_flight=number % 4), FakeConnection(), 0.0)
        candidates = capacity_lines(table.members())[0].candidates
        assert [candidate.in_flight for candidate in candidates] == [0, 0, 1, 1]
