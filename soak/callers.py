"""Callers of several entries, each of which reuses its open connections until they are closed."""

from dataclasses import dataclass, field
from random import Random

import trio

from soak.caller_connection import CallerConnection, Manner, connect
from soak.calls import Call
from soak.events import EVENTS_PER_STREAM, PAD_HEADER, SLOW_READER_PAD_BYTES, events

__all__ = ["DEADLINE_SECONDS", "LATE_SECONDS", "PROMISES", "Callers", "request_bytes"]

# The deadline that each caller sends: ten times the duration of a stream without faults.
DEADLINE_SECONDS = 6.0
# The time that a final answer may take beyond the deadline, since the process may be busy.
LATE_SECONDS = 2.0
# The mean time between two requests of a caller; it varies from half to one and a half times that.
PAUSE_SECONDS = 0.12
# The share of requests for which a caller switches to another entry without need.
TURNING_SHARE = 0.1
# The statuses that guarantee that the request was not executed.
PROMISES = (408, 421, 429, 503)
# The routes that are drawn from. Streams, the longest requests, are drawn twice as often.
KINDS = ("stream", "stream", "fragile", "once", "again")
STREAMS = ("stream", "fragile")
# Every n-th caller reads slowly, with some pauses in each answer.
SLOW_ONE_IN = 3
MOST_PAUSES = 3
LONGEST_PAUSE_SECONDS = 1.0
# The share of requests during which the caller disconnects.
LEAVING_SHARE = 0.06
LONGEST_STAY_SECONDS = 0.6


@dataclass
class Callers:
    """Callers of several entries; an entry that isn't ready gets no new connection.

    `entries` are addresses, `ready` the addresses of those that last reported ready; each request
    uses one of `keys`. `violations` are violated guarantees that no single call shows.
    """

    entries: list[str]
    random: Random
    ready: set[str] = field(default_factory=set)
    keys: list[str] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    _stopped: bool = False

    async def run(self, count: int) -> None:
        """Run a number of concurrent callers until `stop`."""
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._ask_on, number)

    def stop(self) -> None:
        """Send no new requests; calls in flight end normally."""
        self._stopped = True

    async def _ask_on(self, number: int) -> None:
        entry = ""
        open_to: dict[str, CallerConnection] = {}
        asked = 0
        while not self._stopped:
            # A caller keeps its entry while its connection lasts.
            gone = entry not in open_to and entry not in self.ready
            if gone or self.random.random() < TURNING_SHARE:
                entry = self.random.choice(sorted(self.ready) or self.entries)
            asked += 1
            call = self._new_call(number, asked)
            self.calls.append(call)
            with trio.move_on_after(DEADLINE_SECONDS + LATE_SECONDS) as limit:
                await self._ask(open_to, entry, call, number % SLOW_ONE_IN == 0)
            if limit.cancelled_caught:
                self._drop(open_to, entry)
            call.seconds = trio.current_time() - call.sent_at
            await trio.sleep(PAUSE_SECONDS * (0.5 + self.random.random()))
        for each in list(open_to):
            self._drop(open_to, each)

    def _new_call(self, number: int, asked: int) -> Call:
        kind = self.random.choice(KINDS)
        slow = number % SLOW_ONE_IN == 0 and kind in STREAMS
        return Call(
            f"c{number}r{asked}",
            kind,
            self.random.choice(self.keys),
            trio.current_time(),
            pad=SLOW_READER_PAD_BYTES if slow else 0,
        )

    def _manner(self, call: Call) -> Manner:
        size = len(events(call.name, call.pad)) if call.kind in STREAMS else EVENTS_PER_STREAM
        if self.random.random() < LEAVING_SHARE:
            return Manner.leaving(self.random, LONGEST_STAY_SECONDS, size)
        if call.pad:
            return Manner.slow(self.random, MOST_PAUSES, LONGEST_PAUSE_SECONDS, size)
        return Manner()

    async def _ask(
        self, open_to: dict[str, CallerConnection], entry: str, call: Call, small_buffers: bool
    ) -> None:
        connection = open_to.get(entry)
        if connection is not None and not await connection.usable():
            if connection.surplus:
                self.broken.append(f"{call.name}: unsolicited bytes: {connection.surplus!r}")
            self._drop(open_to, entry)
            connection = None
        if connection is None:
            connection = await connect(entry, small_buffers)
            if connection is None:
                return
            open_to[entry] = connection
        if not await connection.ask(request_bytes(call, body_of(call)), call, self._manner(call)):
            self._drop(open_to, entry)

    def _drop(self, open_to: dict[str, CallerConnection], entry: str) -> None:
        connection = open_to.pop(entry, None)
        if connection is not None:
            connection.close()


def body_of(call: Call) -> bytes:
    """Return the body of a call, which is the same for all calls of one caller."""
    return call.name.partition("r")[0].encode()


def request_bytes(call: Call, body: bytes) -> bytes:
    """Return a request as it is sent on the connection."""
    lines = (
        f"POST /{call.kind}/x HTTP/1.1",
        "Host: h.example",
        f"X-Request-Id: {call.name}",
        f"X-Deadline-Ms: {round(DEADLINE_SECONDS * 1000)}",
        f"Authorization: Token {call.key}",
        f"{PAD_HEADER.decode()}: {call.pad}",
        f"Content-Length: {len(body)}",
    )
    return "\r\n".join((*lines, "", "")).encode() + body
