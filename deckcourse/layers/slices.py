"""Slices of a model in proportion to what its hosts can bear."""

from collections.abc import Sequence

from deckcourse.layers.hosts import LARGEST_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["slice_model"]


def slice_model(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    reason: str,
    speed_power: float = 0.0,
    fill: float = LARGEST_FILL,
) -> list[Assignment]:
    """Cut a model into one slice for each host, in the hosts' order.

    Args:
      model: the model.
      hosts: who is to hold it.
      reason: why, for the log.
      speed_power: slices are in proportion to memory times speed to this power.
      fill: the part of a host's memory that its slice takes at the most.

    Returns:
      The slices, none where the hosts can't hold the model.
    """
    kinds = {each.kind for each in hosts}
    weight_of = {each: _weight(model, each, speed_power) for each in kinds}
    room_of = {each: model.most_layers(each, fill) for each in kinds}
    weights = [weight_of[each.kind] for each in hosts]
    rooms = [room_of[each.kind] for each in hosts]
    weight_after, room_after = sum(weights), sum(rooms)
    assignments = []
    at = 0
    for host, weight, room in zip(hosts, weights, rooms, strict=True):
        remaining = model.layers - at
        room_after -= room
        share = weight / weight_after
        weight_after -= weight
        count = min(max(round(remaining * share), remaining - room_after), room, remaining)
        if count > 0:
            assignments.append(Assignment(host.instance, at, at + count, reason))
            at += count
    return assignments if at == model.layers else []


def _weight(model: ModelSpec, name: str, speed_power: float) -> float:
    kind = model.kind_of(name)
    return kind.memory_mb / kind.step_factor**speed_power
