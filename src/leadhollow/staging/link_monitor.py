"""Detects from the delay of probes that this VM's link is slow, and limits piece transfers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.kernel.active_time import active_s
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import FeedProbe
from leadhollow.wire.peers import PeerPool

MIN_PROBE_INTERVAL_S = 0.2
MAX_PROBES_PER_S = 250.0
"""Probes of all stagers together. A hundred stagers probe every 0.4 s each, so a replica that a
fifth of them follows answers fifty a second. The total does not grow with the fleet."""

TIMEOUT_MS = 1_000
SLOW_PROBE_S = 0.35  # a few pieces ahead of the probe in both directions delay it by less
FAST_PROBE_S = 0.2
SHRINK_FACTOR = 0.6
GROWTH_STEP = 0.05
MIN_SHARE = 0.1

log = get_logger("link")


class _Probe:
    __slots__ = ("sent_s", "source", "took_s")

    def __init__(self, *, source: str, sent_s: float) -> None:
        self.source = source
        self.sent_s = sent_s
        self.took_s: float | None = None  # None while it is in flight


class LinkMonitor(TaskService):
    """Sends small probes to the control replica that is followed, and measures their delay.

    Parameters
    ----------
    stager_count
        Returns the number of stagers.

    Attributes
    ----------
    share
        Fraction of the link's declared speed that pieces may use now.
    """

    __slots__ = ("_feed", "_last_delay_s", "_peers", "_probe", "_stager_count", "_vm", "share")

    def __init__(
        self,
        *,
        feed: ControlFeed,
        peers: PeerPool,
        vm: str,
        stager_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._feed = feed
        self._peers = peers
        self._vm = vm
        self._stager_count = stager_count
        self._probe: _Probe | None = None
        self._last_delay_s = 0.0
        self.share = 1.0
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(max(MIN_PROBE_INTERVAL_S, self._stager_count() / MAX_PROBES_PER_S))
            source = self._feed.source
            if not source:
                continue
            sent_s = active_s()
            self._probe = _Probe(source=source, sent_s=sent_s)
            result = await self._peers.call(source, FeedProbe(self._vm), timeout_ms=TIMEOUT_MS)
            self._probe.took_s = active_s() - sent_s
            self.record_probe(self._probe.took_s, lost=result.is_err())

    def delay_s(self) -> float:
        """Return the current round-trip time of small messages to this VM, as far as known.

        A probe in flight counts with its age, a lost probe with its whole time. Neither counts if
        another control replica has been followed since: the delay may not be due to the link.
        """
        probe = self._probe
        if probe is None or probe.source != self._feed.source:
            return self._last_delay_s
        if probe.took_s is not None:
            return probe.took_s
        return max(self._last_delay_s, active_s() - probe.sent_s)

    def record_probe(self, delay_s: float, *, lost: bool) -> None:
        """Adjust the share to the delay of a probe.

        A lost probe says nothing about the link if the probe before it was fast: the control
        replica may be down.
        """
        before = self.share
        slow = self._last_delay_s > FAST_PROBE_S if lost else delay_s > SLOW_PROBE_S
        if slow:
            self.share = max(MIN_SHARE, self.share * SHRINK_FACTOR)
        elif lost or delay_s < FAST_PROBE_S:
            self.share = min(1.0, self.share + GROWTH_STEP)
        if not lost:
            self._last_delay_s = delay_s
        if before == 1.0 and self.share < 1.0:
            log.warning("link is slow", delay_ms=round(delay_s * 1000), lost=lost)


__all__ = ["LinkMonitor"]
