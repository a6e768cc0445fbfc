"""Callers with open connections: what they sent, what they got, and what is wrong with it."""

from dataclasses import dataclass, field
from random import Random

import trio

from deckcourse.http1.client import ConnectionPool
from deckcourse.http1.message import ConnectionLostError, header_value
from soak.runner import EVENTS

__all__ = ["DEADLINE_SECONDS", "LATE_SECONDS", "PROMISES", "Call", "Callers"]

# What each caller states as its deadline, seconds: ten times a stream that meets no fault.
DEADLINE_SECONDS = 6.0
# What a final answer may take beyond the caller's deadline, seconds: the process may be busy.
LATE_SECONDS = 2.0
# Between two requests of one caller in the mean, seconds: half to one and a half times as long.
PAUSE_SECONDS = 0.12
# The share of requests for which a caller turns to another entry without need.
TURNING_SHARE = 0.1
# The statuses that promise that nobody ran the request.
PROMISES = (408, 421, 429, 503)
# The routes that are drawn from; streams, the longest requests, are drawn twice as often.
KINDS = ("stream", "stream", "fragile", "once", "again")


@dataclass
class Call:
    """One request and what came of it."""

    name: str
    kind: str
    key: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    seal: bytes = b""
    whole: bool = False
    seconds: float = 0.0

    @property
    def served(self) -> bool:
        """Whether the caller has the whole answer."""
        return self.whole and self.status == 200

    def wrong(self) -> str | None:
        """Return what breaks a promise in the answer itself, None where nothing does."""
        if self.status == 200 and self.seal != b"seal-" + self.name.encode():
            return f"{self.name}: the answer carries the seal {self.seal!r}"
        if self.kind in ("stream", "fragile"):
            return self._wrong_events()
        if self.served and self.body != f"answer to {self.name}".encode():
            return f"{self.name}: another request's answer: {self.body[:60]!r}"
        return None

    def _wrong_events(self) -> str | None:
        """Return what is wrong with the events of a stream, None where nothing is."""
        events = [f"id: {n}\ndata: {self.name} {n}\n\n".encode() for n in range(1, EVENTS + 1)]
        if self.status != 200:
            return None
        count = self.body.count(b"\n\n")
        if self.body != b"".join(events[:count]):
            return f"{self.name}: events lost, doubled, mixed or broken: {self.body[-120:]!r}"
        if self.whole and count != EVENTS:
            return f"{self.name}: ended as whole after {count} events"
        return None


@dataclass
class Callers:
    """Callers of several entries; an entry that isn't ready gets no new connection.

    `entries` are addresses, `ready` those that said so last; `keys` are tried in turn.
    """

    entries: list[str]
    random: Random
    ready: set[str] = field(default_factory=set)
    keys: list[str] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    _stopped: bool = False

    async def run(self, count: int) -> None:
        """Keep so many callers asking until `stop`."""
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._ask_on, number)

    def stop(self) -> None:
        """Send nothing new; calls under way end."""
        self._stopped = True

    async def _ask_on(self, number: int) -> None:
        entry = ""
        pool = ConnectionPool(lambda what: None)
        asked = 0
        while not self._stopped:
            # A caller stays with its entry while that lasts, as a kept connection does.
            if entry not in self.ready or self.random.random() < TURNING_SHARE:
                entry = self.random.choice(sorted(self.ready) or self.entries)
            asked += 1
            kind = self.random.choice(KINDS)
            call = Call(f"c{number}r{asked}", kind, self.random.choice(self.keys), 0.0)
            call.sent_at = trio.current_time()
            self.calls.append(call)
            await self._ask(pool, entry, call)
            call.seconds = trio.current_time() - call.sent_at
            await trio.sleep(PAUSE_SECONDS * (0.5 + self.random.random()))

    async def _ask(self, pool: ConnectionPool, entry: str, call: Call) -> None:
        headers = (
            (b"host", b"h.example"),
            (b"x-request-id", call.name.encode()),
            (b"x-deadline-ms", str(round(DEADLINE_SECONDS * 1000)).encode()),
            (b"authorization", f"Token {call.key}".encode()),
            (b"content-length", b"2"),
        )
        try:
            with trio.move_on_after(DEADLINE_SECONDS + LATE_SECONDS):
                async with pool.lent(entry) as connection:
                    target = f"/{call.kind}/x".encode()
                    reply = await connection.call(b"POST", target, headers, b"{}")
                    call.status = reply.status
                    call.seal = header_value(reply.headers, b"x-response-seal")
                    while (data := await reply.next_data()) is not None:
                        call.body += data
                    call.whole = True
        except ConnectionLostError:
            pass  # What came until then is judged like any other answer.
