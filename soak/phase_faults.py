"""Phases in which all runners refuse, or report that they are nearly full."""

import trio

from soak.configuration import SLOTS
from soak.trouble import SiteTrouble

__all__ = ["RefusalFaults", "ShortageFaults"]

# The time between two phases, and how long one lasts. The first begins with the first calls.
MIN_REFUSAL_PAUSE_SECONDS = 2.0
MAX_REFUSAL_PAUSE_SECONDS = 5.0
MIN_REFUSAL_SECONDS = 0.5
MAX_REFUSAL_SECONDS = 2.0
# A shortage is longer than callers wait for a first event.
MIN_SHORTAGE_PAUSE_SECONDS = 1.0
MAX_SHORTAGE_PAUSE_SECONDS = 2.0
MIN_SHORTAGE_SECONDS = 3.0
MAX_SHORTAGE_SECONDS = 4.0
# The free slots that reports show if nothing runs: a few places come all the time, or none.
MIN_FREE_SLOTS = -2
MAX_FREE_SLOTS = 2


class _PhaseFaults(SiteTrouble):
    async def _play_phase(self, seconds: float, what: str, **order: object) -> None:
        self.log_fault(f"all runners {what} for {seconds:.1f} s")
        for runner in self.site.runners:
            self.site.send_order(runner, seconds=seconds, **order)
        await trio.sleep(seconds)


class RefusalFaults(_PhaseFaults):
    """Makes all runners refuse at the same time, so that entries want to retry every request."""

    async def run(self, until: float) -> None:
        """Play phases until a time on trio's clock; return once the last one is over."""
        await self.repeat(until, self._refuse, MIN_REFUSAL_PAUSE_SECONDS, MAX_REFUSAL_PAUSE_SECONDS)

    async def _refuse(self) -> None:
        seconds = self.random.uniform(MIN_REFUSAL_SECONDS, MAX_REFUSAL_SECONDS)
        await self._play_phase(seconds, "refuse", backoff=0.0)


class ShortageFaults(_PhaseFaults):
    """Makes all runners of streams report too many streams, so that requests wait."""

    async def run(self, until: float) -> None:
        """Play phases until a time on trio's clock; return once the last one is over."""
        await self.repeat(
            until, self._report_more, MIN_SHORTAGE_PAUSE_SECONDS, MAX_SHORTAGE_PAUSE_SECONDS
        )

    async def _report_more(self) -> None:
        seconds = self.random.uniform(MIN_SHORTAGE_SECONDS, MAX_SHORTAGE_SECONDS)
        shown = SLOTS - self.random.randint(MIN_FREE_SLOTS, MAX_FREE_SLOTS)
        await self._play_phase(seconds, f"report {shown} more streams", shown=shown)
