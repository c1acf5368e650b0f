"""The start of a replica that is found from seeds."""

from __future__ import annotations

from leadhollow.control import replica_service
from tests.state.seeded_group import SeededGroup
from tests.support import BlockingWork


class TestStart:
    # Guards against: a disk that hangs at the start holds up all that the process does.
    async def test_reads_its_identity_without_holding_up_the_loop(self, tmp_path, monkeypatch):
        load, work = replica_service.load_identity, BlockingWork()

        def slowly(*arguments, **fields):
            work()
            return load(*arguments, **fields)

        monkeypatch.setattr(replica_service, "load_identity", slowly)
        group = SeededGroup(folder=tmp_path)
        try:
            await group.start(group.seeds[0], first_start=True)
        finally:
            await group.stop_all()
        assert not work.held_up_loop
