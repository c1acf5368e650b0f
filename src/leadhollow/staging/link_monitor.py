"""Notices by delay that this VM's link carries less than it should, and slows pieces down."""

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
"""Of all stagers together: a hundred of them probe each 0.4 s, so that a replica which a fifth of
them follow answers fifty a second at any size."""

TIMEOUT_MS = 1_000
SLOW_PROBE_S = 0.35  # a few pieces in front of the probe in both directions explain less
FAST_S = 0.2
SHRINK = 0.6
GROW = 0.05
MIN_SHARE = 0.1

log = get_logger("link")


class _Probe:
    __slots__ = ("asked_s", "source", "took_s")

    def __init__(self, *, source: str, asked_s: float) -> None:
        self.source = source
        self.asked_s = asked_s
        self.took_s: float | None = None  # while it is on its way


class LinkMonitor(TaskService):
    """Sends small probes to the control replica that is followed, and times the answers.

    Parameters
    ----------
    stagers
        Gives how many there are.

    Attributes
    ----------
    share
        Part of the link's declared speed that pieces may use now.
    """

    __slots__ = ("_feed", "_last_delay_s", "_peers", "_probe", "_stagers", "_vm", "share")

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
        self._stagers = stager_count
        self._probe: _Probe | None = None
        self._last_delay_s = 0.0
        self.share = 1.0
        super().__init__()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(max(MIN_PROBE_INTERVAL_S, self._stagers() / MAX_PROBES_PER_S))
            source = self._feed.source
            if not source:
                continue
            asked_s = active_s()
            self._probe = _Probe(source=source, asked_s=asked_s)
            answered = await self._peers.call(source, FeedProbe(self._vm), timeout_ms=TIMEOUT_MS)
            self._probe.took_s = active_s() - asked_s
            self.record_probe(self._probe.took_s, lost=answered.is_err())

    def delay_s(self) -> float:
        """Give what small messages take to this VM and back now, as far as is known.

        A probe on its way counts for as long as it has been, a lost one for its whole time, unless
        another control replica is followed since: then it was not the link.
        """
        probe = self._probe
        if probe is None or probe.source != self._feed.source:
            return self._last_delay_s
        if probe.took_s is not None:
            return probe.took_s
        return max(self._last_delay_s, active_s() - probe.asked_s)

    def record_probe(self, delay_s: float, *, lost: bool) -> None:
        """Take one probe's delay.

        A lost probe says nothing of our link where the one before was quick: the control replica
        may be gone.
        """
        before = self.share
        slow = self._last_delay_s > FAST_S if lost else delay_s > SLOW_PROBE_S
        if slow:
            self.share = max(MIN_SHARE, self.share * SHRINK)
        elif lost or delay_s < FAST_S:
            self.share = min(1.0, self.share + GROW)
        if not lost:
            self._last_delay_s = delay_s
        if before == 1.0 and self.share < 1.0:
            log.warning("link is slow", delay_ms=round(delay_s * 1000), lost=lost)


__all__ = ["LinkGauge"]
