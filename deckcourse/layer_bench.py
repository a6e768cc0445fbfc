"""An experiment with layer placement: how long lost hosts leave a model incomplete.

Layers are placed on the hosts of each of three mixed failure domains, a seeded draw removes some
hosts, and a policy plans rounds of loads until every layer is held again. No requests run; the time
is that of the loads and a fixed overhead per round.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from statistics import mean, quantiles
from typing import Any

from deckcourse.layers.coverage import gaps
from deckcourse.layers.hosts import Assignment, LayerHost, groups_of
from deckcourse.layers.model import AcceleratorKind, ModelSpec
from deckcourse.layers.placement import plan_group
from deckcourse.layers.slices import slice_model

__all__ = ["LAYER_POLICIES", "bench_layers"]

# A model of 80 layers on three kinds of accelerators that differ in memory and speed.
MODEL = ModelSpec(
    "m",
    layers=80,
    layer_mb=1750.0,
    load_seconds=14.0,
    cache_bytes=918_000.0,
    parallel_loads=6,
    # High enough that only memory limits how many requests a copy of the model takes.
    requests=10_000,
    kinds={
        "large": AcceleratorKind("large", 36_000.0, 3.1, 3.2),
        "middle": AcceleratorKind("middle", 21_600.0, 16.0, 8.2),
        "small": AcceleratorKind("small", 14_400.0, 15.0, 15.0),
    },
)
DOMAINS = (
    ("large",) * 3 + ("middle",) * 3 + ("small",) * 5,
    ("large",) + ("middle",) * 5 + ("small",) * 8,
    ("large",) + ("middle",) * 7 + ("small",) * 5,
)
# Between the end of a round and the orders of the next: rows arrive and a plan is written.
ROUND_OVERHEAD_SECONDS = 0.2
MAX_ROUNDS = 20

Planner = Callable[[Sequence[LayerHost]], Sequence[Assignment]]


def _plan_moving(hosts: Sequence[LayerHost]) -> Sequence[Assignment]:
    groups = groups_of(MODEL, hosts)
    return plan_group(MODEL, groups[0]) if groups else ()


def _plan_widening(hosts: Sequence[LayerHost]) -> Sequence[Assignment]:
    """Plan without relocating hosts: a gap is closed by widening ranges from host to host."""
    groups = groups_of(MODEL, hosts)
    # Hosts of an open group are not relocated.
    return plan_group(MODEL, replace(groups[0], open=True)) if groups else ()


def _plan_afresh(hosts: Sequence[LayerHost]) -> Sequence[Assignment]:
    """Slice the model in proportion to memory, regardless of the layers held."""
    ordered = sorted(hosts, key=lambda each: (each.first, each.instance))
    return slice_model(MODEL, ordered, "afresh")


LAYER_POLICIES: dict[str, Planner] = {
    "moving": _plan_moving,
    "widening": _plan_widening,
    "afresh": _plan_afresh,
}


def bench_layers(policy: str, lost: int, runs: int, seed: int) -> dict[str, Any]:
    """Remove `lost` hosts of each domain in `runs` draws; return how long the model is incomplete.

    Draws that leave every layer held are skipped. `places` is how many usual requests fit into the
    KV cache of the fullest host once every layer is held again.
    """
    seconds: list[float] = []
    request_capacities: list[float] = []
    round_counts: list[int] = []
    unrecovered = 0
    for kinds in DOMAINS:
        initial_hosts = _initial_hosts(kinds)
        random = Random(seed)
        for _ in range(runs):
            hosts = random.sample(initial_hosts, len(initial_hosts) - lost)
            if not gaps(MODEL, hosts, 1):
                continue
            elapsed_seconds, round_count, recovered_hosts = _run_until_covered(
                LAYER_POLICIES[policy], hosts
            )
            if recovered_hosts is None:
                unrecovered += 1
                continue
            seconds.append(elapsed_seconds)
            round_counts.append(round_count)
            request_capacities.append(min(map(_request_capacity, recovered_hosts)))
    return {
        "policy": policy,
        "lost": lost,
        "runs": len(seconds),
        "never": unrecovered,
        "rounds": round(mean(round_counts), 2),
        "seconds": round(mean(seconds), 2),
        "seconds_p95": round(quantiles(seconds, n=20)[-1], 2),
        "places": round(mean(request_capacities)),
        "places_p5": round(quantiles(request_capacities, n=20)[0]),
    }


def _initial_hosts(kinds: Sequence[str]) -> list[LayerHost]:
    hosts = [LayerHost(f"h{index:02}", "x", kind) for index, kind in enumerate(kinds)]
    return _apply_plan(hosts, _plan_moving(hosts))


def _apply_plan(hosts: Sequence[LayerHost], plan: Sequence[Assignment]) -> list[LayerHost]:
    planned_ranges = {each.instance: (each.first, each.end) for each in plan}
    updated_hosts = []
    for host in hosts:
        first, end = planned_ranges.get(host.instance, (host.first, host.end))
        updated_hosts.append(replace(host, first=first, end=end))
    return updated_hosts


def _run_until_covered(
    planner: Planner, hosts: list[LayerHost]
) -> tuple[float, int, list[LayerHost] | None]:
    """Return the seconds and rounds until every layer is held, and the hosts then (or None)."""
    elapsed_seconds = 0.0
    for round_count in range(MAX_ROUNDS):
        if not gaps(MODEL, hosts, 1):
            return elapsed_seconds, round_count, hosts
        plan = planner(hosts)
        if not plan:
            break
        elapsed_seconds += _plan_load_seconds(hosts, plan) + ROUND_OVERHEAD_SECONDS
        hosts = _apply_plan(hosts, plan)
    return elapsed_seconds, MAX_ROUNDS, None


def _plan_load_seconds(hosts: Sequence[LayerHost], plan: Sequence[Assignment]) -> float:
    held = {each.instance: set(range(each.first, each.end)) for each in hosts}
    layer_counts = [len(set(range(each.first, each.end)) - held[each.instance]) for each in plan]
    loading_hosts = sum(load > 0 for load in layer_counts)
    slowdown = max(1.0, loading_hosts / MODEL.parallel_loads)
    return max(layer_counts) * MODEL.load_seconds / MODEL.layers * slowdown


def _request_capacity(host: LayerHost) -> float:
    held = host.end - host.first
    return MODEL.request_capacity(host.kind, held, held) if held else float("inf")
