"""What is known of a server that ended, and what was decided on a request that ran there."""

from __future__ import annotations

from collections.abc import Iterable


class ServerEnd:
    """A life of a backend server that ended while it ran requests.

    Parameters
    ----------
    life
        Names the life.
    ran
        Fingerprints of requests that ran there.
    cleared
        Those of them that ended well elsewhere, before or since.
    alive
        Whether it answered afterwards, so that only the way there was cut.
    happened_s
        When, by the clock of this process.
    """

    __slots__ = ("alive", "cleared", "happened_s", "life", "ran")

    def __init__(
        self,
        *,
        life: str,
        ran: Iterable[bytes] = (),
        cleared: Iterable[bytes] = (),
        alive: bool = False,
        happened_s: float,
    ) -> None:
        self.life = life
        self.ran = set(ran)
        self.cleared = set(cleared)
        self.alive = alive
        self.happened_s = happened_s

    @property
    def suspects(self) -> set[bytes]:
        """Requests that may have been the cause."""
        return set() if self.alive else self.ran - self.cleared


class Verdict:
    """What was decided on a request.

    Parameters
    ----------
    number
        Counts up each time that the request is put in quarantine.
    released
        Whether it was let go after that.
    lives
        Ends by which it was judged.
    since_s
        When, by the clock of this process.
    """

    __slots__ = ("fingerprint", "lives", "number", "released", "since_s")

    def __init__(
        self,
        *,
        fingerprint: bytes,
        number: int,
        released: bool,
        lives: tuple[str, ...],
        since_s: float,
    ) -> None:
        self.fingerprint = fingerprint
        self.number = number
        self.released = released
        self.lives = lives
        self.since_s = since_s

    @property
    def order(self) -> tuple[int, bool]:
        """Which of two verdicts on a request holds: the higher one."""
        return self.number, self.released


__all__ = ["ServerEnd", "Verdict"]
