"""Phases in which all runners report that they are nearly full, so that requests wait."""

import trio

from soak.configuration import SLOTS
from soak.trouble import SiteTrouble

__all__ = ["ShortageFaults"]

# The time between two phases, and how long one lasts: longer than callers wait for a first event.
MIN_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 2.0
MIN_PHASE_SECONDS = 3.0
MAX_PHASE_SECONDS = 4.0
# The free slots that reports show if nothing runs: a few places come all the time, or none.
MIN_FREE_SLOTS = -2
MAX_FREE_SLOTS = 2


class ShortageFaults(SiteTrouble):
    """Makes all runners of streams report too many streams, independently of the other faults."""

    async def run(self, until: float) -> None:
        """Play phases until a time on trio's clock; return once the last one is over."""
        await self.repeat(until, self._play_phase, MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)

    async def _play_phase(self) -> None:
        seconds = self.random.uniform(MIN_PHASE_SECONDS, MAX_PHASE_SECONDS)
        shown = SLOTS - self.random.randint(MIN_FREE_SLOTS, MAX_FREE_SLOTS)
        self.log_fault(f"all runners report {shown} more streams for {seconds:.1f} s")
        for runner in self.site.runners:
            self.site.send_order(runner, shown=shown, seconds=seconds)
        await trio.sleep(seconds)
