"""Runners that name a rate limit for all entries together, for some seconds each."""

from collections.abc import Callable
from random import Random

import trio

from soak.site import Site

__all__ = ["RateFaults"]

# Between two of these faults, seconds; limits last longer, so that they overlap.
SHORTEST_GAP_SECONDS = 0.5
LONGEST_GAP_SECONDS = 2.5
# For how long a limit is named, seconds.
SHORTEST_LIMIT_SECONDS = 4.0
LONGEST_LIMIT_SECONDS = 9.0
# What is named, requests a second; nothing at all among them.
RATES = (0.0, 0.7, 2.3, 2.3, 5.0, 12.0)
# A limit changes while it is named in so many cases.
CHANGED_SHARE = 0.3


class RateFaults:
    """Lets runners of a site name limits, drawn apart from other faults, which go on beside.

    Args:
      site: whose runners.
      random: draws what, whom and for how long.
      say: told of each.
    """

    def __init__(self, site: Site, random: Random, say: Callable[[str], None]) -> None:
        self._site = site
        self._random = random
        self._say = say
        self._limited: set[str] = set()

    async def run(self, until: float) -> None:
        """Go on until a moment of trio's clock; return once nobody names a limit."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self._limit)
                gap = self._random.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS)
                await trio.sleep(gap)

    async def _limit(self) -> None:
        runner = self._random.choice(self._site.runners)
        rate, seconds = self._random.choice(RATES), self._draw_seconds()
        later = self._random.choice(RATES) if self._random.random() < CHANGED_SHARE else rate
        name = runner.spec.instance
        if name in self._limited:
            return
        self._limited.add(name)
        self._say(f"runner {name} takes {rate:g} a second, then {later:g}, for {seconds:.1f} s")
        for each in (rate, later):
            self._site.tell_runner(runner, limit=f"{each:g}")
            await trio.sleep(seconds / 2)
        self._site.tell_runner(runner, limit="")
        self._limited.discard(name)

    def _draw_seconds(self) -> float:
        return self._random.uniform(SHORTEST_LIMIT_SECONDS, LONGEST_LIMIT_SECONDS)
