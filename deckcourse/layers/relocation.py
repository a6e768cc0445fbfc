"""The search for hosts that are best moved from their ranges to close a gap elsewhere.

A gap that is too wide for its neighbours needs memory from further away. Shifting layers from host
to host moves most of the model; moving one or two hosts whose layers their neighbours can hold too
moves little. A moved host drops its layers at once if old and new ones don't fit into its memory.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from deckcourse.layers.coverage import holder_counts
from deckcourse.layers.hosts import MAX_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["relocate"]

# Maximum number of hosts that are moved, and this many only if fewer don't suffice: each is out of
# service meanwhile.
MAX_MOVED_HOSTS = 3
# Number of hosts considered: those with the fewest layers that no other host holds.
MAX_CANDIDATES = 8
# Limits tried for the layers that each staying host loads.
LOAD_LIMITS = (1, 2, 3, 4, 6, 8)
# The duration of a plan that doesn't make the model whole, longer than any other, seconds.
NO_PLAN_SECONDS = float("inf")
# Streams of other domains may run on a host that drops its layers at once: this penalty is added
# to the plan's duration for each, seconds.
CUT_PENALTY_SECONDS = 0.2
# A plan this fast is good enough: larger sets of hosts are not tried, seconds.
GOOD_PLAN_SECONDS = 0.9


@dataclass(frozen=True)
class _Plan:
    """Assignments that make the model whole, and the duration of their loads, seconds."""

    seconds: float
    assignments: tuple[Assignment, ...]


@dataclass
class _Extension:
    """A host that stays, its extended range and the number of layers that it may still load."""

    host: LayerHost
    first: int
    end: int
    spare_layers: int

    @property
    def load(self) -> int:
        """The number of layers to load for the extended range."""
        return self.host.first - self.first + self.end - self.host.end


def relocate(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    may_cut: bool = True,
    fill: float = MAX_FILL,
) -> tuple[Assignment, ...]:
    """Return the fastest plan that makes a model whole by moving some hosts.

    Args:
      model: the model to make whole.
      hosts: all hosts of the group.
      pending: the hosts that accept no order now.
      may_cut: whether running streams may be interrupted.
      fill: the maximum fill of a host, unless it is already fuller.

    Returns:
      The assignments, none if no such plan makes the model whole.
    """
    best = _Plan(NO_PLAN_SECONDS, ())
    candidates = _candidates(model, hosts, pending)
    for count in range(MAX_MOVED_HOSTS + 1):
        if best.assignments and (best.seconds <= GOOD_PLAN_SECONDS or count == MAX_MOVED_HOSTS):
            break
        for moved in combinations(candidates, count):
            plan = _fastest_plan(model, hosts, pending, moved, fill)
            if may_cut or not any(each.at_once for each in plan.assignments):
                best = min(best, plan, key=lambda each: each.seconds)
    return best.assignments


def _fastest_plan(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    moved: Sequence[LayerHost],
    fill: float,
) -> _Plan:
    """Return the fastest plan that moves the given hosts."""
    staying = [each for each in hosts if not each.is_empty and each not in moved]
    free_hosts = [
        *moved,
        *(each for each in hosts if each.is_empty and each.instance not in pending),
    ]
    best = _Plan(NO_PLAN_SECONDS, ())
    for max_load in LOAD_LIMITS:
        extended, uncovered = _extend_hosts(model, staying, pending, max_load, fill)
        moves = _assign_to_ranges(model, uncovered, free_hosts, fill)
        if moves is None:
            continue
        assignments = (*_assignments(extended), *moves)
        plan = _Plan(_plan_seconds(model, hosts, assignments), assignments)
        if plan.seconds >= best.seconds:
            break
        best = plan
    return best


def _candidates(
    model: ModelSpec, hosts: Sequence[LayerHost], pending: Mapping[str, tuple[int, int]]
) -> list[LayerHost]:
    """Return the hosts that may be moved, those with the fewest layers of their own first."""
    holder_count_by_layer = holder_counts(model, hosts)
    movable = [each for each in hosts if not each.is_empty and each.instance not in pending]
    sole_layers = {
        each.instance: sum(
            holder_count_by_layer[layer] == 1 for layer in range(each.first, each.end)
        )
        for each in movable
    }
    ordered = sorted(movable, key=lambda each: (sole_layers[each.instance], each.instance))
    return ordered[:MAX_CANDIDATES]


def _extend_hosts(
    model: ModelSpec,
    staying: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    max_load: int,
    fill: float,
) -> tuple[list[_Extension], list[tuple[int, int]]]:
    """Extend the ranges of the staying hosts, from the first layer on, by up to `max_load` layers.

    Returns:
      The hosts with their extended ranges, and the ranges that no host holds then.
    """
    extended: list[_Extension] = []
    uncovered: list[tuple[int, int]] = []
    furthest: _Extension | None = None
    reached = 0
    for host in sorted(staying, key=lambda each: (each.first, each.end, each.instance)):
        spare_memory_layers = model.max_layers(host.kind, fill) - (host.end - host.first)
        spare_layers = 0 if host.instance in pending else max(0, min(max_load, spare_memory_layers))
        current = _Extension(host, host.first, host.end, spare_layers)
        if host.first > reached:
            reached = _close_gap(furthest, current, reached)
            if reached < current.first:
                uncovered.append((reached, current.first))
            reached = current.first
        extended.append(current)
        reached = max(reached, current.end)
        if (
            furthest is None
            or current.end + current.spare_layers > furthest.end + furthest.spare_layers
        ):
            furthest = current
    if furthest is not None:
        reached = _extend_right(furthest, model.layers, reached)
    if reached < model.layers:
        uncovered.append((reached, model.layers))
    return extended, uncovered


def _close_gap(previous: _Extension | None, following: _Extension, reached: int) -> int:
    """Extend a host to the left towards a layer, then the previous one to the right.

    Returns:
      The layer up to which the model is held then, without the layers of `following`.
    """
    count = min(following.spare_layers, following.first - reached)
    following.first -= count
    following.spare_layers -= count
    return reached if previous is None else _extend_right(previous, following.first, reached)


def _extend_right(host: _Extension, target: int, reached: int) -> int:
    """Extend a host to the right towards a layer; return up to where the model is held then."""
    end = min(target, host.end + host.spare_layers)
    if end <= reached:
        return reached
    host.spare_layers -= end - host.end
    host.end = end
    return end


def _assign_to_ranges(
    model: ModelSpec,
    uncovered: Sequence[tuple[int, int]],
    free_hosts: Sequence[LayerHost],
    fill: float,
) -> list[Assignment] | None:
    """Assign free hosts to the ranges that no host holds, None if there are too few."""
    available = sorted(
        free_hosts,
        key=lambda each: (not each.is_empty, -model.max_layers(each.kind), each.instance),
    )
    assignments: list[Assignment] = []
    for first, end in sorted(uncovered, key=lambda each: each[0] - each[1]):
        selected = _select_hosts(model, available, end - first, fill)
        if selected is None:
            return None
        assignments += _share_range(model, selected, first, end, fill)
    return assignments


def _select_hosts(
    model: ModelSpec, available: list[LayerHost], layers: int, fill: float
) -> list[LayerHost] | None:
    """Remove from `available` as many hosts as hold the layers, None if all of them don't."""
    selected: list[LayerHost] = []
    room = 0
    while room < layers:
        if not available:
            return None
        selected.append(available.pop(0))
        room += model.max_layers(selected[-1].kind, fill)
    return selected


