"""Loading of stored versions, and removal of old ones, by the installer."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace

import pytest
from result import Err, Ok

from leadhollow.backend import installer
from leadhollow.backend.engine_client import LoadOrder, RunningModel
from leadhollow.backend.gate import GateState
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.weights.manifest import build_manifest, encode_manifest, root_hash
from leadhollow.weights.store import ChunkStore, StoredVersion
from leadhollow.wire.generated.ttypes import Order
from leadhollow.wire.handlers import HandlerTable
from tests.support import BlockingWork, eventually


class TestOldVersions:
    # Guards against: the deletion of a large version blocks the event loop and stalls the
    # streams of the engine beside it.
    async def test_old_version_is_deleted_without_blocking_the_event_loop(
        self, tmp_path, monkeypatch
    ):
        work = BlockingWork()
        deleted = []

        def delete(folder):
            work()
            deleted.append(folder)

        monkeypatch.setattr(installer, "delete_version", delete)
        under_test = installer.Installer(
            failure_domain="d",
            catalog=None,
            gate=SimpleNamespace(set_serving_root=lambda root: None),
            engine=None,
            http=None,
            fetch_context=SimpleNamespace(
                store=SimpleNamespace(remove=lambda root: tmp_path / root)
            ),
            handlers=HandlerTable(),
        )
        for root in ("a", "b", "c"):
            under_test._set_running(RunningModel(root=root))
        await eventually(lambda: deleted, "a deleted version")
        await asyncio.sleep(0)
        assert deleted == [tmp_path / "a"]
        assert not work.held_up_loop


DATA = bytes(range(256)) * 40


class CheckingEngine:
    """Refuses a file that is not the version of the order."""

    def __init__(self) -> None:
        self.loaded = RunningModel()
        self.refusals = 0

    async def running_model(self):
        return Ok(self.loaded)

    async def load(self, order: LoadOrder):
        if Path(order.path).read_bytes() != DATA:
            self.refusals += 1
            return Err(Failure(code=Code.LOAD_REFUSED, detail="the engine runs another root"))
        self.loaded = RunningModel(model=order.model, version=order.version, root=order.root)
        return Ok(self.loaded)


class OpenGate:
    state = GateState.OPEN
    signal = SimpleNamespace(record_urgent_change=lambda: None)

    def close(self, state: GateState) -> None:
        """Do nothing; no request is in progress."""

    async def wait_idle(self) -> None:
        """Return at once."""

    def open(self) -> None:
        """Do nothing."""

    def set_serving_root(self, root: str) -> None:
        """Do nothing."""


class TestDamagedFile:
    @pytest.fixture
    def stored(self, tmp_path) -> StoredVersion:
        path = tmp_path / "model.bin"
        path.write_bytes(DATA)
        manifest = build_manifest(path, model="m", version="v1", chunk_bytes=1_000).unwrap()
        encoded = encode_manifest(manifest)
        self.store = ChunkStore(folder=tmp_path / "store")
        stored = self.store.open_version(root_hash(encoded), encoded).unwrap()
        for index in range(manifest.chunk_count):
            offset, size = manifest.chunk_range(index)
            assert stored.write_chunk(index, DATA[offset : offset + size]).is_ok()
            stored.held.add(index)
        return stored

    # Guards against: a file that was damaged after its fetch is offered to the engine for ever.
    async def test_is_repaired_after_the_engine_refused_it(self, stored, monkeypatch):
        monkeypatch.setattr(installer, "ENGINE_RETRY_PAUSE_S", 0.01)
        engine = CheckingEngine()
        under_test = installer.Installer(
            failure_domain="d",
            catalog=None,
            gate=OpenGate(),
            engine=engine,
            http=None,
            fetch_context=SimpleNamespace(store=self.store, identity=SimpleNamespace(server="s")),
            handlers=HandlerTable(),
        )

        def fetch_missing(order: Order) -> None:
            for index in list(stored.held.missing()):
                offset, size = stored.manifest.chunk_range(index)
                stored.write_chunk(index, DATA[offset : offset + size]).unwrap()
                stored.held.add(index)
            under_test._wake.set()

        monkeypatch.setattr(installer.Installer, "_start_fetch", lambda _, o: fetch_missing(o))
        with stored.data_path.open("r+b") as file:
            file.seek(7_100)
            file.write(b"damaged")
        under_test._desired_order = Order(
            model="m", version="v1", root=stored.root, activate=True, fence=1
        )
        under_test._wake.set()
        await under_test.start()
        await eventually(lambda: engine.loaded.root == stored.root, "the version is loaded")
        await under_test.stop()
        assert engine.refusals == 1
