"""Records when this process itself was late: what it saw then may have happened before."""

from dataclasses import dataclass, field

import trio

__all__ = ["Lateness"]

# The longest time between two looks, and how late a look is recorded.
INTERVAL_SECONDS = 0.01
MIN_LATE_SECONDS = 0.03


@dataclass
class Lateness:
    """The times in which this process did nothing, as it waited for a processor or was busy.

    `spans` are the begin and the end of each, on trio's clock.
    """

    spans: list[tuple[float, float]] = field(default_factory=list)

    async def run(self) -> None:
        """Record until cancelled."""
        while True:
            due_at = trio.current_time() + INTERVAL_SECONDS
            await trio.sleep_until(due_at)
            now = trio.current_time()
            if now >= due_at + MIN_LATE_SECONDS:
                self.spans.append((due_at, now))

    def seconds_within(self, begin: float, end: float) -> float:
        """Return for how long this process was late between two times."""
        return sum(
            max(0.0, min(end, span_end) - max(begin, span_begin))
            for span_begin, span_end in self.spans
        )
