"""Many processes that share rate limits, without complete gateways, on a virtual clock.

Each process has a membership view, datagrams and a rate gate. Callers' requests are recorded when
they are sent to the upstream.
"""

from random import Random

import trio
from crash_world import ProcessStore
from gateway_store import StandinStore
from trio.testing import MockClock

from deckcourse.counters import MemoryCounters
from deckcourse.gateway.issuing import Issuing
from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.retry_limits import RetryLimits
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.peers.datagrams import MemoryMedium
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.member import Member
from deckcourse.peers.roster import Roster

trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True

UPSTREAM = "u1"
# Time until all processes know each other, seconds.
SETTLE_SECONDS = 6.0
# Maximum time to open a connection between acquiring a token and sending, seconds.
MAX_CONNECT_SECONDS = 0.03
# Attempts of a caller, and its pause if it got no Retry-After, seconds.
MAX_ATTEMPTS = 3
DEFAULT_PAUSE_SECONDS = 0.1


class TokenProcess:
    """The rate gate of one process and the parts that it needs."""

    def __init__(self, world, name, domain, start=1):
        self.world, self.name, self.domain, self.start = world, name, domain, start
        self.address = f"{name}:1"
        self.counters = MemoryCounters()
        self.lines = []
        self.stopping = False
        self.store = ProcessStore(world)
        random = Random(f"{name} {start}")
        roster = Roster(Member(name, start, self.address, domain), trio.current_time)
        self.gossip = PeerGossip(
            roster, world.medium.open(self.address), lambda: world.seeds, random
        )
        self.upstreams = UpstreamTable(trio.current_time)
        self.upstreams.put(Upstream(UPSTREAM, "llm", "u:1", "a"))
        self.limits = RateLimitBook(trio.current_time, self.note_limit)
        self.issuing = Issuing(
            self.limits, self.upstreams, self.store, f"{name}/{start}", roster, self.gossip,
            lambda: not self.stopping, lambda: world.retry_limits, self.counters.count,
            lambda what, **fields: self.lines.append((what, fields)),
        )  # fmt: skip
        self.gate = self.issuing.rates

    def note_limit(self, limit, source):
        self.upstreams.note_limited(limit.instance, limit.rate is not None)
        self.gate.on_limit_change(limit, source)

    async def run(self):
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.gossip.run)
                nursery.start_soon(self.issuing.run)

    def kill(self):
        self.scope.cancel()
        self.world.medium.open(self.address)

    @property
    def issues(self):
        return self.issuing.is_issuer

    async def serve(self):
        """Serve one caller; return when it may retry, None if its request was sent."""
        world = self.world
        if self.upstreams.throttles.is_throttled(UPSTREAM):
            return self.retry_at()
        token = await self.gate.acquire(UPSTREAM)
        if token is None:
            return self.retry_at()
        await trio.sleep(world.random.uniform(0.0, MAX_CONNECT_SECONDS))
        if world.drops_token(self):
            await self.gate.return_token(token)
        elif self.gate.may_send(token):
            sent_at = trio.current_time()
            world.sent.append((sent_at, self.name))
            if world.rate is not None or self.limits.rate_of(UPSTREAM) is not None:
                self.limits.record(UPSTREAM, world.rate, sent_at)
        return None

    def retry_at(self):
        return (
            self.upstreams.first_accepts_at([UPSTREAM])
            or trio.current_time() + DEFAULT_PAUSE_SECONDS
        )


class TokenWorld:
    """The processes, their store, and an upstream with a rate limit."""

    def __init__(self, count, rate, lost=0.0):
        self.random = Random(5)
        self.rate = rate
        self.retry_limits = RetryLimits()
        self.sent = []
        self.lost = lost
        self.cut_apart = False
        self.process_type = TokenProcess
        self.settle_seconds = SETTLE_SECONDS
        self.unused_share = 0.0
        self.medium = MemoryMedium(self.is_lost)
        self.names = [(f"{'abc'[each % 3]}-{each}", "abc"[each % 3]) for each in range(count)]
        self.seeds = tuple(f"{name}:1" for name, _ in self.names[:3])

    def is_lost(self, source, target):
        apart = self.cut_apart and (source[0] == "a") != (target[0] == "a")
        return apart or self.random.random() < self.lost

    def drops_token(self, process):
        return self.random.random() < self.unused_share

    def play(self, story, seconds=120.0):
        async def main():
            with trio.fail_after(seconds):
                async with trio.open_nursery() as nursery:
                    self.nursery = nursery
                    self.store = StandinStore()
                    self.processes = [self.process_type(self, *each) for each in self.names]
                    for each in self.processes:
                        nursery.start_soon(each.run)
                    await trio.sleep(self.settle_seconds)
                    await story(self)
                    nursery.cancel_scope.cancel()

        trio._core._run._r.seed(0)
        trio.run(main, clock=MockClock(autojump_threshold=0))

    async def callers(self, demand, seconds, share_of_first=None):
        """Send callers' requests at random times, `demand` a second over all processes."""
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self.one_caller, share_of_first)
                await trio.sleep(self.random.expovariate(demand))

    async def one_caller(self, share_of_first):
        """Send a request to any process, and retry a few times at the time returned."""
        for _ in range(MAX_ATTEMPTS):
            retry_at = await self.pick(share_of_first).serve()
            if retry_at is None:
                return
            await trio.sleep_until(retry_at)

    def pick(self, share_of_first):
        if share_of_first is not None and self.random.random() < share_of_first:
            return self.processes[-1]
        return self.random.choice(self.processes)

    def record_limit_everywhere(self):
        """Record the limit at every process."""
        for each in self.processes:
            each.limits.record(UPSTREAM, self.rate, trio.current_time())

    def issuers(self):
        return [each for each in self.processes if each.issues]

    def restart(self, process):
        """Kill a process and restart it."""
        process.kill()
        restarted = self.process_type(self, process.name, process.domain, process.start + 1)
        self.processes[self.processes.index(process)] = restarted
        self.nursery.start_soon(restarted.run)

    def add(self, name, domain):
        """Start a further process."""
        process = self.process_type(self, name, domain)
        self.processes.append(process)
        self.nursery.start_soon(process.run)

    def most_in(self, seconds, since=0.0):
        times = sorted(at for at, _ in self.sent if at >= since)
        first = most = 0
        for last, at in enumerate(times):
            while times[first] <= at - seconds:
                first += 1
            most = max(most, last - first + 1)
        return most
