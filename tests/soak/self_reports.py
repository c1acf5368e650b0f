"""What incarnations of backend servers said of themselves to entries, and what came afterwards."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

READ_S = 0.5  # from a server's request for rest until the entry has to keep it
# Time after the caller's answer in which requests that were sent before it may still arrive.
PASSED_ON_S = 0.1


class Sender(NamedTuple):
    """An entry, and its span without a restart or freeze."""

    entry: str
    span: int


class SelfReport:
    """One incarnation.

    Attributes
    ----------
    leaving_signatures
        Signatures of the answers that said that it leaves.
    """

    __slots__ = ("_arrivals", "_rests", "instance", "leaving_signatures")

    def __init__(self, *, instance: str) -> None:
        self.instance = instance
        self.leaving_signatures: set[str] = set()
        self._arrivals: list[tuple[str, Sender, float]] = []
        self._rests: list[tuple[Sender, float, float]] = []

    def note_arrival(self, request: str, sender: Sender, now_s: float) -> None:
        """Note a request."""
        self._arrivals.append((request, sender, now_s))

    def note_rest(self, sender: Sender, rest_s: float, now_s: float) -> None:
        """Note that an entry is asked for rest."""
        self._rests.append((sender, now_s, rest_s))

    def judge(
        self, passed_on_s: Mapping[str, float], *, calm: Callable[[float], bool]
    ) -> list[str]:
        """Give every broken promise.

        Parameters
        ----------
        passed_on_s
            When callers had whole answers, by signature.
        calm
            Tells whether nothing was disturbed around a moment.
        """
        return self._judge_leaving(passed_on_s) + self._judge_rests(calm)

    def _judge_leaving(self, passed_on_s: Mapping[str, float]) -> list[str]:
        told_s: dict[Sender, float] = {}
        senders = {request: sender for request, sender, _ in self._arrivals}
        for signature in self.leaving_signatures & passed_on_s.keys():
            sender = senders.get(signature.partition("/")[0])
            if sender is not None:
                at_s = passed_on_s[signature]
                told_s[sender] = min(at_s, told_s.get(sender, at_s))
        return [
            f"LEAVING {request}: sent to {self.instance} by {sender.entry} "
            f"{at_s - told_s[sender]:.2f} s after its answer said that it leaves"
            for request, sender, at_s in self._arrivals
            if sender in told_s and at_s > told_s[sender] + PASSED_ON_S
        ]

    def _judge_rests(self, calm: Callable[[float], bool]) -> list[str]:
        return [
            f"REST {request}: sent to {self.instance} by {sender.entry} "
            f"{at_s - asked_s:.2f} s after it asked for {rest_s} s"
            for asked, asked_s, rest_s in self._rests
            if calm(asked_s)
            for request, sender, at_s in self._arrivals
            if sender == asked and asked_s + READ_S < at_s < asked_s + rest_s
        ]


__all__ = ["SelfReport", "Sender"]
