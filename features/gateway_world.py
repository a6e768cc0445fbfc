"""A gateway with in-memory stand-ins for the platform around it, on a virtual clock.

The stand-ins answer the platform's messages and keep records; scenarios check the records and the
responses that callers got.
"""

from dataclasses import dataclass
from random import Random

import trio
from gateway_runner import StandinRunner
from gateway_store import StandinStore
from trio.testing import MockClock

from deckcourse.counters import MemoryCounters
from deckcourse.gateway.node import GatewayNode
from deckcourse.gateway.node_ports import GatewayIdentity, GatewayPorts
from deckcourse.http1.memory import MemoryNetwork
from deckcourse.http1.message import ConnectionLostError, header_value
from deckcourse.http1.pool import ConnectionPool
from deckcourse.peers.datagrams import MemoryMedium
from deckcourse.peers.member import Member
from deckcourse.peers.peers import PeerPorts
from deckcourse.platform.dialect import PlatformDialect
from deckcourse.platform.rows import PlatformRows
from deckcourse.platform.runners import RunnerControl
from deckcourse.settings import GatewaySettings, LoadSettings

# Makes the order of tasks the same on every run.
trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True

GATEWAY = "gateway:1"
LAYERS = 8
KEY = "a-key"


def is_machine(text):
    """Return whether a text is an in-memory address, which has a name in place of an IP."""
    name, _, port = text.partition(":")
    return bool(name) and port == "1"


@dataclass
class Got:
    """What a caller got; `whole` says whether the response ended properly."""

    status: int = 0
    headers: tuple = ()
    body: bytes = b""
    whole: bool = False
    seconds: float = 0.0
    max_pause: float = 0.0


class GatewayWorld:
    """A gateway, its runners, its store and its network."""

    def __init__(self):
        self.runners = {}
        self.runs = []
        self.received_requests = []
        self.control_calls = []
        self.backoff_notices = []
        self.leaving_notices = []
        self.orders = []
        self.events = 20
        self.paused_until = 0.0
        self.refusals = 0
        self.config = default_config()
        self.load = LoadSettings()
        # Seconds by which the process's wall clock is ahead of the runners' clocks.
        self.clock_lead = 0.0

    def play(self, story, seconds=60.0):
        """Run a story, an async function of this world, on a virtual clock."""

        async def main():
            with trio.fail_after(seconds):
                async with trio.open_nursery() as nursery:
                    self.network = MemoryNetwork(nursery, lambda: self.node.bounds)
                    self.store = StandinStore()
                    self.counters = MemoryCounters()
                    self.lines = []
                    self.pool = ConnectionPool(self.counters.count, lambda at: self.dial(at))
                    control = self.control = RunnerControl(self.pool)
                    self.node = GatewayNode(
                        GatewayIdentity("n", "x", "n/1"),
                        GatewayPorts(
                            self.store,
                            self.store,
                            PlatformRows(is_machine),
                            PlatformDialect(),
                            control,
                            control,
                            self.pool,
                            PeerPorts(
                                Member("n", 1, "n:1", "x"), MemoryMedium().open("n:1"), tuple
                            ),
                            lambda: trio.current_time() + self.clock_lead,
                        ),
                        GatewaySettings,
                        self.counters,
                        self.note,
                        Random(1),
                        lambda: self.load,
                    )
                    self.network.listen(GATEWAY, self.node.gateway.handle)
                    nursery.start_soon(self.node.run)
                    if self.config is not None:
                        self.store.put("op", "config", self.config)
                    for runner in self.runners.values():
                        runner.start()
                    await trio.sleep(0.5)
                    await story(self)
                    nursery.cancel_scope.cancel()

        trio._core._run._r.seed(0)
        self.clock = MockClock(autojump_threshold=0)
        trio.run(main, clock=self.clock)

    async def dial(self, address):
        """Connect the gateway to an address; a scenario may replace this function."""
        return await self.network.dial(address)

    def note(self, decision, /, **fields):
        self.lines.append((decision, fields))

    def add(self, instance, service="llm", domain="x", first=0, end=0):
        self.runners[instance] = StandinRunner(self, instance, service, domain, first, end)
        return self.runners[instance]

    def by_address(self, address):
        return next(each for each in self.runners.values() if each.address == address)

    def serves_no_streams(self, runner):
        """Return whether a runner serves no streams, also because it restarted meanwhile."""
        return (
            runner.dead or runner.blocks_streams or self.runners.get(runner.instance) is not runner
        )

    def is_suspected(self, instance):
        return self.node.gateway.context.upstreams.is_suspected(instance)

    def address_without_layers(self, path):
        """Return the first address on a path that lacks its layers, empty if none does."""
        for address, first, end in path:
            runner = self.by_address(address)
            if not runner.dead and not runner.first <= first < end <= runner.end:
                return address
        return ""

    async def ask(
        self,
        route="stream",
        name="r1",
        headers=(),
        body=b"{}",
        leave_after=None,
        key=KEY,
        dial=None,
    ):
        """Send one request; return the response. `dial` replaces the usual way to connect."""
        got = Got()
        every = {
            b"host": b"h.example",
            b"x-request-id": name.encode(),
            b"x-deadline-ms": b"20000",
            b"content-length": str(len(body)).encode(),
            b"authorization": f"Token {key}".encode(),
            **{each.lower().encode(): value.encode() for each, value in headers},
        }
        started = last = trio.current_time()
        connection = await ConnectionPool(lambda what: None, dial or self.network.dial).acquire(
            GATEWAY
        )
        with trio.move_on_after(leave_after if leave_after is not None else 1000):
            try:
                target = f"/{route}/a%2Fb?q=%41".encode()
                reply = await connection.call(b"POST", target, tuple(every.items()), body)
                got.status, got.headers = reply.status, reply.headers
                while (data := await reply.next_data()) is not None:
                    got.body += data
                    got.max_pause = max(got.max_pause, trio.current_time() - last)
                    last = trio.current_time()
                got.whole = True
            except ConnectionLostError:
                pass
        connection.abort()
        got.seconds = trio.current_time() - started
        return got

    def header(self, got, name):
        return header_value(got.headers, name.encode()).decode()


def default_config(version=1, **changes):
    """Return a desired state with a route for each kind."""
    routes = [
        {"name": kind, "host": "h.example", "pathPrefix": f"/{kind}/", "kind": wire,
         "timeoutMs": timeout, "sloMs": 500, "priority": 1, "service": service,
         "maxAttempts": 2, "public": False, "resumable": resumable, "gap_aim_ms": gap}
        for kind, wire, timeout, service, resumable, gap in (
            ("stream", "streaming", 20000, "llm", True, 200),
            ("fragile", "streaming", 20000, "llm", False, 200),
            ("once", "non_idempotent", 1000, "crm", False, 0),
            ("again", "idempotent", 1000, "crm", False, 0),
        )
    ]  # fmt: skip
    engine = {
        "slots": 96, "models": [{"name": "m", "load_s": 4.0}], "layers": LAYERS,
        "layer_mb": 100.0, "act_bytes": 1000, "kvTokenBytes": 1000, "step_ms": 1.0,
        "read_per_s": 100000.0, "loads_at_once": 6,
        "kinds": [{"name": "card", "mb": 1000.0, "pace": 1.0, "read_x": 1.0}],
    }  # fmt: skip
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "llm", "maxConns": 100, "engine": engine}, {"name": "crm"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536},
        "tenants": [{"name": "acme", "apiKeys": [KEY], "priority": 3}],
        **changes,
    }
