"""The search for hosts that are best taken from where they are to close a gap elsewhere.

A gap that is too wide for its neighbours needs memory from further away. Handing layers on from
host to host moves most of the model; taking one or two hosts whose layers their neighbours can
hold as well moves little. A host that is taken gives up its layers at once where old and new ones
don't fit into its memory together.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from deckcourse.layers.coverage import holder_counts
from deckcourse.layers.hosts import MAX_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["relocate"]

# So many hosts are taken from their place at the most, and all of them only where fewer don't do:
# each is out of service meanwhile.
MOST_TAKEN = 3
# Of all hosts, so many are looked at: those whose layers others hold most of.
MOST_CANDIDATES = 8
# What each host may load in addition to what it holds, layers: the steps of the search.
LOAD_STEPS = (1, 2, 3, 4, 6, 8)
# What counts as the time of a plan that doesn't make the model whole, seconds: any other is less.
NO_PLAN_SECONDS = float("inf")
# Streams of other domains may pass a host that lets go at once: it counts as so much longer,
# seconds.
CUT_SECONDS = 0.2
# A plan that takes no longer is good enough: no larger sets of hosts are looked at, seconds.
QUICK_SECONDS = 0.9


@dataclass(frozen=True)
class _Plan:
    """Assignments that make the model whole, and how long their loads take, in seconds."""

    seconds: float
    assignments: tuple[Assignment, ...]


@dataclass
class _Widening:
    """A host that stays, how far its range was widened, and what it may still load."""

    host: LayerHost
    first: int
    end: int
    spare: int

    @property
    def load(self) -> int:
        """How many layers it must load for its new range."""
        return self.host.first - self.first + self.end - self.host.end


def relocate(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    may_cut: bool = True,
    fill: float = MAX_FILL,
) -> tuple[Assignment, ...]:
    """Return the quickest plan that makes a model whole by taking some hosts elsewhere.

    Args:
      model: the model to make whole.
      hosts: everybody in the group.
      pending: who takes no order now.
      may_cut: whether streams may be cut for it.
      fill: the part of a host's memory that it may be filled to; a fuller one stays so.

    Returns:
      The assignments, none where no such plan makes the model whole.
    """
    best = _Plan(NO_PLAN_SECONDS, ())
    candidates = _candidates(model, hosts, pending)
    for count in range(MOST_TAKEN + 1):
        if best.assignments and (best.seconds <= QUICK_SECONDS or count == MOST_TAKEN):
            break
        for taken in combinations(candidates, count):
            plan = _quickest(model, hosts, pending, taken, fill)
            if may_cut or not any(each.at_once for each in plan.assignments):
                best = min(best, plan, key=lambda each: each.seconds)
    return best.assignments


def _quickest(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    taken: Sequence[LayerHost],
    fill: float,
) -> _Plan:
    """Return the quickest plan that takes the given hosts from their places."""
    staying = [each for each in hosts if not each.empty and each not in taken]
    free = [*taken, *(each for each in hosts if each.empty and each.instance not in pending)]
    best = _Plan(NO_PLAN_SECONDS, ())
    for most in LOAD_STEPS:
        widened, missing = _widen(model, staying, pending, most, fill)
        placed = _fill(model, missing, free, fill)
        if placed is None:
            continue
        assignments = (*_assignments(widened), *placed)
        plan = _Plan(_seconds(model, hosts, assignments), assignments)
        if plan.seconds >= best.seconds:
            break
        best = plan
    return best


def _candidates(
    model: ModelSpec, hosts: Sequence[LayerHost], pending: Mapping[str, tuple[int, int]]
) -> list[LayerHost]:
    """Return the hosts that may be taken, those first whose layers others hold most of."""
    depth = holder_counts(model, hosts)
    may_go = [each for each in hosts if not each.empty and each.instance not in pending]
    alone = {
        each.instance: sum(depth[layer] == 1 for layer in range(each.first, each.end))
        for each in may_go
    }
    ordered = sorted(may_go, key=lambda each: (alone[each.instance], each.instance))
    return ordered[:MOST_CANDIDATES]


def _widen(
    model: ModelSpec,
    staying: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    most: int,
    fill: float,
) -> tuple[list[_Widening], list[tuple[int, int]]]:
    """Widen the ranges of the hosts that stay, from the first layer on, by up to `most` layers.

    Returns:
      The hosts with their new ranges, and the ranges that nobody holds then.
    """
    widened: list[_Widening] = []
    missing: list[tuple[int, int]] = []
    furthest: _Widening | None = None
    reached = 0
    for host in sorted(staying, key=lambda each: (each.first, each.end, each.instance)):
        room = model.max_layers(host.kind, fill) - (host.end - host.first)
        spare = 0 if host.instance in pending else max(0, min(most, room))
        current = _Widening(host, host.first, host.end, spare)
        if host.first > reached:
            reached = _close_up(furthest, current, reached)
            if reached < current.first:
                missing.append((reached, current.first))
            reached = current.first
        widened.append(current)
        reached = max(reached, current.end)
        if furthest is None or current.end + current.spare > furthest.end + furthest.spare:
            furthest = current
    if furthest is not None:
        reached = _stretch(furthest, model.layers, reached)
    if reached < model.layers:
        missing.append((reached, model.layers))
    return widened, missing


def _close_up(before: _Widening | None, after: _Widening, reached: int) -> int:
    """Widen a host to the left towards a layer, then the one before it to the right.

    Returns:
      Up to where the model is held then without the layers of `after`.
    """
    left = min(after.spare, after.first - reached)
    after.first -= left
    after.spare -= left
    return reached if before is None else _stretch(before, after.first, reached)


def _stretch(host: _Widening, wanted: int, reached: int) -> int:
    """Widen a host to the right towards a layer; return up to where the model is held then."""
    end = min(wanted, host.end + host.spare)
    if end <= reached:
        return reached
    host.spare -= end - host.end
    host.end = end
    return end


def _fill(
    model: ModelSpec,
    missing: Sequence[tuple[int, int]],
    free: Sequence[LayerHost],
    fill: float,
) -> list[Assignment] | None:
    """Place free hosts into the ranges that nobody holds, None where they are too few."""
    waiting = sorted(
        free, key=lambda each: (not each.empty, -model.max_layers(each.kind), each.instance)
    )
    placed: list[Assignment] = []
    for first, end in sorted(missing, key=lambda each: each[0] - each[1]):
        team = _team(model, waiting, end - first, fill)
        if team is None:
            return None
        placed += _side_by_side(model, team, first, end, fill)
    return placed


def _team(
    model: ModelSpec, waiting: list[LayerHost], layers: int, fill: float
) -> list[LayerHost] | None:
    """Take as many hosts from the head of `waiting` as hold so many layers, None if all don't."""
    team: list[LayerHost] = []
    room = 0
    while room < layers:
        if not waiting:
            return None
        team.append(waiting.pop(0))
        room += model.max_layers(team[-1].kind, fill)
    return team


