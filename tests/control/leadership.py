"""Who leads the control replicas, as tests say."""

from __future__ import annotations


class NoLead:
    """Nobody leads."""

    def term(self) -> int:
        return 1

    def leads_since_s(self) -> float | None:
        return None

    def leader_address(self) -> str | None:
        return None


class OwnLead(NoLead):
    """This replica leads."""

    def __init__(self, *, since_s: float, term: int = 1) -> None:
        self.since_s: float | None = since_s
        self.number = term

    def term(self) -> int:
        return self.number

    def leads_since_s(self) -> float | None:
        return self.since_s


__all__ = ["NoLead", "OwnLead"]
