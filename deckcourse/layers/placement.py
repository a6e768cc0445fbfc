"""Computes from the layers held which layers each upstream of a group should hold.

The planner is stateless: from the hosts and their ranges it returns the assignments that bring the
model closer to being whole in the group.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from deckcourse.decisions.interruptions import NO_DEMAND, MemoryTarget, PlacementDemand
from deckcourse.layers.coverage import gaps, holder_counts, range_gaps
from deckcourse.layers.hosts import Assignment, Group, LayerHost
from deckcourse.layers.improvements import add_copy, add_part, balance, relieve, trim
from deckcourse.layers.layouts import best_layout, target_of
from deckcourse.layers.leveling import level
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.repair import heal

__all__ = ["plan_group"]


def plan_group(
    model: ModelSpec,
    group: Group,
    pending: Mapping[str, tuple[int, int]] = {},
    settled: bool = True,
    rested: bool = True,
    demand: PlacementDemand = NO_DEMAND,
) -> tuple[Assignment, ...]:
    """Return the orders to give now, none if the group needs no change.

    Args:
      model: the model to place.
      group: the hosts and the layers that they hold.
      pending: the ranges that are ordered and not yet held, by instance.
      settled: whether the rows are reliable; if not, no layers are dropped.
      rested: whether enough time has passed since the last plan for one that only improves.
      demand: the demand on the group; without a weight for interruptions it has no effect.
    """
    # The ranges that will be held once the pending orders are done.
    ranges = [pending.get(each.instance) or (each.first, each.end) for each in group.hosts]
    if all(end <= first for first, end in ranges):
        return tuple(each for copy in best_layout(model, group, demand) for each in copy)
    if range_gaps(model, ranges, 1):
        promised = [
            replace(host, first=first, end=end)
            for host, (first, end) in zip(group.hosts, ranges, strict=True)
        ]
        target = target_of(model, group, demand)
        if target is not None:
            return heal(model, group, promised, pending, settled, target.healing_fill)
        return heal(model, group, promised, pending, settled)
    if pending or not (settled and rested):
        return ()
    target = target_of(model, group, demand)
    if target is not None:
        return _improve(model, group.hosts, target)
    hosts = group.hosts
    thin_ranges = gaps(model, hosts, group.copies)
    idle = [each for each in hosts if each.is_empty]
    if thin_ranges and idle:
        return add_copy(model, idle, thin_ranges[0])
    if group.copies == 1:
        return relieve(model, hosts) or level(model, hosts)
    return relieve(model, hosts) or trim(model, hosts, group.copies) or balance(model, hosts)


def _improve(
    model: ModelSpec, hosts: Sequence[LayerHost], target: MemoryTarget
) -> tuple[Assignment, ...]:
    """Return the orders that bring an idle group closer to a division of its memory."""
    idle = [each for each in hosts if each.is_empty]
    if idle:
        # A copy that lost hosts is completed before they return, although the memory of the others
        # is divided between fewer copies. The layers with the fewest holders come first.
        usual_holders = sorted(holder_counts(model, hosts))[model.layers // 2]
        for depth in range(1, max(target.copies, usual_holders) + 1):
            thin_ranges = gaps(model, hosts, depth)
            if thin_ranges:
                return add_copy(model, idle, thin_ranges[0]) or add_part(
                    model, idle, thin_ranges[0], target.fill
                )
    # Idle hosts stay in reserve for the layers of lost ones while the others have memory for the
    # demand without a burst: layers that are held once more only make paths longer.
    max_fill = target.healing_fill
    relief = relieve(model, hosts, target.fill, max_fill)
    if target.copies == 1:
        return relief or level(model, hosts, target.fill, max_fill)
    return (
        relief or trim(model, hosts, target.copies, target.fill) or balance(model, hosts, max_fill)
    )
