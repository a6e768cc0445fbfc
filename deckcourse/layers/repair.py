"""What makes a model whole again, or brings it nearer to that."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from deckcourse.layers.coverage import holder_counts
from deckcourse.layers.cuts import restore
from deckcourse.layers.hosts import MAX_FILL, Assignment, Group, LayerHost
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.relocation import relocate
from deckcourse.layers.slices import slice_model

__all__ = ["heal"]

# Hosts are filled no further than this where that makes the model whole: beside it there is room
# for some 40 usual requests at once, beside the largest fill for 20.
HEALING_FILL = 0.83


def heal(
    model: ModelSpec,
    group: Group,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    settled: bool,
) -> tuple[Assignment, ...]:
    """Return what makes a model whole again, or nearer to it.

    Hosts that only widen their ranges break nothing, whatever becomes of the plan. Layers are given
    up only where that makes the model whole at once and nothing is under way; half of such a plan
    would open one gap for another.

    Args:
      model: the model to make whole.
      group: whether requests still pass there decides what may be given up.
      hosts: everybody in the group, with what is promised.
      pending: who takes no order now.
      settled: whether the rows can be relied on; if not, no host leaves its place.

    Returns:
      The assignments, none where nothing brings the model nearer to being whole.
    """
    for fill in (HEALING_FILL, MAX_FILL):
        widened, whole = restore(model, hosts, pending, give_up=False, fill=fill)
        if whole:
            return widened
        if settled and not group.open:
            relocated = relocate(model, hosts, pending, not group.passable, fill)
            if relocated:
                return relocated
    if pending:
        return widened
    moved, whole = restore(model, hosts, pending, give_up=True)
    if whole:
        return moved
    widened = widened or _widen_towards_slices(model, hosts)
    return widened or (_make_room(model, hosts) if settled else ())


def _widen_towards_slices(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let every host load layers towards an even slice of the model, beside what it holds.

    A gap that is too wide for its neighbours is closed from afar: each host takes layers of the
    next one, which can then give them up and take others nearer to the gap.
    """
    ordered = sorted(hosts, key=lambda each: (each.first, each.end, each.instance))
    by_instance = {each.instance: each for each in hosts}
    assignments = []
    for wanted in slice_model(model, ordered, "widens"):
        host = by_instance[wanted.instance]
        low, high = wanted.first, wanted.end
        if not host.empty:
            low, high = _extended(model, host, wanted)
        if (low, high) != (host.first, host.end):
            assignments.append(replace(wanted, first=low, end=high))
    return tuple(assignments)


def _extended(model: ModelSpec, host: LayerHost, wanted: Assignment) -> tuple[int, int]:
    """Return a host's range, wider towards what is wanted as far as its memory goes."""
    low, high = host.first, host.end
    spare = model.max_layers(host.kind, MAX_FILL) - (high - low)
    while spare > 0 and (wanted.first < low or high < wanted.end):
        if high < wanted.end:
            high += 1
        else:
            low -= 1
        spare -= 1
    return low, high


def _make_room(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let hosts that are full give up layers that others hold too, on the side away from a gap."""
    depth = holder_counts(model, hosts)
    ordered = sorted(hosts, key=lambda each: (each.first, each.end, each.instance))
    by_instance = {each.instance: each for each in hosts}
    assignments = []
    for wanted in slice_model(model, ordered, "makes room"):
        host = by_instance[wanted.instance]
        low, high = host.first, host.end
        if low <= wanted.first and wanted.end <= high:
            continue
        while low < min(wanted.first, high - 1) and depth[low] > 1:
            depth[low] -= 1
            low += 1
        while high > max(wanted.end, low + 1) and depth[high - 1] > 1:
            high -= 1
            depth[high] -= 1
        if (low, high) != (host.first, host.end):
            assignments.append(replace(wanted, first=low, end=high))
    return tuple(assignments)
