"""Improvements of a group that is whole and at rest: further copies, and more even memory.

`trim` and `balance` are for groups that hold a model several times; one that holds it once is made
more even by `deckcourse.layers.leveling`.
"""

from collections.abc import Sequence

from deckcourse.layers.coverage import gaps
from deckcourse.layers.hosts import MAX_FILL, PREFERRED_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["add_copy", "balance", "relieve", "trim"]

# Hosts that take layers of which nothing is missing are filled no further than this where that is
# enough.
IMPROVING_FILL = 0.80
# A host fuller than this gives up layers that others hold too. While it does, it takes no other
# order, so it is not done for less.
TRIM_FILL = 0.88
# A neighbour of a host fuller than this loads layers of it as well, so that requests may go there.
BALANCE_FILL = 0.72
# Between neighbours whose fill differs by more than this, layers move to the emptier one.
UNEVEN_FILL = 0.12


def add_copy(
    model: ModelSpec, idle: Sequence[LayerHost], gap: tuple[int, int]
) -> tuple[Assignment, ...]:
    """Share a range that lacks a copy between idle hosts; nothing where it is too much for them.

    All load at the same time, so that equal shares are done first.
    """
    first, end = gap
    ordered = sorted(idle, key=lambda each: (-model.kind_of(each.kind).memory_mb, each.instance))
    for fill in (IMPROVING_FILL, MAX_FILL):
        limits = [model.max_layers(each.kind, fill) for each in ordered]
        shares = _even_shares(end - first, limits)
        if shares is not None:
            return _dealt(ordered, shares, first, f"gap {first}-{end}")
    return ()


def _dealt(
    hosts: Sequence[LayerHost], shares: Sequence[int], first: int, reason: str
) -> tuple[Assignment, ...]:
    assignments = []
    at = first
    for host, share in zip(hosts, shares, strict=True):
        if share:
            assignments.append(Assignment(host.instance, at, at + share, reason))
        at += share
    return tuple(assignments)


def _even_shares(total: int, limits: Sequence[int]) -> list[int] | None:
    """Split a number into shares as even as their limits allow, None where it doesn't fit."""
    if sum(limits) < total:
        return None
    shares = [0] * len(limits)
    for _ in range(total):
        open_ones = [index for index, limit in enumerate(limits) if shares[index] < limit]
        shares[min(open_ones, key=lambda index: shares[index])] += 1
    return shares


def relieve(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let idle hosts take layers of the fullest ones; they are trimmed once that is loaded."""
    assignments = []
    fullest = sorted((each for each in hosts if not each.empty), key=lambda each: -each.fill(model))
    for idle, full in zip((each for each in hosts if each.empty), fullest, strict=False):
        count = model.max_layers(idle.kind, PREFERRED_FILL)
        if count == 0:
            continue
        low = max(0, min(full.first, model.layers - count))
        assignments.append(Assignment(idle.instance, low, low + count, "relieves the fullest"))
    return tuple(assignments)


def balance(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let an emptier neighbour load edge layers of the fullest host; they are trimmed there later.

    A host with little room left refuses requests, and a path is no wider than its fullest host.
    """
    for full in sorted(hosts, key=lambda each: -each.fill(model)):
        if full.empty or full.fill(model) <= BALANCE_FILL:
            return ()
        beside = [
            each
            for each in hosts
            if not each.empty
            and (each.first < full.first <= each.end or each.first <= full.end < each.end)
            and full.fill(model) - each.fill(model) > UNEVEN_FILL
        ]
        if beside:
            emptier = min(beside, key=lambda each: each.fill(model))
            taking = _taking_over(model, emptier, full)
            if (taking.first, taking.end) != (emptier.first, emptier.end):
                return (taking,)
    return ()


def _taking_over(model: ModelSpec, emptier: LayerHost, full: LayerHost) -> Assignment:
    """Return the emptier host's range with as many layers of the full one as make both even."""
    memory = [model.kind_of(each.kind).memory_mb for each in (full, emptier)]
    both = (full.end - full.first) + (emptier.end - emptier.first)
    keep = max(1, round(both * memory[0] / sum(memory)))
    count = max(1, full.end - full.first - keep)
    room = model.max_layers(emptier.kind, IMPROVING_FILL) - (emptier.end - emptier.first)
    count = max(1, min(count, room))
    if emptier.first < full.first:
        low, high = emptier.first, max(emptier.end, full.first + count)
    else:
        low, high = min(emptier.first, full.end - count), emptier.end
    return Assignment(emptier.instance, low, high, "balances")


def trim(model: ModelSpec, hosts: Sequence[LayerHost], copies: int) -> tuple[Assignment, ...]:
    """Take layers from one host that is too full, where enough others hold them."""
    for host in sorted(hosts, key=lambda each: -each.fill(model)):
        if host.empty or host.fill(model) <= TRIM_FILL:
            return ()
        others = [each for each in hosts if each is not host]
        needed = gaps(model, others, copies)
        low, high = _still_needed(host, needed)
        keep = max(1, model.max_layers(host.kind, PREFERRED_FILL))
        low, high = host.widened(low, high, keep)
        if (low, high) != (host.first, host.end):
            return (Assignment(host.instance, low, high, "trimmed"),)
    return ()


def _still_needed(host: LayerHost, needed: Sequence[tuple[int, int]]) -> tuple[int, int]:
    inside = [
        (max(low, host.first), min(high, host.end))
        for low, high in needed
        if low < host.end and host.first < high
    ]
    if not inside:
        return host.first, host.first
    return inside[0][0], inside[-1][1]
