"""Phases in which all runners report that they are nearly full, so that requests wait."""

from collections.abc import Callable
from random import Random

import trio

from soak.configuration import SLOTS
from soak.site import Site

__all__ = ["ShortageFaults"]

# The time between two phases, and how long one lasts: longer than callers wait for a first event.
MIN_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 2.0
MIN_PHASE_SECONDS = 3.0
MAX_PHASE_SECONDS = 4.0
# The free slots that reports show if nothing runs: a few places come all the time, or none.
MIN_FREE_SLOTS = -2
MAX_FREE_SLOTS = 2


class ShortageFaults:
    """Makes all runners of streams report too many streams, independently of the other faults.

    Args:
      site: the site whose runners report them.
      random: chooses the durations.
      log_fault: called with a description of each phase.
    """

    def __init__(self, site: Site, random: Random, log_fault: Callable[[str], None]) -> None:
        self._site = site
        self._random = random
        self._log_fault = log_fault

    async def run(self, until: float) -> None:
        """Play phases until a time on trio's clock; return once the last one is over."""
        while trio.current_time() < until:
            seconds = self._random.uniform(MIN_PHASE_SECONDS, MAX_PHASE_SECONDS)
            shown = SLOTS - self._random.randint(MIN_FREE_SLOTS, MAX_FREE_SLOTS)
            self._log_fault(f"all runners report {shown} more streams for {seconds:.1f} s")
            for runner in self._site.runners:
                self._site.send_order(runner, shown=shown, seconds=seconds)
            await trio.sleep(seconds)
            await trio.sleep(self._random.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
