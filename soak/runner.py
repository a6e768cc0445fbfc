"""A stand-in runner as a separate process: `python -m soak.runner SPEC`.

SPEC is JSON with the fields of `RunnerSpec`. Orders on standard input make it answer incorrectly,
as described in `soak.odd_answers`, or announce a backoff, a rate limit or its shutdown in its
answers, as described in `soak.notices`. It writes each arrival, execution, notice and order beyond
its capacity to standard output as one JSON line, before it answers.
"""

import json
import os
import sys
import time
from base64 import b64encode
from dataclasses import asdict, dataclass
from functools import partial
from random import Random

import trio

from deckcourse.http1.message import ConnectionLostError, Headers, IncomingRequest
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http1.server import Exchange, Handler
from soak.conversation import Gate, GatedConnection
from soak.deadly import (
    CRASH_BODY_PREFIX,
    CRASH_PART,
    PARTS_HEADER,
    crash,
    holds_crash_part,
)
from soak.events import EVENTS_PER_STREAM, PAD_HEADER, WORK_HEADER, event
from soak.notices import INCARNATION_HEADER, Notices, incarnation_name
from soak.odd_answers import AnswerFault, AnswerFaults, raw_head
from soak.path_check import STALL_TIMEOUT_SECONDS, PathCheck, RunningStream
from soak.sent_request import SentRequest
from soak.slots import Slots
from soak.unending import send_unending
from soak.wire import JSON_HEADERS, parse_path, parse_target, serve_connections

__all__ = ["HEALTH_PATH", "RunnerSpec"]

HEALTH_PATH = "/health"

# The row's time to live, ROW_TTL_SECONDS in site.py, is three times as long.
ROW_WRITE_INTERVAL_SECONDS = 0.4
# The time between two events of a stream.
EVENT_INTERVAL_SECONDS = 0.02
# Probes of the other runners on the paths of running streams.
PROBE_INTERVAL_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 0.25
# The report lists a stream as stalled once it has waited for this time.
MIN_REPORTED_STALL_SECONDS = 0.2
# How long an order and a request that isn't a stream take.
LOAD_DURATION_SECONDS = 0.15
CALL_DURATION_SECONDS = 0.05
# A stream with an injected break is aborted in the middle of this event.
EVENTS_BEFORE_BREAK = 8
PAD_HEADER_NAME = PAD_HEADER.decode()
# Marks the requests that runners send to each other.
PROBE_HEADER = b"x-soak-probe"
WRITE_TIMEOUT_SECONDS = 1.0
OK = 200


@dataclass(frozen=True)
class RunnerSpec:
    """The configuration of one incarnation of a runner.

    `address` is where other processes reach it, `layers` the number of layers that it may hold and
    `load_seconds` the duration of an order. `born` is the start time in Unix milliseconds, which
    distinguishes the incarnations of one instance. A runner with `slots` works on so many requests
    at once, and queues as many more. A stream has an event each `event_interval_seconds`.
    """

    instance: str
    service: str
    domain: str
    port: int
    address: str
    store: str
    layers: int = 0
    born: int = 0
    load_seconds: float = LOAD_DURATION_SECONDS
    slots: int = 0
    event_interval_seconds: float = EVENT_INTERVAL_SECONDS

    def to_json(self) -> str:
        """Return the spec as the program's argument."""
        return json.dumps(asdict(self))


def write_record(**fields: object) -> None:
    """Write one JSON line to standard output, where the soak reads it."""
    os.write(1, json.dumps(fields).encode() + b"\n")


