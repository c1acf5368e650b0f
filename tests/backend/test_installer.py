"""What an installer does with versions that it needs no more."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from leadhollow.backend import installer
from leadhollow.backend.engine_client import RunningModel
from leadhollow.wire.handlers import HandlerTable
from tests.support import BlockingWork, eventually


class TestOldVersions:
    # Guards against: deleting a large version holds up the streams of the engine beside it.
    async def test_are_deleted_without_holding_up_the_loop(self, tmp_path, monkeypatch):
        work = BlockingWork()
        deleted = []

        def delete(folder):
            work()
            deleted.append(folder)

        monkeypatch.setattr(installer, "delete_version", delete)
        made = installer.Installer(
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
            made._set_running(RunningModel(root=root))
        await eventually(lambda: deleted, "a deleted version")
        await asyncio.sleep(0)
        assert deleted == [tmp_path / "a"]
        assert not work.held_up_loop
