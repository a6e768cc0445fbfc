"""Experiments with the router's policies, on stand-ins and a virtual clock, with seeds."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from statistics import quantiles
from typing import Any

import trio

from deckcourse.baselines import LeastInFlightRouter, NoAdmission, RoundRobinRouter
from deckcourse.entry import Entry
from deckcourse.experiment import (
    DEPTH,
    DOMAINS,
    MODEL,
    UNLIMITED,
    ClientAccount,
    Experiment,
    Served,
    arrivals,
    fleet_specs,
    run_load,
    run_virtual,
    serve_model,
    worth_bound,
)
from deckcourse.node import Node
from deckcourse.outcomes import Answered
from deckcourse.pipeline import Completion
from deckcourse.standin_model import expected_tokens
from deckcourse.standin_stage import EngineSpec
from deckcourse.virtual_site import VirtualPlan, VirtualSite

__all__ = ["POLICIES", "Policy", "bench_goodput", "bench_quota", "bench_recovery"]

RUNNERS = 40
ENTRIES = 8
TOKENS = 12
PATIENCE_SECONDS = 8.0
LOAD_SECONDS = 12.0
# Tokens a second that a link carries: within a failure domain, and a hundredth between two.
FAST_LINK = 2000.0
SLOW_LINK = FAST_LINK / 100
# A site of ten client accounts, three of them large; small ones are worth more each.
ACCOUNTS = (
    *[ClientAccount(f"large-{number}", 0.25, 1.0) for number in range(3)],
    *[ClientAccount(f"small-{number}", 0.25 / 7, 1.0 + number % 3) for number in range(7)],
)

Policy = Callable[[Node], Entry]

POLICIES: dict[str, Policy] = {
    "deckcourse": Entry,
    "round-robin": lambda node: Entry(node, RoundRobinRouter(node.membership, node.random)),
    "least-in-flight": lambda node: Entry(node, LeastInFlightRouter(node.membership, node.random)),
    "no-admission": lambda node: Entry(node, new_admission=NoAdmission),
}


def _link_rate(source: str, target: str) -> float:
    return FAST_LINK if source == target else SLOW_LINK


def bench_goodput(policy: str, load: float, seed: int) -> dict[str, Any]:
    """Offer `load` times the bound to a site of 40 mixed runners; return what was answered.

    `goodput` is the worth answered in time over the most that the hardware could have answered.
    """
    plan = VirtualPlan(
        entries=ENTRIES,
        controllers=1,
        engines=fleet_specs(RUNNERS, seed),
        link_rate=_link_rate,
        new_entry=POLICIES[policy],
        seed=seed,
    )
    flow = run_virtual(_flow_of, plan)
    requests = arrivals(ACCOUNTS, flow * load, LOAD_SECONDS, TOKENS, PATIENCE_SECONDS, seed)
    flow, served = run_virtual(run_load, Experiment(plan, ACCOUNTS, requests))
    worth = sum(each.arrival.account.worth for each in served if each.in_time)
    bound = worth_bound(requests, flow, LOAD_SECONDS)
    return {
        "policy": policy,
        "load": load,
        "seed": seed,
        "flow": round(flow, 1),
        "requests": len(requests),
        "in_time": sum(each.in_time for each in served),
        "refused": sum(each.refused for each in served),
        "goodput": round(worth / bound, 3),
        "small_accounts": _answered_part(served, "small"),
        "large_accounts": _answered_part(served, "large"),
        "refusal_seconds_p95": _p95([each.seconds for each in served if each.refused]),
        "first_token_p95": _p95([each.first_token for each in served if each.first_token]),
    }


async def _flow_of(plan: VirtualPlan) -> float:
    site = VirtualSite(replace(plan, new_entry=Entry))
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        flow = await serve_model(site, ACCOUNTS, UNLIMITED)
        nursery.cancel_scope.cancel()
    return flow


def _answered_part(served: list[Served], kind: str) -> float:
    ours = [each for each in served if each.arrival.account.name.startswith(kind)]
    return round(sum(each.in_time for each in ours) / max(len(ours), 1), 3)


def _p95(values: list[float]) -> float | None:
    if len(values) < 2:
        return None
    return round(quantiles(values, n=20)[-1], 3)


@dataclass(frozen=True)
class _Recovery:
    """One stream that a fault hit: its longest pause, and whether its answer was whole."""

    pause: float
    whole: bool


def bench_recovery(fault: str, runs: int, seed: int) -> dict[str, Any]:
    """Hit a stage of a running stream; return the pauses that callers saw.

    `fault` is kill, freeze or cut (of the link between two stages).
    """
    results = [run_virtual(_recover, fault, seed + number) for number in range(runs)]
    pauses = sorted(each.pause for each in results)
    return {
        "fault": fault,
        "runs": runs,
        "seed": seed,
        "whole": sum(each.whole for each in results),
        "pause_median": round(pauses[len(pauses) // 2], 3),
        "pause_p95": _p95(pauses),
        "pause_most": round(pauses[-1], 3),
    }


async def _recover(fault: str, seed: int) -> _Recovery:
    random = Random(seed)
    engines = tuple(
        EngineSpec(f"runner-{number}", "", DOMAINS[number % 3], layer_rate=400.0, layer_room=4)
        for number in range(12)
    )
    site = VirtualSite(VirtualPlan(engines=engines, seed=seed))
    account = ClientAccount("a", 1.0, 1.0)
    times: list[float] = []
    tokens: list[int] = []
    hit_after = random.randint(3, 30)

    async def sink(ready) -> None:
        times.extend([trio.current_time()] * len(ready))
        tokens.extend(token.token for token in ready)
        if len(tokens) - len(ready) < hit_after <= len(tokens):
            _hit(site, fault, random)

    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        await serve_model(site, [account], UNLIMITED)
        deadline = trio.current_time() + 60
        completion = Completion("r", "a", MODEL, "a prompt of six words here", 40, deadline)
        outcome = await site.complete("entry-1", completion, sink)
        nursery.cancel_scope.cancel()
    expected = expected_tokens(DEPTH, completion.prompt, completion.max_tokens)
    whole = isinstance(outcome, Answered) and tuple(tokens) == expected
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    return _Recovery(max(gaps), whole)


def _hit(site: VirtualSite, fault: str, random: Random) -> None:
    busy = [engine for engine in site.engines.values() if engine.stream_count]
    busy.sort(key=lambda engine: engine.held[1])
    place = random.randrange(len(busy))
    victim = busy[place]
    if fault == "kill":
        victim.kill()
    elif fault == "freeze":
        victim.freeze()
    else:
        place = max(place, 1)
        site.links.cut(busy[place - 1].spec.name, busy[place].spec.name)


def bench_quota(pattern: str, demand: float, seed: int, seconds: float = 20.0) -> dict[str, Any]:
    """Ask for more than an account's limit over nine entries; return what was admitted.

    `pattern` is `evenly`, `at one entry`, or `at one entry, then at another` (halfway).
    The parts of the limit are counted from the 5th second after the start and after a change.
    """
    return run_virtual(_quota, pattern, demand, seed, seconds)


LIMIT = 300.0
REQUEST_TOKENS = 5.0
SETTLE_SECONDS = 5.0
QUOTA_ENTRIES = 9


async def _quota(pattern: str, demand: float, seed: int, seconds: float) -> dict[str, Any]:
    site = VirtualSite(VirtualPlan(entries=QUOTA_ENTRIES, controllers=1, seed=seed))
    random = Random(seed)
    admitted: list[float] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        await trio.sleep(4)
        key_hash = "0" * 64
        account = {"kind": "account", "account": "a", "key_hash": key_hash}
        await site.intend(account | {"tokens_per_second": LIMIT})
        await trio.sleep(4)
        began = trio.current_time()
        while trio.current_time() < began + seconds:
            elapsed = trio.current_time() - began
            name = _asked_entry(pattern, elapsed, seconds, random)
            if site.processes[name].entry.refuse("a", REQUEST_TOKENS) is None:
                admitted.append(elapsed)
            await trio.sleep(random.expovariate(demand / REQUEST_TOKENS))
        nursery.cancel_scope.cancel()
    return _quota_result(pattern, demand, seed, seconds, admitted)


def _asked_entry(pattern: str, elapsed: float, seconds: float, random: Random) -> str:
    if pattern == "evenly":
        return f"entry-{random.randint(1, QUOTA_ENTRIES)}"
    second = pattern != "at one entry" and elapsed >= seconds / 2
    return "entry-2" if second else "entry-1"


def _quota_result(
    pattern: str, demand: float, seed: int, seconds: float, admitted: list[float]
) -> dict[str, Any]:
    changes = [0.0, seconds / 2] if "then" in pattern else [0.0]
    ends = [*changes[1:], seconds]
    counted = sum(
        start + SETTLE_SECONDS <= at < end
        for at in admitted
        for start, end in zip(changes, ends, strict=True)
    )
    span = sum(end - start - SETTLE_SECONDS for start, end in zip(changes, ends, strict=True))
    first = [at for at in admitted if at < SETTLE_SECONDS]
    return {
        "pattern": pattern,
        "demand": demand,
        "seed": seed,
        "limit": LIMIT,
        "entries": QUOTA_ENTRIES,
        "admitted_part": round(counted * REQUEST_TOKENS / span / LIMIT, 3),
        "admitted_part_first_5s": round(len(first) * REQUEST_TOKENS / SETTLE_SECONDS / LIMIT, 3),
    }
