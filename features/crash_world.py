"""Several gateway processes and runners that some requests crash, on a virtual clock.

A runner that starts to execute such a request crashes. Its replacement starts some seconds later
under another id, with the same layers. Scenarios check what reached the runners.
"""

from dataclasses import dataclass
from random import Random

import trio
from gateway_runner import EVENT_SECONDS, StandinRunner
from gateway_world import GatewayWorld, is_machine
from returns.result import Failure

from deckcourse.counters import MemoryCounters
from deckcourse.gateway.node import GatewayNode
from deckcourse.gateway.node_ports import GatewayIdentity, GatewayPorts
from deckcourse.http1.pool import ConnectionPool
from deckcourse.peers.datagrams import MemoryMedium
from deckcourse.peers.member import Member
from deckcourse.peers.peers import PeerPorts
from deckcourse.platform.dialect import PlatformDialect
from deckcourse.platform.rows import PlatformRows
from deckcourse.platform.runners import RunnerControl
from deckcourse.settings import GatewaySettings, LoadSettings
from deckcourse.table import TableFailure

# Prefix of the body of a request that crashes its runners.
DEADLY = b"deadly"
# Time from the start of such an attempt to the crash, seconds.
CRASH_DELAY_SECONDS = 2.5 * EVENT_SECONDS
# Time from the crash until the row is removed, and until the replacement starts, seconds.
ROW_REMOVAL_DELAY_SECONDS = 3.0
REPLACEMENT_DELAY_SECONDS = 4.0


@dataclass(frozen=True)
class Crash:
    """A crash of a runner while it executed a request, on the clock of the world."""

    body: bytes
    instance: str
    at: float


class CrashingRunner(StandinRunner):
    """A runner that crashes when it starts to execute a crashing request."""

    async def stream(self, run, exchange, answer):
        if not self.is_deadly(run):
            await super().stream(run, exchange, answer)
            return
        kind = (b"content-type", b"text/event-stream")
        await exchange.start(200, (*answer, kind))
        await self.crash(run)

    async def answer(self, run, exchange, answer):
        if self.is_deadly(run):
            await self.crash(run)
        await super().answer(run, exchange, answer)

    def is_deadly(self, run):
        return self.world.is_deadly_run(run)

    async def crash(self, run):
        await trio.sleep(CRASH_DELAY_SECONDS)
        run.ended = "crashed"
        if not self.dead:
            self.world.crash(self, run.body)
        await trio.sleep_forever()


class ProcessStore:
    """The connection of one process to the store, which may be cut."""

    def __init__(self, world):
        self.world = world
        self.cut = False

    async def ask(self, call, *args):
        if self.cut:
            return Failure(TableFailure.UNAVAILABLE)
        return await getattr(self.world.store, call)(*args)

    async def snapshot(self, table):
        return await self.ask("snapshot", table)

    async def changes(self, table, after, seconds):
        answer = await self.ask("changes", table, after, seconds)
        return Failure(TableFailure.UNAVAILABLE) if self.cut else answer

    def renew_connections(self):
        """Do nothing: there are no connections."""

    async def read(self, keys):
        return await self.ask("read", keys)

    async def transact(self, writes):
        return await self.ask("transact", writes)


class GatewayProcess:
    """One gateway process; a new incarnation keeps no state of the previous one."""

    def __init__(self, world, name, domain, start=1):
        self.world = world
        self.name, self.domain, self.start = name, domain, start
        self.address = f"{name}:1"
        self.peer_address = f"{name}-peer:1"
        self.store = ProcessStore(world)
        pool = ConnectionPool(lambda what: None, world.dial_of(name))
        control = RunnerControl(pool)
        member = Member(name, start, self.peer_address, domain)
        seeds = lambda: world.seeds  # noqa: E731
        ports = PeerPorts(member, world.medium.open(self.peer_address), seeds)
        self.counters = MemoryCounters()
        self.node = GatewayNode(
            GatewayIdentity(name, domain, f"{name}/{start}"),
            GatewayPorts(
                self.store, self.store, PlatformRows(is_machine), PlatformDialect(), control,
                control, pool, ports, trio.current_time,
            ),
            lambda: world.settings,
            self.counters,
            world.note,
            Random(f"{name} {start}"),
            lambda: world.load,
        )  # fmt: skip

    async def run(self):
        self.world.network.listen(self.address, self.node.gateway.handle)
        self.world.network.listen(self.peer_address, self.node.handle_peer)
        with trio.CancelScope() as self.scope:
            await self.node.run()

    def kill(self):
        """Kill the process without a shutdown, as a power loss does."""
        self.scope.cancel()
        for each in (self.address, self.peer_address):
            self.world.network.kill(each)
        self.world.medium.open(self.peer_address)


