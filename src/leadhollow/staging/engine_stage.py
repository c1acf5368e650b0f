"""The stage of the engine on this VM: what lies there, and whether it is as it should be."""

from __future__ import annotations

from leadhollow.observe.logs import get_logger
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.pieces import StagedVersion

log = get_logger("installer")


class EngineStage:
    """Lays pieces beside the engine; the stage holds one version of a model."""

    __slots__ = ("_engine", "_laid", "_laid_of")

    def __init__(self, *, engine: LocalEngine) -> None:
        self._engine = engine
        self._laid: set[int] = set()
        self._laid_of: StagedVersion | None = None

    async def recover(self, staged: StagedVersion) -> None:
        """Take over what the stage held when this process began."""
        listed = await self._engine.list_staged(staged.model)
        if listed.is_err():
            return
        for index in listed.unwrap():
            if index in staged.held or not 0 <= index < staged.held.count:
                continue
            read = await self._engine.read_staged_piece(staged.model, index)
            if read.is_ok() and staged.add(index, read.unwrap()):
                self._note(staged, index)
        log.info(
            "stage read",
            model=staged.model,
            number=staged.number,
            listed=len(listed.unwrap()),
            held=staged.held.held_count,
        )

    async def stage_pieces(self, staged: StagedVersion) -> None:
        """Lay the pieces that have come and do not lie there yet."""
        for index in list(staged.held.indexes()):
            piece = staged.piece(index)
            if self._lies(staged, index) or piece is None:
                continue
            put = await self._engine.stage_piece(staged.model, index, piece)
            if put.is_err():
                log.warning("piece not staged", index=index, failure=str(put.unwrap_err()))
                return
            self._note(staged, index)

    async def verify(self, staged: StagedVersion) -> bool:
        """Read every staged piece back, and lay those again that turned bad.

        Returns
        -------
        bool
            Whether all were as they should be.
        """
        good = True
        for index in range(staged.held.count):
            piece = staged.piece(index)
            read = await self._engine.read_staged_piece(staged.model, index)
            if piece is None or (read.is_ok() and read.unwrap() == piece):
                continue
            good = False
            log.warning("staged piece is bad", index=index, absent=read.is_err())
            put = await self._engine.stage_piece(staged.model, index, piece)
            if put.is_err():
                return False
        return good

    def _note(self, staged: StagedVersion, index: int) -> None:
        if self._laid_of is not staged:
            self._laid_of = staged
            self._laid = set()
        self._laid.add(index)

    def _lies(self, staged: StagedVersion, index: int) -> bool:
        return self._laid_of is staged and index in self._laid


__all__ = ["EngineStage"]
