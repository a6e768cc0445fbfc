"""Slopes of what processes share: peers, loads, configuration, state, plans and routes."""

import gc
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from random import Random
from time import process_time

import msgspec
import numpy as np
import trio
from trio.testing import MockClock

from deckcourse.asgi import serve
from deckcourse.configuration import (
    Account,
    Change,
    Configuration,
    FlowWeight,
    ModelSpec,
    Placement,
)
from deckcourse.configuration_holder import ConfigurationHolder
from deckcourse.engine import EngineLoad
from deckcourse.engine_http import HttpEngine
from deckcourse.http_client import kept_pool
from deckcourse.intents import HoldCapacity
from deckcourse.membership import Membership
from deckcourse.peer_link import Digest, Exchange, PynngLink, PynngListener, row_of
from deckcourse.planner import Fleet, Runner, draft_plan
from deckcourse.router import Router
from deckcourse.site import free_address
from deckcourse.slope_fit import Slope, fit, least, processor
from deckcourse.standin_engine import StandinEngine
from deckcourse.standin_engine_http import EngineApp
from deckcourse.standin_stage import EngineSpec
from deckcourse.virtual_site import VirtualPlan, VirtualSite

__all__ = ["CONTROL_SLOPES"]

MODELS = 17
STAGES = 4
LAYERS = 8
DOMAINS = tuple(f"domain-{number}" for number in range(6))


def _load(number: int) -> EngineLoad:
    return EngineLoad(
        f"runner-{number}", 3, "model-07", 16, 24, 12, 32, 1234.5, 8, False, 17, 240, True, 0.021, 9
    )


def _digest(loads: int = 0, accounts: int = 0, leaving: int = 0) -> Exchange:
    return Exchange(
        Digest(
            "router-123-entry",
            "10.0.0.123:7801",
            "router-123-entry/0123456789ab",
            "entry",
            "domain-1",
            123456,
            True,
            False,
            tuple(f"runner-{number}/3" for number in range(leaving)),
            {f"account-{number}": 123.4 for number in range(accounts)},
            tuple(row_of(_load(number)) for number in range(loads)),
        )
    )


def _digest_bytes() -> list[Slope]:
    encode = msgspec.msgpack.Encoder().encode
    kinds = {
        "load report in a digest": ("load", (0, 16, 32, 64), lambda size: _digest(loads=size)),
        "account in a digest": ("account", (0, 55, 110, 220), lambda size: _digest(accounts=size)),
        "leaving upstream in a digest": (
            "upstream",
            (0, 25, 50, 100),
            lambda size: _digest(leaving=size),
        ),
    }
    return [
        fit(name, "B", per, [(size, len(encode(make(size)))) for size in sizes])
        for name, (per, sizes, make) in kinds.items()
    ]


async def _exchange_many(count: int, loads: int) -> float:
    address = free_address()
    listener = PynngListener(address)
    message = _digest(loads, 50)

    async def answer(_: Exchange) -> Exchange:
        return message

    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run, answer)
        link = PynngLink(address, 5.0)
        await link.exchange(message)
        began = process_time()
        for _ in range(count):
            await link.exchange(message)
        used = process_time() - began
        link.close()
        nursery.cancel_scope.cancel()
    return used


def _exchanges() -> list[Slope]:
    sizes = (50, 100, 200, 400)
    points = [(size, least(lambda size=size: trio.run(_exchange_many, size, 16))) for size in sizes]
    by_loads = [
        (loads, least(lambda loads=loads: trio.run(_exchange_many, 100, loads)) / 100)
        for loads in (0, 16, 32, 64)
    ]
    return [
        fit("exchange with a peer, both sides, 16 loads", "s", "exchange", points),
        fit("load report in an exchange, both sides", "s", "load", by_loads),
    ]


async def _poll_many(count: int) -> float:
    spec = EngineSpec("runner-1", "", "a")
    engine = StandinEngine(spec, lambda hop: None)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve, EngineApp(engine), "127.0.0.1:0", stop)
        async with kept_pool() as pool:
            upstream = HttpEngine(pool, "runner-1", address)
            await upstream.load()
            began = process_time()
            for _ in range(count):
                await upstream.load()
            used = process_time() - began
        nursery.cancel_scope.cancel()
    return used


def _polls() -> list[Slope]:
    sizes = (50, 100, 200, 400)
    points = [(size, least(lambda size=size: trio.run(_poll_many, size))) for size in sizes]
    return [fit("poll of an upstream, both sides", "s", "poll", points)]


