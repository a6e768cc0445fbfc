"""A stand-in of a runner, as a process of its own: `python -m soak.runner SPEC`.

SPEC is JSON with the fields of `RunnerSpec`. What it does oddly is told on its standard input, as
in `soak.odd_answers`. Each run, refusal of an order and broken rule is
written to standard output as one JSON line, before anything is answered. What it asks for in its
answers is told there too, as in `soak.notices`.
"""

import json
import os
import sys
from base64 import b64encode
from dataclasses import asdict, dataclass
from functools import partial
from random import Random

import trio

from deckcourse.http1.client import ConnectionPool
from deckcourse.http1.message import ConnectionLostError, Headers
from deckcourse.http1.server import Exchange, Handler, IncomingRequest
from soak.conversation import Conversation, Gate
from soak.deadly import DEADLY, end_by
from soak.events import EVENTS, PAD_HEADER, event
from soak.notices import FROM, Notices, start_name
from soak.odd_answers import Odd, OddAnswers, raw_head
from soak.path_check import STALL_SECONDS, PathCheck, RunningStream
from soak.wire import JSON_TYPE, fields_of, parse_path, serve_each

__all__ = ["RunnerSpec"]

# Between two writes of a runner's row, seconds; LAPSE_SECONDS in site.py is three times as long.
BEAT_SECONDS = 0.4
# Between two events of a stream, seconds.
EVENT_SECONDS = 0.02
# Between two rounds in which the other runners of the paths are asked whether they are there, and
# the time in which they must answer, seconds.
PULSE_SECONDS = 0.1
PULSE_ANSWER_SECONDS = 0.25
# How long a stream must wait before the report names it, seconds.
REPORT_LAG_SECONDS = 0.2
# How long an order takes, and a plain call, seconds.
LOAD_SECONDS = 0.15
CALL_SECONDS = 0.05
# A stream that breaks off does so in the middle of this event.
EVENTS_BEFORE_BREAK = 8
PAD = PAD_HEADER.decode()
# The header of what runners ask each other.
PROBE = b"x-soak-probe"
# The time for a write to the store, seconds.
WRITE_SECONDS = 1.0


@dataclass(frozen=True)
class RunnerSpec:
    """One start of a runner; `address` is where others reach it, `layers` how many it may hold.

    An order takes `load_seconds`. `born` is the Unix millisecond of the start, by which starts
    under one id are told apart.
    """

    instance: str
    service: str
    domain: str
    port: int
    address: str
    store: str
    layers: int = 0
    born: int = 0
    load_seconds: float = LOAD_SECONDS

    def text(self) -> str:
        """Return it as the program's argument."""
        return json.dumps(asdict(self))


def tell(**fields: object) -> None:
    """Write one line of the record."""
    os.write(1, json.dumps(fields).encode() + b"\n")


