"""Callers of several entries, each of which reuses its open connections until they are closed."""

from dataclasses import dataclass, field
from random import Random

import trio

from soak.caller_connection import CallerConnection, Manner, connect
from soak.calls import STREAM_ROUTES, Call
from soak.deadly import PARTS_HEADER, SHARED_PART
from soak.events import EVENTS_PER_STREAM, PAD_HEADER, SLOW_READER_PAD_BYTES, WORK_HEADER, events

__all__ = [
    "DEADLINE_SECONDS",
    "ANSWER_GRACE_SECONDS",
    "NOT_EXECUTED_STATUSES",
    "Callers",
    "request_bytes",
]

# The deadline that each caller sends: ten times the duration of a stream without faults.
DEADLINE_SECONDS = 6.0
# The time that a final answer may take beyond the deadline, since the process may be busy.
ANSWER_GRACE_SECONDS = 2.0
# The mean pause of a caller between two requests; it varies from half to one and a half times that.
MEAN_REQUEST_PAUSE_SECONDS = 0.12
# The share of requests for which a caller switches to another entry without need.
SWITCH_ENTRY_SHARE = 0.1
# The statuses that guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# The routes that are drawn from. Streams, the longest requests, are drawn twice as often.
DRAWN_ROUTES = ("stream", "stream", "fragile", "once", "again")
# Every n-th caller reads slowly, with some pauses in each answer.
CALLERS_PER_SLOW_CALLER = 3
MAX_PAUSES = 3
MAX_PAUSE_SECONDS = 1.0
# The share of requests during which the caller disconnects.
DISCONNECT_SHARE = 0.06
MAX_SECONDS_UNTIL_DISCONNECT = 0.6


@dataclass
class Callers:
    """Callers of several entries; an entry that isn't ready gets no new connection.

    `entries` are addresses, `ready_entries` the addresses of those that last reported ready; each
    request uses one of `keys`, of which `revoked` tells when some were revoked. `violations` are
    violated guarantees that no single call shows. The requests are for `routes`, and their ids
    begin with `name_prefix`. For `switch_share` of them a caller switches to another entry without
    need, and after `reconnect_share` of them it closes its connection.
    """

    entries: list[str]
    random: Random
    ready_entries: set[str] = field(default_factory=set)
    keys: list[str] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    routes: tuple[str, ...] = DRAWN_ROUTES
    name_prefix: str = "c"
    switch_share: float = SWITCH_ENTRY_SHARE
    reconnect_share: float = 0.0
    revoked: dict[str, float] = field(default_factory=dict)
    _is_stopped: bool = False

    async def run(self, count: int) -> None:
        """Run a number of concurrent callers until `stop`."""
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._run_caller, number)

    def stop(self) -> None:
        """Send no new requests; calls in flight end normally."""
        self._is_stopped = True

    async def _run_caller(self, number: int) -> None:
        entry = ""
        connections: dict[str, CallerConnection] = {}
        request_count = 0
        while not self._is_stopped:
            # A caller keeps its entry while its connection lasts.
            must_choose = entry not in connections and entry not in self.ready_entries
            if must_choose or self.random.random() < self.switch_share:
                entry = self.random.choice(sorted(self.ready_entries) or self.entries)
            request_count += 1
            call = self._new_call(number, request_count)
            self.calls.append(call)
            with trio.move_on_after(DEADLINE_SECONDS + ANSWER_GRACE_SECONDS) as cancel_scope:
                await self._send(connections, entry, call, number % CALLERS_PER_SLOW_CALLER == 0)
            if cancel_scope.cancelled_caught:
                self._close_connection(connections, entry)
            call.duration_seconds = trio.current_time() - call.sent_at
            # Draws nothing where callers keep their connections.
            if self.reconnect_share and self.random.random() < self.reconnect_share:
                self._close_connection(connections, entry)
            await self._pause()
        for each in list(connections):
            self._close_connection(connections, each)

    async def _pause(self) -> None:
        await trio.sleep(MEAN_REQUEST_PAUSE_SECONDS * (0.5 + self.random.random()))

    def _new_call(self, number: int, request_count: int) -> Call:
        route = self.random.choice(self.routes)
        is_slow = number % CALLERS_PER_SLOW_CALLER == 0 and route in STREAM_ROUTES
        return Call(
            f"{self.name_prefix}{number}r{request_count}",
            route,
            self.random.choice(self.keys),
            trio.current_time(),
            pad_bytes=SLOW_READER_PAD_BYTES if is_slow else 0,
        )

    def _draw_manner(self, call: Call) -> Manner:
        answer_bytes = (
            len(events(call.request_id, call.pad_bytes))
            if call.route in STREAM_ROUTES
            else EVENTS_PER_STREAM
        )
        if self.random.random() < DISCONNECT_SHARE:
            return Manner.disconnecting(self.random, MAX_SECONDS_UNTIL_DISCONNECT, answer_bytes)
        if call.pad_bytes:
            return Manner.slow(self.random, MAX_PAUSES, MAX_PAUSE_SECONDS, answer_bytes)
        return Manner()

    async def _send(
        self, connections: dict[str, CallerConnection], entry: str, call: Call, small_buffers: bool
    ) -> None:
        connection = connections.get(entry)
        if connection is not None and not await connection.is_usable():
            if connection.surplus:
                self.violations.append(
                    f"{call.request_id}: unsolicited bytes: {connection.surplus!r}"
                )
            self._close_connection(connections, entry)
            connection = None
        if connection is None:
            connection = await connect(entry, small_buffers)
            if connection is None:
                return
            connections[entry] = connection
        if not await connection.send_request(
            request_bytes(call, request_body(call)), call, self._draw_manner(call)
        ):
            self._close_connection(connections, entry)

    def _close_connection(self, connections: dict[str, CallerConnection], entry: str) -> None:
        connection = connections.pop(entry, None)
        if connection is not None:
            connection.close()


def request_body(call: Call) -> bytes:
    """Return the body of a call, which is the same for all calls of one caller."""
    return call.caller.encode()


def request_bytes(call: Call, body: bytes, shared_parts: tuple[str, ...] = ()) -> bytes:
    """Return a request as it is sent on the connection.

    Args:
      call: the call.
      body: its body.
      shared_parts: parts of its prompt between the one that all requests share and its own.
    """
    parts = (SHARED_PART, *shared_parts, call.request_id.encode().hex())
    lines = (
        f"POST /{call.path}/x HTTP/1.1",
        "Host: h.example",
        f"X-Request-Id: {call.request_id}",
        f"X-Deadline-Ms: {round(DEADLINE_SECONDS * 1000)}",
        f"Authorization: Token {call.key}",
        f"{PAD_HEADER.decode()}: {call.pad_bytes}",
        f"{PARTS_HEADER}: {','.join(f'{each}:10' for each in parts)}",
        f"Content-Length: {len(body)}",
    )
    if call.work_seconds:
        lines += (f"{WORK_HEADER.decode()}: {round(call.work_seconds * 1000)}",)
    return "\r\n".join((*lines, "", "")).encode() + body
