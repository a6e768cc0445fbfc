"""Measure the processor time and the calls of one gateway process among many after its start.

The simulation runs in memory on a virtual clock: rows of many upstreams arrive, a plan of another
process places layers on them, and each row changes as its layers are loaded, while the other
processes send digests.

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
from deckcourse.http1.memory import MemoryNetwork  # noqa: E402
from deckcourse.http1.pool import ConnectionPool  # noqa: E402
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
# Phases of the simulation: rows arrive, wait for a plan, change as layers are loaded, and settle.
ARRIVAL_SECONDS = 5.0
PLAN_DELAY_SECONDS = 1.3
LOAD_SECONDS = 9.0
SETTLE_SECONDS = 6.0
STEP_SECONDS = 0.05


class IndexedStore(StandinStore):
    """A stand-in store that finds the changes after a version by binary search."""

    def _changes_after(self, table, after):
        start = bisect_right(self.log, after, key=lambda each: each[0])
        return [(key, data, at) for at, name, key, data in self.log[start:] if name == table]

    async def read(self, keys):
        return await super().read(keys)


def server_row(number, first=0, end=0):
    """Return the row of an upstream that holds the layers `first` to `end`, none if both are 0."""
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


def desired_state():
    """Return a desired state whose model has `LAYERS` layers."""
    state = default_config()
    engine = state["services"][0]["engine"]
    engine["layers"] = LAYERS
    engine["layer_mb"] = 60.0
    return state


async def send_digests(medium, members, own_address):
    """Send digests with the heartbeats of other processes at the rate of a real site."""
    beat = 0
    while True:
        beat += 1
        for _ in range(4):
            sample = Random(beat).sample(members, min(18, len(members)))
            sampled_members = tuple(
                Member(each.name, 1, each.address, each.domain, heartbeat=beat) for each in sample
            )
            medium.deliver(
                "other:1",
                own_address,
                encode_digest(Digest(sampled_members[0], sampled_members[1:], False)),
            )
            await trio.sleep(0.25)


async def change_rows(store, upstreams):
    """Add all rows, write plans for them, and change the rows as their layers are loaded."""
    steps = round(ARRIVAL_SECONDS / STEP_SECONDS)
    for step in range(steps):
        for number in range(step, upstreams, steps):
            store.put("servers", f"runner-{number}", server_row(number))
        await trio.sleep(STEP_SECONDS)
    await trio.sleep(PLAN_DELAY_SECONDS)
    write_plans(store, upstreams)
    assignments = {
        each.instance: each for domain in DOMAINS for each in first_plan(upstreams, domain)
    }
    steps = round(LOAD_SECONDS / STEP_SECONDS)
    for step in range(steps):
        await trio.sleep(STEP_SECONDS)
        for number in range(step, upstreams, steps):
            assignment = assignments.get(f"runner-{number}")
            if assignment is not None:
                store.put(
                    "servers",
                    assignment.instance,
                    server_row(number, assignment.first, assignment.end),
                )
    await trio.sleep(SETTLE_SECONDS)


@cache
def first_plan(upstreams, domain):
    """Return the first plan of a failure domain."""
    model = (
        PlatformRows().desired_state(json.dumps(desired_state()).encode()).unwrap().services["llm"]
    )
    hosts = [
        LayerHost(f"runner-{number}", domain, "card")
        for number in range(upstreams)
        if DOMAINS[number % len(DOMAINS)] == domain
    ]
    (group,) = groups_of(model.model, hosts)
    return plan_group(model.model, group)


def write_plans(store, upstreams):
    """Write the first plan of each failure domain, on behalf of another process."""
    for domain in DOMAINS:
        record = PlanRecord(1, "another", "m", first_plan(upstreams, domain))
        store.put("plans", domain, msgspec.to_builtins(record))


def simulate(upstreams, processes):
    """Simulate the first seconds of a process; return its processor time, seconds."""

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
                Member(f"n{number}", 1, f"n{number}:1", DOMAINS[number % len(DOMAINS)])
                for number in range(processes)
            ]
            own = followers(members, DOMAINS[0])[1]
            members.remove(own)
            node = GatewayNode(
                GatewayIdentity(own.name, own.domain, own.name),
                GatewayPorts(
                    store, store, PlatformRows(), PlatformDialect(), control, control, pool,
                    PeerPorts(own, medium.open(own.address), tuple), trio.current_time,
                ),
                GatewaySettings, counters, log.log, Random(1),
            )  # fmt: skip
            nursery.start_soon(send_digests, medium, members, own.address)
            nursery.start_soon(node.run)
            store.put("op", "config", desired_state())
            for domain in DOMAINS:
                first_plan(upstreams, domain)
            started_at = process_time()
            await change_rows(store, upstreams)
            print(f"{process_time() - started_at:.2f} s of processor time")
            log.stop()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def main():
    """Run the simulation, under the profiler if asked, and print the result."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upstreams", type=int, default=3000)
    parser.add_argument("--processes", type=int, default=300)
    parser.add_argument("--profile", type=int, default=0)
    arguments = parser.parse_args()
    profile = cProfile.Profile()
    if arguments.profile:
        profile.enable()
    simulate(arguments.upstreams, arguments.processes)
    if arguments.profile:
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(arguments.profile)


if __name__ == "__main__":
    main()
