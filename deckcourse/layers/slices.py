"""Slices of a model in proportion to what its hosts can bear."""

from collections.abc import Sequence

from deckcourse.layers.hosts import MAX_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["slice_model", "slice_sizes"]


def slice_model(model: ModelSpec, hosts: Sequence[LayerHost], reason: str) -> list[Assignment]:
    """Cut a model into one slice for each host, in proportion to memory, in the hosts' order.

    Returns:
      The slices, none where the hosts can't hold the model.
    """
    assignments = []
    at = 0
    for host, count in zip(hosts, slice_sizes(model, [each.kind for each in hosts]), strict=False):
        if count:
            assignments.append(Assignment(host.instance, at, at + count, reason))
            at += count
    return assignments


def slice_sizes(
    model: ModelSpec, kinds: Sequence[str], speed_power: float = 0.0, fill: float = MAX_FILL
) -> list[int]:
    """Return how many layers each of several hosts in a row should hold.

    Args:
      model: the model.
      kinds: the hosts' kinds, in their order.
      speed_power: slices are in proportion to memory times speed to this power.
      fill: the part of a host's memory that its slice takes at the most.

    Returns:
      The sizes, which sum up to the model; none where it doesn't fit.
    """
    weight_of = {each: _weight(model, each, speed_power) for each in set(kinds)}
    room_of = {each: model.max_layers(each, fill) for each in weight_of}
    weight_after = sum(weight_of[each] for each in kinds)
    room_after = sum(room_of[each] for each in kinds)
    if room_after < model.layers:
        return []
    sizes = []
    remaining = model.layers
    for kind in kinds:
        weight, room = weight_of[kind], room_of[kind]
        room_after -= room
        size = min(max(round(remaining * weight / weight_after), remaining - room_after), room)
        weight_after -= weight
        sizes.append(min(size, remaining))
        remaining -= sizes[-1]
    return sizes if remaining == 0 else []


def _weight(model: ModelSpec, name: str, speed_power: float) -> float:
    kind = model.kind_of(name)
    return kind.memory_mb / kind.step_factor**speed_power
