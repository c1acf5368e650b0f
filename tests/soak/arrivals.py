"""Arrivals of requests at all servers, and how many of them are repeats."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable

from leadhollow.settings.node import Bounds


class Arrivals:
    """Arrivals of requests at all servers, by service; refused ones count too."""

    def __init__(self) -> None:
        self._first: set[tuple[str, str]] = set()
        self.repeats_s: dict[str, list[float]] = defaultdict(list)

    def note(self, service: str, request: str, now_s: float) -> None:
        """Note an arrival."""
        if (service, request) in self._first:
            self.repeats_s[service].append(now_s)
        self._first.add((service, request))

    def judge(self, service: str, sent_s: Iterable[float], bounds: Bounds) -> list[str]:
        """Give the window with the most repeats beyond what is allowed, if there is one."""
        sent, repeats = sorted(sent_s), sorted(self.repeats_s[service])
        window_s = bounds.retry_window_s
        worst, text = 0.0, []
        for end_s in repeats:
            found = _count(repeats, end_s - window_s, end_s)
            requests = max(
                _count(sent, end_s - (1 + shift) * window_s, end_s - shift * window_s)
                for shift in (0.0, 0.5, 1.0)
            )
            allowed = bounds.retry_ratio * requests + bounds.retry_slack
            if found - allowed > worst:
                worst = found - allowed
                text = [f"REPEATS {service}: {found} in {window_s:g} s, allowed {allowed:.0f}"]
        return text


def _count(times_s: list[float], after_s: float, until_s: float) -> int:
    return bisect_right(times_s, until_s) - bisect_right(times_s, after_s)


__all__ = ["Arrivals"]
