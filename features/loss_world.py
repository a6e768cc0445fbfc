"""Worlds of processes that share loss notices, on a virtual clock."""

from collections import Counter
from random import Random

import trio
from gateway_runner import StandinRunner, parse_path
from rate_world import RateWorld
from token_world import TokenWorld

from deckcourse.counters import MemoryCounters
from deckcourse.gateway.dialect import ProbeReply, ProbeResult
from deckcourse.gateway.loss_notices import LossNotices
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.loss_notice import LOSS_PREFIX
from deckcourse.peers.member import Member
from deckcourse.peers.roster import Roster
from deckcourse.settings import LoadSettings

STAGES = 4
UPSTREAMS_PER_DOMAIN = 9


class LossRunner(StandinRunner):
    """A runner that refuses requests whose path passes a dead one, and names that one."""

    async def stream(self, run, exchange, answer):
        for address, _, _ in parse_path(run.headers["path"]):
            if self.world.by_address(address).dead:
                self.world.refusals += 1
                self.world.runs.remove(run)
                headers = ((b"x-not-executed", b"1"), (b"at-server", address.encode()))
                await exchange.respond(503, (*answer[:1], *headers), b"")
                return
        await super().stream(run, exchange, answer)


class LossWorld(RateWorld):
    """Complete processes in three failure domains, with three copies of four stages in each."""

    def __init__(self, count, **settings):
        super().__init__(count)
        self.names = tuple((f"g{each}", "xyz"[each % 3]) for each in range(count))
        self.load = LoadSettings(**settings)
        self.runners.clear()
        self.connects = Counter()
        for domain in "xyz":
            for number in range(3 * STAGES):
                begin = number % STAGES * 2
                runner = LossRunner(self, f"{domain}{number}", "llm", domain, begin, begin + 2)
                runner.accepts_orders, runner.slots = False, 96
                self.runners[runner.instance] = runner

    async def dial(self, address):
        self.connects[address] += 1
        return await super().dial(address)

    def end_a_copy(self, domain="x"):
        """End the later stages of a copy and a further host, four hosts in all."""
        for number in (1, 2, 3, 5):
            self.runners[f"{domain}{number}"].die()

    def avoiding(self, instance):
        return [each for each in self.processes if instance in each.node._losses.avoided()]

    def counted(self, name):
        return sum(each.counters.counts.get(name, 0) for each in self.processes)


class NoticeProcess:
    """The loss notices of one process and the parts that they need."""

    def __init__(self, world, name, domain):
        self.world, self.name, self.domain = world, name, domain
        self.address = f"{name}:1"
        self.counters = MemoryCounters()
        self.checked = []
        roster = Roster(Member(name, 1, self.address, domain), trio.current_time)
        random = Random(name)
        self.gossip = PeerGossip(
            roster, Recorder(world, self.address), lambda: world.seeds, random, self.counters.count
        )
        self.upstreams = UpstreamTable(trio.current_time)
        for each in world.upstreams:
            self.upstreams.put(each)
        self.losses = LossNotices(
            roster, self.gossip, self.upstreams, self, lambda: world.is_on, random,
            self.counters.count, lambda what, **fields: None,
        )  # fmt: skip
        self.losses.register_handlers(self.checked.append, lambda news: None)

    async def probe(self, upstream, seconds):
        self.world.probes.append((trio.current_time(), self.name, upstream.instance))
        result = self.world.answers.get(upstream.instance, ProbeResult.ALIVE)
        await trio.sleep(seconds if result is ProbeResult.SILENT else 0.001)
        return ProbeReply(result)

    async def run(self):
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.gossip.run)
                nursery.start_soon(self.losses.run)

    def kill(self):
        self.scope.cancel()
        self.world.medium.open(self.address)


class Recorder:
    """The datagrams of one process; records the size of those about losses."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.datagrams = world.medium.open(address)
        self.receive = self.datagrams.receive

    async def send(self, address, data):
        if data.startswith(LOSS_PREFIX):
            self.world.sent.append((trio.current_time(), self.address, len(data)))
        await self.datagrams.send(address, data)


class NoticeWorld(TokenWorld):
    """Processes in three failure domains that share notices, and probes with given results."""

    def __init__(self, count):
        super().__init__(count, None)
        self.process_type = NoticeProcess
        self.settle_seconds = 12.0
        self.is_on = True
        self.answers = {}
        self.probes = []
        self.upstreams = [
            Upstream(f"{domain}{each}", "llm", f"{domain}{each}:1", domain, first=0, end=1)
            for domain in "abc"
            for each in range(UPSTREAMS_PER_DOMAIN)
        ]

    def avoiding(self, instance):
        return [each for each in self.processes if instance in each.losses.avoided()]

    def most_bytes_in_a_second(self):
        """Return the largest number of bytes that one process sent in a second."""
        by_sender = {}
        for at, sender, size in self.sent:
            by_sender.setdefault(sender, []).append((at, size))
        return max(
            sum(size for other, size in sent if at <= other < at + 1.0)
            for sent in by_sender.values()
            for at, _ in sent
        )