def _placements(runners: int) -> tuple[Placement, ...]:
    return tuple(
        Placement(
            f"runner-{number}",
            3,
            f"10.0.{number // 256}.{number % 256}:9000",
            DOMAINS[number % 6],
            f"model-{number % MODELS:02}",
            LAYERS * (number // MODELS % STAGES),
            LAYERS * (number // MODELS % STAGES) + LAYERS,
        )
        for number in range(runners)
    )


def _configuration(runners: int, accounts: int = 220) -> Configuration:
    weights = {
        f"model-{model:02}": tuple(
            FlowWeight(f"model-{model:02}", f"runner-{number}", f"runner-{number + 1}", 12.5)
            for number in range(2 * runners // MODELS)
        )
        for model in range(MODELS)
    }
    specs = {name: ModelSpec(name, STAGES * LAYERS, 100.0) for name in weights}
    people = {f"account-{n}": Account(f"account-{n}", f"{n:064x}", 1e4) for n in range(accounts)}
    placed = {each.instance: each for each in _placements(runners)}
    return Configuration(1, specs, placed, weights, frozenset(), people, {})


def _memory(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def _membership(runners: int) -> Membership:
    membership = Membership()
    for number in range(runners):
        membership.see_load(_load(number), 0.0)
    return membership


def _state() -> list[Slope]:
    runners = (300, 600, 1200, 2300)
    accounts = (55, 110, 220, 440)
    configuration = [(size, _memory(lambda size=size: _configuration(size))) for size in runners]
    reports = [(size, _memory(lambda size=size: _membership(size))) for size in runners]
    people = [
        (size, _memory(lambda size=size: _configuration(10, accounts=size))) for size in accounts
    ]
    encoded = [(size, len(msgspec.json.encode(_configuration(size)))) for size in runners]
    return [
        fit("configuration in memory", "B", "runner", configuration),
        fit("load reports in memory", "B", "runner", reports),
        fit("accounts in memory", "B", "account", people),
        fit("snapshot of the configuration", "B", "runner", encoded),
    ]


def _apply_many(base: Configuration, count: int) -> None:
    holder = ConfigurationHolder()
    holder.replace(base)
    place = next(iter(base.placements.values()))
    for version in range(2, count + 2):
        holder.apply(Change(version, "p", placements=(place,)))


def _changes() -> list[Slope]:
    runners = (300, 600, 1200, 2300)
    by_runners = []
    for size in runners:
        base = _configuration(size)
        used = least(lambda base=base: processor(lambda: _apply_many(base, 200)))
        by_runners.append((size, used / 200))
    places = _placements(64)
    change = Change(2, "0123456789ab")
    sizes = [
        (count, len(msgspec.json.encode(replace(change, placements=places[:count]))))
        for count in (1, 4, 16, 64)
    ]
    return [
        fit("apply a change, by runners placed", "s", "runner", by_runners),
        fit("a change's row", "B", "placement", sizes),
    ]


def _fleet(runners: int) -> Fleet:
    return Fleet(
        {
            f"runner-{number}": Runner(
                f"runner-{number}",
                3,
                "",
                DOMAINS[number % 6],
                400.0 * (1 + number % 6),
                LAYERS,
            )
            for number in range(runners)
        }
    )


def _plan_once(runners: int) -> None:
    configuration = _configuration(runners * 9 // 10)
    draft_plan(configuration, _fleet(runners), HoldCapacity("model-00", 1e9))


def _heal_flow(runners: int) -> None:
    configuration = _configuration(runners)
    fleet = _fleet(runners)
    for model in configuration.models:
        fleet.weights(configuration, model)


def _plans() -> list[Slope]:
    runners = (300, 600, 1200, 2300)
    one = [(size, least(lambda size=size: processor(lambda: _plan_once(size)))) for size in runners]
    every = [
        (size, least(lambda size=size: processor(lambda: _heal_flow(size)))) for size in runners
    ]
    return [
        fit("plan of one intent, by runners", "s", "runner", one),
        fit("flow of all 17 models, by runners", "s", "runner", every),
    ]


def _routes() -> list[Slope]:
    points = []
    for runners in (300, 600, 1200, 2300):
        configuration = _configuration(runners)
        membership = Membership()
        for place in configuration.placements.values():
            load = replace(
                _load(0),
                instance=place.instance,
                model=place.model,
                first=place.first,
                end=place.end,
            )
            membership.see_load(load, 0.0)
        router = Router(membership, Random(1))

        def choose(router=router, configuration=configuration) -> None:
            for _ in range(100):
                router.choose(configuration, "model-00", 1.0)

        points.append((runners, least(lambda choose=choose: processor(choose)) / 100))
    return [fit("choice of a route, by runners in the configuration", "s", "runner", points)]


async def _spread_time(entries: int) -> float:
    site = VirtualSite(VirtualPlan(entries=entries, controllers=1, seed=entries))
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        await trio.sleep(4)
        # With the platform out, gossip is the only way.
        await site.intend({"kind": "service", "service": "a", "repeatable": True})
        await trio.sleep(4)
        controller = next(iter(site.controllers))
        site.platform_out(True)
        version = controller.node.holder.version + 1
        began = trio.current_time()
        controller.node.holder.apply(Change(version, "p"))
        while any(each.node.holder.version < version for each in site.entries):
            await trio.sleep(0.02)
        took = trio.current_time() - began
        nursery.cancel_scope.cancel()
    return took


def _spread() -> list[Slope]:
    points = []
    for entries in (9, 18, 36, 72):
        clock = MockClock(autojump_threshold=0)
        took = trio.run(_spread_time, entries, clock=clock)
        points.append((float(np.log2(entries)), took))
    return [fit("spread of a change to all entries, by gossip alone", "s", "doubling", points)]


CONTROL_SLOPES = (_digest_bytes, _exchanges, _polls, _state, _changes, _plans, _routes, _spread)
