"""Layouts of a group's hosts, and the choice of the one that serves the most streams.

Each function lays a model out over hosts in another way. Which is best depends on how much the
hosts differ in speed and memory, so all are computed and compared by the same measure.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace
from heapq import heapreplace
from itertools import accumulate, chain

from deckcourse.decisions.interruptions import (
    NO_DEMAND,
    MemoryTarget,
    PlacementDemand,
    SharedPath,
    copy_value,
    layout_value,
    memory_target,
)
from deckcourse.decisions.layout_rate import (
    HeldLayers,
    copy_rate,
    memory_capacity,
    survival_probability,
)
from deckcourse.decisions.path_draw import COST_EXPONENT
from deckcourse.layers.hosts import MAX_FILL, PREFERRED_FILL, Assignment, Group, LayerHost
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.slices import slice_sizes

__all__ = [
    "LAYOUT_FUNCTIONS",
    "Copy",
    "Layout",
    "best_layout",
    "by_speed",
    "interleaved",
    "layout_rate",
    "target_of",
]

Copy = tuple[Assignment, ...]
Layout = tuple[Copy, ...]
LayoutFunction = Callable[..., Layout]

# Maximum share of a host's memory for weights in a first placement, where the model fits: the rest
# is for requests and for layers of lost neighbours. On a day with many losses 20 of 1,000 requests
# were refused in the end with 0.92, two with 0.70 (one run each).
FIRST_PLACEMENT_FILL = 0.70
# Maximum number of additional first stages of a copy: each is missing from the rest of the copy,
# but with two of them a copy of the smallest kinds admits three times as many requests.
MAX_EXTRA_FIRST_STAGES = 2
# Minimum relative gain of a less simple layout: the measure is no more exact than that.
MIN_GAIN = 0.05
# Layers are distributed in a copy in proportion to memory times speed to one of these powers, so
# that fast hosts may get more. The fuller a fast host, the shorter but fewer are its streams.
SPEED_POWERS = (0.0, 0.5, 1.0)
# Number of points at which the hosts of a group, ordered by speed, may be split into copies, in
# addition to kind changes; the minimum in total and the number for each copy that fits into memory.
MIN_SPLIT_POINTS = 12
SPLIT_POINTS_PER_COPY = 4
# Maximum memory of a copy, in multiples of its weights: its first stages can't admit requests to
# fill more, so the search skips it. With 3 the layout found for a domain of 35 hosts serves 34
# streams a second, with 4 it serves 41 (by the measure).
MAX_MEMORY_PER_COPY = 4.0
# Hosts beyond the fewest that hold a copy at the preferred fill, up to which its slices are tried.
MAX_MORE_HOSTS = 1


def best_layout(model: ModelSpec, group: Group, demand: PlacementDemand = NO_DEMAND) -> Layout:
    """Return the layout of empty hosts that serves the most streams, empty if none fits.

    With a weight for interruptions, memory that the demand doesn't need holds further copies or
    larger slices, so that the loss of hosts interrupts fewer streams.
    """
    target = target_of(model, group, demand)
    if target is not None:
        layout = _best_at_demand(model, group, target, demand)
        if layout:
            return layout
    for fill in (FIRST_PLACEMENT_FILL, MAX_FILL):
        layouts = [layout_function(model, group, fill) for layout_function in LAYOUT_FUNCTIONS]
        best = max(layouts, key=lambda each: layout_rate(model, group, each))
        if best:
            break
    return best


def target_of(model: ModelSpec, group: Group, demand: PlacementDemand) -> MemoryTarget | None:
    """Return how a group's memory is to be divided; see `memory_target`."""
    memory = [model.kind_of(each.kind).memory_mb for each in group.hosts]
    return memory_target(model, memory, demand)


def _best_at_demand(
    model: ModelSpec, group: Group, target: MemoryTarget, demand: PlacementDemand
) -> Layout:
    """Return the layout with the highest value at the demand, empty if none fits."""
    group = replace(group, copies=target.copies)
    planner = _DemandPlanner(model, len(group.hosts), target, demand)
    layouts = []
    for layout_function in LAYOUT_FUNCTIONS:
        layout = layout_function(model, group, target.fill, planner)
        used = {each.instance for copy in layout for each in copy}
        further = planner.assign([each for each in group.hosts if each.instance not in used])
        layouts.append((*layout, further) if further else layout)
    return max(layouts, key=lambda each: _layout_value(model, group, each, target, demand))


