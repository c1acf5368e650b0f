"""The log on disk after crashes, incomplete writes and damage."""

from __future__ import annotations

import os

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.state.files import (
    FILE_MAGIC,
    MAX_RECORD_BYTES,
    RECORD_HEADER,
    pack_record,
    read_file,
    replace_file,
)
from leadhollow.state.log_contents import Entry, Snapshot
from leadhollow.state.log_store import LOG_FILE, LogStore, Vote


def entries(first: int, last: int, term: int = 1) -> list[Entry]:
    return [Entry(index, term, f"command-{index}".encode()) for index in range(first, last + 1)]


@pytest.fixture
def store(tmp_path):
    opened = LogStore(folder=tmp_path)
    assert opened.open().is_ok()
    yield opened
    opened.close()


def reopen(store: LogStore, tmp_path) -> LogStore:
    store.close()
    again = LogStore(folder=tmp_path)
    assert again.open().is_ok()
    return again


class TestAppend:
    def test_entries_and_vote_are_kept_over_a_reopening(self, store, tmp_path):
        assert store.append(entries(1, 5)).is_ok()
        assert store.save_vote(Vote(term=3, voted_for="s1")).is_ok()
        again = reopen(store, tmp_path)
        assert [entry.index for entry in again.entries] == [1, 2, 3, 4, 5]
        assert again.vote == Vote(term=3, voted_for="s1")

    def test_append_after_truncation_replaces_the_rest(self, store, tmp_path):
        store.append(entries(1, 5))
        assert store.truncate_from(3).is_ok()
        store.append(entries(3, 4, term=2))
        again = reopen(store, tmp_path)
        assert [(entry.index, entry.term) for entry in again.entries] == [
            (1, 1),
            (2, 1),
            (3, 2),
            (4, 2),
        ]

    def test_truncation_within_a_record_keeps_the_entries_before(self, store, tmp_path):
        store.append(entries(1, 5))
        assert store.truncate_from(4).is_ok()
        again = reopen(store, tmp_path)
        assert again.entries == entries(1, 3)

    def test_entries_of_an_earlier_release_are_read(self, store, tmp_path):
        store.close()
        records = [pack_record(msgspec.msgpack.encode(entry)) for entry in entries(1, 3)]
        (tmp_path / LOG_FILE).write_bytes(FILE_MAGIC + b"".join(records))
        again = LogStore(folder=tmp_path)
        assert again.open().is_ok()
        assert again.entries == entries(1, 3)

    def test_recover_repairs_the_log_after_a_failed_sync(self, store, tmp_path, monkeypatch):
        store.append(entries(1, 2))

        def refuse(descriptor: int) -> None:
            raise OSError(28, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr(os, "fsync", refuse)
            assert store.append(entries(3, 4)).unwrap_err().code is Code.DISK_FAILED
            assert store.recover().is_err()
        assert store.last_index == 2
        assert store.recover().is_ok()
        assert store.append(entries(3, 4)).is_ok()
        assert reopen(store, tmp_path).entries == entries(1, 4)

    # Guards against a rewrite in one record too long to be read: the next start lost all.
    def test_long_log_is_readable_after_a_rewrite(self, store, tmp_path):
        command = bytes(1024 * 1024)
        count = MAX_RECORD_BYTES // len(command) + 2
        for index in range(1, count + 1):
            assert store.append([Entry(index, 1, command)]).is_ok()
        assert store.recover().is_ok()
        again = reopen(store, tmp_path)
        assert again.last_index == count
        again.close()

    def test_folder_without_a_vote_is_never_used(self, store):
        assert store.never_used
        store.save_vote(Vote(term=1))
        assert not store.never_used


class TestSnapshot:
    def test_snapshot_removes_the_entries_it_covers(self, store, tmp_path):
        store.append(entries(1, 9))
        assert store.save_snapshot(Snapshot(last_index=6, last_term=1, data=b"state")).is_ok()
        again = reopen(store, tmp_path)
        assert again.snapshot.data == b"state"
        assert [entry.index for entry in again.entries] == [7, 8, 9]
        assert again.term_at(6) == 1
        assert again.term_at(5) is None

    def test_readers_see_a_consistent_log_while_a_snapshot_is_saved(self, store, monkeypatch):
        """The event loop reads the log while the disk thread saves a snapshot."""
        store.append(entries(1, 9))
        seen = []
        sync = os.fsync

        def read_then_sync(descriptor: int) -> None:
            seen.append([store.entry(index).index for index in (8, 9)])
            seen.append([entry.index for entry in store.entries_from(8, limit=5)])
            sync(descriptor)

        monkeypatch.setattr(os, "fsync", read_then_sync)
        store.save_snapshot(Snapshot(last_index=6, last_term=1, data=b"state"))
        assert seen
        assert all(found == [8, 9] for found in seen)

    def test_snapshot_ahead_of_the_log_replaces_it(self, store):
        store.append(entries(1, 3))
        store.save_snapshot(Snapshot(last_index=10, last_term=2, data=b"state"))
        assert store.entries == []
        assert store.last_index == 10

    def test_crash_between_snapshot_and_shortened_log_is_harmless(self, store, tmp_path):
        store.append(entries(1, 9))
        log = (tmp_path / LOG_FILE).read_bytes()
        store.save_snapshot(Snapshot(last_index=6, last_term=1, data=b"state"))
        store.close()
        (tmp_path / LOG_FILE).write_bytes(log)
        again = LogStore(folder=tmp_path)
        assert again.open().is_ok()
        assert [entry.index for entry in again.entries] == [7, 8, 9]


class TestDamage:
    def test_incomplete_last_record_is_cut_off(self, store, tmp_path):
        store.append(entries(1, 4))
        store.append(entries(5, 5))
        store.close()
        path = tmp_path / LOG_FILE
        path.write_bytes(path.read_bytes()[:-3])
        again = LogStore(folder=tmp_path)
        assert again.open().is_ok()
        assert again.last_index == 4

    @pytest.mark.parametrize("missing", ["first", "middle", "last"])
    def test_any_part_of_an_unsynced_write_may_be_missing(self, store, tmp_path, missing):
        """After a power loss a part in the middle may be missing while later parts are present."""
        store.append(entries(1, 2))
        path = tmp_path / LOG_FILE
        synced = path.stat().st_size
        store.append(entries(3, 9))
        store.close()
        data = bytearray(path.read_bytes())
        third = (len(data) - synced) // 3
        start = synced + {"first": 0, "middle": third, "last": 2 * third}[missing]
        data[start : start + third] = bytes(third)
        path.write_bytes(data)
        again = LogStore(folder=tmp_path)
        assert again.open().is_ok()
        assert again.entries == entries(1, 2)

    def test_damaged_record_before_a_complete_one_refuses_to_open(self, store, tmp_path):
        store.append(entries(1, 2))
        store.append(entries(3, 5))
        store.close()
        path = tmp_path / LOG_FILE
        data = bytearray(path.read_bytes())
        data[RECORD_HEADER.size + 8] ^= 1
        path.write_bytes(data)
        failure = LogStore(folder=tmp_path).open().unwrap_err()
        assert failure.code is Code.LOG_DAMAGED
        assert "offset 4" in failure.detail

    def test_damaged_vote_refuses_to_open(self, store, tmp_path):
        store.save_vote(Vote(term=3, voted_for="s1"))
        store.close()
        path = tmp_path / "vote"
        path.write_bytes(path.read_bytes()[:-1] + b"\xff")
        assert LogStore(folder=tmp_path).open().unwrap_err().code is Code.SNAPSHOT_DAMAGED

    def test_file_of_another_kind_refuses_to_open(self, tmp_path):
        (tmp_path / LOG_FILE).write_bytes(b"not a log at all")
        assert LogStore(folder=tmp_path).open().unwrap_err().code is Code.LOG_DAMAGED

    @settings(
        max_examples=150,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(cut=st.integers(0, 400), flip=st.integers(0, 400), mask=st.integers(1, 255))
    def test_damage_never_adds_or_changes_an_entry(self, tmp_path, cut, flip, mask):
        folder = tmp_path / f"{cut}-{flip}-{mask}"
        store = LogStore(folder=folder)
        store.open()
        store.append(entries(1, 8))
        store.close()
        path = folder / LOG_FILE
        data = bytearray(path.read_bytes())
        if flip < len(data):
            data[flip] ^= mask
        path.write_bytes(data[: len(data) - cut] if cut < len(data) else b"")
        again = LogStore(folder=folder)
        if again.open().is_ok():
            kept = again.entries
            assert kept == entries(1, len(kept))
        again.close()


class TestReplaceFile:
    def test_written_payload_is_read_back(self, tmp_path):
        assert replace_file(tmp_path / "file", b"payload").is_ok()
        assert read_file(tmp_path / "file").unwrap() == b"payload"

    # Guards against a large snapshot that counts as damaged at the next start.
    def test_payload_longer_than_a_record_of_a_log_is_read_back(self, tmp_path):
        payload = bytes(MAX_RECORD_BYTES + 1)
        assert replace_file(tmp_path / "file", payload).is_ok()
        assert read_file(tmp_path / "file").unwrap() == payload

    def test_absent_file_reads_as_none(self, tmp_path):
        assert read_file(tmp_path / "file").unwrap() is None

    def test_failed_write_is_returned_as_failure(self, tmp_path):
        failure = replace_file(tmp_path / "absent" / "file", b"payload").unwrap_err()
        assert failure.code is Code.DISK_FAILED