def _side_by_side(
    model: ModelSpec, team: Sequence[LayerHost], first: int, end: int, fill: float
) -> list[Assignment]:
    """Share a range between hosts as evenly as their memory allows."""
    placed = []
    at = first
    for index, host in enumerate(team):
        limit = model.max_layers(host.kind, fill)
        after = sum(model.max_layers(each.kind, fill) for each in team[index + 1 :])
        even = -(-(end - at) // (len(team) - index))
        count = min(limit, max(even, end - at - after))
        # What it holds goes at once where both don't fit into its memory together.
        at_once = host.end - host.first + count > model.max_layers(host.kind)
        reason = f"moves to {first}-{end}"
        placed.append(Assignment(host.instance, at, at + count, reason, at_once))
        at += count
    return placed


def _assignments(widened: Sequence[_Widening]) -> list[Assignment]:
    return [
        Assignment(each.host.instance, each.first, each.end, "widens for a host that moves")
        for each in widened
        if each.load
    ]


def _seconds(model: ModelSpec, hosts: Sequence[LayerHost], plan: Sequence[Assignment]) -> float:
    """Return how long a plan takes, and what it costs beside that, counted as time.

    All loads run together; too many of them slow each other.
    """
    held = {each.instance: each for each in hosts}
    largest = 0
    for each in plan:
        host = held[each.instance]
        kept = max(0, min(each.end, host.end) - max(each.first, host.first))
        largest = max(largest, each.end - each.first - kept)
    slower = max(1.0, len(plan) / max(1, model.parallel_loads))
    cut = CUT_SECONDS * sum(each.at_once for each in plan)
    return largest * slower * model.load_seconds / model.layers + cut
