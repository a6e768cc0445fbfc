"""Experiments with routing, admission, recovery and rate limits on simulated engines.

They run on a virtual clock with seeded random draws.
"""

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
    UNLIMITED_TOKENS_PER_SECOND,
    ClientAccount,
    Experiment,
    RequestResult,
    fleet_specs,
    generate_arrivals,
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

RUNNER_COUNT = 40
ENTRY_COUNT = 8
MEAN_REQUEST_TOKENS = 12
REQUEST_TIMEOUT_SECONDS = 8.0
LOAD_DURATION_SECONDS = 12.0
# Tokens per second over a link within a failure domain and between two failure domains.
INTRA_DOMAIN_LINK_RATE = 2000.0
INTER_DOMAIN_LINK_RATE = INTRA_DOMAIN_LINK_RATE / 100
# Three large client accounts and seven small ones; requests of most small ones are worth more.
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
    return INTRA_DOMAIN_LINK_RATE if source == target else INTER_DOMAIN_LINK_RATE


def bench_goodput(policy: str, load: float, seed: int) -> dict[str, Any]:
    """Offer `load` times the model's flow to a site of 40 mixed runners and return the results.

    `goodput` is the worth of the requests answered in time as a share of the load's `worth_bound`.
    """
    plan = VirtualPlan(
        entries=ENTRY_COUNT,
        controllers=1,
        engines=fleet_specs(RUNNER_COUNT, seed),
        link_rate=_link_rate,
        new_entry=POLICIES[policy],
        seed=seed,
    )
    flow = run_virtual(_measure_flow, plan)
    requests = generate_arrivals(
        ACCOUNTS,
        flow * load,
        LOAD_DURATION_SECONDS,
        MEAN_REQUEST_TOKENS,
        REQUEST_TIMEOUT_SECONDS,
        seed,
    )
    flow, results = run_virtual(run_load, Experiment(plan, ACCOUNTS, requests))
    worth = sum(each.arrival.account.worth for each in results if each.in_time)
    bound = worth_bound(requests, flow, LOAD_DURATION_SECONDS)
    return {
        "policy": policy,
        "load": load,
        "seed": seed,
        "flow": round(flow, 1),
        "requests": len(requests),
        "in_time": sum(each.in_time for each in results),
        "refused": sum(each.refused for each in results),
        "goodput": round(worth / bound, 3),
        "small_accounts": _answered_share(results, "small"),
        "large_accounts": _answered_share(results, "large"),
        "refusal_seconds_p95": _p95([each.duration_seconds for each in results if each.refused]),
        "first_token_p95": _p95(
            [each.first_token_seconds for each in results if each.first_token_seconds]
        ),
    }


async def _measure_flow(plan: VirtualPlan) -> float:
    site = VirtualSite(replace(plan, new_entry=Entry))
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        flow = await serve_model(site, ACCOUNTS, UNLIMITED_TOKENS_PER_SECOND)
        nursery.cancel_scope.cancel()
    return flow


def _answered_share(results: list[RequestResult], kind: str) -> float:
    account_results = [each for each in results if each.arrival.account.name.startswith(kind)]
    return round(sum(each.in_time for each in account_results) / max(len(account_results), 1), 3)


def _p95(values: list[float]) -> float | None:
    if len(values) < 2:
        return None
    return round(quantiles(values, n=20)[-1], 3)


@dataclass(frozen=True)
class _RecoveryResult:
    """One stream interrupted by a fault: its longest pause and whether its answer was complete."""

    max_pause_seconds: float
    is_complete: bool


