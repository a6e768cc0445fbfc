"""Bounds what a process holds for callers and upstreams that read slowly, and ends such callers.

Load pattern: while capacity is short, callers read slowly or stop reading without closing, and
large bodies wait for upstreams. Each such stream keeps its slot on a whole path, and its bytes fill
the memory of a small process, which then ends with all of its streams.
"""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum

import trio

from deckcourse.settings import LoadSettings

__all__ = ["EndReason", "HeldBytes", "Holder"]

# What is held for a connection, as indexes: request body, pipelined bytes, collected response, the
# write in progress, and what was written but not acknowledged. Each event changes one of them
# twice, so they are list indexes instead of enumeration members, which cost several times as much.
_BODY, _PIPELINED, _RESPONSE, _WRITE, _UNSENT = range(5)
# Interval between two checks of what callers have taken, seconds: a share of the timeout, so that a
# stream ends at most this share late.
CHECKS_PER_TIMEOUT = 8
MIN_CHECK_INTERVAL_SECONDS = 0.05
MAX_CHECK_INTERVAL_SECONDS = 0.25
# A check that runs this much too late shows that this process itself was paused.
PROCESS_PAUSE_SECONDS = 0.5


class EndReason(StrEnum):
    """Why a connection of a caller was ended."""

    CALLER_SLOW = "caller-slow"
    HELD_BYTES = "held-bytes"


class Holder:
    """What is held for one connection of a caller; implements `ConnectionMeter`.

    Args:
      register: the register of all connections.
      scope: cancelled to end the connection.
    """

    def __init__(self, register: "HeldBytes", scope: trio.CancelScope) -> None:
        self._register = register
        self._scope = scope
        self._held = [0] * 5
        # The number of bytes written so far, and for each write that the caller may not have taken
        # completely, that number after it and when it began.
        self._written = 0
        self._pending: deque[tuple[int, float]] = deque()
        self._count_unsent: Callable[[], int] = lambda: 0
        self._end_reason: EndReason | None = None
        # The request that is served, empty between two, and whether it was sent to an upstream.
        self._request_id = ""
        self._handed_on = False

    @property
    def held(self) -> int:
        """The bytes held: request body, response body, and what the caller has not taken."""
        return sum(self._held)

    @property
    def end_reason(self) -> EndReason | None:
        """Why the connection was ended, None if it was not."""
        return self._end_reason

    @property
    def request_id(self) -> str:
        """The request that is served, empty if there is none."""
        return self._request_id

    @property
    def handed_on(self) -> bool:
        """Whether the request that is served was sent to an upstream or a peer."""
        return self._handed_on

    def _hold(self, part: int, count: int) -> None:
        change = count - self._held[part]
        if change:
            self._held[part] = count
            self._register.note_change(self, change)

    def attach(self, count_unsent: Callable[[], int]) -> None:
        """Set the callback that returns the bytes written that the caller's host has not taken."""
        self._count_unsent = count_unsent

    def note_request(self, request_id: str) -> None:
        """Record that a request is being served, for the log."""
        self._request_id = request_id

    def note_handed_on(self) -> None:
        """Record that the request is sent to an upstream or a peer now."""
        self._handed_on = True

    def note_received(self, count: int) -> None:
        """Record bytes of a request body that came from the caller."""
        self._hold(_BODY, self._held[_BODY] + count)

    def note_pipelined(self, count: int) -> None:
        """Record bytes that the caller sent before its response was complete."""
        self._hold(_PIPELINED, self._held[_PIPELINED] + count)

    def note_body_waiting(self, size: int) -> None:
        """Record that a request body waits to be sent to an upstream."""
        self._hold(_BODY, size)

    def note_body_sent(self) -> None:
        """Record that an upstream has taken the request body."""
        self._hold(_BODY, 0)

    def note_response(self, count: int) -> None:
        """Record bytes of a response that is read completely before it is written."""
        self._hold(_RESPONSE, self._held[_RESPONSE] + count)

    def note_response_end(self) -> None:
        """Record that what was read of a response is written now, or dropped."""
        self._hold(_RESPONSE, 0)

    def note_request_end(self) -> None:
        """Record that a request was served; what its caller has not taken is still held."""
        for part in (_BODY, _RESPONSE, _PIPELINED):
            self._hold(part, 0)
        self._request_id, self._handed_on = "", False

    def note_writing(self, count: int) -> None:
        """Record the start of a write to the caller."""
        self._written += count
        if self._register.reader_timeout:
            self._pending.append((self._written, trio.current_time()))
        self._hold(_WRITE, count)

    def note_written(self) -> None:
        """Record the end of a write: the kernel has taken its bytes, or never will."""
        self._hold(_WRITE, 0)

    def waiting_since(self) -> float | None:
        """Return since when the caller has not completely taken the earliest write, if any."""
        if not self._pending:
            self._hold(_UNSENT, 0)
            return None
        self._hold(_UNSENT, self._count_unsent())
        taken = self._written - self._held[_WRITE] - self._held[_UNSENT]
        while self._pending and self._pending[0][0] <= taken:
            self._pending.popleft()
        return self._pending[0][1] if self._pending else None

    def end(self, why: EndReason) -> None:
        """Close the connection, which also closes that of its upstream."""
        self._end_reason = why
        self._scope.cancel()