def _layout_value(
    model: ModelSpec, group: Group, layout: Layout, target: MemoryTarget, demand: PlacementDemand
) -> float:
    """Return the value of a layout at the demand; see `layout_value`."""
    return layout_value(
        model,
        _held_layers(group, layout),
        _shared_paths(model, group, layout),
        [each.kind for each in group.hosts],
        target,
        demand,
    )


def _shared_paths(model: ModelSpec, group: Group, layout: Layout) -> list[SharedPath]:
    """Return the paths over a layout, with their shares of the running streams.

    Requests choose a path in proportion to its cost to the power of -`COST_EXPONENT`, and occupy it
    in proportion to its cost.
    """
    ranges = {each.instance: (each.first, each.end) for copy in layout for each in copy}
    hosts = [
        replace(each, first=ranges[each.instance][0], end=ranges[each.instance][1])
        for each in group.hosts
        if each.instance in ranges
    ]
    kinds = {each.instance: each.kind for each in hosts}
    paths = PathSet(model, hosts).all_paths()
    weights = [each.cost ** (1.0 - COST_EXPONENT) for each in paths]
    total = sum(weights)
    return [
        SharedPath(
            weight / total,
            tuple(HeldLayers(kinds[each.instance], each.first, each.end) for each in path.stages),
        )
        for weight, path in zip(weights, paths, strict=True)
    ]


def _held_layers(group: Group, layout: Layout) -> list[list[HeldLayers]]:
    kinds = {each.instance: each.kind for each in group.hosts}
    return [[HeldLayers(kinds[each.instance], each.first, each.end) for each in c] for c in layout]


def layout_rate(model: ModelSpec, group: Group, layout: Layout) -> float:
    """Return the streams a second that a layout serves, averaged over host losses.

    Args:
      model: the model.
      group: the group whose hosts hold it.
      layout: the assignments of each copy; without copies the rate is 0.
    """
    copies = _held_layers(group, layout)
    return sum(_expected_rate(model, copy, len(group.hosts)) for copy in copies)


def _expected_rate(model: ModelSpec, copy: Sequence[HeldLayers], group_size: int) -> float:
    return copy_rate(model, copy) * survival_probability(len(copy), group_size)


class _CopyPlanner:
    """Computes the best copy over given hosts; hosts of the same kinds get the same layers.

    Args:
      model: the model.
      group_size: the number of hosts in the group.
      fill: the maximum share of a host's memory that its slice takes.
    """

    def __init__(self, model: ModelSpec, group_size: int, fill: float) -> None:
        self._model = model
        self._group_size = group_size
        self._fill = fill
        self._cache: dict[tuple[str, ...], tuple[float, tuple[HeldLayers, ...]]] = {}

    def rate(self, hosts: Sequence[LayerHost]) -> float:
        """Return the expected rate of the best copy over some hosts, 0 if the model doesn't fit."""
        return self._best(_sorted_by_memory(self._model, hosts))[0]

    def assign(self, hosts: Sequence[LayerHost]) -> Copy:
        """Return the assignments of the best copy over some hosts, empty if it doesn't fit."""
        ordered = _sorted_by_memory(self._model, hosts)
        _, held = self._best(ordered)
        return tuple(
            Assignment(host.instance, each.first, each.end, "first placement")
            for host, each in zip(ordered, held, strict=False)
            if each.layers
        )

    def _best(self, ordered: Sequence[LayerHost]) -> tuple[float, tuple[HeldLayers, ...]]:
        kinds = tuple(each.kind for each in ordered)
        if kinds not in self._cache:
            self._cache[kinds] = self._search(kinds)
        return self._cache[kinds]

    def _search(self, kinds: tuple[str, ...]) -> tuple[float, tuple[HeldLayers, ...]]:
        """Return the expected rate of the best copy over hosts of given kinds, and their layers.

        The smallest hosts may be first stages only; the model is sliced over the rest.
        """
        model = self._model
        best: tuple[float, tuple[HeldLayers, ...]] = (0.0, ())
        for extra_stages in range(MAX_EXTRA_FIRST_STAGES + 1):
            if best[1] and extra_stages * model.requests >= memory_capacity(model, best[1]):
                break
            first_stages = tuple(_first_stage(model, each) for each in kinds[:extra_stages])
            for power in SPEED_POWERS:
                sliced = self._sliced(kinds[extra_stages:], power)
                if not sliced:
                    continue
                copy = (*first_stages, *sliced)
                rate = _expected_rate(
                    model, [each for each in copy if each.layers], self._group_size
                )
                if rate > best[0] * (1.0 + MIN_GAIN):
                    best = rate, copy
        return best

    def _sliced(self, kinds: Sequence[str], power: float) -> list[HeldLayers]:
        """Return the layers of each host of one copy, empty if the model doesn't fit."""
        order = _evenly_mixed(kinds)
        sizes = slice_sizes(self._model, [kinds[index] for index in order], power, self._fill)
        held = [HeldLayers(kind, 0, 0) for kind in kinds] if sizes else []
        start = 0
        for index, size in zip(order, sizes, strict=False):
            held[index] = HeldLayers(kinds[index], start, start + size)
            start += size
        return held


