"""Probes upstreams whose rows lapsed in a store outage, to find those that are lost.

Load pattern: upstreams left or were lost during a store outage. Afterwards their rows are missing,
and so are those of live upstreams that could not renew theirs. The layers of the lost ones can be
loaded elsewhere at once; without the probe, healing waits two seconds, until the rows of the live
ones must have returned.
"""

from collections.abc import Callable

import trio

from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.orders import Orderer

__all__ = ["LapseCheck"]

# Interval between checks for lapsed rows, seconds: more may lapse just after the store recovers.
CHECK_INTERVAL_SECONDS = 0.1
# Unanswered probes after which an upstream counts as lost: one may be due to a lost packet.
MAX_PROBES = 3
# Duration of that state, seconds: by then its row has returned, or is gone for good.
LOST_TTL_SECONDS = 2.5


class LapseCheck:
    """Probes for one process; only processes that plan first need to send them.

    Args:
      upstreams: the upstream table, which names lapsed rows and records lost upstreams.
      orderer: queries the order count of an upstream, which serves as the probe.
      probes: returns whether this process sends probes.
      log: writes the decision log.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        orderer: Orderer,
        probes: Callable[[], bool],
        log: Callable[..., None],
    ) -> None:
        self._upstreams = upstreams
        self._orderer = orderer
        self._probes = probes
        self._log = log
        self._probed: set[str] = set()
        self._store_recovered = trio.Event()

    def on_store_recovered(self) -> None:
        """Start probing: the store recovered, and rows may be missing."""
        self._store_recovered.set()

    async def run(self) -> None:
        """Probe after each store outage until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._store_recovered.wait()
                self._store_recovered = trio.Event()
                self._probed.clear()
                while not self._upstreams.is_settled:
                    if self._probes():
                        self._probe_new(nursery)
                    await trio.sleep(CHECK_INTERVAL_SECONDS)

    def _probe_new(self, nursery: trio.Nursery) -> None:
        """Probe the upstreams with layers whose rows lapsed since the last check."""
        for row in self._upstreams.lapsed():
            # A rate limited upstream may have no token left for the probe.
            skips_probe = row.instance in self._probed or self._upstreams.throttles.is_limited(
                row.instance
            )
            if row.end > row.first and not skips_probe:
                self._probed.add(row.instance)
                nursery.start_soon(self._probe, row)

    async def _probe(self, row: Upstream) -> None:
        orders = None
        for _ in range(MAX_PROBES):
            orders = await self._orderer.order_count(row)
            if orders is not None:
                break
        if orders is None and any(each == row for each in self._upstreams.lapsed()):
            self._upstreams.suspect(row.instance, LOST_TTL_SECONDS, lost=True)
        self._log("row-lapsed", instance=row.instance, answers=orders is not None)
