"""Records when this process itself was late: what it saw then may have happened before."""

from dataclasses import dataclass, field

import trio

__all__ = ["Lateness"]

# The longest time between two looks, and how late a look is recorded.
INTERVAL_SECONDS = 0.01
MIN_LATE_SECONDS = 0.03
# The time between two such times, and from one to what is seen then: a look that isn't late enough.
MAX_GAP_SECONDS = INTERVAL_SECONDS + MIN_LATE_SECONDS
# A proxy sees an event in one turn, and the caller behind it in the next one.
MAX_LOOKS = 2


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

    def earliest(self, seen_at: float) -> float:
        """Return when what this process saw at a time may have happened at the earliest.

        Only times in which it was late right before count: it would have seen the rest then.
        """
        looks = 0
        for begin, end in reversed(self.spans):
            if end + MAX_GAP_SECONDS < seen_at or looks == MAX_LOOKS:
                break
            if begin < seen_at:
                seen_at = begin
                looks += 1
        return seen_at
