"""What one gateway process of many does in its first seconds, in processor time and calls.

In memory, on a virtual clock: rows of many upstreams come in, a plan of another process places
them, and each row changes as its layers are loaded, while the other processes tell of themselves.

    python tools/start_cost.py [--upstreams N] [--processes N] [--profile LINES]
"""

import argparse
import cProfile
import json
import os
import pstats
import sys
from bisect import bisect_right
from functools import cache
from pathlib import Path
from random import Random
from time import process_time

import msgspec
import trio

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from gateway_store import StandinStore  # noqa: E402
from gateway_world import default_config  # noqa: E402
from trio.testing import MockClock  # noqa: E402

from deckcourse.counters import MemoryCounters  # noqa: E402
from deckcourse.decision_log import DecisionLog  # noqa: E402
from deckcourse.gateway.desired import CallerBounds  # noqa: E402
from deckcourse.gateway.node import (  # noqa: E402
    GatewayIdentity,
    GatewayNode,
    GatewayPorts,
)
from deckcourse.http1.client import ConnectionPool  # noqa: E402
from deckcourse.http1.memory import MemoryNetwork  # noqa: E402
from deckcourse.layers.hosts import LayerHost, groups_of  # noqa: E402
from deckcourse.layers.placement import plan_group  # noqa: E402
from deckcourse.layers.plan_book import PlanRecord  # noqa: E402
from deckcourse.peers.datagrams import MemoryMedium  # noqa: E402
from deckcourse.peers.followers import followers  # noqa: E402
from deckcourse.peers.member import Digest, Member, encode_digest  # noqa: E402
from deckcourse.peers.peers import PeerPorts  # noqa: E402
from deckcourse.platform.dialect import PlatformDialect  # noqa: E402
from deckcourse.platform.rows import PlatformRows  # noqa: E402
from deckcourse.platform.runners import RunnerControl  # noqa: E402
from deckcourse.settings import GatewaySettings  # noqa: E402

DOMAINS = "xyz"
LAYERS = 80
# Rows come in within the first part of the time, are placed, and change after that, seconds.
COME_SECONDS = 5.0
PLAN_SECONDS = 1.3
LOAD_SECONDS = 9.0
REST_SECONDS = 6.0
STEP_SECONDS = 0.05


class IndexedStore(StandinStore):
    """The stand-in, quick where it has many changes to tell."""

    def _news(self, table, after):
        start = bisect_right(self.log, after, key=lambda each: each[0])
        return [(key, data, at) for at, name, key, data in self.log[start:] if name == table]

    async def read(self, keys):
        return await super().read(keys)


def row(number, first=0, end=0):
    """Return one upstream's row."""
    return {
        "service": "llm",
        "address": f"127.0.{number // 250}.{number % 250}:7000",
        "zone": DOMAINS[number % len(DOMAINS)],
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "sequence": 1,
        "kind": "card",
        "models": [{"name": "m"}] if end else [],
        "layers": {"rangeStart": first, "targetVersion": end, "version": 1} if end else None,
    }


def config():
    """Return a desired state with a model of many layers."""
    state = default_config()
    engine = state["services"][0]["engine"]
    engine["layers"] = LAYERS
    engine["layer_mb"] = 60.0
    return state


async def tell(medium, members, own):
    """Have other processes tell of themselves, as often as they do."""
    beat = 0
    while True:
        beat += 1
        for _ in range(4):
            some = Random(beat).sample(members, min(18, len(members)))
            told = tuple(
                Member(each.name, 1, each.address, each.domain, heartbeat=beat) for each in some
            )
            medium.deliver("other:1", own, encode_digest(Digest(told[0], told[1:], False)))
            await trio.sleep(0.25)


async def story(store, upstreams):
    """Have all rows come, another process place them, and rows change as layers are loaded."""
    steps = round(COME_SECONDS / STEP_SECONDS)
    for step in range(steps):
        for number in range(step, upstreams, steps):
            store.put("servers", f"runner-{number}", row(number))
        await trio.sleep(STEP_SECONDS)
    await trio.sleep(PLAN_SECONDS)
    plan(store, upstreams)
    held = {each.instance: each for domain in DOMAINS for each in planned(upstreams, domain)}
    steps = round(LOAD_SECONDS / STEP_SECONDS)
    for step in range(steps):
        await trio.sleep(STEP_SECONDS)
        for number in range(step, upstreams, steps):
            each = held.get(f"runner-{number}")
            if each is not None:
                store.put("servers", each.instance, row(number, each.first, each.end))
    await trio.sleep(REST_SECONDS)


@cache
def planned(upstreams, domain):
    """Return the first plan of a domain."""
    model = PlatformRows().desired_state(json.dumps(config()).encode()).unwrap().services["llm"]
    hosts = [
        LayerHost(f"runner-{each}", domain, "card")
        for each in range(upstreams)
        if DOMAINS[each % len(DOMAINS)] == domain
    ]
    (group,) = groups_of(model.model, hosts)
    return plan_group(model.model, group)


def plan(store, upstreams):
    """Write the first plans, as another process does."""
    for domain in DOMAINS:
        record = PlanRecord(1, "another", "m", planned(upstreams, domain))
        store.put("plans", domain, msgspec.to_builtins(record))


def play(upstreams, processes):
    """Play the first seconds of a process; return its processor time, seconds."""

    async def main():
        async with trio.open_nursery() as nursery:
            log = DecisionLog("n", os.open("/dev/null", os.O_WRONLY), trio.current_time)
            log.start()
            network = MemoryNetwork(nursery, CallerBounds)
            store = IndexedStore()
            counters = MemoryCounters()
            pool = ConnectionPool(counters.count, network.dial)
            control = RunnerControl(pool)
            medium = MemoryMedium()
            members = [
                Member(f"n{each}", 1, f"n{each}:1", DOMAINS[each % len(DOMAINS)])
                for each in range(processes)
            ]
            own = followers(members, DOMAINS[0])[1]
            members.remove(own)
            node = GatewayNode(
                GatewayIdentity(own.name, own.domain, own.name),
                GatewayPorts(
                    store, store, PlatformRows(), PlatformDialect(), control, control, pool,
                    PeerPorts(own, medium.open(own.address), tuple),
                ),
                GatewaySettings, counters, log.log, Random(1),
            )  # fmt: skip
            nursery.start_soon(tell, medium, members, own.address)
            nursery.start_soon(node.run)
            store.put("op", "config", config())
            for domain in DOMAINS:
                planned(upstreams, domain)
            started = process_time()
            await story(store, upstreams)
            print(f"{process_time() - started:.2f} s of processor time")
            log.stop()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def main():
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upstreams", type=int, default=3000)
    parser.add_argument("--processes", type=int, default=300)
    parser.add_argument("--profile", type=int, default=0)
    given = parser.parse_args()
    profile = cProfile.Profile()
    if given.profile:
        profile.enable()
    play(given.upstreams, given.processes)
    if given.profile:
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(given.profile)


if __name__ == "__main__":
    main()
