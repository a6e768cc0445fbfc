"""Runners that announce a rate limit for all entries together, for some seconds each."""

from collections.abc import Callable
from random import Random

import trio

from soak.site import Site

__all__ = ["RateFaults"]

# The time between two of these faults. Limits last longer, so that they overlap.
MIN_FAULT_INTERVAL_SECONDS = 0.5
MAX_FAULT_INTERVAL_SECONDS = 2.5
# How long a limit is announced.
MIN_LIMIT_SECONDS = 4.0
MAX_LIMIT_SECONDS = 9.0
# The limits that are drawn from, in requests a second; 0 allows no request.
RATES = (0.0, 0.7, 2.3, 2.3, 5.0, 12.0)
# The share of limits that are replaced by another one halfway.
CHANGE_SHARE = 0.3


class RateFaults:
    """Makes runners announce rate limits, chosen independently of the other faults.

    Args:
      site: the site whose runners announce limits.
      random: chooses the limits, the runners and the durations.
      log_fault: called with a description of each limit.
    """

    def __init__(self, site: Site, random: Random, log_fault: Callable[[str], None]) -> None:
        self._site = site
        self._random = random
        self._log_fault = log_fault
        self._limited: set[str] = set()

    async def run(self, until: float) -> None:
        """Inject limits until a time on trio's clock; return once none is announced."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self._announce_limit)
                interval = self._random.uniform(
                    MIN_FAULT_INTERVAL_SECONDS, MAX_FAULT_INTERVAL_SECONDS
                )
                await trio.sleep(interval)

    async def _announce_limit(self) -> None:
        runner = self._random.choice(self._site.runners)
        rate, seconds = self._random.choice(RATES), self._draw_seconds()
        second_rate = self._random.choice(RATES) if self._random.random() < CHANGE_SHARE else rate
        name = runner.spec.instance
        if name in self._limited:
            return
        self._limited.add(name)
        self._log_fault(
            f"runner {name} limits to {rate:g} a second, then {second_rate:g}, for {seconds:.1f} s"
        )
        for each in (rate, second_rate):
            self._site.send_order(runner, limit=f"{each:g}")
            await trio.sleep(seconds / 2)
        self._site.send_order(runner, limit="")
        self._limited.discard(name)

    def _draw_seconds(self) -> float:
        return self._random.uniform(MIN_LIMIT_SECONDS, MAX_LIMIT_SECONDS)
