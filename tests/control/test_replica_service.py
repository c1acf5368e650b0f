"""Start of a replica that finds the others through seeds."""

from __future__ import annotations

from leadhollow.control import replica_service
from tests.state.seeded_group import SeededGroup
from tests.support import BlockingWork


class TestStart:
    # Guards against: a slow disk at the start blocks the event loop of the whole process.
    async def test_start_reads_the_identity_without_blocking_the_loop(self, tmp_path, monkeypatch):
        load, work = replica_service.load_identity, BlockingWork()

        def blocking_load(*arguments, **fields):
            work()
            return load(*arguments, **fields)

        monkeypatch.setattr(replica_service, "load_identity", blocking_load)
        group = SeededGroup(folder=tmp_path)
        try:
            await group.start(group.seeds[0], first_start=True)
        finally:
            await group.stop_all()
        assert not work.held_up_loop
