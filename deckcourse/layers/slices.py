"""Slices of a model in proportion to memory, and the first placement of a group."""

from collections import defaultdict
from collections.abc import Sequence

from deckcourse.layers.hosts import LARGEST_FILL, Assignment, Group, LayerHost, memory_mb
from deckcourse.layers.model import ModelSpec

__all__ = ["first_placement", "slice_model"]


def first_placement(model: ModelSpec, group: Group) -> tuple[Assignment, ...]:
    """Deal the hosts to the copies by memory, and slice each copy over its hosts."""
    decks: list[list[LayerHost]] = [[] for _ in range(group.copies)]
    ordered = sorted(
        group.hosts, key=lambda each: (-model.kind_of(each.kind).memory_mb, each.instance)
    )
    for host in ordered:
        min(decks, key=lambda deck: memory_mb(model, deck)).append(host)
    assignments: list[Assignment] = []
    for deck in decks:
        hosts = _interleaved(deck)
        assignments += slice_model(model, hosts, "first placement")
    return tuple(assignments)


def _interleaved(hosts: Sequence[LayerHost]) -> list[LayerHost]:
    """Spread each kind evenly: a small host's neighbours should be able to take its layers."""
    by_kind: dict[str, list[LayerHost]] = defaultdict(list)
    for host in hosts:
        by_kind[host.kind].append(host)
    placed = [
        ((index + 0.5) / len(members), kind, host)
        for kind, members in by_kind.items()
        for index, host in enumerate(members)
    ]
    return [host for _, _, host in sorted(placed, key=lambda each: each[:2])]


def slice_model(model: ModelSpec, hosts: Sequence[LayerHost], reason: str) -> list[Assignment]:
    """Cut a model into one slice for each host, in proportion to memory, in the hosts' order.

    Returns:
      The slices, none where the hosts can't hold the model.
    """
    assignments = []
    at = 0
    for index, host in enumerate(hosts):
        remaining = model.layers - at
        share = model.kind_of(host.kind).memory_mb / memory_mb(model, hosts[index:])
        room = model.most_layers(host.kind, LARGEST_FILL)
        room_after = sum(model.most_layers(each.kind, LARGEST_FILL) for each in hosts[index + 1 :])
        count = min(max(round(remaining * share), remaining - room_after), room, remaining)
        if count > 0:
            assignments.append(Assignment(host.instance, at, at + count, reason))
            at += count
    return assignments if at == model.layers else []
