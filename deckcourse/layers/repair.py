"""Plans that make a model whole again, or closer to it."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from deckcourse.layers.coverage import holder_counts
from deckcourse.layers.cuts import restore
from deckcourse.layers.hosts import MAX_FILL, Assignment, Group, LayerHost
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.relocation import relocate
from deckcourse.layers.slices import slice_model

__all__ = ["heal"]

# Hosts are filled at most this far where that makes the model whole: the remaining memory holds
# some 40 concurrent usual requests, with the maximum fill 20.
HEALING_FILL = 0.83


def heal(
    model: ModelSpec,
    group: Group,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    settled: bool,
    healing_fill: float = HEALING_FILL,
) -> tuple[Assignment, ...]:
    """Return the orders that make a model whole again, or closer to it.

    Hosts that only extend their ranges do no harm, even if the plan is carried out in part. Layers
    are dropped only where that makes the model whole at once and no order is pending: otherwise
    half of such a plan would open one gap to close another.

    Args:
      model: the model to make whole.
      group: the group; whether it serves requests decides what may be dropped.
      hosts: the hosts of the group, with their pending ranges.
      pending: the hosts that accept no order now.
      settled: whether the rows are reliable; if not, no host is moved.
      healing_fill: the maximum fill of a host where that makes the model whole.

    Returns:
      The assignments, none if nothing brings the model closer to being whole.
    """
    for fill in (healing_fill, MAX_FILL):
        widened, is_whole = restore(model, hosts, pending, give_up=False, fill=fill)
        if is_whole:
            return widened
        if settled and not group.open:
            relocated = relocate(model, hosts, pending, not group.is_passable, fill)
            if relocated:
                return relocated
    if pending:
        return widened
    recut, is_whole = restore(model, hosts, pending, give_up=True)
    if is_whole:
        return recut
    widened = widened or _widen_towards_slices(model, hosts)
    return widened or (_drop_redundant_layers(model, hosts) if settled else ())


def _widen_towards_slices(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let every host load layers towards an even slice of the model, besides those it holds.

    A gap that is too wide for its neighbours is closed in several plans: each host takes layers of
    the next one, which can then drop them and take others closer to the gap.
    """
    ordered = sorted(hosts, key=lambda each: (each.first, each.end, each.instance))
    by_instance = {each.instance: each for each in hosts}
    assignments = []
    for wanted in slice_model(model, ordered, "widens"):
        host = by_instance[wanted.instance]
        low, high = wanted.first, wanted.end
        if not host.is_empty:
            low, high = _extended_range(model, host, wanted)
        if (low, high) != (host.first, host.end):
            assignments.append(replace(wanted, first=low, end=high))
    return tuple(assignments)


def _extended_range(model: ModelSpec, host: LayerHost, wanted: Assignment) -> tuple[int, int]:
    """Return a host's range, extended towards the wanted one as far as its memory allows."""
    low, high = host.first, host.end
    spare_layers = model.max_layers(host.kind, MAX_FILL) - (high - low)
    while spare_layers > 0 and (wanted.first < low or high < wanted.end):
        if high < wanted.end:
            high += 1
        else:
            low -= 1
        spare_layers -= 1
    return low, high


def _drop_redundant_layers(model: ModelSpec, hosts: Sequence[LayerHost]) -> tuple[Assignment, ...]:
    """Let full hosts drop layers that others hold too, on the side away from a gap."""
    holder_count_by_layer = holder_counts(model, hosts)
    ordered = sorted(hosts, key=lambda each: (each.first, each.end, each.instance))
    by_instance = {each.instance: each for each in hosts}
    assignments = []
    for wanted in slice_model(model, ordered, "makes room"):
        host = by_instance[wanted.instance]
        low, high = host.first, host.end
        if low <= wanted.first and wanted.end <= high:
            continue
        while low < min(wanted.first, high - 1) and holder_count_by_layer[low] > 1:
            holder_count_by_layer[low] -= 1
            low += 1
        while high > max(wanted.end, low + 1) and holder_count_by_layer[high - 1] > 1:
            high -= 1
            holder_count_by_layer[high] -= 1
        if (low, high) != (host.first, host.end):
            assignments.append(replace(wanted, first=low, end=high))
    return tuple(assignments)
