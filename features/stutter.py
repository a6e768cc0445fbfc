"""Connections to upstreams that send surplus bytes after a response, possibly late."""

import math
from dataclasses import dataclass

import trio

# The end of a complete chunked response.
LAST_CHUNK = b"0\r\n\r\n"
AT_ONCE = -1.0


@dataclass
class SurplusSender:
    """Which surplus bytes follow responses, and when they are sent.

    `surplus` returns the bytes that follow a response, empty for none. `seconds` counts from the
    next request on the same connection; AT_ONCE sends them before it. Only requests for which
    `counts` returns True cause or receive surplus bytes. `late` counts how often some were sent.
    """

    surplus: object
    seconds: float = AT_ONCE
    counts: object = lambda request: True
    late: int = 0


def is_callers(request):
    """Return whether a request comes from a caller rather than being a control call."""
    return b" /v1/" not in request.partition(b"\r\n")[0]


class SurplusTransport:
    """A connection that delivers surplus bytes after a response."""

    def __init__(self, transport, surplus_sender):
        self._transport = transport
        self._sender = surplus_sender
        self._answer = b""
        self._surplus = b""
        self._due_at = math.inf
        self._counts = False
        self.close = transport.close
        self.is_open = transport.is_open

    async def send_all(self, data):
        self._counts = self._sender.counts(data)
        if self._counts and self._surplus and self._due_at == math.inf:
            self._due_at = trio.current_time() + self._sender.seconds
        await self._transport.send_all(data)

    async def receive_some(self, max_bytes):
        while True:
            if trio.current_time() >= self._due_at:
                self._due_at, data, self._surplus = math.inf, self._surplus, b""
                self._sender.late += 1
                return data
            data = None
            with trio.move_on_at(self._due_at):
                data = await self._transport.receive_some(max_bytes)
            if data is not None:
                self._record_response(data)
                return data

    def _record_response(self, data):
        self._answer += data
        if not is_whole(self._answer):
            return
        answer, self._answer = self._answer, b""
        if self._counts and not self._surplus:
            self._surplus = self._sender.surplus(answer)
        if self._surplus and self._sender.seconds == AT_ONCE:
            self._due_at = trio.current_time()

    def readable(self):
        return trio.current_time() >= self._due_at or self._transport.readable()


def is_whole(answer):
    head, end, body = answer.partition(b"\r\n\r\n")
    if b"chunked" in head.lower():
        return body.endswith(LAST_CHUNK)
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return bool(end)


def with_surplus(dial, surplus_sender, addresses):
    """Return a dial function whose connections to some addresses deliver surplus bytes."""

    async def connect(address):
        transport = await dial(address)
        return SurplusTransport(transport, surplus_sender) if address in addresses else transport

    return connect


def repeat_response(answer):
    """Return the same response again."""
    return answer


def once(surplus):
    """Return a function that returns the surplus after the first response and none after others."""
    first_responses = []

    def first(answer):
        if first_responses:
            return b""
        first_responses.append(answer)
        return surplus(answer)

    return first
