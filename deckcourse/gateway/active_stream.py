"""The state of one active stream: its path, whether it is stalled, and why it was interrupted.

How long a stream may go without an event before it counts as stalled depends on the average gap
between its own events.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial

import trio

from deckcourse.gateway.crash_watch import AttemptStart
from deckcourse.gateway.upstream import Upstream
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.paths import LayerPath

__all__ = ["ActiveStream", "Interruption", "StreamInterruptedError"]

# A stream counts as stalled after this many times its average gap, limited to these shares of the
# longest pause that its route allows, or of the default pause if the route sets none. With a lower
# limit, most stalled streams would only be waiting for the prompt of another request.
STALL_GAP_FACTOR = 2.5
MIN_PAUSE_SHARE = 0.3
MAX_PAUSE_SHARE = 0.6
DEFAULT_MAX_PAUSE_SECONDS = 0.2
# Average gap assumed before the first one is measured, and the weight of each new gap.
INITIAL_GAP_SECONDS = 0.02
NEW_GAP_WEIGHT = 0.2
# The first event may take longer, because the prompt is processed and other requests queue ahead.
FIRST_EVENT_TIMEOUT_SECONDS = 0.15


class Interruption(StrEnum):
    """Why a stream was detached from its upstream."""

    FIRST_SILENT = "first-silent"
    NO_OTHER_PATH = "no-other-path"
    BETTER_ELSEWHERE = "better-elsewhere"
    CONNECTION_SILENT = "connection-silent"


class StreamInterruptedError(Exception):
    """The stream was detached from its upstream; `ActiveStream.interruption` holds the reason."""


@dataclass(eq=False)
class ActiveStream:
    """One attempt of a stream at the first upstream of its path.

    `max_pause_seconds` is the longest gap between events that its route allows, 0 if none is set.
    `progress_at` is when the last event came, or when the request was sent. `reserve_retry`
    reserves a retry and returns whether there was one; without it the stream must stay on its path.
    `blocking_instance` is the upstream that the first stage reported as blocking the stream.
    `next_move_at` is when the stream may be moved again. `has_ended` is set once its upstream no
    longer holds the stream. `execution` describes the start of its execution there. `upstream` is
    the first stage as known at the start: the table forgets an incarnation that was superseded.
    `prompt_tokens` are those of its prompt, 0 if not stated; `events` counts those of the answer so
    far, also of earlier attempts. `event_at` is when the caller's last event came, 0 if none did.
    """

    request_id: str
    service: str
    model: ModelSpec
    path: LayerPath
    progress_at: float
    max_pause_seconds: float = 0.0
    has_events: bool = False
    average_gap: float = INITIAL_GAP_SECONDS
    is_waiting: bool = True
    blocking_instance: str = ""
    is_moving: bool = False
    has_ended: bool = False
    execution: AttemptStart = AttemptStart()
    upstream: Upstream | None = None
    next_move_at: float = 0.0
    prompt_tokens: int = 0
    events: int = 0
    event_at: float = 0.0
    reserve_retry: Callable[["Interruption", Callable[[], object]], bool] = (
        lambda why, when_granted: False
    )
    on_detached: Callable[[], object] = lambda: None
    interruption: Interruption | None = None
    _wait_scope: trio.CancelScope | None = field(default=None, init=False)
    # Whether the stream waits for an upstream that may go on with it.
    _awaits_upstream: bool = field(default=False, init=False)
    _is_detached: bool = field(default=False, init=False)

    @property
    def is_detached(self) -> bool:
        """Whether another attempt is to take the place of this one unless it goes on before."""
        return self._is_detached

    @property
    def stalled_at(self) -> float:
        """When the stream counts as stalled unless an event comes before, on trio's clock."""
        limit = FIRST_EVENT_TIMEOUT_SECONDS
        if self.has_events:
            pause = self.max_pause_seconds or DEFAULT_MAX_PAUSE_SECONDS
            limit = max(MIN_PAUSE_SHARE * pause, STALL_GAP_FACTOR * self.average_gap)
            limit = min(limit, MAX_PAUSE_SHARE * pause)
        return self.progress_at + limit

    @property
    def tokens(self) -> float:
        """The tokens that it holds so far: its prompt and the answer's events."""
        prompt = self.prompt_tokens or self.model.usual_prompt
        return prompt + self.events * self.model.event_tokens

    @property
    def pause_ends_at(self) -> float:
        """When the longest pause between events is over; a move doesn't begin another pause."""
        pause = self.max_pause_seconds or DEFAULT_MAX_PAUSE_SECONDS
        return (self.event_at or self.progress_at) + pause

    @property
    def is_at_upstream(self) -> bool:
        """Whether its upstream still holds it: neither ended nor interrupted."""
        return self.interruption is None and not self.has_ended

    @contextmanager
    def interruptible(self) -> Iterator[None]:
        """Enclose a wait for a connection, before the request is sent; an interruption ends it.

        Raises:
          StreamInterruptedError: the stream was interrupted, now or earlier.
        """
        with trio.CancelScope() as scope:
            self._wait_scope = scope
            if self.interruption is not None:
                scope.cancel()
            try:
                yield
            finally:
                self._wait_scope = None
        if scope.cancelled_caught:
            raise StreamInterruptedError

    @contextmanager
    def awaiting_upstream(self) -> Iterator[None]:
        """Enclose a wait for an upstream that has the request; an interruption doesn't end it.

        The stream is only detached, and only while it waits: during a write to its caller, its last
        event isn't known yet, and another attempt would repeat it.
        """
        self._awaits_upstream = True
        if self.interruption is not None:
            self._detach()
        try:
            yield
        finally:
            self._awaits_upstream = False

    def _detach(self) -> None:
        if not self._is_detached:
            self._is_detached = True
            self.on_detached()

    def attach(self) -> None:
        """Let the stream go on at its upstream, as if it had not been interrupted."""
        self.interruption = None
        self._is_detached = False

    def note_event(self, now: float, count: int = 1) -> None:
        """Record that events came."""
        if self.has_events:
            gap = now - self.progress_at
            self.average_gap += NEW_GAP_WEIGHT * (gap - self.average_gap)
        self.has_events = True
        self.blocking_instance = ""
        self.progress_at = self.event_at = now
        self.events += count

    def interrupt(self, why: Interruption) -> bool:
        """Detach the stream from its upstream if it may be retried; return whether it was detached.

        A stream that may not be retried stays: its upstream may still continue it or end it. If its
        retry has to be granted first, it is detached once that has come.
        """
        if self.is_at_upstream and self.reserve_retry(why, partial(self.interrupt, why)):
            self.interruption = why
            if self._wait_scope is not None:
                self._wait_scope.cancel()
            if self._awaits_upstream:
                self._detach()
            return True
        return False

    def is_stalled(self, now: float) -> bool:
        """Return whether no event came for longer than expected."""
        is_waiting = self.is_waiting and self.interruption is None and not self.is_moving
        return is_waiting and now > self.stalled_at
