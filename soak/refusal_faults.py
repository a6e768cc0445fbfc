"""Phases in which all runners refuse every request, so that entries want to retry them all."""

import trio

from soak.trouble import SiteTrouble

__all__ = ["RefusalFaults"]

# The time between two phases, and how long one lasts. The first begins with the first calls.
MIN_PAUSE_SECONDS = 2.0
MAX_PAUSE_SECONDS = 5.0
MIN_PHASE_SECONDS = 0.5
MAX_PHASE_SECONDS = 2.0


class RefusalFaults(SiteTrouble):
    """Makes all runners refuse at the same time, independently of the other faults."""

    async def run(self, until: float) -> None:
        """Play phases until a time on trio's clock; return once the last one is over."""
        await self.repeat(until, self._play_phase, MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)

    async def _play_phase(self) -> None:
        seconds = self.random.uniform(MIN_PHASE_SECONDS, MAX_PHASE_SECONDS)
        self.log_fault(f"all runners refuse for {seconds:.1f} s")
        for runner in self.site.runners:
            self.site.send_order(runner, backoff=0.0, seconds=seconds)
        await trio.sleep(seconds)