class Runner:
    """What a runner holds and does."""

    def __init__(self, spec: RunnerSpec) -> None:
        self._spec = spec
        self._pool = ConnectionPool(lambda what: None)
        self._first = self._end = 0
        self._orders = 0
        self._is_loading = False
        # The latest run by request id; a retry may arrive before the previous run has ended.
        self._streams: dict[str, RunningStream] = {}
        self._lost: set[str] = set()
        self._notices = Notices(partial(tell, instance=spec.instance, born=spec.born))
        self._odd = OddAnswers(
            Random(spec.instance), Gate(), lambda: tell(aim=spec.instance), self._notices
        )
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve until killed."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(serve_each, self._spec.port, self._open_one)
            nursery.start_soon(self._beat)
            nursery.start_soon(self._odd.obey, trio.lowlevel.FdStream(os.dup(0)))
            nursery.start_soon(self._probe_parts)

    async def _beat(self) -> None:
        while True:
            await self._write_row()
            await trio.sleep(BEAT_SECONDS)

    async def _write_row(self) -> None:
        spec = self._spec
        held = self._held_layers()
        row = {
            "service": spec.service, "address": spec.address, "zone": spec.domain, "slots": 24,
            "state": self._notices.state, "kind": "card" if spec.layers else "", "layers": held,
            "models": [{"name": "m"}] if held else [], "born": spec.born,
        }  # fmt: skip
        put = {
            "table": "servers",
            "part": "",
            "tlsKey": spec.instance,
            "value": b64encode(json.dumps(row).encode()).decode(),
        }
        body = json.dumps({"expectedRev": [], "put": [put], "remove": []}).encode()
        await self._call(spec.store, b"POST", b"/v1/rows-tx", body, WRITE_SECONDS)

    async def _call(
        self, address: str, method: bytes, target: bytes, body: bytes, seconds: float
    ) -> tuple[int, bytes] | None:
        length = (b"content-length", str(len(body)).encode())
        headers = ((b"host", b"x"), (PROBE, b"1"), length)
        try:
            with trio.move_on_after(seconds):
                async with self._pool.borrow(address) as connection:
                    reply = await connection.call(method, target, headers, body)
                    return reply.status, await reply.read_body()
        except ConnectionLostError:
            return None
        return None

    def _open_one(self, stream: trio.SocketStream) -> tuple[Conversation, Handler]:
        conversation = Conversation(stream, self._odd.gate)
        return conversation, partial(self._handle, conversation)

    async def _handle(
        self, conversation: Conversation, request: IncomingRequest, exchange: Exchange
    ) -> None:
        """Answer one request."""
        await conversation.send_kept()
        path, _ = fields_of(request)
        if path == "/v1/report":
            if (PROBE, b"1") not in request.headers:
                self._notices.was_asked()
                await self._odd.before_report()
            told = (*JSON_TYPE, *self._notices.control_headers)
            await exchange.respond(200, told, json.dumps(self._report()).encode())
        elif path == "/v1/order":
            self._notices.was_asked()
            await self._order(json.loads(request.body), exchange)
        else:
            odd = self._odd.draw()
            conversation.begin()
            await self._work(request, exchange, conversation, odd)
            answer = conversation.end()
            self._nursery.start_soon(self._odd.behind, odd, conversation, answer)

    def _report(self) -> dict[str, object]:
        now = trio.current_time()
        stalled = [
            {"id": name, "address": stream.waits_for[0]}
            for name, stream in self._streams.items()
            if stream.waits_for and now - stream.waits_for[1] >= REPORT_LAG_SECONDS
        ]
        return {
            "sequence": self._orders, "running": len(self._streams), "queued": 0, "kvUsed": 0,
            "kvTotal": 1, "stalled": stalled, "first": self._first, "end": self._end,
            "born": self._spec.born, "layers": self._held_layers(), "utilization": self._is_loading,
        }  # fmt: skip

    def _held_layers(self) -> dict[str, int] | None:
        """Return the held layers in the platform's format, or None if there are none."""
        return {"rangeStart": self._first, "targetVersion": self._end} if self._end else None

    async def _order(self, order: dict, exchange: Exchange) -> None:
        told = json.dumps({"born": self._spec.born}).encode()
        head = (*JSON_TYPE, *self._notices.control_headers)
        if order["op"] == "repath":
            stream = self._streams.get(order["id"])
            if stream is not None:
                stream.path = parse_path(order["path"])
            await exchange.respond(404 if stream is None else 200, head, told)
            return
        if self._is_loading or order["expectedRev"] != self._orders:
            await exchange.respond(409, head, told)
            return
        first, end = order["rangeStart"], order["targetVersion"]
        held = set(range(self._first, self._end)) if order["how"] == "wait" else set()
        if len(held | set(range(first, end))) > self._spec.layers:
            tell(broken="LIMIT", instance=self._spec.instance, first=first, end=end)
        self._orders += 1
        self._is_loading = True
        # Runs outside the handler, which is cancelled when the sender closes the connection.
        self._nursery.start_soon(self._load, first, end)
        await exchange.respond(202, head, told)

    async def _load(self, first: int, end: int) -> None:
        """Complete an accepted order: hold its layers after the load time and write the row."""
        await trio.sleep(self._spec.load_seconds)
        self._first, self._end = first, end
        self._is_loading = False
        await self._write_row()

    async def _work(
        self,
        request: IncomingRequest,
        exchange: Exchange,
        conversation: Conversation,
        odd: Odd | None,
    ) -> None:
        headers = {name.decode(): value.decode() for name, value in request.headers}
        name = headers.get("x-request-id", "")
        known = ((b"x-request-id", name.encode()),)
        if headers.get("x-expected-instance", self._spec.instance) != self._spec.instance:
            await exchange.respond(421, (*known, (b"x-not-executed", b"1")), b"")
            return
        self._notices.arrived(name)
        refusal = self._notices.refusal(name)
        if refusal is not None:
            await exchange.respond(503, (*known, *refusal), b"")
            return
        path = parse_path(headers.get("path", ""))
        if not path:
            await self._run_request(request, exchange, conversation, odd, None)
            return
        stream = self._streams[name] = RunningStream(path)
        try:
            path_refusal = await PathCheck(self._fetch_held_range).find_refusal(stream)
            if path_refusal is None:
                await self._run_request(request, exchange, conversation, odd, stream)
                return
            extra = ((b"x-not-executed", b"1"), (b"at-server", path_refusal.address.encode()))
            await exchange.respond(path_refusal.status, (*known, *extra), b"")
        finally:
            # A later run of the same request may have replaced the entry.
            if self._streams.get(name) is stream:
                del self._streams[name]

    async def _fetch_held_range(self, address: str, seconds: float) -> tuple[int, int] | None:
        """Return the layers that a runner holds, or None if it doesn't answer in time."""
        if address == self._spec.address:
            return self._first, self._end
        answer = await self._call(address, b"GET", b"/v1/report", b"", seconds)
        if answer is None:
            return None
        report = json.loads(answer[1])
        return report["first"], report["end"]

    async def _run_request(
        self,
        request: IncomingRequest,
        exchange: Exchange,
        conversation: Conversation,
        odd: Odd | None,
        stream: RunningStream | None,
    ) -> None:
        """Run a request: send the events of a stream, or one answer if `stream` is None."""
        headers = {name.decode(): value.decode() for name, value in request.headers}
        name = headers.get("x-request-id", "")
        tell(
            run=name,
            instance=self._spec.instance,
            service=self._spec.service,
            account=headers.get("x-tenant", ""),
            layers=[each[1:] for each in stream.path] if stream else [],
        )
        if request.body.startswith(DEADLY):
            await end_by(request.body, name, tell)
        if odd is Odd.MUTE:
            await trio.sleep_until(self._odd.until)
            return
        own = start_name(self._spec.instance, self._spec.born)
        answer = _Answer(exchange, conversation, odd, name, own, self._notices)
        if stream is None:
            await trio.sleep(CALL_SECONDS)
            await answer.respond(f"answer to {name}".encode())
            return
        after, pad = int(headers.get("last-event-id", 0)), int(headers.get(PAD, 0))
        await self._send_events(name, stream, range(after + 1, EVENTS + 1), pad, answer)

    async def _send_events(
        self, name: str, stream: RunningStream, numbers: range, pad: int, answer: "_Answer"
    ) -> None:
        due = trio.current_time()
        await answer.start()
        for number in numbers:
            due += EVENT_SECONDS
            await trio.sleep_until(due)
            if not await self._until_whole(stream):
                answer.cut()
                return
            if not await answer.send(event(name, number, pad)):
                return
        await answer.finish()

    async def _until_whole(self, stream: RunningStream) -> bool:
        """Wait while a part is lost; return whether the stream may go on."""
        deadline = trio.current_time() + STALL_SECONDS
        while lost := [each[0] for each in stream.path if each[0] in self._lost]:
            stream.waits_for = stream.waits_for or (lost[0], trio.current_time())
            if trio.current_time() > deadline:
                return False
            await trio.sleep(EVENT_SECONDS)
        stream.waits_for = None
        return True

    async def _probe_parts(self) -> None:
        """Keep asking the other runners of the paths under way whether they are there."""
        while True:
            others = {each[0] for stream in self._streams.values() for each in stream.path}
            others.discard(self._spec.address)
            self._lost &= others
            async with trio.open_nursery() as nursery:
                for address in others:
                    nursery.start_soon(self._probe, address)
            await trio.sleep(PULSE_SECONDS)

    async def _probe(self, address: str) -> None:
        answer = await self._call(address, b"GET", b"/v1/report", b"", PULSE_ANSWER_SECONDS)
        (self._lost.discard if answer is not None else self._lost.add)(address)


