"""Slices of a model in proportion to the memory and speed of its hosts."""

from collections.abc import Sequence

from deckcourse.layers.hosts import MAX_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["slice_model", "slice_sizes"]


def slice_model(model: ModelSpec, hosts: Sequence[LayerHost], reason: str) -> list[Assignment]:
    """Cut a model into one slice for each host, in the hosts' order and in proportion to memory.

    Returns:
      The slices, none if the hosts can't hold the model.
    """
    assignments = []
    start = 0
    for host, count in zip(hosts, slice_sizes(model, [each.kind for each in hosts]), strict=False):
        if count:
            assignments.append(Assignment(host.instance, start, start + count, reason))
            start += count
    return assignments


def slice_sizes(
    model: ModelSpec, kinds: Sequence[str], speed_power: float = 0.0, fill: float = MAX_FILL
) -> list[int]:
    """Return the number of layers that each of several successive hosts should hold.

    Args:
      model: the model.
      kinds: the hosts' kinds, in order.
      speed_power: slices are in proportion to memory times speed to this power.
      fill: the maximum share of a host's memory that its slice takes.

    Returns:
      The sizes, whose sum is the model's number of layers; none if it doesn't fit.
    """
    weights = {each: _weight(model, each, speed_power) for each in set(kinds)}
    limits = {each: model.max_layers(each, fill) for each in weights}
    remaining_weight = sum(weights[each] for each in kinds)
    remaining_limit = sum(limits[each] for each in kinds)
    if remaining_limit < model.layers:
        return []
    sizes = []
    remaining = model.layers
    for kind in kinds:
        weight, limit = weights[kind], limits[kind]
        remaining_limit -= limit
        size = min(
            max(round(remaining * weight / remaining_weight), remaining - remaining_limit), limit
        )
        remaining_weight -= weight
        sizes.append(min(size, remaining))
        remaining -= sizes[-1]
    return sizes if remaining == 0 else []


def _weight(model: ModelSpec, name: str, speed_power: float) -> float:
    kind = model.kind_of(name)
    return kind.memory_mb / kind.step_factor**speed_power
