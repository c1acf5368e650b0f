"""Manifests, the chunk store and bitmaps."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.manifest import (
    Manifest,
    build_manifest,
    check_manifest,
    decode_manifest,
    encode_manifest,
    root_hash,
)
from leadhollow.weights.store import DATA_FILE, ChunkStore, delete_version

DATA = bytes(range(256)) * 40


@pytest.fixture
def manifest(tmp_path) -> Manifest:
    path = tmp_path / "model.bin"
    path.write_bytes(DATA)
    return build_manifest(path, model="m", version="v1", chunk_bytes=1_000).unwrap()


def chunk(manifest: Manifest, index: int) -> bytes:
    offset, size = manifest.chunk_range(index)
    return DATA[offset : offset + size]


class TestManifest:
    def test_chunks_cover_the_file(self, manifest):
        assert manifest.chunk_count == 11
        assert manifest.chunk_range(10) == (10_000, 240)

    @pytest.mark.parametrize(
        ("changed", "code", "field"),
        [
            ({"size_bytes": 0}, Code.EMPTY_MODEL, "size_bytes"),
            ({"size_bytes": 99_999}, Code.MANIFEST_INVALID, "chunk_hashes"),
            ({"chunk_bytes": 0}, Code.MANIFEST_INVALID, "chunk_bytes"),
            ({"chunk_bytes": 500}, Code.MANIFEST_INVALID, "chunk_hashes"),
            ({"format": 2}, Code.MANIFEST_INVALID, "format"),
            ({"chunk_hashes": ("zz",) * 11}, Code.MANIFEST_INVALID, "chunk_hashes[0]"),
        ],
    )
    def test_invalid_manifest_is_refused(self, manifest, changed, code, field):
        failure = check_manifest(msgspec.structs.replace(manifest, **changed))
        assert (failure.code, failure.field) == (code, field)

    def test_changed_manifest_does_not_match_the_root(self, manifest):
        encoded = encode_manifest(manifest)
        other = encoded.replace(b'"v1"', b'"v2"')
        failure = decode_manifest(other, root=root_hash(encoded)).unwrap_err()
        assert failure.code is Code.ROOT_MISMATCH

    def test_empty_file_is_refused(self, tmp_path):
        path = tmp_path / "empty"
        path.write_bytes(b"")
        failure = build_manifest(path, model="m", version="v").unwrap_err()
        assert failure.code is Code.EMPTY_MODEL

    def test_absent_file_is_refused(self, tmp_path):
        failure = build_manifest(tmp_path / "absent", model="m", version="v").unwrap_err()
        assert failure.code is Code.FILE_UNREADABLE

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(data=st.binary(max_size=200))
    def test_decoding_arbitrary_bytes_raises_nothing(self, data):
        decode_manifest(data, root=root_hash(data))


class TestStore:
    def open_version(self, tmp_path, manifest):
        store = ChunkStore(folder=tmp_path / "store")
        encoded = encode_manifest(manifest)
        return store, store.open_version(root_hash(encoded), encoded).unwrap()

    def write_all_chunks(self, stored, manifest):
        for index in range(manifest.chunk_count):
            assert stored.write_chunk(index, chunk(manifest, index)).is_ok()
            stored.held.add(index)

    def test_complete_version_equals_the_file(self, tmp_path, manifest):
        _, stored = self.open_version(tmp_path, manifest)
        self.write_all_chunks(stored, manifest)
        assert stored.finish().is_ok()
        assert stored.data_path.read_bytes() == DATA

    def test_corrupt_chunk_is_refused_and_not_written(self, tmp_path, manifest):
        _, stored = self.open_version(tmp_path, manifest)
        corrupt_data = b"x" + chunk(manifest, 3)[1:]
        assert stored.write_chunk(3, corrupt_data).unwrap_err().code is Code.CHUNK_MISMATCH
        assert stored.read_chunk(3).unwrap_err().code is Code.CHUNK_UNKNOWN

    @pytest.mark.parametrize("index", [-1, 11, 10**9])
    def test_chunk_out_of_range_is_refused(self, tmp_path, manifest, index):
        _, stored = self.open_version(tmp_path, manifest)
        assert stored.read_chunk(index).unwrap_err().code is Code.CHUNK_UNKNOWN

    def test_restart_keeps_only_intact_chunks(self, tmp_path, manifest):
        store, stored = self.open_version(tmp_path, manifest)
        self.write_all_chunks(stored, manifest)
        stored.save_progress()
        store.close()
        path = stored.folder / DATA_FILE
        data = bytearray(path.read_bytes())
        data[4_500] ^= 1
        path.write_bytes(data)
        again = ChunkStore(folder=tmp_path / "store")
        again.open_all()
        reopened = again.version(stored.root)
        assert list(reopened.held.missing()) == [4]

    def test_progress_can_be_saved_by_several_threads_at_once(self, tmp_path, manifest):
        _, stored = self.open_version(tmp_path, manifest)
        with ThreadPoolExecutor(max_workers=8) as threads:
            saved = list(threads.map(lambda _: stored.save_progress(), range(200)))
        assert [each.unwrap_err() for each in saved if each.is_err()] == []

    def test_damage_after_the_last_write_prevents_completion(self, tmp_path, manifest):
        _, stored = self.open_version(tmp_path, manifest)
        self.write_all_chunks(stored, manifest)
        with stored.data_path.open("r+b") as file:
            file.seek(7_100)
            file.write(b"\x00\x01\x02")
        assert stored.finish().unwrap_err().code is Code.ROOT_MISMATCH
        assert list(stored.held.missing()) == [7]

    # Guards against: remove() deletes the files of a large version and blocks the event loop.
    def test_removed_version_can_be_opened_again_before_it_is_deleted(self, tmp_path, manifest):
        store, stored = self.open_version(tmp_path, manifest)
        self.write_all_chunks(stored, manifest)
        folder = store.remove(stored.root)
        assert store.version(stored.root) is None
        assert (folder / DATA_FILE).read_bytes() == DATA  # a thread deletes the files later
        encoded = encode_manifest(manifest)
        again = store.open_version(stored.root, encoded).unwrap()
        assert list(again.held.missing()) == list(range(manifest.chunk_count))
        delete_version(folder)
        assert list((tmp_path / "store").iterdir()) == [again.folder]

    def test_next_start_deletes_removed_versions_left_by_a_crash(self, tmp_path, manifest):
        store, stored = self.open_version(tmp_path, manifest)
        store.remove(stored.root)
        again = ChunkStore(folder=tmp_path / "store")
        again.open_all()
        assert list((tmp_path / "store").iterdir()) == []

    def test_removal_of_an_unknown_version_returns_nothing(self, tmp_path):
        assert ChunkStore(folder=tmp_path / "store").remove("0" * 64) is None

    @pytest.mark.parametrize("root", ["../../etc", "", "A" * 64, "0" * 63])
    def test_malformed_root_hash_is_refused(self, tmp_path, manifest, root):
        store = ChunkStore(folder=tmp_path / "store")
        failure = store.open_version(root, encode_manifest(manifest)).unwrap_err()
        assert failure.code is Code.PATH_OUTSIDE


class TestBitmap:
    @given(count=st.integers(0, 200), chosen=st.sets(st.integers(0, 199)))
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_round_trip(self, count, chosen):
        bitmap = Bitmap(count=count)
        bitmap.add_all(chosen)
        again = Bitmap.from_bytes(bitmap.to_bytes(), count=count)
        expected = {index for index in chosen if index < count}
        assert set(again.indexes()) == expected
        assert again.held_count == len(expected)
        assert set(again.missing()) == set(range(count)) - expected

    def test_bits_beyond_the_count_are_ignored(self):
        assert Bitmap.from_bytes(b"\xff\xff\xff", count=3).held_count == 3
