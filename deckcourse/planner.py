"""From an intent to a plan: which runners carry which layers, and what that changes."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from math import ceil

from deckcourse.configuration import (
    Account,
    Change,
    Configuration,
    ModelSpec,
    Placement,
    ServiceSpec,
    apply_change,
    incarnation_name,
)
from deckcourse.flow import LinkRate, model_flow
from deckcourse.intents import (
    HoldCapacity,
    Intent,
    Retire,
    ServeModel,
    SetAccount,
    SetService,
    StopModel,
)

__all__ = ["Draft", "Fleet", "PlanRefused", "Runner", "draft_plan", "heal"]

# Replicas of each stage where runners are there, so that a lost one has a stand-by.
LEAST_REPLICAS = 2


@dataclass(frozen=True)
class Runner:
    """A runner that work can be placed on; `streams` are those that it holds now."""

    name: str
    incarnation: int
    address: str
    domain: str
    layer_rate: float
    layer_room: int
    streams: int = 0


@dataclass(frozen=True)
class Fleet:
    """The live runners by name, and what the links between failure domains carry."""

    runners: dict[str, Runner]
    link_rate: LinkRate = field(default=lambda source, target: 1e6)

    def rate(self, place: Placement) -> float:
        """Return the tokens a second that a placement can do, 0 for one that is gone."""
        runner = self.runners.get(place.instance)
        if runner is None or runner.incarnation != place.incarnation:
            return 0.0
        return runner.layer_rate / (place.end - place.first)

    def capacity(self, configuration: Configuration, model: str) -> float:
        """Return the flow that a model's placements can carry."""
        return self._flow(configuration, model)[0]

    def weights(self, configuration: Configuration, model: str):
        """Return the weights for routing a model."""
        return self._flow(configuration, model)[1]

    def _flow(self, configuration: Configuration, model: str):
        spec = configuration.models.get(model)
        if spec is None:
            return 0.0, ()
        places = configuration.placed(model)
        rates = {each.instance: self.rate(each) for each in places}
        return model_flow(places, spec.depth, rates, self.link_rate)


@dataclass(frozen=True)
class Draft:
    """A plan before it has a name: the change, and what an operator needs to judge it."""

    change: Change
    steps: tuple[str, ...]
    capacity_before: float
    capacity_lowest: float
    capacity_after: float
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True)
class PlanRefused:
    """The intent can't be planned; the message names cause and remedy."""

    message: str


def draft_plan(configuration: Configuration, fleet: Fleet, intent: Intent) -> Draft | PlanRefused:
    """Plan an intent on the configuration as it stands."""
    base = Change(configuration.version + 1, plan="")
    match intent:
        case ServeModel(model, depth, capacity):
            return _serve(configuration, fleet, ModelSpec(model, depth, capacity))
        case HoldCapacity(model, capacity):
            spec = configuration.models.get(model)
            if spec is None:
                return PlanRefused(f"model {model} is not served; state a serve intent first")
            return _serve(configuration, fleet, replace(spec, capacity=capacity))
        case StopModel(model):
            return _stop(configuration, fleet, model)
        case Retire(instance):
            return _retire(configuration, fleet, instance)
        case SetAccount(name, key_hash, rate, worth):
            change = replace(base, accounts=(Account(name, key_hash, rate, worth),))
            step = f"let client account {name} use {rate:g} tokens a second, worth {worth:g}"
            return Draft(change, (step,), 0.0, 0.0, 0.0)
        case SetService(name, repeatable):
            change = replace(base, services=(ServiceSpec(name, repeatable),))
            kind = "may be repeated" if repeatable else "run at most once"
            return Draft(change, (f"route to service {name}, calls {kind}",), 0.0, 0.0, 0.0)


def heal(configuration: Configuration, fleet: Fleet, gone: frozenset[str]) -> Change | None:
    """Return the change that restores what is confirmed, None where nothing is to be done.

    Args:
      configuration: what is confirmed.
      fleet: the runners that can be given work.
      gone: the placed instances that are lost, or that are leaving and hold no stream any more.
    """
    change = Change(configuration.version + 1, "heal", drop_placements=tuple(sorted(gone)))
    after = apply_change(configuration, change)
    added: list[Placement] = []
    for spec in after.models.values():
        placed, _ = _place(after, fleet, spec, spec.capacity)
        added += placed
        after = replace(
            after, placements=after.placements | {each.instance: each for each in placed}
        )
    if not gone and not added:
        return None
    return _weighted(configuration, fleet, replace(change, placements=tuple(added)))


