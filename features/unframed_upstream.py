"""A plain upstream whose answers have no length, and which has few slots for all that it is sent.

Its processes follow each other at one address. The end of one closes all of its connections in good
order, also those whose closes the other end has not read yet.
"""

from dataclasses import dataclass, field

import trio

from deckcourse.http1.message import ConnectionLostError, FailureKind

HEALTH_PATH = "/health"
BODY_BYTES = 800
DIAL_SECONDS = 0.0004


def body_of(request):
    """Return the whole body of the answer to a request."""
    return (f"answer to {request} ".encode() * BODY_BYTES)[:BODY_BYTES]


@dataclass(eq=False)
class Process:
    """One process of the upstream; `ended` is set when it ends."""

    instance: str
    slots: trio.CapacityLimiter
    has_ended: bool = False
    ended: trio.Event = field(default_factory=trio.Event)
    queued: int = 0


class UnframedUpstream:
    """The address, its current process and what reached it.

    Args:
      address: where it accepts connections.
      instance: the name of its first process.
      slots: how many requests it works on at once; others wait, a health query like a request.
      queue: how many may wait; more are refused.
      work: the time from the start of a request to the first half of its answer, seconds.
      pause: the time between the halves, seconds; without one the answer comes as a whole.
    """

    def __init__(self, address, instance, slots=4, queue=4, work=0.1, pause=0.0):
        self.address = address
        self.slots, self.queue = slots, queue
        self.work, self.pause = work, pause
        self.ran = []
        self.health_queries = 0
        # Connections that have gone silent for good: no close of the other end arrives.
        self.silent = set()
        self.connections = []
        self.sends_length = False
        self.process = Process(instance, trio.CapacityLimiter(slots))

    def end(self):
        """End the process in good order of its connections."""
        self.process.has_ended = True
        self.process.ended.set()

    def restart(self, instance):
        """End the process; the next one accepts connections at once."""
        self.end()
        self.process = Process(instance, trio.CapacityLimiter(self.slots))

    def silence(self):
        """Make the connections that are open now silent for good."""
        self.silent |= set(self.connections)

    async def dial(self, address):
        assert address == self.address
        await trio.sleep(DIAL_SECONDS)
        if self.process.has_ended:
            raise ConnectionLostError(FailureKind.UNSENT, f"{address}: refused")
        connection = _Connection(self, self.process)
        self.connections.append(connection)
        return connection


class _Connection:
    """The gateway's end of a connection to a process of the upstream."""

    def __init__(self, upstream, process):
        self._upstream = upstream
        self._process = process
        self._request = None
        self._parts = None
        self._is_done = False

    def is_open(self):
        if self in self._upstream.silent:
            return True
        return not (self._is_done or self._process.has_ended)

    def readable(self):
        return not self.is_open()

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        lines = data.partition(b"\r\n\r\n")[0].decode().split("\r\n")
        headers = dict(each.lower().split(": ", 1) for each in lines[1:])
        self._request = lines[0].split()[1], headers
        self._parts = None

    async def receive_some(self, max_bytes):
        if self in self._upstream.silent or self._request is None:
            await trio.sleep_forever()
        if self._parts is None:
            self._parts = self._answer()
        return await self._next_part()

    async def _next_part(self):
        """Return the next bytes; none once the process has ended."""
        part = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_at_end, nursery.cancel_scope)
            part = await anext(self._parts, b"")
            nursery.cancel_scope.cancel()
        # It may have ended at the moment at which it would have gone on.
        if self._process.has_ended:
            part = b""
        if not part:
            self._is_done = True
        return part

    async def _cancel_at_end(self, scope):
        await self._process.ended.wait()
        scope.cancel()

    async def _answer(self):
        target, headers = self._request
        upstream, process = self._upstream, self._process
        is_health = target == HEALTH_PATH
        is_full = process.slots.available_tokens == 0
        upstream.health_queries += is_health
        request = headers.get("x-request-id", "")
        echo = f"X-Request-Id: {request}\r\n"
        refusal = f"{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        if not is_health and headers.get("x-expected-instance") != process.instance:
            yield f"HTTP/1.1 421 No\r\n{refusal}".encode()
            return
        if is_full and process.queued >= upstream.queue:
            yield f"HTTP/1.1 503 No\r\n{refusal}".encode()
            return
        process.queued += 1
        try:
            await process.slots.acquire_on_behalf_of(self)
        finally:
            process.queued -= 1
        if is_health:
            process.slots.release_on_behalf_of(self)
            name = f"X-Instance-Id: {process.instance}\r\n"
            yield f"HTTP/1.1 200 OK\r\n{echo}{name}Content-Length: 0\r\n\r\n".encode()
            return
        body = body_of(request)
        half = len(body) // 2
        seal = f"X-Response-Seal: seal-{request}\r\n"
        length = f"Content-Length: {len(body)}\r\n" if upstream.sends_length else ""
        head = f"HTTP/1.1 200 OK\r\n{echo}{seal}{length}\r\n".encode()
        try:
            upstream.ran.append(request)
            await trio.sleep(upstream.work)
            if upstream.pause:
                yield head + body[:half]
                head = b""
                await trio.sleep(upstream.pause)
        finally:
            process.slots.release_on_behalf_of(self)
        yield head + (body if head else body[half:])

    def close(self):
        self._is_done = True
        self._upstream.connections = [
            each for each in self._upstream.connections if each is not self
        ]
