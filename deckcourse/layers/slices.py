"""Slices of a model in proportion to memory, and the first placement of a group.

Load pattern: a host takes `requests` streams as the first of a path, whatever memory the path has.
Where one first host lets in less than the rest of its copy has memory for, requests queue there
while memory stands free, and a lost copy can't be made up for by the others. So a copy gets as many
hosts that begin at the first layer as make both bounds about the same.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence

from deckcourse.layers.hosts import (
    EVEN_FILL,
    LARGEST_FILL,
    Assignment,
    Group,
    LayerHost,
    memory_mb,
)
from deckcourse.layers.model import ModelSpec

__all__ = ["capacity", "first_placement", "slice_model"]

# Hosts that begin a copy beside its first one, at the most: each is lost to the rest of the copy,
# and with two more a copy of the smallest kinds lets in three times what one host does.
MOST_STARTERS = 2


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
        assignments += _place_copy(model, deck)
    return tuple(assignments)


def _place_copy(model: ModelSpec, deck: Sequence[LayerHost]) -> list[Assignment]:
    """Place one copy with as many starters as let the most requests pass."""
    kinds = {each.instance: each.kind for each in deck}
    ways = [_with_starters(model, deck, count) for count in range(MOST_STARTERS + 1)]
    return max(ways, key=lambda way: capacity(model, way, kinds))


def _with_starters(model: ModelSpec, deck: Sequence[LayerHost], count: int) -> list[Assignment]:
    """Let the `count` smallest hosts hold the first layers, and slice the model over the rest."""
    ordered = sorted(deck, key=lambda each: (model.kind_of(each.kind).memory_mb, each.instance))
    starters, rest = ordered[:count], ordered[count:]
    assignments = slice_model(model, _interleaved(rest), "first placement")
    if not assignments:
        return []
    for host in starters:
        end = max(1, model.most_layers(host.kind, EVEN_FILL))
        assignments.append(Assignment(host.instance, 0, min(end, model.layers), "begins paths"))
    return assignments


def capacity(
    model: ModelSpec, assignments: Sequence[Assignment], kinds: Mapping[str, str]
) -> float:
    """Return how many usual requests a copy takes at once, 0 where it has no hosts.

    It is bounded by the places of the hosts at which paths begin and by the memory beside the
    weights of the fullest of the others.

    Args:
      model: the model.
      assignments: what the copy's hosts hold.
      kinds: the kind of each host, by instance.
    """
    if not assignments:
        return 0.0
    firsts = [each for each in assignments if each.first == 0]
    held = [(kinds[each.instance], each.end - each.first) for each in assignments]
    tightest = min(model.places(kind, layers, layers) for kind, layers in held)
    return min(len(firsts) * model.requests, tightest)


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