def bench_recovery(fault: str, runs: int, seed: int) -> dict[str, Any]:
    """Inject a fault into a stage of a running stream and return the pauses that callers saw.

    `fault` is `kill`, `freeze` or `cut` (the link between two stages).
    """
    results = [run_virtual(_run_recovery, fault, seed + number) for number in range(runs)]
    pauses = sorted(each.max_pause_seconds for each in results)
    return {
        "fault": fault,
        "runs": runs,
        "seed": seed,
        "whole": sum(each.is_complete for each in results),
        "pause_median": round(pauses[len(pauses) // 2], 3),
        "pause_p95": _p95(pauses),
        "pause_most": round(pauses[-1], 3),
    }


async def _run_recovery(fault: str, seed: int) -> _RecoveryResult:
    random = Random(seed)
    engines = tuple(
        EngineSpec(f"runner-{number}", "", DOMAINS[number % 3], layer_rate=400.0, layer_room=4)
        for number in range(12)
    )
    site = VirtualSite(VirtualPlan(engines=engines, seed=seed))
    account = ClientAccount("a", 1.0, 1.0)
    token_times: list[float] = []
    tokens: list[int] = []
    fault_after_tokens = random.randint(3, 30)

    async def sink(ready) -> None:
        token_times.extend([trio.current_time()] * len(ready))
        tokens.extend(token.token for token in ready)
        if len(tokens) - len(ready) < fault_after_tokens <= len(tokens):
            _inject_fault(site, fault, random)

    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        await serve_model(site, [account], UNLIMITED_TOKENS_PER_SECOND)
        deadline = trio.current_time() + 60
        completion = Completion("r", "a", MODEL, "a prompt of six words here", 40, deadline)
        outcome = await site.complete("entry-1", completion, sink)
        nursery.cancel_scope.cancel()
    expected = expected_tokens(DEPTH, completion.prompt, completion.max_tokens)
    is_complete = isinstance(outcome, Answered) and tuple(tokens) == expected
    gaps = [later - earlier for earlier, later in zip(token_times, token_times[1:], strict=False)]
    return _RecoveryResult(max(gaps), is_complete)


def _inject_fault(site: VirtualSite, fault: str, random: Random) -> None:
    busy = [engine for engine in site.engines.values() if engine.stream_count]
    busy.sort(key=lambda engine: engine.held[1])
    index = random.randrange(len(busy))
    victim = busy[index]
    if fault == "kill":
        victim.kill()
    elif fault == "freeze":
        victim.freeze()
    else:
        index = max(index, 1)
        site.links.cut(busy[index - 1].spec.name, busy[index].spec.name)


def bench_quota(pattern: str, demand: float, seed: int, seconds: float = 20.0) -> dict[str, Any]:
    """Send more than an account's rate limit to nine entries and return the admitted share.

    `pattern` is `evenly`, `at one entry`, or `at one entry, then at another` (switching halfway).
    The admitted share leaves out the first 5 seconds after the start and after the switch; the
    first 5 seconds after the start are reported separately.
    """
    return run_virtual(_run_quota, pattern, demand, seed, seconds)


LIMIT_TOKENS_PER_SECOND = 300.0
REQUEST_TOKENS = 5.0
SETTLE_SECONDS = 5.0
QUOTA_ENTRY_COUNT = 9


async def _run_quota(pattern: str, demand: float, seed: int, seconds: float) -> dict[str, Any]:
    site = VirtualSite(VirtualPlan(entries=QUOTA_ENTRY_COUNT, controllers=1, seed=seed))
    random = Random(seed)
    admitted: list[float] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        await trio.sleep(4)
        key_hash = "0" * 64
        account = {"kind": "account", "account": "a", "key_hash": key_hash}
        await site.intend(account | {"tokens_per_second": LIMIT_TOKENS_PER_SECOND})
        await trio.sleep(4)
        started_at = trio.current_time()
        while trio.current_time() < started_at + seconds:
            elapsed = trio.current_time() - started_at
            name = _choose_entry(pattern, elapsed, seconds, random)
            if site.processes[name].entry.refuse("a", REQUEST_TOKENS) is None:
                admitted.append(elapsed)
            await trio.sleep(random.expovariate(demand / REQUEST_TOKENS))
        nursery.cancel_scope.cancel()
    return _quota_result(pattern, demand, seed, seconds, admitted)


def _choose_entry(pattern: str, elapsed: float, seconds: float, random: Random) -> str:
    if pattern == "evenly":
        return f"entry-{random.randint(1, QUOTA_ENTRY_COUNT)}"
    use_second_entry = pattern != "at one entry" and elapsed >= seconds / 2
    return "entry-2" if use_second_entry else "entry-1"


def _quota_result(
    pattern: str, demand: float, seed: int, seconds: float, admitted: list[float]
) -> dict[str, Any]:
    phase_starts = [0.0, seconds / 2] if "then" in pattern else [0.0]
    phase_ends = [*phase_starts[1:], seconds]
    settled_count = sum(
        start + SETTLE_SECONDS <= offset < end
        for offset in admitted
        for start, end in zip(phase_starts, phase_ends, strict=True)
    )
    settled_seconds = sum(
        end - start - SETTLE_SECONDS for start, end in zip(phase_starts, phase_ends, strict=True)
    )
    early = [offset for offset in admitted if offset < SETTLE_SECONDS]
    return {
        "pattern": pattern,
        "demand": demand,
        "seed": seed,
        "limit": LIMIT_TOKENS_PER_SECOND,
        "entries": QUOTA_ENTRY_COUNT,
        "admitted_part": round(
            settled_count * REQUEST_TOKENS / settled_seconds / LIMIT_TOKENS_PER_SECOND, 3
        ),
        "admitted_part_first_5s": round(
            len(early) * REQUEST_TOKENS / SETTLE_SECONDS / LIMIT_TOKENS_PER_SECOND, 3
        ),
    }
