"""An experiment with the placement of layers: how long a lost upstream leaves a model broken.

Hosts of three mixed failure domains are placed, some are lost by a seed, and a policy plans until
every layer is held again. Nothing else goes on; the time is that of the loads.
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

# A model of 80 layers on three kinds of accelerators of different memory and speed.
MODEL = ModelSpec(
    "m",
    layers=80,
    layer_mb=1750.0,
    load_seconds=14.0,
    cache_bytes=918_000.0,
    parallel_loads=6,
    # So many requests may begin at a host that memory alone bounds what a copy takes.
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
# From the end of one round to the orders of the next, seconds: rows arrive and a plan is written.
ROUND_SECONDS = 0.2
MOST_ROUNDS = 20

Planner = Callable[[Sequence[LayerHost]], Sequence[Assignment]]


def _moving(hosts: Sequence[LayerHost]) -> Sequence[Assignment]:
    groups = groups_of(MODEL, hosts)
    return plan_group(MODEL, groups[0]) if groups else ()


def _widening(hosts: Sequence[LayerHost]) -> Sequence[Assignment]:
    """Plan as before hosts were moved: ranges are widened from host to host."""
    groups = groups_of(MODEL, hosts)
    # In a group that counts as open, nobody is taken from its place.
    return plan_group(MODEL, replace(groups[0], open=True)) if groups else ()


def _afresh(hosts: Sequence[LayerHost]) -> Sequence[Assignment]:
    """Cut the model anew in proportion to memory, whoever holds what."""
    ordered = sorted(hosts, key=lambda each: (each.first, each.instance))
    return slice_model(MODEL, ordered, "afresh")


LAYER_POLICIES: dict[str, Planner] = {
    "moving": _moving,
    "widening": _widening,
    "afresh": _afresh,
}


def bench_layers(policy: str, lost: int, runs: int, seed: int) -> dict[str, Any]:
    """Lose hosts of each domain in `runs` draws; return how long the model was broken.

    `places` is how many usual requests the fullest host leaves room for once the model is whole.
    """
    seconds: list[float] = []
    places: list[float] = []
    rounds: list[int] = []
    never = 0
    for kinds in DOMAINS:
        placed = _placed(kinds)
        random = Random(seed)
        for _ in range(runs):
            hosts = random.sample(placed, len(placed) - lost)
            if not gaps(MODEL, hosts, 1):
                continue
            taken, count, after = _until_whole(LAYER_POLICIES[policy], hosts)
            if after is None:
                never += 1
                continue
            seconds.append(taken)
            rounds.append(count)
            places.append(min(map(_places, after)))
    return {
        "policy": policy,
        "lost": lost,
        "runs": len(seconds),
        "never": never,
        "rounds": round(mean(rounds), 2),
        "seconds": round(mean(seconds), 2),
        "seconds_p95": round(quantiles(seconds, n=20)[-1], 2),
        "places": round(mean(places)),
        "places_p5": round(quantiles(places, n=20)[0]),
    }


def _placed(kinds: Sequence[str]) -> list[LayerHost]:
    hosts = [LayerHost(f"h{index:02}", "x", kind) for index, kind in enumerate(kinds)]
    return _carried_out(hosts, _moving(hosts))


def _carried_out(hosts: Sequence[LayerHost], plan: Sequence[Assignment]) -> list[LayerHost]:
    wanted = {each.instance: (each.first, each.end) for each in plan}
    found = []
    for host in hosts:
        first, end = wanted.get(host.instance, (host.first, host.end))
        found.append(replace(host, first=first, end=end))
    return found


def _until_whole(
    planner: Planner, hosts: list[LayerHost]
) -> tuple[float, int, list[LayerHost] | None]:
    """Return the time and the rounds until every layer is held, and who holds what then."""
    taken = 0.0
    for count in range(MOST_ROUNDS):
        if not gaps(MODEL, hosts, 1):
            return taken, count, hosts
        plan = planner(hosts)
        if not plan:
            break
        taken += _load_seconds(hosts, plan) + ROUND_SECONDS
        hosts = _carried_out(hosts, plan)
    return taken, MOST_ROUNDS, None


def _load_seconds(hosts: Sequence[LayerHost], plan: Sequence[Assignment]) -> float:
    held = {each.instance: set(range(each.first, each.end)) for each in hosts}
    loads = [len(set(range(each.first, each.end)) - held[each.instance]) for each in plan]
    busy = sum(load > 0 for load in loads)
    slower = max(1.0, busy / MODEL.parallel_loads)
    return max(loads) * MODEL.load_seconds / MODEL.layers * slower


def _places(host: LayerHost) -> float:
    held = host.end - host.first
    return MODEL.request_capacity(host.kind, held, held) if held else float("inf")
