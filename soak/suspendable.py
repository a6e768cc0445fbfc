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
MAX_PAUSE_SECONDS = 0.3


class _SuspendableClock:
    """A monotonic clock that excludes the times of suspension."""

    def __init__(self) -> None:
        self._read_clock = time.monotonic
        self._last_read_at = self._read_clock()
        self._suspended_seconds = 0.0

    def seconds(self) -> float:
        """Return the clock's time in seconds."""
        now = self._read_clock()
        if now > self._last_read_at + MAX_PAUSE_SECONDS:
            self._suspended_seconds += now - self._last_read_at
        self._last_read_at = now
        return now - self._suspended_seconds


def _replace_monotonic_clock() -> None:
    """Replace all functions of `time` that read the monotonic clock."""
    suspendable_clock = _SuspendableClock()
    original_clock_gettime = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        return (
            suspendable_clock.seconds()
            if clock == time.CLOCK_MONOTONIC
            else original_clock_gettime(clock)
        )

    time.monotonic = time.perf_counter = suspendable_clock.seconds
    time.clock_gettime = clock_gettime


if __name__ == "__main__":
    # Must precede other imports, since most modules keep a reference to the clock function.
    _replace_monotonic_clock()

    runpy.run_module("deckcourse.platform", run_name="__main__")
