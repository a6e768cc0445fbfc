"""Cost measurements of shared state: gossip, polls, configuration, memory, plans and routes."""

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
from deckcourse.slope_fit import Slope, cpu_seconds, fit_line, min_of_repeats
from deckcourse.standin_engine import StandinEngine
from deckcourse.standin_engine_http import EngineApp
from deckcourse.standin_stage import EngineSpec
from deckcourse.virtual_site import VirtualPlan, VirtualSite

__all__ = ["CONTROL_SLOPES"]

MODEL_COUNT = 17
STAGES_PER_MODEL = 4
LAYERS_PER_STAGE = 8
DOMAINS = tuple(f"domain-{number}" for number in range(6))


def _load_report(number: int) -> EngineLoad:
    return EngineLoad(
        f"runner-{number}", 3, "model-07", 16, 24, 12, 32, 1234.5, 8, False, 17, 240, True, 0.021, 9
    )


def _digest_exchange(loads: int = 0, accounts: int = 0, leaving: int = 0) -> Exchange:
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
            tuple(row_of(_load_report(number)) for number in range(loads)),
        )
    )


def _measure_digests() -> list[Slope]:
    encode = msgspec.msgpack.Encoder().encode
    digest_parts = {
        "load report in a digest": (
            "load",
            (0, 16, 32, 64),
            lambda size: _digest_exchange(loads=size),
        ),
        "account in a digest": (
            "account",
            (0, 55, 110, 220),
            lambda size: _digest_exchange(accounts=size),
        ),
        "leaving upstream in a digest": (
            "upstream",
            (0, 25, 50, 100),
            lambda size: _digest_exchange(leaving=size),
        ),
    }
    return [
        fit_line(name, "B", per, [(size, len(encode(make(size)))) for size in sizes])
        for name, (per, sizes, make) in digest_parts.items()
    ]


async def _run_exchanges(count: int, loads: int) -> float:
    address = free_address()
    listener = PynngListener(address)
    message = _digest_exchange(loads, 50)

    async def answer(_: Exchange) -> Exchange:
        return message

    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run, answer)
        link = PynngLink(address, 5.0)
        await link.exchange(message)
        started_at = process_time()
        for _ in range(count):
            await link.exchange(message)
        cpu_used = process_time() - started_at
        link.close()
        nursery.cancel_scope.cancel()
    return cpu_used


def _measure_exchanges() -> list[Slope]:
    sizes = (50, 100, 200, 400)
    points = [
        (size, min_of_repeats(lambda size=size: trio.run(_run_exchanges, size, 16)))
        for size in sizes
    ]
    by_loads = [
        (loads, min_of_repeats(lambda loads=loads: trio.run(_run_exchanges, 100, loads)) / 100)
        for loads in (0, 16, 32, 64)
    ]
    return [
        fit_line("exchange with a peer, both sides, 16 loads", "s", "exchange", points),
        fit_line("load report in an exchange, both sides", "s", "load", by_loads),
    ]


async def _run_polls(count: int) -> float:
    spec = EngineSpec("runner-1", "", "a")
    engine = StandinEngine(spec, lambda hop: None)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve, EngineApp(engine), "127.0.0.1:0", stop)
        async with kept_pool() as pool:
            upstream = HttpEngine(pool, "runner-1", address)
            await upstream.load()
            started_at = process_time()
            for _ in range(count):
                await upstream.load()
            cpu_used = process_time() - started_at
        nursery.cancel_scope.cancel()
    return cpu_used


def _measure_polls() -> list[Slope]:
    sizes = (50, 100, 200, 400)
    points = [
        (size, min_of_repeats(lambda size=size: trio.run(_run_polls, size))) for size in sizes
    ]
    return [fit_line("poll of an upstream, both sides", "s", "poll", points)]


