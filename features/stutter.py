"""Connections to upstreams that send something more behind an answer, and send it late."""

import math
from dataclasses import dataclass

import trio

# What ends a whole answer in chunks.
LAST_CHUNK = b"0\r\n\r\n"
AT_ONCE = -1.0


@dataclass
class Stutter:
    """What comes behind the answers on connections, and when.

    `surplus` returns the bytes that follow an answer, none for no surplus. `seconds` counts from
    when the next request is sent on that connection; AT_ONCE is before it. Only the requests that
    `counts` says yes to have a surplus and meet one. `late` tells how often some came.
    """

    surplus: object
    seconds: float = AT_ONCE
    counts: object = lambda request: True
    late: int = 0


def is_callers(request):
    """Return whether a request is a caller's and no control call."""
    return b" /v1/" not in request.partition(b"\r\n")[0]


class StutteringTransport:
    """A connection on which bytes come behind an answer."""

    def __init__(self, transport, stutter):
        self._transport = transport
        self._stutter = stutter
        self._answer = b""
        self._surplus = b""
        self._due = math.inf
        self._counts = False
        self.close = transport.close

    async def send_all(self, data):
        self._counts = self._stutter.counts(data)
        if self._counts and self._surplus and self._due == math.inf:
            self._due = trio.current_time() + self._stutter.seconds
        await self._transport.send_all(data)

    async def receive_some(self, most):
        while True:
            if trio.current_time() >= self._due:
                self._due, data, self._surplus = math.inf, self._surplus, b""
                self._stutter.late += 1
                return data
            data = None
            with trio.move_on_at(self._due):
                data = await self._transport.receive_some(most)
            if data is not None:
                self._note(data)
                return data

    def _note(self, data):
        self._answer += data
        if not is_whole(self._answer):
            return
        answer, self._answer = self._answer, b""
        if self._counts and not self._surplus:
            self._surplus = self._stutter.surplus(answer)
        if self._surplus and self._stutter.seconds == AT_ONCE:
            self._due = trio.current_time()

    def readable(self):
        return trio.current_time() >= self._due or self._transport.readable()


def is_whole(answer):
    head, end, body = answer.partition(b"\r\n\r\n")
    if b"chunked" in head.lower():
        return body.endswith(LAST_CHUNK)
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return bool(end)


def stuttering(dial, stutter, addresses):
    """Return a way to connect that lets the connections to some addresses stutter."""

    async def connect(address):
        transport = await dial(address)
        return StutteringTransport(transport, stutter) if address in addresses else transport

    return connect


def copy_of(answer):
    """Return the same answer again."""
    return answer


def once(surplus):
    """Return a function that gives the surplus behind the first answer, and none behind others."""
    given = []

    def first(answer):
        if given:
            return b""
        given.append(answer)
        return surplus(answer)

    return first
