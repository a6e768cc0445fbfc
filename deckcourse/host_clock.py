"""The clock that the programs run on: it counts the time in which the machine was suspended.

The steady clock stands while a machine is suspended, so that whatever is kept by it looks younger
than it is: keys, leases, what peers told, times that upstreams asked for. The time of day jumps.
"""

import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from trio.abc import Clock

__all__ = ["CLOCK", "HostClock", "run_on_host_clock"]

_Result = TypeVar("_Result")

# Systems without this clock don't tell how long they were suspended.
CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# A sleep that was under way lasts longer by the time of the suspension, seconds: no sleep is longer
# than this, so that what was due is noticed as soon after it.
LONGEST_SLEEP_SECONDS = 0.25


class HostClock(Clock):
    """Seconds since the machine started, those in which it was suspended among them.

    Args:
      read: returns the time of a clock of the system, seconds.
    """

    def __init__(self, read: Callable[[int], float] | None = None) -> None:
        self._read = read or time.clock_gettime

    def start_clock(self) -> None:
        """Do nothing: the system's clock runs."""

    def current_time(self) -> float:
        """Return the time, seconds."""
        return self._read(CLOCK)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to sleep at the most where nothing is due before a deadline, seconds."""
        return min(LONGEST_SLEEP_SECONDS, deadline - self.current_time())


def run_on_host_clock(main: Callable[..., Awaitable[_Result]], *args: object) -> _Result:
    """Run a program's main function to its end, as `trio.run` does; return its result."""
    return trio.run(main, *args, clock=HostClock())
