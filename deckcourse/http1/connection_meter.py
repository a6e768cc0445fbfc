"""Counts the bytes that are held for a connection of a client."""

from collections.abc import Callable
from typing import Protocol

import trio

from deckcourse.http1.message import IncomingRequest

__all__ = ["NO_METER", "ConnectionMeter"]


class ConnectionMeter(Protocol):
    """Counts the bytes that are held for a connection; may end it."""

    @property
    def end_reason(self) -> str | None:
        """Why the connection was ended, None if it was not."""

    def attach(self, count_unsent: Callable[[], int]) -> None:
        """Set the callback that returns the bytes written that the client's host has not taken."""

    def note_request(self, request_id: str) -> None:
        """Record that a request is being served, for the log."""

    def note_handed_on(self) -> None:
        """Record that the request is sent on now."""

    @property
    def body_waited(self) -> float:
        """How long the request body was not read for lack of room, seconds."""

    def note_body_start(self, head: IncomingRequest, declared: int | None, largest: int) -> None:
        """Record that a request body comes.

        Args:
          head: the request without its body.
          declared: the declared length, None if there is none, bytes.
          largest: the size of the largest body that is accepted, bytes.
        """

    async def wait_for_body_room(self) -> bool:
        """Wait for room for the next bytes of the body; return whether they are to be kept."""

    def note_body_read(self, scope: trio.CancelScope) -> None:
        """Record that the next bytes are read; cancelling the scope rejects the request."""

    def note_body_end(self) -> None:
        """Record that the request body came completely."""

    def note_received(self, count: int) -> None:
        """Record bytes of a request body that came from the client."""

    def note_pipelined(self, count: int) -> None:
        """Record bytes that the client sent before its response was complete."""

    def note_body_waiting(self, size: int) -> None:
        """Record that a request body waits to be sent on."""

    def note_body_sent(self) -> None:
        """Record that the request body was sent on."""

    async def wait_for_response_room(self, declared: int | None, largest: int) -> None:
        """Wait for room for the next bytes of a response that is collected before it is sent.

        Args:
          declared: its declared length, None if there is none, bytes.
          largest: the size of the largest response that is collected, bytes.
        """

    def note_response(self, count: int) -> None:
        """Record bytes of a response that is collected before it is sent."""

    def note_response_read(self) -> None:
        """Record that the collected response is complete."""

    def note_response_end(self) -> None:
        """Record that the collected response was sent, or is dropped."""

    def note_request_end(self) -> None:
        """Record that a request was served."""

    def note_writing(self, count: int) -> None:
        """Record the start of a write to the client."""

    def note_written(self) -> None:
        """Record the end of a write."""


class _NoMeter:
    """Counts nothing."""

    end_reason = None

    def attach(self, count_unsent: Callable[[], int]) -> None: ...

    def note_request(self, request_id: str) -> None: ...

    def note_handed_on(self) -> None: ...

    body_waited = 0.0

    def note_body_start(
        self, head: IncomingRequest, declared: int | None, largest: int
    ) -> None: ...

    async def wait_for_body_room(self) -> bool:
        return True

    def note_body_read(self, scope: trio.CancelScope) -> None: ...

    def note_body_end(self) -> None: ...

    def note_received(self, count: int) -> None: ...

    def note_pipelined(self, count: int) -> None: ...

    def note_body_waiting(self, size: int) -> None: ...

    def note_body_sent(self) -> None: ...

    async def wait_for_response_room(self, declared: int | None, largest: int) -> None: ...

    def note_response(self, count: int) -> None: ...

    def note_response_read(self) -> None: ...

    def note_response_end(self) -> None: ...

    def note_request_end(self) -> None: ...

    def note_writing(self, count: int) -> None: ...

    def note_written(self) -> None: ...


# For connections whose bytes need no count.
NO_METER: ConnectionMeter = _NoMeter()
