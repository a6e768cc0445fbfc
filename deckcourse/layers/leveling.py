"""Levels the memory that weights take in an idle group that holds a model once.

The fullest host limits how many requests a path runs, and healing leaves some hosts full. The model
is cut anew over the hosts in their order so that the fullest one is as empty as possible. First the
hosts load the layers that they lack, then full hosts drop layers that are held elsewhere.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from deckcourse.layers.hosts import MAX_FILL, PREFERRED_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["level"]

# A group whose fullest host is at most this full is left as it is: it has memory for 40 concurrent
# usual requests. A host that drops layers accepts no other order until the longest stream there
# ends, and layers that are held twice help after a loss.
MIN_LEVELING_FILL = 0.80
# Minimum factor by which the free memory of the fullest host must grow: less is not worth the
# loads and the time in which a host accepts no other order.
MIN_GAIN_FACTOR = 1.25
# Fills are compared in steps of this size: equally level cuts are compared by their loads.
FILL_STEP = 0.02


class _PartialCut(NamedTuple):
    """The best way to cover the model up to a layer; cuts are compared by the first two fields.

    `max_fill_steps` is the fill of the fullest host so far, in multiples of `FILL_STEP`. `loads` is
    the number of layers to load. The last host runs the layers from `first`.
    """

    max_fill_steps: int
    loads: int
    first: int


def level(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    preferred_fill: float = PREFERRED_FILL,
    max_fill: float = MIN_LEVELING_FILL,
) -> tuple[Assignment, ...]:
    """Return the next orders that level the fill of a group's hosts, none if it is level.

    Args:
      model: the model, which the hosts hold whole and once.
      hosts: the hosts of the group; idle ones are ignored.
      preferred_fill: the fill down to which full hosts drop layers.
      max_fill: hosts up to this fill are left as they are.
    """
    ordered = sorted(
        (each for each in hosts if not each.is_empty),
        key=lambda each: (each.first, each.end, each.instance),
    )
    current_fill = max((each.fill(model) for each in ordered), default=0.0)
    if current_fill <= max_fill:
        return ()
    ranges = _level_ranges(model, ordered)
    if not ranges:
        return ()
    new_fill = max(
        (end - first) * model.layer_mb / model.kind_of(host.kind).memory_mb
        for host, (first, end) in zip(ordered, ranges.values(), strict=True)
    )
    if _free_memory(new_fill) < MIN_GAIN_FACTOR * _free_memory(current_fill):
        return ()
    return _load_orders(ordered, ranges) or _drop_orders(
        model, ordered, ranges, preferred_fill, max_fill
    )


def _free_memory(fill: float) -> float:
    """Return the memory for requests beside weights, as a multiple of the weights' memory."""
    return max(0.0, 1.0 - fill) / fill


def _level_ranges(model: ModelSpec, ordered: Sequence[LayerHost]) -> Mapping[str, tuple[int, int]]:
    """Return the range of each host that minimizes the highest fill, empty if none fits."""
    by_end: dict[int, _PartialCut] = {0: _PartialCut(0, 0, 0)}
    by_host: list[dict[int, _PartialCut]] = []
    for host in ordered:
        by_end = _extend_cuts(model, host, by_end)
        by_host.append(by_end)
    if model.layers not in by_end:
        return {}
    ranges = {}
    end = model.layers
    for host, cuts in zip(reversed(ordered), reversed(by_host), strict=True):
        first = cuts[end].first
        ranges[host.instance] = (first, end)
        end = first
    return dict(reversed(ranges.items()))


def _extend_cuts(
    model: ModelSpec, host: LayerHost, cuts: Mapping[int, _PartialCut]
) -> dict[int, _PartialCut]:
    """Return the best cuts after one more host."""
    max_layers = host.max_layers(model, MAX_FILL)
    fill_steps_per_layer = model.layer_mb / model.kind_of(host.kind).memory_mb / FILL_STEP
    # A host that runs no layers keeps those that it holds.
    best = {first: _PartialCut(cut.max_fill_steps, cut.loads, first) for first, cut in cuts.items()}
    for first, cut in cuts.items():
        for end in range(first + 1, min(model.layers, first + max_layers) + 1):
            low, high = min(first, host.first), max(end, host.end)
            overlap = max(0, min(end, host.end) - max(first, host.first))
            # Held and new layers must fit into memory together with requests, and be contiguous.
            if high - low > max_layers or first > host.end or end < host.first:
                continue
            max_fill_steps = max(cut.max_fill_steps, round((end - first) * fill_steps_per_layer))
            candidate = _PartialCut(max_fill_steps, cut.loads + end - first - overlap, first)
            if end not in best or candidate[:2] < best[end][:2]:
                best[end] = candidate
    return best


def _load_orders(
    ordered: Sequence[LayerHost], ranges: Mapping[str, tuple[int, int]]
) -> tuple[Assignment, ...]:
    """Return orders to load the layers of their ranges that hosts lack, besides those they hold."""
    assignments = []
    for host in ordered:
        first, end = ranges[host.instance]
        if first < end and not host.first <= first < end <= host.end:
            low, high = min(first, host.first), max(end, host.end)
            assignments.append(Assignment(host.instance, low, high, "levels"))
    return tuple(assignments)


def _drop_orders(
    model: ModelSpec,
    ordered: Sequence[LayerHost],
    ranges: Mapping[str, tuple[int, int]],
    preferred_fill: float,
    max_fill: float,
) -> tuple[Assignment, ...]:
    """Return orders for full hosts to drop the layers outside their ranges."""
    assignments = []
    for host in ordered:
        first, end = ranges[host.instance]
        if first >= end or host.fill(model) <= max_fill:
            continue
        keep = model.max_layers(host.kind, preferred_fill)
        first, end = host.widened_range(first, end, keep)
        if (first, end) != (host.first, host.end):
            assignments.append(Assignment(host.instance, first, end, "leveled"))
    return tuple(assignments)
