"""The stage of the engine on this VM: writes pieces to it and verifies them."""

from __future__ import annotations

from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.pieces import StagedVersion

log = get_logger("installer")


class EngineStage:
    """Writes pieces to the engine's stage, which holds one version of a model."""

    __slots__ = ("_engine", "_staged_indexes", "_staged_version")

    def __init__(self, *, engine: LocalEngine) -> None:
        self._engine = engine
        self._staged_indexes: set[int] = set()
        self._staged_version: StagedVersion | None = None

    async def recover(self, staged: StagedVersion) -> None:
        """Read the pieces that were in the stage before this process started."""
        listed = await self._engine.list_staged(staged.model)
        if listed.is_err():
            return
        for index in listed.unwrap():
            if index in staged.held or not 0 <= index < staged.held.count:
                continue
            read = await self._engine.read_staged_piece(staged.model, index)
            if read.is_ok() and staged.add(index, read.unwrap()):
                self._mark_staged(staged, index)
        log.info(
            "staged pieces recovered",
            model=staged.model,
            number=staged.number,
            listed=len(listed.unwrap()),
            held=staged.held.held_count,
        )

    async def stage_pieces(self, staged: StagedVersion) -> None:
        """Write the pieces that are held and not staged yet."""
        for index in list(staged.held.indexes()):
            piece = staged.piece(index)
            if self._is_staged(staged, index) or piece is None:
                continue
            written = await self._engine.stage_piece(staged.model, index, piece)
            if written.is_err():
                log.warning("piece not staged", index=index, failure=str(written.unwrap_err()))
                return
            self._mark_staged(staged, index)

    async def verify(self, staged: StagedVersion) -> bool:
        """Read every staged piece back, and write those again that are damaged.

        Returns
        -------
        bool
            Whether all pieces were undamaged.
        """
        began_s = clocks.elapsed_s()
        all_good = True
        for index in range(staged.held.count):
            piece = staged.piece(index)
            read = await self._engine.read_staged_piece(staged.model, index)
            if piece is None or (read.is_ok() and read.unwrap() == piece):
                continue
            all_good = False
            log.warning("staged piece is bad", index=index, absent=read.is_err())
            written = await self._engine.stage_piece(staged.model, index, piece)
            if written.is_err():
                return False
        if all_good:
            log.info(
                "staged pieces verified",
                model=staged.model,
                number=staged.number,
                pieces=staged.held.count,
                ms=round((clocks.elapsed_s() - began_s) * 1000),
            )
        return all_good

    def _mark_staged(self, staged: StagedVersion, index: int) -> None:
        if self._staged_version is not staged:
            log.info("stage rewritten for a version", model=staged.model, number=staged.number)
            self._staged_version = staged
            self._staged_indexes = set()
        self._staged_indexes.add(index)

    def _is_staged(self, staged: StagedVersion, index: int) -> bool:
        return self._staged_version is staged and index in self._staged_indexes


__all__ = ["EngineStage"]
