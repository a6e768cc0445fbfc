"""Tells upstreams whose rows lapsed from those that are gone, by short questions to each.

Load pattern: the store was away, upstreams left or were lost meanwhile, and at its return their
rows are missing beside those of living upstreams that could not renew theirs. The layers of the
lost ones can be loaded elsewhere at once; without the question all wait for two seconds until the
rows of the living must be back.
"""

from collections.abc import Callable

import trio

from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.orders import Orderer

__all__ = ["LapseCheck"]

# Between two looks for rows that lapsed, seconds: they come in over the first moments.
LOOK_SECONDS = 0.1
# An upstream that leaves so many questions unanswered counts as lost: one may meet a lost packet.
QUESTIONS = 3
# It counts as lost for so long, seconds: by then its row is back, or gone for good.
LOST_SECONDS = 2.5


class LapseCheck:
    """One process's questions; only those that plan first need to ask.

    Args:
      upstreams: whose rows lapsed, and who gets the suspicions.
      orderer: asks upstreams how many orders they took, which those that live answer.
      asks: returns whether this process asks.
      log: writes decisions.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        orderer: Orderer,
        asks: Callable[[], bool],
        log: Callable[..., None],
    ) -> None:
        self._upstreams = upstreams
        self._orderer = orderer
        self._asks = asks
        self._log = log
        self._asked: set[str] = set()
        self._returned = trio.Event()

    def store_returned(self) -> None:
        """Note that the store came back: rows may be missing now."""
        self._returned.set()

    async def run(self) -> None:
        """Ask until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._returned.wait()
                self._returned = trio.Event()
                self._asked.clear()
                while not self._upstreams.settled:
                    if self._asks():
                        self._ask_new(nursery)
                    await trio.sleep(LOOK_SECONDS)

    def _ask_new(self, nursery: trio.Nursery) -> None:
        """Ask the upstreams with layers whose rows lapsed since the last look."""
        for row in self._upstreams.lapsed():
            # A rate limited upstream may have no token left for the question.
            is_asked = row.instance in self._asked or self._upstreams.throttles.is_limited(
                row.instance
            )
            if row.end > row.first and not is_asked:
                self._asked.add(row.instance)
                nursery.start_soon(self._ask, row)

    async def _ask(self, row: Upstream) -> None:
        orders = None
        for _ in range(QUESTIONS):
            orders = await self._orderer.order_count(row)
            if orders is not None:
                break
        if orders is None and any(each == row for each in self._upstreams.lapsed()):
            self._upstreams.suspect(row.instance, LOST_SECONDS, lost=True)
        self._log("row-lapsed", instance=row.instance, answers=orders is not None)
