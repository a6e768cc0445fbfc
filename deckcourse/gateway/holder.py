"""What is held in memory for one connection of a caller."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from functools import cached_property, partial
from typing import Protocol

import trio

from deckcourse.gateway.room_queue import RoomRequest
from deckcourse.http1.message import READ_BYTES, IncomingRequest

__all__ = ["FREE_BYTES", "EndReason", "Holder", "Message", "Register"]

# What is held for a connection, as indexes: request body, pipelined bytes, collected response, the
# write in progress, and what was written but not acknowledged. Each event changes one of them
# twice, so they are list indexes instead of enumeration members, which cost several times as much.
_BODY, _PIPELINED, _RESPONSE, _WRITE, _UNSENT = range(5)
# Messages up to this size need no room of their own while the total allows it: as many bytes as
# each connection may hold of further requests.
FREE_BYTES = 64 * 1024
# Part of its time that a request waits for room for its body; the rest is for its upstream.
BODY_WAIT_SHARE = 0.5


class EndReason(StrEnum):
    """Why a connection of a caller was ended."""

    CALLER_SLOW = "caller-slow"
    HELD_BYTES = "held-bytes"


class Message(IntEnum):
    """The messages that get room before they are read; the values are those of their parts."""

    BODY = _BODY
    RESPONSE = _RESPONSE


class Register(Protocol):
    """What all connections of callers share."""

    @property
    def reader_timeout(self) -> float:
        """How long a caller may take for an event, seconds; 0 for no limit."""

    def request_seconds(self, head: IncomingRequest) -> float:
        """Return the time that a request has, from its head, seconds."""

    def needs_room(self, size: int, growth: int) -> bool:
        """Return whether a message of a size needs room, which would add `growth` bytes."""

    async def wait_for_room(
        self, message: Message, request: RoomRequest, deadline: Callable[[], float]
    ) -> bool:
        """Wait for room; return whether it was granted before the deadline."""

    def note_room(self, holder: "Holder", message: Message, before: int, after: int) -> None:
        """Record a change of the room that a connection has."""

    def note_change(self, holder: "Holder", change: int) -> None:
        """Record a change of the bytes held for a connection."""

    def note_unread(self) -> None:
        """Record that a caller has more to read than before."""


@dataclass
class _ExpectedBody:
    """A request body that comes in, and the times until which it may wait and come."""

    head: IncomingRequest
    declared: int | None
    largest: int
    began_at: float
    request_seconds: Callable[[IncomingRequest], float]
    waited: float = 0.0
    is_dropped: bool = False

    @cached_property
    def _seconds(self) -> float:
        return self.request_seconds(self.head)

    def wait_deadline(self) -> float:
        """Return until when it may wait for room."""
        return self.began_at + BODY_WAIT_SHARE * self._seconds

    def deadline(self) -> float:
        """Return until when all of it must have come if others wait for its room."""
        return self.began_at + self._seconds


class Holder:
    """What is held for one connection of a caller; implements `ConnectionMeter`.

    Args:
      register: the register of all connections.
      scope: cancelled to end the connection.
    """

    def __init__(self, register: Register, scope: trio.CancelScope) -> None:
        self._register = register
        self._scope = scope
        self._held = [0] * 5
        # For each message, the room that was granted, which counts as held, and what came of it.
        self._room = dict.fromkeys(Message, 0)
        self._came = dict.fromkeys(Message, 0)
        self._body: _ExpectedBody | None = None
        self._reading: trio.CancelScope | None = None
        # The number of bytes written so far, the size of the write in progress, and for each write
        # that the caller may not have taken completely, that number after it and when it began.
        self._written = 0
        self._writing = 0
        self._pending: deque[tuple[int, float]] = deque()
        self._count_unsent: Callable[[], int] = lambda: 0
        self._end_reason: EndReason | None = None
        # The request that is served, empty between two, and whether it was sent to an upstream.
        self._request_id = ""
        self._handed_on = False
        self._awaits_response = False

    @property
    def held(self) -> int:
        """The bytes held: request body, response body, and what the caller has not taken."""
        return sum(self._held)

    @property
    def unread(self) -> int:
        """The bytes written that the caller has not taken, without a response that has room."""
        return self._held[_WRITE] + self._held[_UNSENT]

    @property
    def room(self) -> dict[Message, int]:
        """The room that was granted for each message, bytes."""
        return self._room

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

    @property
    def awaits_response(self) -> bool:
        """Whether a request is read or served whose response has not begun."""
        return self._awaits_response

    @property
    def body_waited(self) -> float:
        """How long the request body was not read for lack of room, seconds."""
        return self._body.waited if self._body is not None else 0.0

    def _hold(self, part: int, count: int) -> None:
        change = count - self._held[part]
        if change:
            self._held[part] = count
            self._register.note_change(self, change)

    def _hold_unread(self, part: int, count: int) -> None:
        is_more = count > self._held[part]
        self._hold(part, count)
        if is_more:
            self._register.note_unread()

    def _set_room(self, message: Message, size: int) -> None:
        before, self._room[message] = self._room[message], size
        self._register.note_room(self, message, before, size)
        self._hold(message, size)

    def _add_room(self, message: Message, size: int) -> None:
        self._set_room(message, self._room[message] + size)

    def _receive(self, message: Message, count: int) -> None:
        self._came[message] += count
        if not self._room[message]:
            self._hold(message, self._held[message] + count)

    def _shrink(self, message: Message) -> None:
        """Give back the room that a message that came completely doesn't need."""
        if self._room[message]:
            self._set_room(message, min(self._room[message], max(1, self._came[message])))

    def _drop(self, message: Message) -> None:
        self._came[message] = 0
        if self._room[message]:
            self._set_room(message, 0)
        self._hold(message, 0)

    async def _wait_for_room(
        self,
        message: Message,
        declared: int | None,
        largest: int,
        deadline: Callable[[], float] = lambda: float("inf"),
    ) -> bool:
        """Return whether there is room for the next bytes of a message before the deadline."""
        room, came = self._room[message], self._came[message]
        limit = largest if declared is None else min(declared, largest)
        if room and room >= min(limit, came + READ_BYTES):
            return True
        expected = came + READ_BYTES if declared is None else limit
        if not room and not self._register.needs_room(expected, expected - came):
            return True
        # A declared body is sent at once by a sound caller, and waits whole or not at all.
        is_whole = message is Message.BODY and declared is not None
        size = limit if is_whole else min(limit, 2 * max(came, FREE_BYTES))
        size, limit = max(size, came + 1), max(limit, came + 1)
        on_granted = partial(self._add_room, message)
        request = RoomRequest(self, size - room, limit - room, room > 0, on_granted)
        return await self._register.wait_for_room(message, request, deadline)

    def attach(self, count_unsent: Callable[[], int]) -> None:
        """Set the callback that returns the bytes written that the caller's host has not taken."""
        self._count_unsent = count_unsent

    def note_request(self, request_id: str) -> None:
        """Record that a request is being served, for the log."""
        self._request_id = request_id

    def note_handed_on(self) -> None:
        """Record that the request is sent to an upstream or a peer now."""
        self._handed_on = True

    def note_body_start(self, head: IncomingRequest, declared: int | None, largest: int) -> None:
        """Record that a request body comes; see `ConnectionMeter`."""
        self._drop(Message.BODY)
        seconds = self._register.request_seconds
        self._body = _ExpectedBody(head, declared, largest, trio.current_time(), seconds)
        self._awaits_response = True

    async def wait_for_body_room(self) -> bool:
        """Wait for room for the next bytes of the body; return whether they are to be kept."""
        body = self._body
        if body is None or body.is_dropped:
            return body is None
        began_at = trio.current_time()
        has_room = await self._wait_for_room(
            Message.BODY, body.declared, body.largest, body.wait_deadline
        )
        body.waited += trio.current_time() - began_at
        if not has_room:
            body.is_dropped = True
            self._drop(Message.BODY)
        return has_room

    def note_received(self, count: int) -> None:
        """Record bytes of a request body that came from the caller."""
        self._receive(Message.BODY, count)

    def note_body_read(self, scope: trio.CancelScope) -> None:
        """Record that the next bytes of the body are read; cancelling `scope` ends that."""
        self._reading = scope

    def note_body_end(self) -> None:
        """Record that the request body came completely."""
        self._reading = None
        self._shrink(Message.BODY)

    def end_late_body(self) -> None:
        """Give up a body that has room and hasn't come in the time of its request."""
        if self._reading is None or self._body is None or not self._room[Message.BODY]:
            return
        if trio.current_time() >= self._body.deadline():
            self._reading.cancel()

    def note_pipelined(self, count: int) -> None:
        """Record bytes that the caller sent before its response was complete."""
        self._hold(_PIPELINED, self._held[_PIPELINED] + count)

    def note_body_waiting(self, size: int) -> None:
        """Record that a request body waits to be sent to an upstream."""
        self._awaits_response = True
        if not self._room[Message.BODY]:
            self._hold(_BODY, size)

    def note_body_sent(self) -> None:
        """Record that an upstream has taken the request body."""
        self._drop(Message.BODY)

    async def wait_for_response_room(self, declared: int | None, largest: int) -> None:
        """Wait for room for the next bytes of a response; see `ConnectionMeter`."""
        await self._wait_for_room(Message.RESPONSE, declared, largest)

    def note_response(self, count: int) -> None:
        """Record bytes of a response that is read completely before it is written."""
        self._receive(Message.RESPONSE, count)

    def note_response_read(self) -> None:
        """Record that the response came completely."""
        self._shrink(Message.RESPONSE)

    def note_response_end(self) -> None:
        """Record that what was read of a response was written, or is dropped."""
        self._drop(Message.RESPONSE)

    def note_request_end(self) -> None:
        """Record that a request was served; what its caller has not taken is still held."""
        for message in Message:
            self._drop(message)
        self._hold(_PIPELINED, 0)
        self._body = self._reading = None
        self._request_id, self._handed_on, self._awaits_response = "", False, False

    def note_writing(self, count: int) -> None:
        """Record the start of a write to the caller."""
        self._awaits_response = False
        self._written += count
        self._writing = count
        if self._register.reader_timeout:
            self._pending.append((self._written, trio.current_time()))
        # A response that was read whole keeps what it holds until it is written.
        self._hold_unread(_WRITE, max(0, count - self._held[_RESPONSE]))

    def note_written(self) -> None:
        """Record the end of a write: the kernel has taken its bytes, or never will."""
        if self._writing > FREE_BYTES and self._register.reader_timeout:
            # What the kernel holds counts before the room of the write goes to others.
            self._hold(_UNSENT, self._count_unsent())
        self._writing = 0
        self._hold(_WRITE, 0)

    def waiting_since(self) -> float | None:
        """Return since when the caller has not completely taken the earliest write, if any."""
        if not self._pending:
            self._hold(_UNSENT, 0)
            return None
        self._hold_unread(_UNSENT, self._count_unsent())
        taken = self._written - self._writing - self._held[_UNSENT]
        while self._pending and self._pending[0][0] <= taken:
            self._pending.popleft()
        return self._pending[0][1] if self._pending else None

    def end(self, why: EndReason) -> None:
        """Close the connection, which also closes that of its upstream."""
        self._end_reason = why
        self._scope.cancel()