def _serve(configuration: Configuration, fleet: Fleet, spec: ModelSpec) -> Draft | PlanRefused:
    known = configuration.models.get(spec.name)
    if known is not None and known.depth != spec.depth:
        return PlanRefused(
            f"model {spec.name} has {known.depth} layers here, not {spec.depth}; "
            "stop it first or give the depth that it has"
        )
    change = Change(configuration.version + 1, plan="", models=(spec,))
    added, reached = _place(configuration, fleet, spec, spec.capacity)
    if not configuration.placed(spec.name) and not added:
        return PlanRefused(
            f"no set of free runners covers {spec.depth} layers; add runners or retire a model"
        )
    dropped = () if added else _surplus(configuration, fleet, spec)
    change = replace(change, placements=tuple(added), drop_placements=dropped)
    warnings = ()
    if reached < spec.capacity:
        warnings = (f"only {reached:g} of {spec.capacity:g} tokens a second can be held",)
    return _draft(configuration, fleet, change, spec.name, warnings)


def _surplus(configuration: Configuration, fleet: Fleet, spec: ModelSpec) -> tuple[str, ...]:
    """Return placements that the lower capacity can do without."""
    kept = list(configuration.placed(spec.name))
    dropped: list[str] = []
    for place in sorted(kept, key=fleet.rate):
        rest = [each for each in kept if each != place]
        stages = _stage_rates(rest, fleet)
        replicas = [each for each in rest if each.first == place.first]
        enough = stages.get((place.first, place.end), 0.0) >= spec.capacity
        if enough and len(replicas) >= LEAST_REPLICAS:
            kept = rest
            dropped.append(place.instance)
    return tuple(dropped)


def _stop(configuration: Configuration, fleet: Fleet, model: str) -> Draft | PlanRefused:
    if model not in configuration.models:
        return PlanRefused(f"model {model} is not served; nothing to stop")
    dropped = tuple(each.instance for each in configuration.placed(model))
    change = Change(
        configuration.version + 1, plan="", drop_models=(model,), drop_placements=dropped
    )
    return _draft(configuration, fleet, change, model, ())


def _retire(configuration: Configuration, fleet: Fleet, instance: str) -> Draft | PlanRefused:
    runner = fleet.runners.get(instance)
    place = configuration.placements.get(instance)
    if runner is None and place is None:
        return PlanRefused(f"instance {instance} is not known; `deckcourse status` lists them")
    incarnation = runner.incarnation if runner is not None else place.incarnation
    others = {name: each for name, each in fleet.runners.items() if name != instance}
    rest = replace(fleet, runners=others)
    change = Change(
        configuration.version + 1, plan="", retire=(incarnation_name(instance, incarnation),)
    )
    if place is None:
        return _draft(configuration, rest, change, "", ())
    # The placement stays until its streams are done: the healer drops it then.
    spec = configuration.models[place.model]
    without = apply_change(configuration, replace(change, drop_placements=(instance,)))
    added, reached = _place(without, rest, spec, spec.capacity)
    change = replace(change, placements=tuple(added))
    warnings = ()
    if reached < spec.capacity:
        warnings = (f"only {reached:g} of {spec.capacity:g} tokens a second stay held",)
    return _draft(configuration, rest, change, place.model, warnings)


def _draft(
    configuration: Configuration, fleet: Fleet, change: Change, model: str, warnings
) -> Draft:
    before = fleet.capacity(configuration, model)
    change = _weighted(configuration, fleet, change)
    after_change = apply_change(configuration, change)
    after = fleet.capacity(after_change, model)
    # New parts are loaded before old ones are let go, so the lowest point is the lower end.
    return Draft(change, _steps(change), before, min(before, after), after, warnings)


def _steps(change: Change) -> tuple[str, ...]:
    loads = [
        f"load {each.model} layers {each.first}-{each.end} on {each.instance} ({each.domain})"
        for each in change.placements
    ]
    retired = [f"give {name} no new work, unload it once idle" for name in change.retire]
    dropped = [f"unload {name} once its streams are done" for name in change.drop_placements]
    stopped = [f"stop taking requests for {name}" for name in change.drop_models]
    return (*stopped, *loads, *retired, *dropped)