class CrashWorld(GatewayWorld):
    """Two chains and two plain runners, and three gateway processes in two failure domains."""

    process_type = GatewayProcess

    def __init__(self):
        super().__init__()
        self.crashes = []
        # The body of each request by its id.
        self.bodies = {}
        self.starts = 0
        self.apart = False
        self.lapses = True
        # Whether the fault is fixed: no request crashes a runner any more.
        self.cured = False
        self.seeds = ("g0-peer:1",)
        self.names = (("g0", "x"), ("g1", "y"), ("g2", "x"))
        self.settings = GatewaySettings()
        self.load = LoadSettings()
        for domain in "xy":
            self.add(f"{domain}1", "llm", domain, 0, 4)
            self.add(f"{domain}2", "llm", domain, 4, 8)
            self.add(f"p{domain}", "crm", domain)
        for runner in self.runners.values():
            runner.accepts_orders, runner.slots = False, 96

    def is_deadly_run(self, run):
        """Return whether a request crashes the runner that executes it."""
        return run.body.startswith(DEADLY) and not self.cured

    def dial_of(self, process):
        """Return the function by which a process opens connections."""
        return self.dial

    def add(self, instance, service="llm", domain="x", first=0, end=0):
        self.runners[instance] = CrashingRunner(self, instance, service, domain, first, end)
        return self.runners[instance]

    def play(self, story, seconds=200.0):
        async def among_processes(world):
            # The process of the base world stays unused: it has no peers, gets no requests and
            # issues nothing.
            self.node.stop()
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self.medium = MemoryMedium(lambda source, target: self.apart)
                self.processes = [self.process_type(self, *each) for each in self.names]
                for each in self.processes:
                    nursery.start_soon(each.run)
                await trio.sleep(3.0)
                await story(self)
                nursery.cancel_scope.cancel()

        super().play(among_processes, seconds)

    def crash(self, runner, body):
        """Crash a runner while it executes a request; a replacement starts under another id."""
        self.crashes.append(Crash(body, runner.instance, trio.current_time()))
        runner.die()
        self.nursery.start_soon(self.start_replacement, runner)

    def crash_nothing(self):
        """Record the time from which callers are checked, without a crash."""
        self.crashes.append(Crash(b"", "", trio.current_time()))

    async def start_replacement(self, runner):
        await trio.sleep(ROW_REMOVAL_DELAY_SECONDS)
        if self.lapses:
            self.store.put("servers", runner.instance, None)
        await trio.sleep(REPLACEMENT_DELAY_SECONDS - ROW_REMOVAL_DELAY_SECONDS)
        self.starts += 1
        name = f"{runner.instance.partition('+')[0]}+{self.starts}"
        after = self.add(name, runner.service, runner.domain, runner.first, runner.end)
        after.address = runner.address
        after.accepts_orders, after.slots = False, runner.slots
        after.start()

    def by_address(self, address):
        return next(each for each in reversed(self.runners.values()) if each.address == address)

    async def restart(self, process):
        """Kill a process and restart it at once."""
        process.kill()
        restarted = GatewayProcess(self, process.name, process.domain, process.start + 1)
        self.processes[self.processes.index(process)] = restarted
        self.nursery.start_soon(restarted.run)
        await trio.sleep(1.0)

    async def ask_at(self, process, route="stream", name="r1", body=b"{}", **more):
        """Send a request to one process."""
        self.bodies[name] = body
        dial = lambda address: self.network.dial(process.address)  # noqa: E731
        return await self.ask(route, name=name, body=body, dial=dial, **more)

    async def ask_peer(self, process, method=b"GET", target=b"/quarantine"):
        """Send a request to the peer address of a process; return the status and the body."""
        pool = ConnectionPool(lambda what: None, self.network.dial)
        async with pool.borrow(process.peer_address) as connection:
            reply = await connection.call(method, target, ((b"host", b"x"),), b"")
            return reply.status, await reply.read_body()

    def ends_under(self, body):
        """Return the crashes that a request caused."""
        return [each for each in self.crashes if each.body == body]

    def sent_after_third(self, body, contact=3.0):
        """Return the times of attempts more than `contact` seconds after the third crash."""
        ends = self.ends_under(body)
        if len(ends) < 3:
            return []
        return [
            each.at for each in self.received_requests
            if self.body_of(each.request) == body and each.at > ends[2].at + contact
        ]  # fmt: skip

    def body_of(self, request):
        return self.bodies.get(request, b"")
