"""Records of servers that ended, and of quarantine verdicts on what ran there."""

from __future__ import annotations

from collections.abc import Iterable


class ServerEnd:
    """A life of a backend server that ended while it ran requests.

    Parameters
    ----------
    life
        Identifies the life.
    ran
        Fingerprints of the requests that ran there, and of their prompts' parts.
    cleared
        Those of them that succeeded elsewhere, before or after.
    alive
        Whether the server responded afterwards, so that only the connection to it was lost.
    happened_s
        Time of the end by the clock of this process.
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
        """Fingerprints of what may have caused the end."""
        return set() if self.alive else self.ran - self.cleared


class Verdict:
    """Decision on the quarantine of a suspect.

    Parameters
    ----------
    number
        Incremented each time the suspect is put in quarantine.
    released
        Whether the suspect was released after that.
    lives
        Lives whose ends the decision is based on.
    since_s
        Time of the decision by the clock of this process.
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
        """Sort key; of two verdicts on a suspect the one with the higher key applies."""
        return self.number, self.released


__all__ = ["ServerEnd", "Verdict"]