class _DemandPlanner(_CopyPlanner):
    """Computes the best copies at the demand, which needn't use all of the given hosts.

    Fewer hosts at the preferred fill give shorter paths; the smallest of the others are further
    first stages.

    Args:
      model: the model.
      group_size: the number of hosts in the group.
      target: how the group's memory is divided.
      demand: the demand on the group.
    """

    def __init__(
        self, model: ModelSpec, group_size: int, target: MemoryTarget, demand: PlacementDemand
    ) -> None:
        super().__init__(model, group_size, target.fill)
        self._target = target
        self._demand = demand

    def _search(self, kinds: tuple[str, ...]) -> tuple[float, tuple[HeldLayers, ...]]:
        """Return the value of the best copy over hosts of given kinds, and their layers."""
        best: tuple[float, tuple[HeldLayers, ...]] = (0.0, ())
        fewest = self._fewest_hosts(kinds)
        for count in range(fewest, min(fewest + MAX_MORE_HOSTS, len(kinds)) + 1):
            others = kinds[: len(kinds) - count]
            unused = max(0, len(others) - MAX_EXTRA_FIRST_STAGES)
            empty = tuple(HeldLayers(each, 0, 0) for each in others[:unused])
            for power in SPEED_POWERS:
                sliced = self._sliced(kinds[len(others) :], power)
                first_stages = self._first_stages(others[unused:], sliced)
                copy = (*empty, *first_stages, *sliced)
                value = copy_value(
                    self._model,
                    [each for each in copy if each.layers],
                    self._group_size,
                    self._target,
                    self._demand,
                )
                if value > best[0] * (1.0 + MIN_GAIN):
                    best = value, copy
        return best

    def _first_stages(
        self, kinds: Sequence[str], sliced: Sequence[HeldLayers]
    ) -> tuple[HeldLayers, ...]:
        """Return the layers of hosts that are first stages only.

        They hold no more than the first slice, and as much of it as they can: where they hold less,
        their paths also pass its host.
        """
        end = max((each.end for each in sliced if each.first == 0), default=0)
        return tuple(
            HeldLayers(each, 0, min(end, self._model.max_layers(each, self._fill)))
            for each in kinds
        )

    def _fewest_hosts(self, kinds: tuple[str, ...]) -> int:
        """Return how many of the largest hosts hold the model, more than all if they don't."""
        layers = 0
        for count, kind in enumerate(reversed(kinds), 1):
            layers += self._model.max_layers(kind, self._fill)
            if layers >= self._model.layers:
                return count
        return len(kinds) + 1


def interleaved(
    model: ModelSpec, group: Group, fill: float, planner: _CopyPlanner | None = None
) -> Layout:
    """Distribute the hosts over the copies by memory, so that each copy has hosts of each kind."""
    copy_hosts: list[list[LayerHost]] = [[] for _ in range(group.copies)]
    # A heap of the copies by their memory.
    copy_memory = [(0.0, index) for index in range(group.copies)]
    for host in reversed(_sorted_by_memory(model, group.hosts)):
        memory, index = copy_memory[0]
        copy_hosts[index].append(host)
        heapreplace(copy_memory, (memory + model.kind_of(host.kind).memory_mb, index))
    if planner is not None:
        copy_hosts = _adjacent_hosts(copy_hosts)
    planner = planner or _CopyPlanner(model, len(group.hosts), fill)
    return tuple(copy for hosts in copy_hosts if (copy := planner.assign(hosts)))


