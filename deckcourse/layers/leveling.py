"""Levels the memory that weights take, where a group holds a model once and is at rest.

A path is no wider than its fullest host, and healing leaves some hosts full. The model is cut anew
over the hosts in their order so that the fullest is as empty as can be. First the hosts load what
they lack, then the full ones give up what is held elsewhere.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from deckcourse.layers.hosts import MAX_FILL, PREFERRED_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["level"]

# A group whose fullest host is no fuller than this is left as it is: there is room for 40 usual
# requests at once. While a host gives layers up, which takes as long as the longest stream there,
# it takes no other order, and layers that are held twice carry a loss.
LEVEL_FILL = 0.80
# The room that the fullest host leaves must grow by this factor at least: less is not worth the
# loads and the time in which a host takes no other order.
LEAST_GAIN = 1.25
# Fills are compared in steps of this: cuts as level as each other differ in what they load.
FILL_STEP = 0.02


class _Cut(NamedTuple):
    """The best way to reach a layer; ways are compared by the first two.

    `fullest` is the fill of the fullest host so far, in steps, `loads` the layers loaded; the last
    host runs from `first`.
    """

    fullest: int
    loads: int
    first: int


def level(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Return the next orders that make a group's hosts more evenly full, none where they are.

    Args:
      model: the model, whole and held once by the hosts.
      hosts: everybody in the group; idle ones take no part.
    """
    ordered = sorted(
        (each for each in hosts if not each.empty),
        key=lambda each: (each.first, each.end, each.instance),
    )
    now = max((each.fill(model) for each in ordered), default=0.0)
    if now <= LEVEL_FILL:
        return ()
    cuts = _level_cuts(model, ordered)
    if not cuts:
        return ()
    best = max(
        (end - first) * model.layer_mb / model.kind_of(host.kind).memory_mb
        for host, (first, end) in zip(ordered, cuts.values(), strict=True)
    )
    if _room(best) < LEAST_GAIN * _room(now):
        return ()
    return _loads(ordered, cuts) or _trims(model, ordered, cuts)


def _room(fill: float) -> float:
    """Return the memory for requests beside weights, in parts of what the weights take."""
    return max(0.0, 1.0 - fill) / fill


def _level_cuts(model: ModelSpec, ordered: Sequence[LayerHost]) -> Mapping[str, tuple[int, int]]:
    """Return the range of each host with which the fullest is emptiest, none where none fits."""
    best: dict[int, _Cut] = {0: _Cut(0, 0, 0)}
    trail: list[dict[int, _Cut]] = []
    for host in ordered:
        best = _cut_further(model, host, best)
        trail.append(best)
    if model.layers not in best:
        return {}
    ranges = {}
    end = model.layers
    for host, reached in zip(reversed(ordered), reversed(trail), strict=True):
        first = reached[end].first
        ranges[host.instance] = (first, end)
        end = first
    return dict(reversed(ranges.items()))


def _cut_further(model: ModelSpec, host: LayerHost, reached: Mapping[int, _Cut]) -> dict[int, _Cut]:
    """Return the best cuts after one more host."""
    room = host.max_layers(model, MAX_FILL)
    step = model.layer_mb / model.kind_of(host.kind).memory_mb / FILL_STEP
    # Where it doesn't run anything it keeps what it holds.
    found = {first: _Cut(cut.fullest, cut.loads, first) for first, cut in reached.items()}
    for first, cut in reached.items():
        for end in range(first + 1, min(model.layers, first + room) + 1):
            low, high = min(first, host.first), max(end, host.end)
            kept = max(0, min(end, host.end) - max(first, host.first))
            # What is held and what is new must fit together, with room for requests, and have no
            # hole between them.
            if high - low > room or first > host.end or end < host.first:
                continue
            fullest = max(cut.fullest, round((end - first) * step))
            candidate = _Cut(fullest, cut.loads + end - first - kept, first)
            if end not in found or candidate[:2] < found[end][:2]:
                found[end] = candidate
    return found


def _loads(
    ordered: Sequence[LayerHost], cuts: Mapping[str, tuple[int, int]]
) -> tuple[Assignment, ...]:
    """Return orders for what hosts lack of their ranges, beside what they hold."""
    assignments = []
    for host in ordered:
        first, end = cuts[host.instance]
        if first < end and not host.first <= first < end <= host.end:
            low, high = min(first, host.first), max(end, host.end)
            assignments.append(Assignment(host.instance, low, high, "levels"))
    return tuple(assignments)


def _trims(
    model: ModelSpec, ordered: Sequence[LayerHost], cuts: Mapping[str, tuple[int, int]]
) -> tuple[Assignment, ...]:
    """Return orders for full hosts to give up what they hold beside their ranges."""
    assignments = []
    for host in ordered:
        first, end = cuts[host.instance]
        if first >= end or host.fill(model) <= LEVEL_FILL:
            continue
        keep = model.max_layers(host.kind, PREFERRED_FILL)
        first, end = host.widened(first, end, keep)
        if (first, end) != (host.first, host.end):
            assignments.append(Assignment(host.instance, first, end, "leveled"))
    return tuple(assignments)
