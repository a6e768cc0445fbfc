"""Runs the gateway on a simulated machine that can be suspended: `python -m soak.suspendable`.

Stopping the process simulates a suspension: the monotonic clock doesn't advance during that time,
`CLOCK_BOOTTIME` and the wall clock do.
"""

import os
import runpy
import signal
import time

# The program sets these handlers before anything else; this module is loaded even earlier.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))

__all__: list[str] = []

# A process that doesn't read the clock for longer was stopped. A running one checks its streams, or
# for streams to check, several times in this time.
LONGEST_PAUSE_SECONDS = 0.3


class _SteadyHand:
    """A monotonic clock that excludes the times of suspension."""

    def __init__(self) -> None:
        self._read = time.monotonic
        self._last = self._read()
        self._suspended = 0.0

    def seconds(self) -> float:
        """Return the clock's time in seconds."""
        now = self._read()
        if now > self._last + LONGEST_PAUSE_SECONDS:
            self._suspended += now - self._last
        self._last = now
        return now - self._suspended


def _suspend_steady_clock() -> None:
    """Replace all functions of `time` that read the monotonic clock."""
    hand = _SteadyHand()
    usual = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        return hand.seconds() if clock == time.CLOCK_MONOTONIC else usual(clock)

    time.monotonic = time.perf_counter = hand.seconds
    time.clock_gettime = clock_gettime


if __name__ == "__main__":
    # Must precede other imports, since most modules keep a reference to the clock function.
    _suspend_steady_clock()

    runpy.run_module("deckcourse.platform", run_name="__main__")