def _share_range(
    model: ModelSpec, selected: Sequence[LayerHost], first: int, end: int, fill: float
) -> list[Assignment]:
    """Share a range between hosts as evenly as their memory allows."""
    assignments = []
    start = first
    for index, host in enumerate(selected):
        max_layers = model.max_layers(host.kind, fill)
        following_layers = sum(model.max_layers(each.kind, fill) for each in selected[index + 1 :])
        even_share = -(-(end - start) // (len(selected) - index))
        count = min(max_layers, max(even_share, end - start - following_layers))
        # Drop its layers at once if old and new ones don't fit into its memory together.
        at_once = host.end - host.first + count > model.max_layers(host.kind)
        reason = f"moves to {first}-{end}"
        assignments.append(Assignment(host.instance, start, start + count, reason, at_once))
        start += count
    return assignments


def _assignments(extended: Sequence[_Extension]) -> list[Assignment]:
    return [
        Assignment(each.host.instance, each.first, each.end, "widens for a host that moves")
        for each in extended
        if each.load
    ]


def _plan_seconds(
    model: ModelSpec, hosts: Sequence[LayerHost], plan: Sequence[Assignment]
) -> float:
    """Return the duration of a plan, with penalties for interrupted streams, seconds.

    All loads run concurrently; too many of them slow each other down.
    """
    held = {each.instance: each for each in hosts}
    max_load_layers = 0
    for each in plan:
        host = held[each.instance]
        overlap = max(0, min(each.end, host.end) - max(each.first, host.first))
        max_load_layers = max(max_load_layers, each.end - each.first - overlap)
    slowdown = max(1.0, len(plan) / max(1, model.parallel_loads))
    cut_seconds = CUT_PENALTY_SECONDS * sum(each.at_once for each in plan)
    return max_load_layers * slowdown * model.load_seconds / model.layers + cut_seconds