class Runner:
    """The state and the HTTP handlers of a stand-in runner."""

    def __init__(self, spec: RunnerSpec) -> None:
        self._spec = spec
        self._pool = ConnectionPool(lambda what: None)
        self._first_layer = self._end_layer = 0
        self._order_count = 0
        self._is_loading = False
        # The latest run by request id; a retry may arrive before the previous run has ended.
        self._streams: dict[str, RunningStream] = {}
        self._is_removed = False
        self._lost: set[str] = set()
        self._notices = Notices(partial(write_record, instance=spec.instance, born=spec.born))
        self._answer_faults = AnswerFaults(
            Random(spec.instance), Gate(), lambda: write_record(aim=spec.instance), self._notices
        )
        self._slots = Slots(spec.slots) if spec.slots else None
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve until the process is killed."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(serve_connections, self._spec.port, self._wrap_connection)
            nursery.start_soon(self._write_rows)
            nursery.start_soon(self._answer_faults.read_orders, trio.lowlevel.FdStream(os.dup(0)))
            nursery.start_soon(self._probe_stages)

    async def _write_rows(self) -> None:
        while True:
            if self._answer_faults.is_listed:
                await self._write_row()
            elif not self._is_removed:
                await self._remove_row()
            await trio.sleep(ROW_WRITE_INTERVAL_SECONDS)

    async def _write_row(self) -> None:
        spec = self._spec
        held = self._held_layers()
        row = {
            "service": spec.service, "address": spec.address, "zone": spec.domain, "slots": 24,
            "state": self._notices.row_state, "kind": "card" if spec.layers else "", "layers": held,
            "models": [{"name": "m"}] if held else [], "born": spec.born,
        }  # fmt: skip
        value = b64encode(json.dumps(row).encode()).decode()
        await self._transact({"put": [{**self._row_key, "value": value}], "remove": []})

    async def _remove_row(self) -> None:
        """Leave without a word: the row goes, and the runner serves on."""
        answer = await self._transact({"put": [], "remove": [self._row_key]})
        if answer is not None and answer[0] == OK:
            self._is_removed = True
            write_record(unlisted=self._spec.instance)

    @property
    def _row_key(self) -> dict[str, str]:
        return {"table": "servers", "part": "", "tlsKey": self._spec.instance}

    async def _transact(self, entries: dict[str, list]) -> tuple[int, bytes] | None:
        body = json.dumps({"expectedRev": [], **entries}).encode()
        store = self._spec.store
        return await self._call(store, b"POST", b"/v1/rows-tx", body, WRITE_TIMEOUT_SECONDS)

    async def _call(
        self, address: str, method: bytes, target: bytes, body: bytes, timeout_seconds: float
    ) -> tuple[int, bytes] | None:
        length = (b"content-length", str(len(body)).encode())
        headers = ((b"host", b"x"), (PROBE_HEADER, b"1"), length)
        try:
            with trio.move_on_after(timeout_seconds):
                async with self._pool.borrow(address) as connection:
                    reply = await connection.call(method, target, headers, body)
                    return reply.status, await reply.read_body()
        except ConnectionLostError:
            return None
        return None

    def _wrap_connection(self, stream: trio.SocketStream) -> tuple[GatedConnection, Handler]:
        connection = GatedConnection(stream, self._answer_faults.gate)
        return connection, partial(self._handle, connection)

    async def _handle(
        self, connection: GatedConnection, request: IncomingRequest, exchange: Exchange
    ) -> None:
        """Answer one request: a report, an order or a client's request."""
        await connection.send_held_bytes()
        path, _ = parse_target(request)
        if path == "/v1/report":
            if (PROBE_HEADER, b"1") not in request.headers:
                self._notices.record_control_message()
                await self._answer_faults.delay_report()
            headers = (*JSON_HEADERS, *self._notices.control_headers)
            await exchange.respond(200, headers, json.dumps(self._report()).encode())
        elif path == "/v1/order":
            self._notices.record_control_message()
            await self._handle_order(json.loads(request.body), exchange)
        elif path == HEALTH_PATH:
            await self._handle_health(request, exchange)
        else:
            fault = self._answer_faults.draw_fault()
            connection.begin_answer()
            await self._handle_call(request, exchange, connection, fault)
            answer = connection.end_answer()
            self._nursery.start_soon(self._answer_faults.send_surplus, fault, connection, answer)

    async def _handle_health(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer a health query, which waits for a slot or is refused like a request."""
        headers = {name.decode(): value.decode() for name, value in request.headers}
        id_header = (b"x-request-id", headers.get("x-request-id", "").encode())
        is_full = self._slots is not None and self._slots.is_full
        write_record(health=self._spec.instance, full=is_full)
        if self._slots is not None and not await self._slots.acquire():
            await exchange.respond(503, (id_header, (b"x-not-executed", b"1")), b"")
            return
        if self._slots is not None:
            self._slots.release()
        name = (b"x-instance-id", self._spec.instance.encode())
        await exchange.respond(200, (id_header, name), b"")

    def _report(self) -> dict[str, object]:
        now = trio.current_time()
        stalled = [
            {"id": name, "address": stream.waits_for[0]}
            for name, stream in self._streams.items()
            if stream.waits_for and now - stream.waits_for[1] >= MIN_REPORTED_STALL_SECONDS
        ]
        return {
            "sequence": self._order_count,
            "running": len(self._streams) + self._answer_faults.count_shown(),
            "queued": 0, "kvUsed": 0,
            "kvTotal": 1, "stalled": stalled, "first": self._first_layer, "end": self._end_layer,
            "born": self._spec.born, "layers": self._held_layers(), "utilization": self._is_loading,
        }  # fmt: skip

    def _held_layers(self) -> dict[str, int] | None:
        """Return the held layers in the platform's format, or None if there are none."""
        return (
            {"rangeStart": self._first_layer, "targetVersion": self._end_layer}
            if self._end_layer
            else None
        )

    async def _handle_order(self, order: dict, exchange: Exchange) -> None:
        body = json.dumps({"born": self._spec.born}).encode()
        headers = (*JSON_HEADERS, *self._notices.control_headers)
        if order["op"] == "repath":
            stream = self._streams.get(order["id"])
            if stream is not None:
                stream.path = parse_path(order["path"])
                layers = [each[1:] for each in stream.path]
                write_record(moved=order["id"], instance=self._spec.instance, layers=layers)
            await exchange.respond(404 if stream is None else 200, headers, body)
            return
        if self._is_loading or order["expectedRev"] != self._order_count:
            await exchange.respond(409, headers, body)
            return
        first, end = order["rangeStart"], order["targetVersion"]
        held = set(range(self._first_layer, self._end_layer)) if order["how"] == "wait" else set()
        if len(held | set(range(first, end))) > self._spec.layers:
            write_record(broken="LIMIT", instance=self._spec.instance, first=first, end=end)
        self._order_count += 1
        self._is_loading = True
        # Runs outside the handler, which is cancelled when the sender closes the connection.
        self._nursery.start_soon(self._load, first, end)
        await exchange.respond(202, headers, body)

    async def _load(self, first: int, end: int) -> None:
        """Complete an accepted order: hold its layers after the load time and write the row."""
        await trio.sleep(self._spec.load_seconds)
        self._first_layer, self._end_layer = first, end
        self._is_loading = False
        await self._write_row()

    async def _handle_call(
        self,
        request: IncomingRequest,
        exchange: Exchange,
        connection: GatedConnection,
        fault: AnswerFault | None,
    ) -> None:
        headers = {name.decode(): value.decode() for name, value in request.headers}
        request_id = headers.get("x-request-id", "")
        id_headers = ((b"x-request-id", request_id.encode()),)
        if headers.get("x-expected-instance", self._spec.instance) != self._spec.instance:
            self._notices.record_misdirected(request_id)
            await exchange.respond(421, (*id_headers, (b"x-not-executed", b"1")), b"")
            return
        self._notices.record_arrival(request_id, headers.get("x-deadline-ms", ""))
        refusal = self._notices.refusal_headers(request_id)
        if refusal is not None:
            await exchange.respond(503, (*id_headers, *refusal), b"")
            return
        path = parse_path(headers.get("path", ""))
        if not path:
            await self._run_plain(request, exchange, connection, fault, id_headers)
            return
        stream = self._streams[request_id] = RunningStream(path)
        try:
            path_refusal = await PathCheck(self._fetch_held_range).find_refusal(stream)
            if path_refusal is None:
                await self._run_request(request, exchange, connection, fault, stream)
                return
            extra = ((b"x-not-executed", b"1"), (b"at-server", path_refusal.address.encode()))
            await exchange.respond(path_refusal.status, (*id_headers, *extra), b"")
        finally:
            # A later run of the same request may have replaced the entry.
            if self._streams.get(request_id) is stream:
                del self._streams[request_id]

    async def _run_plain(
        self,
        request: IncomingRequest,
        exchange: Exchange,
        connection: GatedConnection,
        fault: AnswerFault | None,
        id_headers: Headers,
    ) -> None:
        """Run a request in a slot, if their number is limited; refuse it if too many wait."""
        if self._slots is None:
            await self._run_request(request, exchange, connection, fault, None)
            return
        if not await self._slots.acquire():
            await exchange.respond(503, (*id_headers, (b"x-not-executed", b"1")), b"")
            return
        try:
            await self._run_request(request, exchange, connection, fault, None)
        finally:
            self._slots.release()

    async def _fetch_held_range(
        self, address: str, timeout_seconds: float
    ) -> tuple[int, int] | None:
        """Return the layers that a runner holds, or None if it doesn't answer in time."""
        if address == self._spec.address:
            return self._first_layer, self._end_layer
        answer = await self._call(address, b"GET", b"/v1/report", b"", timeout_seconds)
        if answer is None:
            return None
        report = json.loads(answer[1])
        return report["first"], report["end"]

    async def _run_request(
        self,
        request: IncomingRequest,
        exchange: Exchange,
        connection: GatedConnection,
        fault: AnswerFault | None,
        stream: RunningStream | None,
    ) -> None:
        """Run a request: send the events of a stream, or one answer if `stream` is None."""
        headers = {name.decode(): value.decode() for name, value in request.headers}
        request_id = headers.get("x-request-id", "")
        write_record(
            run=request_id,
            instance=self._spec.instance,
            born=self._spec.born,
            service=self._spec.service,
            account=headers.get("x-tenant", ""),
            layers=[each[1:] for each in stream.path] if stream else [],
            path=[each[0] for each in stream.path] if stream else [],
            time=time.monotonic(),
            received=SentRequest.of(
                request.method, request.target, request.headers, request.body
            ).to_record(),
        )
        try:
            await self._answer_request(request, exchange, connection, fault, stream)
        finally:
            # Also when the handler is cancelled, since the sender has closed the connection.
            write_record(run_ended=request_id, instance=self._spec.instance, time=time.monotonic())

    async def _answer_request(
        self,
        request: IncomingRequest,
        exchange: Exchange,
        connection: GatedConnection,
        fault: AnswerFault | None,
        stream: RunningStream | None,
    ) -> None:
        headers = {name.decode(): value.decode() for name, value in request.headers}
        request_id = headers.get("x-request-id", "")
        if request.body.startswith(CRASH_BODY_PREFIX):
            await crash(request.body.decode(), request_id, write_record)
        if holds_crash_part(headers.get(PARTS_HEADER.lower(), "")):
            await crash(CRASH_PART, request_id, write_record, "deadly_part")
        unending = self._answer_faults.draw_unending()
        if unending is not None:
            write_record(unending=request_id, kind=unending)
            await send_unending(connection, unending, request_id, stream is not None)
            return
        if fault is AnswerFault.MUTE:
            await trio.sleep_until(self._answer_faults.fault_until)
            return
        if WORK_HEADER.decode() in headers:
            await trio.sleep(int(headers[WORK_HEADER.decode()]) / 1000)
        incarnation = incarnation_name(self._spec.instance, self._spec.born)
        answer = _Answer(exchange, connection, fault, request_id, incarnation, self._notices)
        answer.half_pause = self._answer_faults.draw_half_pause()
        if stream is None:
            await trio.sleep(CALL_DURATION_SECONDS)
            await answer.send_whole(f"answer to {request_id}".encode())
            return
        after, pad = int(headers.get("last-event-id", 0)), int(headers.get(PAD_HEADER_NAME, 0))
        await self._send_events(
            request_id, stream, range(after + 1, EVENTS_PER_STREAM + 1), pad, answer
        )

    async def _send_events(
        self,
        request_id: str,
        stream: RunningStream,
        numbers: range,
        pad: int,
        answer: "_Answer",
    ) -> None:
        due_at = trio.current_time()
        await answer.start()
        for number in numbers:
            due_at += self._spec.event_interval_seconds
            await trio.sleep_until(due_at)
            if not await self._wait_for_lost_stages(stream):
                write_record(broke_off=request_id)
                answer.cut()
                return
            if not await answer.send(event(request_id, number, pad)):
                return
        await answer.finish()

    async def _wait_for_lost_stages(self, stream: RunningStream) -> bool:
        """Wait while a stage of the path is lost; return whether the stream may continue."""
        deadline = trio.current_time() + STALL_TIMEOUT_SECONDS
        while lost := [each[0] for each in stream.path if each[0] in self._lost]:
            stream.waits_for = stream.waits_for or (lost[0], trio.current_time())
            if trio.current_time() > deadline:
                return False
            await trio.sleep(EVENT_INTERVAL_SECONDS)
        stream.waits_for = None
        return True

    async def _probe_stages(self) -> None:
        """Probe the other runners on the paths of running streams at each interval."""
        while True:
            others = {each[0] for stream in self._streams.values() for each in stream.path}
            others.discard(self._spec.address)
            self._lost &= others
            async with trio.open_nursery() as nursery:
                for address in others:
                    nursery.start_soon(self._probe, address)
            await trio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe(self, address: str) -> None:
        answer = await self._call(address, b"GET", b"/v1/report", b"", PROBE_TIMEOUT_SECONDS)
        (self._lost.discard if answer is not None else self._lost.add)(address)


class _Answer:
    """A 200 answer that is being sent; `fault` is what is wrong with it, if anything."""

    def __init__(
        self,
        exchange: Exchange,
        connection: GatedConnection,
        fault: AnswerFault | None,
        request_id: str,
        incarnation: str,
        notices: Notices,
    ) -> None:
        self._exchange = exchange
        self._connection = connection
        self._fault = fault
        self._sent = 0
        request = request_id.encode()
        seal = (b"x-response-seal", b"seal-" + request)
        self._base_headers = (
            (b"x-request-id", request),
            seal,
            (INCARNATION_HEADER, incarnation.encode()),
        )
        self._notices = notices
        # The time between the halves of an answer without a length, None for one with a length.
        self.half_pause: float | None = None

    @property
    def _headers(self) -> Headers:
        return (*self._base_headers, *self._notices.headers)

    @property
    def _has_no_length(self) -> bool:
        return self._fault in (AnswerFault.ENDLESS, AnswerFault.ENDLESS_RESET)

    async def send_whole(self, body: bytes) -> None:
        """Send a complete answer that isn't a stream."""
        if self._fault is None and self.half_pause is not None:
            half = len(body) // 2
            await self._connection.send_all(raw_head(self._headers) + body[:half])
            await trio.sleep(self.half_pause)
            await self._connection.send_all(body[half:])
        elif self._fault is AnswerFault.ENDLESS_RESET:
            await self._connection.send_all(raw_head(self._headers) + body[: len(body) // 2])
            self._connection.reset()
        elif self._fault is AnswerFault.ENDLESS:
            await self._connection.send_all(raw_head(self._headers) + body)
        elif self._fault is AnswerFault.BREAK_OFF:
            length = (b"content-length", str(len(body)).encode())
            head = raw_head((*self._headers, length))
            await self._connection.send_all(head + body[: len(body) // 2])
        else:
            await self._exchange.respond(200, self._headers, body)

    async def start(self) -> None:
        """Send the head of a stream."""
        headers = (*self._headers, (b"content-type", b"text/event-stream"))
        if self._has_no_length:
            await self._connection.send_all(raw_head(headers))
        else:
            await self._exchange.start(200, headers)

    async def send(self, data: bytes) -> bool:
        """Send an event; return whether more may follow."""
        self._sent += 1
        if self._fault is AnswerFault.ENDLESS_RESET and self._sent == EVENTS_BEFORE_BREAK:
            self.cut()
            return False
        if self._has_no_length:
            await self._connection.send_all(data)
        elif self._fault is AnswerFault.BREAK_OFF and self._sent == EVENTS_BEFORE_BREAK:
            await self._exchange.send(data[: len(data) // 2])
            return False
        else:
            await self._exchange.send(data)
        return True

    async def finish(self) -> None:
        """Complete a stream."""
        if not self._has_no_length:
            await self._exchange.finish()

    def cut(self) -> None:
        """Abort a stream.

        An answer without a length is reset, since closing its connection would complete it.
        """
        if self._has_no_length:
            self._connection.reset()


if __name__ == "__main__":
    trio.run(Runner(RunnerSpec(**json.loads(sys.argv[1]))).run)