class _Answer:
    """One 200 in the making; `odd` says what is wrong with it."""

    def __init__(
        self,
        exchange: Exchange,
        conversation: Conversation,
        odd: Odd | None,
        name: str,
        own: str,
        notices: Notices,
    ) -> None:
        self._exchange = exchange
        self._conversation = conversation
        self._odd = odd
        self._sent = 0
        request = name.encode()
        seal = (b"x-response-seal", b"seal-" + request)
        self._known = ((b"x-request-id", request), seal, (FROM, own.encode()))
        self._notices = notices

    @property
    def _headers(self) -> Headers:
        return (*self._known, *self._notices.headers)

    @property
    def _endless(self) -> bool:
        return self._odd in (Odd.ENDLESS, Odd.ENDLESS_RESET)

    async def respond(self, body: bytes) -> None:
        """Answer at once."""
        if self._odd is Odd.ENDLESS_RESET:
            await self._conversation.send_all(raw_head(self._headers) + body[: len(body) // 2])
            self._conversation.reset()
        elif self._odd is Odd.ENDLESS:
            await self._conversation.send_all(raw_head(self._headers) + body)
        elif self._odd is Odd.BREAK_OFF:
            length = (b"content-length", str(len(body)).encode())
            head = raw_head((*self._headers, length))
            await self._conversation.send_all(head + body[: len(body) // 2])
        else:
            await self._exchange.respond(200, self._headers, body)

    async def start(self) -> None:
        """Begin a stream."""
        headers = (*self._headers, (b"content-type", b"text/event-stream"))
        if self._endless:
            await self._conversation.send_all(raw_head(headers))
        else:
            await self._exchange.start(200, headers)

    async def send(self, data: bytes) -> bool:
        """Send an event; return whether more may follow."""
        self._sent += 1
        if self._odd is Odd.ENDLESS_RESET and self._sent == EVENTS_BEFORE_BREAK:
            self.cut()
            return False
        if self._endless:
            await self._conversation.send_all(data)
        elif self._odd is Odd.BREAK_OFF and self._sent == EVENTS_BEFORE_BREAK:
            await self._exchange.send(data[: len(data) // 2])
            return False
        else:
            await self._exchange.send(data)
        return True

    async def finish(self) -> None:
        """End a stream."""
        if not self._endless:
            await self._exchange.finish()

    def cut(self) -> None:
        """Break a stream off; an end of the connection would make an endless one whole."""
        if self._endless:
            self._conversation.reset()


if __name__ == "__main__":
    trio.run(Runner(RunnerSpec(**json.loads(sys.argv[1]))).run)