def _weighted(configuration: Configuration, fleet: Fleet, change: Change) -> Change:
    """Add the routing weights of the models that the change touches."""
    after = apply_change(configuration, change)
    touched = {each.model for each in change.placements}
    retired = (name.rpartition("/")[0] for name in change.retire)
    touched |= {
        configuration.placements[name].model
        for name in (*change.drop_placements, *retired)
        if name in configuration.placements
    }
    weights = [each for model in sorted(touched) for each in fleet.weights(after, model)]
    return replace(change, weights=tuple(weights))


def _place(
    configuration: Configuration, fleet: Fleet, spec: ModelSpec, capacity: float
) -> tuple[list[Placement], float]:
    """Choose placements to add so that every stage reaches the capacity.

    Returns:
      The placements, and the capacity of the weakest stage with them.
    """
    placed = [each for each in configuration.placed(spec.name) if fleet.rate(each) > 0.0]
    placed = [
        each for each in placed if not configuration.is_retired(each.instance, each.incarnation)
    ]
    free = _free_runners(configuration, fleet)
    cuts = _cuts(configuration.placed(spec.name), spec.depth)
    options = [cuts] if cuts else _partitions(spec.depth, free)
    best: tuple[list[Placement], float] = ([], 0.0)
    for ranges in options:
        found = _fill(spec, ranges, placed, free, fleet, capacity)
        if _better(found, best, capacity):
            best = found
    return best


def _better(found, best, capacity: float) -> bool:
    """More of the capacity first, then fewer runners for it."""
    found_rate, best_rate = min(found[1], capacity), min(best[1], capacity)
    if found_rate != best_rate:
        return found_rate > best_rate
    return len(found[0]) < len(best[0])


def _free_runners(configuration: Configuration, fleet: Fleet) -> list[Runner]:
    return [
        runner
        for name, runner in sorted(fleet.runners.items())
        if name not in configuration.placements
        and not configuration.is_retired(name, runner.incarnation)
    ]


def _cuts(placed: Sequence[Placement], depth: int) -> list[tuple[int, int]]:
    ranges = sorted({(each.first, each.end) for each in placed})
    covered = sum(end - first for first, end in ranges)
    return ranges if covered == depth else []


def _partitions(depth: int, free: Iterable[Runner]) -> list[list[tuple[int, int]]]:
    """Return the partitions into equal ranges that some kind of free runner has room for."""
    counts = sorted({ceil(depth / min(depth, each.layer_room)) for each in free})
    return [
        [(depth * part // count, depth * (part + 1) // count) for part in range(count)]
        for count in counts
    ]


def _stage_rates(placed: Iterable[Placement], fleet: Fleet) -> dict[tuple[int, int], float]:
    rates: dict[tuple[int, int], float] = {}
    for each in placed:
        layers = (each.first, each.end)
        rates[layers] = rates.get(layers, 0.0) + fleet.rate(each)
    return rates


def _fill(
    spec: ModelSpec,
    ranges: Sequence[tuple[int, int]],
    placed: Sequence[Placement],
    free: Sequence[Runner],
    fleet: Fleet,
    capacity: float,
) -> tuple[list[Placement], float]:
    """Give a runner to the weakest stage until each is strong enough or none fits."""
    added: list[Placement] = []
    left = list(free)
    full: set[tuple[int, int]] = set()
    while len(full) < len(ranges):
        everything = [*placed, *added]
        rates = _stage_rates(everything, fleet)
        weakest = min(
            (each for each in ranges if each not in full), key=lambda each: rates.get(each, 0.0)
        )
        replicas = [each for each in everything if (each.first, each.end) == weakest]
        if rates.get(weakest, 0.0) >= capacity and len(replicas) >= LEAST_REPLICAS:
            full.add(weakest)
            continue
        runner = _pick(weakest, replicas, left)
        if runner is None:
            full.add(weakest)
            continue
        left.remove(runner)
        added.append(
            Placement(
                runner.name, runner.incarnation, runner.address, runner.domain, spec.name, *weakest
            )
        )
    rates = _stage_rates([*placed, *added], fleet)
    lowest = min(rates.get(each, 0.0) for each in ranges)
    return (added, lowest) if lowest > 0.0 else ([], 0.0)


def _pick(
    layers: tuple[int, int], replicas: Sequence[Placement], left: Sequence[Runner]
) -> Runner | None:
    """Pick the fastest fitting runner of the failure domain that the stage uses least."""
    fitting = [each for each in left if each.layer_room >= layers[1] - layers[0]]
    used = [each.domain for each in replicas]
    return min(
        fitting,
        key=lambda each: (used.count(each.domain), -each.layer_rate, each.name),
        default=None,
    )
