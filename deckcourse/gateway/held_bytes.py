"""Bounds what a process holds for callers and upstreams, and ends callers that read slowly.

Load pattern: many callers come at once with large bodies, or get large responses; while capacity is
short, callers read slowly or stop reading without closing, and large bodies wait for upstreams.
Their bytes fill the memory of a small process, which then ends with all of its requests.

A message that is read whole gets room for all that it may need before more of it is read. One that
has room can always finish: a body is sent to its upstream, a response to its caller, without more.
Until there is room nothing is read, so that TCP holds the sender back.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from deckcourse.gateway.holder import FREE_BYTES, EndReason, Holder, Message
from deckcourse.gateway.room_queue import RoomQueue, RoomRequest
from deckcourse.http1.message import IncomingRequest
from deckcourse.settings import LoadSettings

__all__ = ["HeldBytes"]

# Part of the bound up to which messages get room. The rest is for what needs none, such as events
# of streams and small messages, which neither wait for large ones nor exceed the bound at once.
GRANTED_SHARE = 0.875
# Part of the bound that request bodies get: while they wait for upstreams that read slowly, there
# is room for the responses of requests that were handed on.
BODY_SHARE = 0.5
# Interval between two checks of what callers have taken, seconds: a share of the timeout, so that a
# stream ends at most this share late.
CHECKS_PER_TIMEOUT = 8
MIN_CHECK_INTERVAL_SECONDS = 0.05
MAX_CHECK_INTERVAL_SECONDS = 0.25
# A check that runs this much too late shows that this process itself was paused.
PROCESS_PAUSE_SECONDS = 0.5


class HeldBytes:
    """The bytes that this process holds for all connections of callers.

    Args:
      settings: returns the settings in force; both bounds are off at 0.
      count: increments a counter by name.
      gauge: sets a gauge by name.
      log: writes decision log entries.
      request_seconds: returns the time that a request has, from its head, seconds.
    """

    def __init__(
        self,
        settings: Callable[[], LoadSettings],
        count: Callable[[str], None],
        gauge: Callable[[str, float], None],
        log: Callable[..., None],
        request_seconds: Callable[[IncomingRequest], float] = lambda head: float("inf"),
    ) -> None:
        self._request_seconds = request_seconds
        self._settings = settings
        self._count = count
        self._gauge = gauge
        self._log = log
        self._holders: set[Holder] = set()
        self._total = 0
        self._bodies = RoomQueue(self._fits_body)
        self._responses = RoomQueue(self._fits_response)
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

    @property
    def connections(self) -> int:
        """The number of callers' connections that are not being ended."""
        return len(self._holders)

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
            for message, size in holder.room.items():
                self._queue(message).forget(holder, size)
            self._grant()

    def _queue(self, message: Message) -> RoomQueue:
        return self._bodies if message is Message.BODY else self._responses

    def request_seconds(self, head: IncomingRequest) -> float:
        """Return the time that a request has, from its head, seconds."""
        return self._request_seconds(head)

    def needs_room(self, size: int, growth: int) -> bool:
        """Return whether a message needs room before it is read.

        Args:
          size: its size as far as it is known, bytes.
          growth: what of that has yet to come, bytes.
        """
        bound = self._settings().held_bytes
        return bool(bound) and (size > FREE_BYTES or self._total + growth > bound)

    async def wait_for_room(
        self, message: Message, request: RoomRequest, deadline: Callable[[], float]
    ) -> bool:
        """Wait for room, first come first served.

        Args:
          message: what the room is for.
          request: how much, and for whom.
          deadline: returns until when to wait, on trio's clock.

        Returns:
          Whether it was granted.
        """
        queue = self._queue(message)
        if queue.try_acquire(request):
            return True
        kind = message.name.lower()
        self._count(f"held.{kind}-waits")
        with trio.move_on_at(deadline()) as scope:
            await queue.acquire(request)
        if scope.cancelled_caught:
            self._count(f"held.{kind}-without-room")
        return not scope.cancelled_caught

    def _fits_body(self, size: int) -> bool:
        bound = self._settings().held_bytes
        if not bound:
            return True
        is_share_left = self._bodies.used + size <= BODY_SHARE * bound
        return is_share_left and not self._responses.waiting and self._is_free(size, bound)

    def _fits_response(self, size: int) -> bool:
        bound = self._settings().held_bytes
        return not bound or self._is_free(size, bound)

    def _is_free(self, size: int, bound: int) -> bool:
        return self._total + size <= GRANTED_SHARE * bound

    def _grant(self) -> None:
        """Grant what fits: responses first, since upstreams have run their requests."""
        for queue in (self._responses, self._bodies):
            if queue.waiting:
                queue.grant()

    def note_room(self, holder: Holder, message: Message, before: int, after: int) -> None:
        """Record a change of the room that a connection has."""
        if holder in self._holders:
            self._queue(message).note_change(holder, before, after)

    def note_change(self, holder: Holder, change: int) -> None:
        """Record a change of the bytes held for a connection."""
        if holder not in self._holders:
            return
        self._total += change
        if change < 0:
            self._grant()

    def note_unread(self) -> None:
        """End callers that don't read while the total exceeds its bound.

        Those go first that hold most unread; none goes that waits for its response, nor while what
        is unread keeps to the part of the bound that isn't granted.
        """
        bound = self._settings().held_bytes
        while bound and self._total > bound:
            unread = sum(each.unread for each in self._holders)
            readers = [each for each in self._holders if not each.awaits_response]
            if not readers or unread <= (1.0 - GRANTED_SHARE) * bound:
                return
            largest = max(readers, key=lambda each: each.unread)
            if not largest.unread:
                return
            self._end(largest, EndReason.HELD_BYTES, 0.0)

    async def run(self) -> None:
        """End callers that read too slowly, or send bodies so that others wait, until cancelled."""
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
                self._gauge("held.waiting", self._bodies.waiting + self._responses.waiting)
            if self._bodies.waiting:
                for holder in list(self._holders):
                    holder.end_late_body()
            self._grant()  # The bound may have changed.
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
