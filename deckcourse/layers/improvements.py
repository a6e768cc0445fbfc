"""Improvements of an idle group that holds the whole model: further copies, and more even memory.

`trim` and `balance` are for groups that hold a model several times; a group that holds it once is
leveled by `deckcourse.layers.leveling`.
"""

from collections.abc import Sequence

from deckcourse.layers.coverage import gaps
from deckcourse.layers.hosts import MAX_FILL, PREFERRED_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["add_copy", "add_part", "balance", "relieve", "trim"]

# Maximum fill of hosts that load further copies of layers, where that is enough.
IMPROVING_FILL = 0.80
# A host fuller than this drops layers that others hold too. Meanwhile it accepts no other order, so
# the threshold is high.
TRIM_FILL = 0.88
# A neighbour of a host fuller than this also loads layers of it, so that requests can run there.
BALANCE_FILL = 0.72
# Layers move between neighbours whose fills differ by more than this.
MIN_FILL_DIFFERENCE = 0.12


def add_copy(
    model: ModelSpec, idle: Sequence[LayerHost], gap: tuple[int, int]
) -> tuple[Assignment, ...]:
    """Share a range that lacks a copy between idle hosts, empty if they can't hold it.

    All hosts load concurrently, so equal shares finish first.
    """
    first, end = gap
    ordered = sorted(idle, key=lambda each: (-model.kind_of(each.kind).memory_mb, each.instance))
    for fill in (IMPROVING_FILL, MAX_FILL):
        max_layers = [model.max_layers(each.kind, fill) for each in ordered]
        shares = _even_shares(end - first, max_layers)
        if shares is not None:
            return _assignments(ordered, shares, first, f"gap {first}-{end}")
    return ()


def add_part(
    model: ModelSpec, idle: Sequence[LayerHost], gap: tuple[int, int], fill: float
) -> tuple[Assignment, ...]:
    """Let idle hosts hold the beginning of a range that lacks a copy, each up to a fill.

    The hosts that lost the range return one after the other: each serves before the last one is
    back.
    """
    first, end = gap
    shares = []
    for host in idle:
        shares.append(max(0, min(model.max_layers(host.kind, fill), end - first - sum(shares))))
    return _assignments(idle, shares, first, f"part of {first}-{end}")


def _assignments(
    hosts: Sequence[LayerHost], shares: Sequence[int], first: int, reason: str
) -> tuple[Assignment, ...]:
    assignments = []
    start = first
    for host, share in zip(hosts, shares, strict=True):
        if share:
            assignments.append(Assignment(host.instance, start, start + share, reason))
        start += share
    return tuple(assignments)


def _even_shares(total: int, limits: Sequence[int]) -> list[int] | None:
    """Split a number into shares as even as their limits allow, None if they don't suffice."""
    if sum(limits) < total:
        return None
    shares = [0] * len(limits)
    for _ in range(total):
        below_limit = [index for index, limit in enumerate(limits) if shares[index] < limit]
        shares[min(below_limit, key=lambda index: shares[index])] += 1
    return shares


def relieve(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    preferred_fill: float = PREFERRED_FILL,
    max_fill: float = 0.0,
) -> tuple[Assignment, ...]:
    """Let idle hosts load layers of the fullest ones, which drop them once they are loaded.

    Args:
      model: the model.
      hosts: the hosts of the group.
      preferred_fill: the fill of the idle hosts afterwards.
      max_fill: hosts up to this fill are left as they are.
    """
    assignments = []
    fullest = sorted(
        (each for each in hosts if not each.is_empty and each.fill(model) > max_fill),
        key=lambda each: -each.fill(model),
    )
    for idle_host, full_host in zip(
        (each for each in hosts if each.is_empty), fullest, strict=False
    ):
        count = model.max_layers(idle_host.kind, preferred_fill)
        if count == 0:
            continue
        low = max(0, min(full_host.first, model.layers - count))
        assignments.append(Assignment(idle_host.instance, low, low + count, "relieves the fullest"))
    return tuple(assignments)


def balance(
    model: ModelSpec, hosts: Sequence[LayerHost], max_fill: float = BALANCE_FILL
) -> tuple[Assignment, ...]:
    """Let a less full neighbour load edge layers of the fullest host, which drops them later.

    A host with little free memory refuses requests, and the fullest host limits the whole path.

    Args:
      model: the model.
      hosts: the hosts of the group.
      max_fill: hosts up to this fill are left as they are.
    """
    for full_host in sorted(hosts, key=lambda each: -each.fill(model)):
        if full_host.is_empty or full_host.fill(model) <= max_fill:
            return ()
        neighbours = [
            each
            for each in hosts
            if not each.is_empty
            and (each.first < full_host.first <= each.end or each.first <= full_host.end < each.end)
            and full_host.fill(model) - each.fill(model) > MIN_FILL_DIFFERENCE
        ]
        if neighbours:
            emptier = min(neighbours, key=lambda each: each.fill(model))
            assignment = _leveling_assignment(model, emptier, full_host)
            if (assignment.first, assignment.end) != (emptier.first, emptier.end):
                return (assignment,)
    return ()


def _leveling_assignment(model: ModelSpec, emptier: LayerHost, full_host: LayerHost) -> Assignment:
    """Return the emptier host's range with as many layers of the full one as level both."""
    memory = [model.kind_of(each.kind).memory_mb for each in (full_host, emptier)]
    total_layers = (full_host.end - full_host.first) + (emptier.end - emptier.first)
    keep = max(1, round(total_layers * memory[0] / sum(memory)))
    count = max(1, full_host.end - full_host.first - keep)
    room = model.max_layers(emptier.kind, IMPROVING_FILL) - (emptier.end - emptier.first)
    count = max(1, min(count, room))
    if emptier.first < full_host.first:
        low, high = emptier.first, max(emptier.end, full_host.first + count)
    else:
        low, high = min(emptier.first, full_host.end - count), emptier.end
    return Assignment(emptier.instance, low, high, "balances")


def trim(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    copies: int,
    preferred_fill: float = PREFERRED_FILL,
) -> tuple[Assignment, ...]:
    """Let one host that is too full drop layers that enough others hold.

    Args:
      model: the model.
      hosts: the hosts of the group.
      copies: how many hosts are to hold each layer.
      preferred_fill: the fill down to which it drops layers.
    """
    for host in sorted(hosts, key=lambda each: -each.fill(model)):
        if host.is_empty or host.fill(model) <= TRIM_FILL:
            return ()
        others = [each for each in hosts if each is not host]
        needed = gaps(model, others, copies)
        low, high = _needed_range(host, needed)
        keep = max(1, model.max_layers(host.kind, preferred_fill))
        low, high = host.widened_range(low, high, keep)
        if (low, high) != (host.first, host.end):
            return (Assignment(host.instance, low, high, "trimmed"),)
    return ()


def _needed_range(host: LayerHost, needed: Sequence[tuple[int, int]]) -> tuple[int, int]:
    inside = [
        (max(low, host.first), min(high, host.end))
        for low, high in needed
        if low < host.end and host.first < high
    ]
    if not inside:
        return host.first, host.first
    return inside[0][0], inside[-1][1]