def _placements(runners: int) -> tuple[Placement, ...]:
    return tuple(
        Placement(
            f"runner-{number}",
            3,
            f"10.0.{number // 256}.{number % 256}:9000",
            DOMAINS[number % 6],
            f"model-{number % MODEL_COUNT:02}",
            LAYERS_PER_STAGE * (number // MODEL_COUNT % STAGES_PER_MODEL),
            LAYERS_PER_STAGE * (number // MODEL_COUNT % STAGES_PER_MODEL) + LAYERS_PER_STAGE,
        )
        for number in range(runners)
    )


def _configuration(runners: int, accounts: int = 220) -> Configuration:
    weights = {
        f"model-{model:02}": tuple(
            FlowWeight(f"model-{model:02}", f"runner-{number}", f"runner-{number + 1}", 12.5)
            for number in range(2 * runners // MODEL_COUNT)
        )
        for model in range(MODEL_COUNT)
    }
    specs = {name: ModelSpec(name, STAGES_PER_MODEL * LAYERS_PER_STAGE, 100.0) for name in weights}
    accounts_by_name = {
        f"account-{n}": Account(f"account-{n}", f"{n:064x}", 1e4) for n in range(accounts)
    }
    placements = {each.instance: each for each in _placements(runners)}
    return Configuration(1, specs, placements, weights, frozenset(), accounts_by_name, {})


def _allocated_bytes(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    retained = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return float(size)


def _membership_view(runners: int) -> Membership:
    membership = Membership()
    for number in range(runners):
        membership.see_load(_load_report(number), 0.0)
    return membership


def _measure_state() -> list[Slope]:
    runners = (300, 600, 1200, 2300)
    accounts = (55, 110, 220, 440)
    by_runners = [
        (size, _allocated_bytes(lambda size=size: _configuration(size))) for size in runners
    ]
    reports = [
        (size, _allocated_bytes(lambda size=size: _membership_view(size))) for size in runners
    ]
    by_accounts = [
        (size, _allocated_bytes(lambda size=size: _configuration(10, accounts=size)))
        for size in accounts
    ]
    encoded = [(size, len(msgspec.json.encode(_configuration(size)))) for size in runners]
    return [
        fit_line("configuration in memory", "B", "runner", by_runners),
        fit_line("load reports in memory", "B", "runner", reports),
        fit_line("accounts in memory", "B", "account", by_accounts),
        fit_line("snapshot of the configuration", "B", "runner", encoded),
    ]


def _apply_changes(base: Configuration, count: int) -> None:
    holder = ConfigurationHolder()
    holder.replace(base)
    placement = next(iter(base.placements.values()))
    for version in range(2, count + 2):
        holder.apply(Change(version, "p", placements=(placement,)))


def _measure_changes() -> list[Slope]:
    runners = (300, 600, 1200, 2300)
    by_runners = []
    for size in runners:
        base = _configuration(size)
        cpu_used = min_of_repeats(lambda base=base: cpu_seconds(lambda: _apply_changes(base, 200)))
        by_runners.append((size, cpu_used / 200))
    places = _placements(64)
    change = Change(2, "0123456789ab")
    sizes = [
        (count, len(msgspec.json.encode(replace(change, placements=places[:count]))))
        for count in (1, 4, 16, 64)
    ]
    return [
        fit_line("apply a change, by runners placed", "s", "runner", by_runners),
        fit_line("a change's row", "B", "placement", sizes),
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
                LAYERS_PER_STAGE,
            )
            for number in range(runners)
        }
    )


def _plan_once(runners: int) -> None:
    configuration = _configuration(runners * 9 // 10)
    draft_plan(configuration, _fleet(runners), HoldCapacity("model-00", 1e9))


def _compute_all_flows(runners: int) -> None:
    configuration = _configuration(runners)
    fleet = _fleet(runners)
    for model in configuration.models:
        fleet.weights(configuration, model)


def _measure_plans() -> list[Slope]:
    runners = (300, 600, 1200, 2300)
    one_intent = [
        (size, min_of_repeats(lambda size=size: cpu_seconds(lambda: _plan_once(size))))
        for size in runners
    ]
    all_models = [
        (size, min_of_repeats(lambda size=size: cpu_seconds(lambda: _compute_all_flows(size))))
        for size in runners
    ]
    return [
        fit_line("plan of one intent, by runners", "s", "runner", one_intent),
        fit_line("flow of all 17 models, by runners", "s", "runner", all_models),
    ]


def _measure_routes() -> list[Slope]:
    points = []
    for runners in (300, 600, 1200, 2300):
        configuration = _configuration(runners)
        membership = Membership()
        for placement in configuration.placements.values():
            load = replace(
                _load_report(0),
                instance=placement.instance,
                model=placement.model,
                first=placement.first,
                end=placement.end,
            )
            membership.see_load(load, 0.0)
        router = Router(membership, Random(1))

        def choose(router=router, configuration=configuration) -> None:
            for _ in range(100):
                router.choose(configuration, "model-00", 1.0)

        points.append((runners, min_of_repeats(lambda choose=choose: cpu_seconds(choose)) / 100))
    return [fit_line("choice of a route, by runners in the configuration", "s", "runner", points)]


async def _propagation_seconds(entries: int) -> float:
    site = VirtualSite(VirtualPlan(entries=entries, controllers=1, seed=entries))
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        await trio.sleep(4)
        # During a platform outage the change can propagate only by gossip.
        await site.intend({"kind": "service", "service": "a", "repeatable": True})
        await trio.sleep(4)
        controller = next(iter(site.controllers))
        site.platform_out(True)
        version = controller.node.holder.version + 1
        started_at = trio.current_time()
        controller.node.holder.apply(Change(version, "p"))
        while any(each.node.holder.version < version for each in site.entries):
            await trio.sleep(0.02)
        elapsed_seconds = trio.current_time() - started_at
        nursery.cancel_scope.cancel()
    return elapsed_seconds


def _measure_propagation() -> list[Slope]:
    points = []
    for entries in (9, 18, 36, 72):
        clock = MockClock(autojump_threshold=0)
        elapsed_seconds = trio.run(_propagation_seconds, entries, clock=clock)
        points.append((float(np.log2(entries)), elapsed_seconds))
    return [fit_line("spread of a change to all entries, by gossip alone", "s", "doubling", points)]


CONTROL_SLOPES = (
    _measure_digests,
    _measure_exchanges,
    _measure_polls,
    _measure_state,
    _measure_changes,
    _measure_plans,
    _measure_routes,
    _measure_propagation,
)
