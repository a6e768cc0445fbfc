"""Worlds of processes that share loss notices, on a virtual clock."""

from collections import Counter
from random import Random

import trio
from gateway_runner import StandinRunner, parse_path
from rate_world import RateWorld
from token_world import TokenProcess, TokenWorld

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
        for domain in "xyz":
            for number in range(3 * STAGES):
                begin = number % STAGES * 2
                runner = LossRunner(self, f"{domain}{number}", "llm", domain, begin, begin + 2)
                runner.accepts_orders, runner.slots = False, 96
                self.runners[runner.instance] = runner

    def end_a_copy(self, domain="x"):
        """End the later stages of a copy and a further host, four hosts in all."""
        for number in (1, 2, 3, 5):
            self.runners[f"{domain}{number}"].die()

    def avoiding(self, instance):
        return sum(instance in each.node._losses.notices.avoided() for each in self.processes)

    def watching(self):
        return sum(each.node._losses.watch.connection_count > 0 for each in self.processes)


class NoticeProcess(TokenProcess):
    """The loss notices of one process and the parts that they need."""

    def __init__(self, world, name, domain):
        self.world, self.name, self.domain = world, name, domain
        self.address = f"{name}:1"
        self.counters = MemoryCounters()
        self.roster = Roster(Member(name, 1, self.address, domain), trio.current_time)
        random, count = Random(name), self.counters.count
        datagrams = world.medium.open(self.address)
        self.gossip = PeerGossip(self.roster, datagrams, lambda: world.seeds, random, count)
        self.upstreams = UpstreamTable(trio.current_time)
        for each in world.upstreams:
            self.upstreams.put(each)
        self.losses = LossNotices(
            self.roster, self.gossip, self.upstreams, self, lambda: True, random, count,
            lambda what, **fields: None,
        )  # fmt: skip

    async def probe(self, upstream, seconds):
        self.world.probes[upstream.instance] += 1
        result = self.world.answers.get(upstream.instance, ProbeResult.ALIVE)
        await trio.sleep(seconds if result is ProbeResult.SILENT else 0.001)
        return ProbeReply(result)

    async def run(self):
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.gossip.run)
                nursery.start_soon(self.losses.run)


class NoticeWorld(TokenWorld):
    """Processes in three failure domains that share notices, and probes with given results."""

    def __init__(self, count):
        super().__init__(count, None)
        self.process_type = NoticeProcess
        self.settle_seconds = 12.0
        self.answers = {}
        self.probes = Counter()
        self.upstreams = [
            Upstream(f"{domain}{each}", "llm", f"{domain}{each}:1", domain, first=0, end=1)
            for domain in "abc"
            for each in range(UPSTREAMS_PER_DOMAIN)
        ]
        deliver = self.medium.deliver

        def deliver_and_record(source, target, data):
            if data.startswith(LOSS_PREFIX):
                self.sent.append((trio.current_time(), source, len(data)))
            deliver(source, target, data)

        self.medium.deliver = deliver_and_record

    def avoiding(self, instance):
        return sum(instance in each.losses.avoided() for each in self.processes)

    def most_bytes_in_a_second(self):
        """Return the most bytes that one process sent in a second, in steps of 10 ms."""
        sums = Counter()
        for at, sender, size in self.sent:
            for step in range(round(at * 100) - 99, round(at * 100) + 1):
                sums[step, sender] += size
        return max(sums.values())
