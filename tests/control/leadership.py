"""Stubs of the leadership view of a control replica."""

from __future__ import annotations


class NonLeader:
    """This replica does not lead, and no leader is known."""

    def term(self) -> int:
        return 1

    def leads_since_s(self) -> float | None:
        return None

    def leader_address(self) -> str | None:
        return None


class Leader(NonLeader):
    """This replica has led since a given time."""

    def __init__(self, *, since_s: float, term: int = 1) -> None:
        self.since_s: float | None = since_s
        self.number = term

    def term(self) -> int:
        return self.number

    def leads_since_s(self) -> float | None:
        return self.since_s


__all__ = ["Leader", "NonLeader"]
