"""Runners that announce a rate limit for all entries together, for some seconds each."""

from dataclasses import dataclass, field

import trio

from soak.trouble import SiteTrouble

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


@dataclass
class RateFaults(SiteTrouble):
    """Makes runners announce rate limits, chosen independently of the other faults."""

    _limited: set[str] = field(default_factory=set)

    async def run(self, until: float) -> None:
        """Inject limits until a time on trio's clock; return once none is announced."""
        await self.start_repeatedly(
            until,
            lambda: self._announce_limit,
            MIN_FAULT_INTERVAL_SECONDS,
            MAX_FAULT_INTERVAL_SECONDS,
        )

    async def _announce_limit(self) -> None:
        runner = self.random.choice(self.site.runners)
        rate, seconds = self.random.choice(RATES), self._draw_seconds()
        second_rate = self.random.choice(RATES) if self.random.random() < CHANGE_SHARE else rate
        name = runner.spec.instance
        if name in self._limited:
            return
        self._limited.add(name)
        self.log_fault(
            f"runner {name} limits to {rate:g} a second, then {second_rate:g}, for {seconds:.1f} s"
        )
        for each in (rate, second_rate):
            self.site.send_order(runner, limit=f"{each:g}")
            await trio.sleep(seconds / 2)
        self.site.send_order(runner, limit="")
        self._limited.discard(name)

    def _draw_seconds(self) -> float:
        return self.random.uniform(MIN_LIMIT_SECONDS, MAX_LIMIT_SECONDS)
