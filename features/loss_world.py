"""Worlds of processes that share loss notices, on a virtual clock."""

from collections import Counter

from gateway_runner import StandinRunner, parse_path
from rate_world import RateWorld

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
        self.load_settings = LoadSettings(**settings)
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
        return sum(each.counters.counts[name] for each in self.processes)
