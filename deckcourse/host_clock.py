"""The clock that the programs run on, which includes time in which the machine was suspended.

The monotonic clock stops while a machine is suspended, so that idempotency keys, leases, peers'
messages and upstreams' backoffs would seem younger than they are. The wall clock can jump.
"""

import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from trio.abc import Clock

__all__ = ["CLOCK_ID", "HostClock", "run_on_host_clock", "steady_wall_clock"]

_Result = TypeVar("_Result")

# Systems without CLOCK_BOOTTIME don't report how long they were suspended.
CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# A suspension lengthens a sleep that is in progress. Sleeps are limited to this, so that deadlines
# which passed during the suspension are noticed within this time after it.
MAX_SLEEP_SECONDS = 0.25


class HostClock(Clock):
    """Seconds since the machine started, including those in which it was suspended.

    Args:
      read: returns the time of the system clock with the given id, seconds.
    """

    def __init__(self, read: Callable[[int], float] | None = None) -> None:
        self._read = read or time.clock_gettime

    def start_clock(self) -> None:
        """Do nothing: the system clock always runs."""

    def current_time(self) -> float:
        """Return the current time, seconds."""
        return self._read(CLOCK_ID)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to sleep until a deadline, at most `MAX_SLEEP_SECONDS`."""
        return min(MAX_SLEEP_SECONDS, deadline - self.current_time())


def run_on_host_clock(main: Callable[..., Awaitable[_Result]], *args: object) -> _Result:
    """Run an async main function on the host clock, as `trio.run` does, and return its result."""
    return trio.run(main, *args, clock=HostClock())


def steady_wall_clock() -> Callable[[], float]:
    """Return a wall clock, seconds since the epoch, that doesn't jump after this call."""
    offset = time.time() - time.clock_gettime(CLOCK_ID)
    return lambda: offset + time.clock_gettime(CLOCK_ID)
