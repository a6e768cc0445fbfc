"""Peers of one site, with their store and network in memory, on a virtual clock."""

from collections import Counter
from random import Random

import trio
from gateway_store import StandinStore
from returns.result import Failure
from trio.testing import MockClock

from deckcourse.change_feed import Follower
from deckcourse.gateway.desired import CallerBounds
from deckcourse.http1.memory import MemoryNetwork
from deckcourse.http1.pool import ConnectionPool
from deckcourse.peers.datagrams import MemoryMedium
from deckcourse.peers.member import Member
from deckcourse.peers.peers import PeerPorts, Peers
from deckcourse.table import TableFailure

trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True

TABLES = ("op", "servers")
CONTACT_WAIT_SECONDS = 1.0
CONTACT_SECONDS = 3.0
# How many processes may be lost at once.
MAX_LOST = 2
# The time after which each change of a table must be known, seconds.
BOUNDS = {"op": 2.0, "servers": 2.0}
# With more processes than this, pauses grow in proportion to their number.
SMALL_SITE_PROCESSES = 10
# Time for processes to discover each other and agree on the followers of the store.
SETTLE_SECONDS = 10.0


class CutStore:
    """One process's access to the store: counts the reads, and can be cut off."""

    def __init__(self, world):
        self.world = world
        self.is_cut_off = False
        # Whether reads stay unanswered, those under way included.
        self.is_held = False
        # Whether an idle connection has gone silent, which the next read uses unless it is renewed.
        self.has_silent_connection = False

    async def _ask(self, call, *args):
        self.world.calls.append(trio.current_time())
        if self.has_silent_connection:
            await trio.sleep_forever()
        await trio.sleep(0.004)
        if self.is_cut_off:
            return Failure(TableFailure.UNAVAILABLE)
        answer = await getattr(self.world.store, call)(*args)
        if self.is_held:
            await trio.sleep_forever()
        if self.world.answer_delay:
            await trio.sleep(self.world.answer_delay)
        return answer

    async def snapshot(self, table):
        return await self._ask("snapshot", table)

    async def changes(self, table, after, seconds):
        return await self._ask("changes", table, after, seconds)

    def renew_connections(self):
        self.world.renewals += 1
        self.has_silent_connection = False


class PeerProcess:
    """One process: its peer side, and a `Follower` for each table."""

    def __init__(self, world, name, domain, start=1):
        self.world = world
        self.name, self.domain = name, domain
        self.address = f"{name}:1"
        self.store = CutStore(world)
        self.rows = {}
        self.recoveries = []
        self.counts = Counter()
        self.alive = True
        random = Random(f"{name} {start}")
        pool = ConnectionPool(lambda what: None, self.dial)
        own = Member(name, start, self.address, domain)
        ports = PeerPorts(own, world.medium.open(self.address), lambda: world.seeds)
        self.peers = Peers(
            ports, self.store, world.tables, pool, lambda: CONTACT_WAIT_SECONDS,
            lambda: CONTACT_SECONDS, lambda: world.bounds, lambda: MAX_LOST,
            self.recoveries.append, random, lambda *_, **__: None,
            count=lambda name: self.counts.update([name]),
        )  # fmt: skip
        self.followers = [
            Follower(
                self.peers.feed, table, self.on_all_rows, self.on_change, random,
                wait=lambda table=table: self.peers.feed.wait_for_changes(
                    table, self.longest_wait(table)
                ),
                process_factor=lambda: max(1.0, len(world.processes) / SMALL_SITE_PROCESSES),
                is_batched=lambda: not self.peers.feed.follows,
                is_paced=lambda: self.peers.feed.paces_reads,
            )
            for table in world.tables
        ]  # fmt: skip

    def longest_wait(self, table):
        """Return how long a read waits for changes if nobody relies on its answer."""
        is_bounded = table in BOUNDS
        return CONTACT_WAIT_SECONDS if is_bounded else self.peers.feed.stalled_reads.long_poll_wait

    async def dial(self, address):
        transport = await self.world.network.dial(address)
        if self.world.frame_delay:
            return SlowTransport(transport, self.world.frame_delay)
        return CorruptedTransport(transport, self.world.corrupted, address)

    def on_all_rows(self, rows):
        for row in rows:
            self.rows[row.key.partition("/")[2]] = row.value

    def on_change(self, key, value, version):
        self.rows[key] = value

    @property
    def as_of(self):
        return self.followers[0].as_of

    async def run(self):
        self.world.network.listen(self.address, self.peers.handle)
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.peers.gossip.run)
                nursery.start_soon(self.peers.feed.run)
                for each in self.followers:
                    nursery.start_soon(each.run)

    def kill(self):
        self.alive = False
        self.scope.cancel()
        self.world.network.kill(self.address)
        self.world.medium.open(self.address)

    def become_silent(self):
        self.alive = False
        self.scope.cancel()
        self.world.network.silence(self.address)
        self.world.medium.open(self.address)

    def live_names(self):
        return {each.name for each in self.peers.roster.live()}


