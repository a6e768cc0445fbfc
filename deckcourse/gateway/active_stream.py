"""One stream on its way: its path, whether it stands still, and why it was interrupted.

How long a stream may bring nothing before it counts as standing follows from its own usual gap
between events.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum

import trio

from deckcourse.gateway.crash_watch import RunStart
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.paths import LayerPath

__all__ = ["ActiveStream", "Interruption", "StreamInterruptedError"]

# A stream is asked about after so many times its own usual gap, within these parts of the longest
# pause that its route allows. Where the route says nothing that pause counts as this long, seconds.
# Sooner, most streams asked about only wait for the prompt of another.
USUAL_GAPS = 2.5
SHORTEST_PART = 0.3
LONGEST_PART = 0.6
USUAL_PAUSE_SECONDS = 0.2
# What a stream's gap is taken for before it has shown one, and how much a new gap counts.
FIRST_USUAL_GAP_SECONDS = 0.02
NEW_GAP_WEIGHT = 0.2
# A first event may take longer, since prompts are read and others go first, seconds.
FIRST_GAP_SECONDS = 0.15


class Interruption(StrEnum):
    """Why a stream was taken from its upstream."""

    FIRST_SILENT = "first-silent"
    NO_OTHER_PATH = "no-other-path"
    BETTER_ELSEWHERE = "better-elsewhere"


class StreamInterruptedError(Exception):
    """The stream was taken from its upstream; `ActiveStream.interruption` says why."""


@dataclass(eq=False)
class ActiveStream:
    """One stream on its way.

    `longest_pause` is what its route allows between events, seconds; 0 where it says nothing.
    `progress_at` is when something last came, or when it was sent. `take_retry` takes one retry for
    it and tells whether there was one: without, it must be left where it is. `waits_for` is the
    upstream of its path that the first one named, `next_move_at` when it may be moved again.
    `ended` says that its upstream has nothing to do with it any more. `run` is its
    beginning there.
    """

    request_id: str
    service: str
    model: ModelSpec
    path: LayerPath
    progress_at: float
    longest_pause: float = 0.0
    begun: bool = False
    usual_gap: float = FIRST_USUAL_GAP_SECONDS
    waiting: bool = True
    waits_for: str = ""
    moving: bool = False
    ended: bool = False
    run: RunStart = RunStart()
    next_move_at: float = 0.0
    take_retry: Callable[[], bool] = lambda: False
    interruption: Interruption | None = None
    _upstream_wait: trio.CancelScope | None = field(default=None, init=False)

    @property
    def stands_at(self) -> float:
        """From when on it counts as standing still if nothing comes, on trio's clock."""
        limit = FIRST_GAP_SECONDS
        if self.begun:
            pause = self.longest_pause or USUAL_PAUSE_SECONDS
            limit = max(SHORTEST_PART * pause, USUAL_GAPS * self.usual_gap)
            limit = min(limit, LONGEST_PART * pause)
        return self.progress_at + limit

    @property
    def at_upstream(self) -> bool:
        """Whether its upstream still has it: it has not ended there and was not taken away."""
        return self.interruption is None and not self.ended

    @contextmanager
    def interruptible(self) -> Iterator[None]:
        """Wait for the upstream inside; whatever goes to the caller is written outside.

        An interruption takes the stream from its upstream and from nothing else: where it also met
        the writing to the caller, a head was taken for sent that never left.

        Raises:
          StreamInterruptedError: the stream was taken from its upstream, now or earlier.
        """
        with trio.CancelScope() as scope:
            self._upstream_wait = scope
            if self.interruption is not None:
                scope.cancel()
            try:
                yield
            finally:
                self._upstream_wait = None
        if scope.cancelled_caught:
            raise StreamInterruptedError

    def note_event(self, now: float) -> None:
        """Note that events came."""
        if self.begun:
            gap = now - self.progress_at
            self.usual_gap += NEW_GAP_WEIGHT * (gap - self.usual_gap)
        self.begun = True
        self.waits_for = ""
        self.progress_at = now

    def interrupt(self, why: Interruption) -> bool:
        """Take the stream from its upstream, if it may go on elsewhere; return whether it was.

        One that may not is better left: its upstream may go on, and ends it otherwise.
        """
        if self.at_upstream and self.take_retry():
            self.interruption = why
            if self._upstream_wait is not None:
                self._upstream_wait.cancel()
            return True
        return False

    def stands(self, now: float) -> bool:
        """Return whether it brings nothing for longer than usual."""
        return self.waiting and not self.moving and now > self.stands_at
