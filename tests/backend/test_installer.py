"""Removal of old versions by the installer."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from leadhollow.backend import installer
from leadhollow.backend.engine_client import RunningModel
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