def by_speed(
    model: ModelSpec, group: Group, fill: float, planner: _CopyPlanner | None = None
) -> Layout:
    """Split the hosts, ordered by speed, into the copies that together serve the most streams."""
    ordered = sorted(group.hosts, key=lambda each: (_speed_key(model, each), each.instance))
    memory = [0.0, *accumulate(model.kind_of(each.kind).memory_mb for each in ordered)]
    weights = model.layers * model.layer_mb
    planner = planner or _CopyPlanner(model, len(ordered), fill)
    # For each split point the best layout of the hosts before it: its rate and last split point.
    best_by_end: dict[int, tuple[float, int]] = {0: (0.0, 0)}
    for end in _split_points(ordered, group.copies)[1:]:
        best_before = (0.0, 0)
        for start, (rate, _) in reversed(best_by_end.items()):
            if memory[end] - memory[start] > MAX_MEMORY_PER_COPY * weights:
                break
            if memory[end] - memory[start] <= weights:
                continue
            added_rate = planner.rate(ordered[start:end])
            if added_rate and rate + added_rate > best_before[0]:
                best_before = rate + added_rate, start
        if best_before[0]:
            best_by_end[end] = best_before
    layout: list[Copy] = []
    end = len(ordered) if len(ordered) in best_by_end else 0
    while end:
        start = best_by_end[end][1]
        layout.append(planner.assign(ordered[start:end]))
        end = start
    return tuple(reversed(layout))


def _adjacent_hosts(copy_hosts: Sequence[Sequence[LayerHost]]) -> list[list[LayerHost]]:
    """Exchange hosts of one kind between copies so that each copy has adjacent ones, by name.

    Adjacent hosts are often lost together. Distributed in turn they would hold the same layers of
    all copies, and their loss would leave no copy whole.
    """
    by_kind: dict[str, list[LayerHost]] = defaultdict(list)
    for host in chain.from_iterable(copy_hosts):
        by_kind[host.kind].append(host)
    remaining = {
        kind: iter(sorted(hosts, key=lambda each: each.instance)) for kind, hosts in by_kind.items()
    }
    return [[next(remaining[each.kind]) for each in hosts] for hosts in copy_hosts]


# The layout functions whose results are compared.
LAYOUT_FUNCTIONS: tuple[LayoutFunction, ...] = (interleaved, by_speed)


def _speed_key(model: ModelSpec, host: LayerHost) -> tuple[float, float]:
    kind = model.kind_of(host.kind)
    return kind.step_factor, -kind.memory_mb


def _split_points(ordered: Sequence[LayerHost], copies: int) -> list[int]:
    """Return the split points: both ends, changes of the kind, and evenly spaced ones."""
    kind_changes = {
        index for index in range(1, len(ordered)) if ordered[index - 1].kind != ordered[index].kind
    }
    count = min(len(ordered), max(MIN_SPLIT_POINTS, SPLIT_POINTS_PER_COPY * copies))
    even_splits = {round(len(ordered) * index / count) for index in range(count + 1)}
    return sorted(kind_changes | even_splits)


def _sorted_by_memory(model: ModelSpec, hosts: Sequence[LayerHost]) -> list[LayerHost]:
    """Return the hosts, smallest first; equal hosts are ordered by name, which has no effect."""
    return sorted(
        hosts, key=lambda each: (model.kind_of(each.kind).memory_mb, each.kind, each.instance)
    )


def _first_stage(model: ModelSpec, kind: str) -> HeldLayers:
    """Return the layers of a host that is a first stage only."""
    return HeldLayers(kind, 0, min(max(1, model.max_layers(kind, PREFERRED_FILL)), model.layers))


def _evenly_mixed(kinds: Sequence[str]) -> list[int]:
    """Return indexes that spread each kind evenly.

    This way the neighbours of a small host are more likely to have room for its layers.
    """
    by_kind: dict[str, list[int]] = defaultdict(list)
    for index, kind in enumerate(kinds):
        by_kind[kind].append(index)
    positions = [
        ((number + 0.5) / len(members), kind, index)
        for kind, members in by_kind.items()
        for number, index in enumerate(members)
    ]
    return [index for _, _, index in sorted(positions)]
