"""Runs the gateway on a machine that may be suspended: `python -m soak.suspendable`.

A process that is stopped stands for a suspended machine: the steady clock doesn't count that time,
`CLOCK_BOOTTIME` and the time of day do.
"""

import os
import runpy
import signal
import time

# As the program itself does before anything else: this loads before it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))

__all__: list[str] = []

# A process that reads no clock for longer was stopped, seconds: it looks at its streams, or for
# something to look at, several times in this time.
LONGEST_PAUSE_SECONDS = 0.3


class _SteadyHand:
    """The steady clock of such a machine."""

    def __init__(self) -> None:
        self._read = time.monotonic
        self._last = self._read()
        self._suspended = 0.0

    def seconds(self) -> float:
        """Return the seconds in which the machine was not suspended."""
        now = self._read()
        if now > self._last + LONGEST_PAUSE_SECONDS:
            self._suspended += now - self._last
        self._last = now
        return now - self._suspended


def _suspend_steady_clock() -> None:
    """Let everything in this process that reads the steady clock read the hand that stands."""
    hand = _SteadyHand()
    usual = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        return hand.seconds() if clock == time.CLOCK_MONOTONIC else usual(clock)

    time.monotonic = time.perf_counter = hand.seconds
    time.clock_gettime = clock_gettime


if __name__ == "__main__":
    # Before anything else is imported: most keep the function that they read the clock by.
    _suspend_steady_clock()

    runpy.run_module("deckcourse.platform", run_name="__main__")
