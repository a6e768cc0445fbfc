"""An in-memory stand-in for a runner of layers, or of a plain service if it holds none.

It answers the platform's messages and records the requests it received, those it executed and the
backoffs it requested.
"""

import json
from dataclasses import dataclass, field

import trio

EVENT_SECONDS = 0.02
STALL_SECONDS = 2.5
REPORT_LAG_SECONDS = 0.2
# Request id under which queries and orders are recorded, since they have no caller.
CONTROL_CALL = ""


@dataclass(frozen=True)
class ReceivedRequest:
    """One request that reached a runner; `at` is on the world's clock, `start` is the runner's."""

    request: str
    instance: str
    start: int | None
    at: float


@dataclass(frozen=True)
class SentNotice:
    """A response in which a runner requested a backoff, or said that it is leaving."""

    instance: str
    start: int | None
    at: float
    seconds: float = 0.0


@dataclass
class Run:
    """One execution of a request as the runner recorded it."""

    request: str
    instance: str
    headers: dict
    target: str
    body: bytes
    events: list = field(default_factory=list)
    ended: str = "cancelled"


class StandinRunner:
    """A runner of layers, or of a plain service if it holds none."""

    def __init__(self, world, instance, service, domain, first=0, end=0):
        self.world = world
        self.instance = instance
        self.service = service
        self.address = f"{instance}:1"
        self.domain = domain
        self.first, self.end = first, end
        self.dead = False
        self.orders = 0
        self.paths = {}
        self.hosts = {}
        self.waiting = {}
        self.behaviour = ""
        self.accepts_orders = True
        self.running = self.queued = 0
        self.work = 0.05
        self.slots = 6
        self.kind = "card"
        self.unloaded_at_once = False
        self.blocks_streams = False
        self.silent_until = 0.0
        # Until when it sends no event, on open connections and new ones.
        self.held_until = 0.0
        # How long it takes to refuse a request while it is full, seconds.
        self.refusal_delay = 0.0
        # Delay before it answers queries and orders, seconds.
        self.control_delay = 0.0
        self.born = None
        self.keeps_silent_connections = False
        self.on_order = None
        # The backoffs that a refusal requests, one header each; the upstream at fault; whether
        # control calls are refused too; and whether every response says that it is leaving.
        self.requested_backoffs = ()
        self.at_fault = ""
        self.refuses_control = False
        self.says_leaving = False
        # The rate limits that every response states, one header each, and whether responses to
        # queries and orders state them as well.
        self.rate_limits = ()
        self.limits_control_calls = True
        # Returns the limits of its server; None for those of all servers of the network.
        self.server_limits = None

    @property
    def response_headers(self):
        """The headers of every response: that it is leaving, and its rate limits."""
        limits = tuple((b"server-limit", each.encode()) for each in self.rate_limits)
        if not self.says_leaving:
            return limits
        leaving_notice = SentNotice(self.instance, self.born, trio.current_time())
        self.world.leaving_notices.append(leaving_notice)
        return (*limits, (b"server-leaving", b"1"))

    @property
    def control_call_headers(self):
        """The same headers for responses to queries and orders."""
        return self.response_headers if self.limits_control_calls or not self.rate_limits else ()

    def refusal(self):
        """Return the headers of a refusal, and record the backoffs that it requests."""
        for each in self.requested_backoffs:
            if each.replace(".", "", 1).isdigit():
                sent_notice = SentNotice(self.instance, self.born, trio.current_time(), float(each))
                self.world.backoff_notices.append(sent_notice)
        backoffs = tuple((b"retry-after", each.encode()) for each in self.requested_backoffs)
        at_fault_header = ((b"at-server", self.at_fault.encode()),) if self.at_fault else ()
        return (*self.response_headers, (b"x-not-executed", b"1"), *at_fault_header, *backoffs)

    @property
    def start_fields(self):
        """The fields that identify this incarnation, at the top of each of its messages."""
        return {} if self.born is None else {"born": self.born}

    def row(self, state="ready"):
        layers = {"rangeStart": self.first, "targetVersion": self.end, "version": 1}
        return {
            **self.start_fields,
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "sequence": 77,
            "kind": self.kind,
            "models": [{"name": "m"}] if self.end else [],
            "layers": layers if self.end else None,
        }

    def start(self, state="ready"):
        self.world.network.listen(self.address, self.handle, self.server_limits)
        self.world.store.put("servers", self.instance, self.row(state))

    def die(self):
        self.dead = True
        self.world.network.kill(self.address)

    def restart(self, born, tells=True, resets=True):
        """Crash and restart under the same id, without layers or any earlier state.

        Args:
          born: the start time of the new incarnation.
          tells: whether it writes its row at once.
          resets: whether open connections are reset; otherwise they stay open and silent.

        Returns:
          The runner after the restart.
        """
        self.keeps_silent_connections = not resets
        if resets:
            self.world.network.kill(self.address)
        after = StandinRunner(self.world, self.instance, self.service, self.domain)
        after.slots, after.kind, after.work = self.slots, self.kind, self.work
        after.accepts_orders, after.born = self.accepts_orders, born
        self.world.runners[self.instance] = after
        self.world.network.listen(self.address, after.handle)
        if tells:
            self.world.store.put("servers", self.instance, after.row())
        return after

    async def handle(self, request, exchange):
        if self.keeps_silent_connections:
            await trio.sleep_forever()
        # A runner of a plain service has no control calls: it executes every request.
        has_control_calls = self.service != "crm"
        if has_control_calls and request.target.startswith(b"/v1/"):
            control_call = ReceivedRequest(
                CONTROL_CALL, self.instance, self.born, trio.current_time()
            )
            self.world.control_calls.append(control_call)
        if self.control_delay and request.target.startswith(b"/v1/"):
            await trio.sleep(self.control_delay)
        if self.refuses_control and request.target.startswith(b"/v1/"):
            await exchange.respond(503, self.refusal(), b"")
        elif has_control_calls and request.target == b"/v1/report":
            await trio.sleep_until(self.silent_until)
            report = {
                **self.start_fields,
                "sequence": self.orders,
                "running": self.running,
                "queued": self.queued,
                "stalled": [
                    {"id": key, "address": at}
                    for key, (at, since) in self.waiting.items()
                    if trio.current_time() - since >= REPORT_LAG_SECONDS
                ],
            }
            await exchange.respond(200, self.control_call_headers, json.dumps(report).encode())
        elif has_control_calls and request.target == b"/v1/order":
            await self.order(json.loads(request.body), exchange)
        else:
            await self.run(request, exchange)

    async def order(self, order, exchange):
        if self.on_order is not None:
            await self.on_order(order, exchange)
            return
        start_fields = json.dumps(self.start_fields).encode()
        if order["op"] == "repath":
            known = order["id"] in self.paths
            if known:
                self.set_path(order["id"], order["path"])
            await exchange.respond(200 if known else 404, self.control_call_headers, start_fields)
            return
        if not self.accepts_orders or order["expectedRev"] != self.orders:
            await exchange.respond(409, self.control_call_headers, start_fields)
            return
        self.orders += 1
        self.unloaded_at_once = order["how"] == "cut"
        self.first, self.end = order["rangeStart"], order["targetVersion"]
        self.world.orders.append((self.instance, self.first, self.end))
        await exchange.respond(202, self.control_call_headers, start_fields)
        self.world.store.put("servers", self.instance, self.row())

    def set_path(self, name, text):
        """Set the path of a request, with the current incarnations of its runners."""
        self.paths[name] = parse_path(text)
        self.hosts[name] = [self.world.by_address(at) for at, _, _ in self.paths[name]]

    async def run(self, request, exchange):
        headers = {name.decode(): value.decode() for name, value in request.headers}
        name = headers["x-request-id"]
        seal = (b"x-response-seal", b"seal-" + name.encode())
        answer = ((b"x-request-id", name.encode()), seal)
        arrival = ReceivedRequest(name, self.instance, self.born, trio.current_time())
        self.world.received_requests.append(arrival)
        if headers.get("x-expected-instance", self.instance) != self.instance:
            await exchange.respond(421, (answer[0], *self.response_headers), b"")
            return
        if self.behaviour == "full":
            if self.refusal_delay:
                await trio.sleep(self.refusal_delay)
            self.world.refusals += 1
            await exchange.respond(503, (answer[0], *self.refusal()), b"")
            return
        run = Run(name, self.instance, headers, request.target.decode(), request.body)
        self.world.runs.append(run)
        if self.end:
            await self.stream(run, exchange, answer)
        else:
            await self.answer(run, exchange, answer)

    async def answer(self, run, exchange, answer):
        await trio.sleep(self.work)
        if self.behaviour == "reset":
            run.ended = "reset"
            self.world.network.reset(self.address)
            await trio.sleep_forever()
        if self.behaviour == "foreign":
            answer = ((b"x-request-id", b"another"), *answer[1:])
        status = 500 if self.behaviour == "fails" else 200
        run.ended = "answered"
        await exchange.respond(
            status, (*answer, *self.response_headers), f"answer to {run.request}".encode()
        )

    async def stream(self, run, exchange, answer):
        self.set_path(run.request, run.headers["path"])
        missing = self.world.address_without_layers(self.paths[run.request])
        if missing:
            run.ended = "refused"
            self.world.runs.remove(run)
            extra = ((b"x-not-executed", b"1"), (b"at-server", missing.encode()))
            await exchange.respond(421, (*answer[:1], *extra), b"")
            return
        if self.behaviour == "errs":
            run.ended = "answered"
            await exchange.respond(500, (*answer, *self.response_headers), b"failed")
            return
        if self.behaviour == "hangs":
            await trio.sleep_forever()
        first = int(run.headers.get("last-event-id", 0)) + 1
        kind = (b"content-type", b"text/event-stream")
        await exchange.start(200, (*answer, *self.response_headers, kind))
        for number in range(first, self.world.events + 1):
            await trio.sleep(EVENT_SECONDS)
            await trio.sleep_until(max(self.world.paused_until, self.held_until))
            await self.wait_for_path(run)
            if self.keeps_silent_connections:
                await trio.sleep_forever()
            event = f"id: {number}\ndata: {run.request} {number}\n\n".encode()
            if self.behaviour == "breaks" and number == 5:
                await exchange.send(event[:9])
                run.ended = "broken"
                self.world.network.reset(self.address)
                await trio.sleep_forever()
            run.events.append((number, self.paths[run.request]))
            await exchange.send(event)
        run.ended = "answered"
        await exchange.finish()

    async def wait_for_path(self, run):
        """Wait while an upstream of the path is dead; cut the stream off after STALL_SECONDS."""
        deadline = trio.current_time() + STALL_SECONDS
        while True:
            hosts = self.hosts[run.request]
            dead = [each.address for each in hosts if self.world.serves_no_streams(each)]
            if not dead:
                self.waiting.pop(run.request, None)
                return
            self.waiting.setdefault(run.request, (dead[0], trio.current_time()))
            if trio.current_time() > deadline:
                run.ended = "cut"
                self.world.network.reset(self.address)
            await trio.sleep(0.005)


def parse_path(text):
    path = []
    for part in text.split(","):
        address, _, layers = part.partition("=")
        first, _, end = layers.partition("-")
        path.append((address, int(first), int(end)))
    return path