class HeldBytes:
    """The bytes that this process holds for all connections of callers.

    Args:
      settings: returns the settings in force; both bounds are off at 0.
      count: increments a counter by name.
      gauge: sets a gauge by name.
      log: writes decision log entries.
    """

    def __init__(
        self,
        settings: Callable[[], LoadSettings],
        count: Callable[[str], None],
        gauge: Callable[[str, float], None],
        log: Callable[..., None],
    ) -> None:
        self._settings = settings
        self._count = count
        self._gauge = gauge
        self._log = log
        self._holders: set[Holder] = set()
        self._total = 0
        # When this process last continued after a pause.
        self._resumed_at = float("-inf")

    @property
    def reader_timeout(self) -> float:
        """How long a caller may take for an event, seconds; 0 for no limit."""
        return self._settings().reader_timeout

    @property
    def total(self) -> int:
        """The bytes held for all connections that are not being ended."""
        return self._total

    @contextmanager
    def connection(self) -> Iterator[Holder]:
        """Register a connection of a caller; it is served inside, until it is ended."""
        with trio.CancelScope() as scope:
            holder = Holder(self, scope)
            self._holders.add(holder)
            try:
                yield holder
            finally:
                self._forget(holder)

    def _forget(self, holder: Holder) -> None:
        if holder in self._holders:
            self._holders.discard(holder)
            self._total -= holder.held

    def note_change(self, holder: Holder, change: int) -> None:
        """Record a change of the bytes held for a connection.

        While the total exceeds its bound, the connection that holds most is ended.
        """
        if holder not in self._holders:
            return
        self._total += change
        bound = self._settings().held_bytes
        while bound and change > 0 and self._total > bound:
            largest = max(self._holders, key=lambda each: each.held)
            self._end(largest, EndReason.HELD_BYTES, 0.0)

    async def run(self) -> None:
        """End the connections of callers that read too slowly, until cancelled."""
        due_at = trio.current_time()
        while True:
            if trio.current_time() - due_at > PROCESS_PAUSE_SECONDS:
                self._resumed_at = trio.current_time()
            timeout = self.reader_timeout
            interval = MAX_CHECK_INTERVAL_SECONDS
            if timeout:
                self._check_readers(timeout)
                interval = min(interval, timeout / CHECKS_PER_TIMEOUT)
                interval = max(interval, MIN_CHECK_INTERVAL_SECONDS)
            if timeout or self._settings().held_bytes:
                self._gauge("held.bytes", self.total)
            due_at = trio.current_time() + interval
            await trio.sleep_until(due_at)

    def _check_readers(self, timeout: float) -> None:
        now = trio.current_time()
        for holder in list(self._holders):
            since = holder.waiting_since()
            # While this process was paused, no caller could take what it had yet to write.
            if since is not None and now - max(since, self._resumed_at) > timeout:
                self._end(holder, EndReason.CALLER_SLOW, now - since)

    def _end(self, holder: Holder, why: EndReason, waited: float) -> None:
        self._forget(holder)
        self._count(f"held.{why}")
        self._log(
            "connection-ended",
            reason=str(why),
            held=holder.held,
            total=self.total,
            waited_ms=round(waited * 1000),
            request=holder.request_id,
            handed_on=holder.handed_on,
        )
        holder.end(why)
