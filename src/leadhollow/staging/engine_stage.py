"""The stage of the engine on this VM: writes pieces to it and verifies them."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.codes import Code
from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger
from leadhollow.staging.engine_client import ORDER_TIMEOUT_S, LocalEngine
from leadhollow.staging.pieces import StagedVersion

DAMAGE_TOLERANCE_S = 3.0  # for how long a staged piece may have been damaged when it is loaded
LATE_WRITE_S = 10.0  # for how long an unanswered write may still be carried out
MAX_VERIFICATION_AGE_S = DAMAGE_TOLERANCE_S - ORDER_TIMEOUT_S

log = get_logger("installer")


class _Verification:
    """The fact that all pieces of a version were read back from the stage and matched.

    Parameters
    ----------
    began_s
        Time of `clocks.elapsed_s` at which the first piece was read.
    life
        Life of the engine in which all pieces were read.
    """

    __slots__ = ("began_s", "life", "staged")

    def __init__(self, *, staged: StagedVersion, began_s: float, life: int) -> None:
        self.staged = staged
        self.began_s = began_s
        self.life = life


class EngineStage:
    """Writes pieces to the engine's stage, which holds one version of a model.

    Parameters
    ----------
    life
        Returns the number of the engine's life.

    Attributes
    ----------
    write_count
        Number of pieces that were written, or may have been.
    """

    __slots__ = (
        "_engine",
        "_life",
        "_staged_indexes",
        "_staged_version",
        "_unanswered_write_s",
        "_verification",
        "write_count",
    )

    def __init__(self, *, engine: LocalEngine, life: Callable[[], int]) -> None:
        self._engine = engine
        self._life = life
        self._staged_indexes: set[int] = set()
        self._staged_version: StagedVersion | None = None
        self._verification: _Verification | None = None
        self._unanswered_write_s = float("-inf")
        self.write_count = 0

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
            if not await self._write(staged, index, piece):
                return
            self._mark_staged(staged, index)

    async def verify(self, staged: StagedVersion) -> bool:
        """Read every staged piece back, and write those again that are damaged.

        Returns
        -------
        bool
            Whether all pieces were undamaged, all in the same life of the engine.
        """
        self._verification = None
        began_s, life = clocks.elapsed_s(), self._life()
        all_good = True
        for index in range(staged.held.count):
            read = await self._engine.read_staged_piece(staged.model, index)
            piece = staged.piece(index)
            if read.is_ok() and read.unwrap() == piece:
                continue
            all_good = False
            log.warning("staged piece is bad", index=index, absent=read.is_err())
            if piece is None or not await self._write(staged, index, piece):
                return False
        if not all_good or self._life() != life:
            return False
        self._verification = _Verification(staged=staged, began_s=began_s, life=life)
        log.info(
            "staged pieces verified",
            model=staged.model,
            number=staged.number,
            pieces=staged.held.count,
            ms=round((clocks.elapsed_s() - began_s) * 1000),
            life=life,
        )
        return True

    async def matches(self, staged: StagedVersion) -> bool:
        """Return whether all staged pieces match a version, without writing any."""
        for index in range(staged.held.count):
            read = await self._engine.read_staged_piece(staged.model, index)
            if read.is_err() or not staged.manifest.matches(index, read.unwrap()):
                log.warning("staged piece does not match", index=index, absent=read.is_err())
                return False
        return True

    def may_change(self) -> bool:
        """Return whether the engine may still carry out a write that it did not answer."""
        return clocks.elapsed_s() - self._unanswered_write_s < LATE_WRITE_S

    def is_verified(self, staged: StagedVersion) -> bool:
        """Return whether a load of this version may be ordered now.

        All pieces were verified in this life of the engine, nothing was written since, and the
        verification is so recent that an order that is answered in time loads no piece that was
        damaged for longer than tolerated. Time in which this process did not run counts.
        """
        verification = self._verification
        return (
            verification is not None
            and verification.staged is staged
            and verification.life == self._life()
            and clocks.elapsed_s() - verification.began_s <= MAX_VERIFICATION_AGE_S
        )

    def verification_age_s(self) -> float:
        """Return the time since the last verification began, infinite if there is none."""
        if self._verification is None:
            return float("inf")
        return clocks.elapsed_s() - self._verification.began_s

    async def _write(self, staged: StagedVersion, index: int, piece: bytes) -> bool:
        """Write a piece; the stage has to be verified again afterwards."""
        self._verification = None
        self.write_count += 1
        written = await self._engine.stage_piece(staged.model, index, piece)
        if written.is_err():
            if written.unwrap_err().code is not Code.PEER_ABSENT:
                self._unanswered_write_s = clocks.elapsed_s()
            log.warning("piece not staged", index=index, failure=str(written.unwrap_err()))
        return written.is_ok()

    def _mark_staged(self, staged: StagedVersion, index: int) -> None:
        if self._staged_version is not staged:
            log.info("stage rewritten for a version", model=staged.model, number=staged.number)
            self._staged_version = staged
            self._staged_indexes = set()
        self._staged_indexes.add(index)

    def _is_staged(self, staged: StagedVersion, index: int) -> bool:
        return self._staged_version is staged and index in self._staged_indexes


__all__ = ["DAMAGE_TOLERANCE_S", "EngineStage"]
