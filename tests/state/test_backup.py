"""Verification, backup and restore of state folders."""

from __future__ import annotations

import pytest

from leadhollow.codes import Code
from leadhollow.state.backup import backup_state, restore_state, verify_state
from leadhollow.state.commands import encode
from leadhollow.state.log_contents import Entry
from leadhollow.state.log_store import LOG_FILE, LogStore, Vote
from tests.support import edit


@pytest.fixture
def folder(tmp_path):
    folder = tmp_path / "state"
    store = LogStore(folder=folder)
    store.open()
    commands = [
        edit("a", weight=1.0, expected=0, operation_id="x"),
        edit("b", weight=2.0, expected=0, operation_id="y"),
    ]
    for index, each in enumerate(
        commands, start=1
    ):  # one write each, so that damage to the first is found
        store.append([Entry(index, 2, encode(each))])
    store.save_vote(Vote(term=2, voted_for="s1"))
    store.close()
    return folder


class TestVerify:
    def test_reports_the_content_of_the_folder(self, folder):
        found = verify_state(folder).unwrap()
        assert (found.rows, found.last_index, found.term) == (2, 2, 2)

    def test_reports_damage(self, folder):
        path = folder / LOG_FILE
        data = bytearray(path.read_bytes())
        data[20] ^= 1
        path.write_bytes(data)
        assert verify_state(folder).unwrap_err().code is Code.LOG_DAMAGED

    def test_refuses_an_absent_folder(self, tmp_path):
        assert verify_state(tmp_path / "absent").unwrap_err().code is Code.FILE_UNREADABLE


class TestBackup:
    def test_restored_state_equals_the_backup(self, folder, tmp_path):
        saved = backup_state(folder, tmp_path / "backup").unwrap()
        assert restore_state(tmp_path / "backup", tmp_path / "other").unwrap() == saved

    def test_restore_never_overwrites_a_state(self, folder, tmp_path):
        backup_state(folder, tmp_path / "backup")
        failure = restore_state(tmp_path / "backup", folder).unwrap_err()
        assert failure.code is Code.FILE_UNREADABLE

    def test_damaged_backup_is_refused(self, folder, tmp_path):
        backup_state(folder, tmp_path / "backup")
        data = bytearray((tmp_path / "backup").read_bytes())
        data[-1] ^= 1
        (tmp_path / "backup").write_bytes(data)
        failure = restore_state(tmp_path / "backup", tmp_path / "other").unwrap_err()
        assert failure.code is Code.SNAPSHOT_DAMAGED