class SlowTransport:
    """A connection whose received bytes are delayed."""

    def __init__(self, transport, seconds):
        self.transport = transport
        self.seconds = seconds
        self.send_all = transport.send_all
        self.readable = transport.readable
        self.is_open = transport.is_open
        self.close = transport.close

    async def receive_some(self, max_bytes):
        data = await self.transport.receive_some(max_bytes)
        await trio.sleep(self.seconds)
        return data


class CorruptedTransport:
    """A connection on which the bytes sent by some addresses are replaced."""

    def __init__(self, transport, corrupted, address):
        self.transport = transport
        self.corrupted = corrupted
        self.address = address
        self.send_all = transport.send_all
        self.readable = transport.readable
        self.is_open = transport.is_open
        self.close = transport.close

    async def receive_some(self, max_bytes):
        data = await self.transport.receive_some(max_bytes)
        return self.corrupted.get(self.address, data)


class PeerWorld:
    """The processes, the store and the network between them."""

    def __init__(self, count, domains, seeds=3, loss_share=0.0, tables=TABLES):
        self.tables = tables
        self.bounds = BOUNDS
        self.random = Random(7)
        self.is_partitioned = False
        self.medium = MemoryMedium(self.is_lost)
        self.loss_share = loss_share
        self.seeds = ()
        self.calls = []
        self.renewals = 0
        self.frame_delay = 0.0
        # How long the store's answers take on their way.
        self.answer_delay = 0.0
        # The bytes received in place of everything that an address sends.
        self.corrupted = {}
        self.names = [
            (f"{domain}-{each}", domain) for domain in "abcdefgh"[:domains] for each in range(count)
        ]
        self.seed_count = seeds

    def is_lost(self, source, target):
        return (
            self.is_partitioned and source[0] != target[0]
        ) or self.random.random() < self.loss_share

    def play(self, story, seconds=120.0):
        async def main():
            with trio.fail_after(seconds):
                async with trio.open_nursery() as nursery:
                    self.nursery = nursery
                    self.network = MemoryNetwork(nursery, CallerBounds)
                    self.store = StandinStore()
                    self.store.put("op", "config", {"version": 1})
                    self.processes = [PeerProcess(self, *each) for each in self.names]
                    step = max(1, len(self.processes) // self.seed_count)
                    self.seeds = tuple(
                        each.address for each in self.processes[::step][: self.seed_count]
                    )
                    for each in self.processes:
                        nursery.start_soon(each.run)
                    await story(self)
                    nursery.cancel_scope.cancel()

        trio._core._run._r.seed(0)
        self.clock = MockClock(autojump_threshold=0)
        trio.run(main, clock=self.clock)

    @property
    def live_processes(self):
        return [each for each in self.processes if each.alive]

    def following(self):
        return [each for each in self.live_processes if each.peers.feed.follows]

    async def until(self, condition, seconds):
        """Wait for a condition; return how long that took, None if it timed out."""
        started = trio.current_time()
        while trio.current_time() < started + seconds:
            if condition():
                return trio.current_time() - started
            await trio.sleep(0.05)
        return None
