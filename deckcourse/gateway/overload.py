"""Watches whether this process gets enough processor time for its requests, and bounds these.

A connection beyond the bound is to be closed before anything is read from it: its caller knows then
that no request of it ran, and tries another process at once.
"""

from collections.abc import Callable
from time import process_time

import trio

from deckcourse.decisions.concurrency_limit import SATURATED_SHARE, ConcurrencyLimit
from deckcourse.loop_monitor import MIN_PAUSE_SECONDS, LoopMonitor, LoopSample

__all__ = ["OverloadWatch"]

# Interval between two samples of the event loop.
SAMPLE_INTERVAL_SECONDS = 0.1
# Consecutive samples after which the loop is reported as saturated, or no longer so.
REPORTED_SAMPLES = 5
# A connection is admitted at least this often, so that the bound is tried again.
MAX_ADMISSION_INTERVAL_SECONDS = 1.0


class OverloadWatch:
    """Samples the event loop, logs when it is saturated, and bounds the requests in flight.

    Args:
      in_flight: returns the number of requests in flight.
      count: increments the counter of a name.
      timing: records a duration by name.
      gauge: sets a gauge by name.
      log: writes an entry to the decision log.
    """

    def __init__(
        self,
        in_flight: Callable[[], int],
        count: Callable[[str], None],
        timing: Callable[[str, float], None],
        gauge: Callable[[str, float], None],
        log: Callable[..., None],
    ) -> None:
        self._in_flight = in_flight
        self._count = count
        self._timing = timing
        self._gauge = gauge
        self._log = log
        self._is_saturated = False
        # Consecutive samples that contradict what was last reported.
        self._contrary_samples = 0
        self._limit = ConcurrencyLimit()
        # Connections admitted since the last sample, whose requests may not be in flight yet.
        self._admitted = 0
        self._admits_any_from = float("-inf")
        self._turned_away = 0
        self._monitor: LoopMonitor | None = None
        # The processor time of this process at the last sample.
        self._processor_seconds = process_time()

    @property
    def is_limiting(self) -> bool:
        """Whether the requests in flight are bounded."""
        return self._limit.limit is not None

    def was_paused(self) -> bool:
        """Return whether this process was paused when what it reads now arrived."""
        return self._monitor is not None and self._monitor.was_paused()

    def admit_connection(self) -> bool:
        """Return whether a new connection may be read; one that may not is to be closed unread."""
        now = trio.current_time()
        is_due = now >= self._admits_any_from
        if not is_due and not self._limit.admits(self._in_flight() + self._admitted):
            self._count("connection.turned-away")
            self._turned_away += 1
            return False
        self._admitted += 1
        self._admits_any_from = now + MAX_ADMISSION_INTERVAL_SECONDS
        return True

    async def run(self) -> None:
        """Sample the event loop until cancelled."""
        monitor = self._monitor = LoopMonitor(trio.current_time)
        trio.lowlevel.add_instrument(monitor)
        try:
            while True:
                await trio.sleep(SAMPLE_INTERVAL_SECONDS)
                self.note(monitor.sample())
        finally:
            trio.lowlevel.remove_instrument(monitor)

    def note(self, sample: LoopSample) -> None:
        """Evaluate one sample of the event loop."""
        in_flight = self._in_flight()
        self._admitted = 0
        self._limit.note(sample, in_flight, trio.current_time())
        self._gauge("loop.busy", sample.busy_share)
        self._gauge("requests.limit", self._limit.limit or 0.0)
        self._timing("loop.turn", sample.longest_turn)
        self._note_long_turn(sample, in_flight)
        is_saturated = sample.busy_share >= SATURATED_SHARE
        self._contrary_samples += 1
        if is_saturated == self._is_saturated:
            self._contrary_samples = 0
        elif self._contrary_samples >= REPORTED_SAMPLES:
            self._is_saturated = is_saturated
            self._contrary_samples = 0
            self._log(
                "loop-saturated" if is_saturated else "loop-recovered",
                requests=in_flight,
                limit=round(self._limit.limit or 0.0, 1),
                turned_away=self._turned_away,
                busy=round(sample.busy_share, 2),
                turn_ms=round(sample.mean_turn * 1000, 1),
                longest_turn_ms=round(sample.longest_turn * 1000, 1),
            )
            self._turned_away = 0

    def _note_long_turn(self, sample: LoopSample, in_flight: int) -> None:
        """Log a turn that is as good as a pause, and whether this process itself ran meanwhile."""
        used = process_time() - self._processor_seconds
        self._processor_seconds += used
        if sample.longest_turn >= MIN_PAUSE_SECONDS:
            self._log(
                "long-turn",
                requests=in_flight,
                longest_turn_ms=round(sample.longest_turn * 1000),
                busy=round(sample.busy_share, 2),
                processor_ms=round(used * 1000),
            )
