"""The value of a layout at the demand: the streams that it serves and that lost hosts interrupt.

Load pattern: all copies together have room for several times the streams that run, while each path
has up to 18 stages. A lost host interrupts every stream whose path passes it, and most of these
miss the longest pause that their callers allow. Memory that requests don't need therefore holds
further copies or larger slices, so that a loss meets fewer streams.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from deckcourse.decisions.layout_rate import HeldLayers, request_capacity, stream_ms
from deckcourse.layers.hosts import MAX_FILL, PREFERRED_FILL
from deckcourse.layers.model import BYTES_PER_MB, ModelSpec

__all__ = [
    "BURST_FACTOR",
    "LOST_HOST_COUNTS",
    "NO_DEMAND",
    "CopyPaths",
    "MemoryTarget",
    "PlacementDemand",
    "SharedPath",
    "copy_value",
    "interrupted_share",
    "layout_value",
    "memory_target",
    "paths_of",
]

# The numbers of adjacent hosts that are lost at once, over which interruptions are averaged: hosts
# that share a rack or a power supply end together.
LOST_HOST_COUNTS = (1, 2, 3, 4)
# Callers of one route arrive at up to this multiple of their usual rate within seconds, sooner than
# layers can be dropped and loaded.
BURST_FACTOR = 2.4
# Maximum preferred fill: above it, a host has no memory for the layers of lost neighbours.
MAX_PREFERRED_FILL = 0.83
# The demand counts as at least this share of the expected one: at night few streams run, and the
# first burst of the day finds the layout of the night.
MIN_DEMAND_SHARE = 0.25


@dataclass(frozen=True)
class PlacementDemand:
    """What a placement is made for.

    `weight` is the exponent of the share of streams that losses don't interrupt, 0 to ignore them.
    `streams` is the observed number of concurrent streams of a group, 0 if none was observed, and
    `expected_streams` the number that operators expect, 0 if they don't say.
    """

    weight: float = 0.0
    streams: float = 0.0
    expected_streams: float = 0.0

    @property
    def usual_streams(self) -> float:
        """The number of concurrent streams of a group, without a margin; 0 if it isn't known."""
        if not self.streams:
            return self.expected_streams
        return max(self.streams, MIN_DEMAND_SHARE * self.expected_streams)


# Interruptions don't count: layouts are chosen by the streams that they serve at full capacity.
NO_DEMAND = PlacementDemand()


@dataclass(frozen=True)
class MemoryTarget:
    """How the memory of a group is divided between weights and the KV cache of requests.

    Attributes:
      streams: the concurrent streams of the group, without a margin.
      copies: the number of copies of the model.
      copy_streams: the concurrent streams that each copy has memory for, with all margins.
      fill: the preferred share of a host's memory for weights.
      healing_fill: the same for hosts that load the layers of lost ones: it leaves the KV cache for
        the whole demand without a burst, since they may be the only holders of these layers.
    """

    streams: float
    copies: int
    copy_streams: float
    fill: float
    healing_fill: float


@dataclass(frozen=True)
class CopyPaths:
    """The paths over one copy: their capacity, their duration and the stages of each."""

    capacity: float
    stream_ms: float
    stages: tuple[int, ...]


@dataclass(frozen=True)
class SharedPath:
    """A path, the layers that each of its stages runs, and its share of the running streams."""

    share: float
    stages: tuple[HeldLayers, ...]


def memory_target(
    model: ModelSpec, memory_mb: Sequence[float], demand: PlacementDemand
) -> MemoryTarget | None:
    """Return how the memory of a group is to be divided, with as many copies as the demand allows.

    Args:
      model: the model.
      memory_mb: the memory of each host of the group.
      demand: the demand on the group.

    Returns:
      The target; None without a weight for interruptions, if the demand or the KV cache of the
      model isn't known, or if the demand leaves no memory unused.
    """
    streams = demand.usual_streams
    if demand.weight <= 0.0 or not streams or not model.cache_bytes:
        return None
    weights = model.layers * model.layer_mb
    stream_mb = model.cache_bytes * model.usual_tokens / BYTES_PER_MB
    total = sum(memory_mb)
    # Without the largest hosts, as many as may be lost at once.
    after_loss = total - sum(sorted(memory_mb)[-LOST_HOST_COUNTS[-1] :])
    for copies in range(int(total / weights), 0, -1):
        copy_streams = BURST_FACTOR * streams / max(1, copies - 1)
        fits = copies * (weights + copy_streams * stream_mb) <= total
        heals = copies * weights <= MAX_FILL * after_loss
        heals &= copies * weights + streams * stream_mb <= after_loss
        if fits and heals:
            fill = weights / (weights + copy_streams * stream_mb)
            fill = min(max(fill, PREFERRED_FILL), MAX_PREFERRED_FILL)
            healing_fill = weights / (weights + streams * stream_mb)
            return MemoryTarget(
                streams, copies, copy_streams, fill, min(max(healing_fill, fill), MAX_FILL)
            )
    return None


def interrupted_share(paths: Iterable[tuple[float, int]], group_size: int) -> float:
    """Return the expected share of running streams that the loss of adjacent hosts interrupts.

    Hosts are adjacent if their layers are: a range of lost hosts meets a path of some stages in as
    many positions as it has stages, and in a few more at the ends.

    Args:
      paths: the share of the running streams on each path, and the number of its stages.
      group_size: the number of hosts in the group, each of which may be lost.
    """
    return sum(share * _hit_probability(stages, group_size) for share, stages in paths)


def _hit_probability(stages: int, group_size: int) -> float:
    hosts = max(stages, group_size, 1)
    hits = [min(1.0, (stages + lost - 1) / hosts) for lost in LOST_HOST_COUNTS]
    return sum(hits) / len(hits)


def paths_of(model: ModelSpec, copy: Sequence[HeldLayers], streams: float) -> CopyPaths:
    """Return the paths over a copy if it runs some concurrent streams, or as many as it can.

    Each host that holds the first layers begins a path. A path that begins at another one than the
    longest goes on with the rest of that one's layers, if it holds fewer.
    """
    capacity = min(streams, request_capacity(model, copy))
    if not capacity:
        return CopyPaths(0.0, 0.0, ())
    first_stages = [each for each in copy if each.first == 0]
    later_stages = [each for each in copy if each.first > 0]
    longest = max(first_stages, key=_layer_count)
    stages = tuple([1 + len(later_stages) + (each.end < longest.end) for each in first_stages])
    return CopyPaths(capacity, stream_ms(model, [longest, *later_stages], capacity), stages)


def _layer_count(held: HeldLayers) -> int:
    return held.layers


def copy_value(
    model: ModelSpec,
    copy: Sequence[HeldLayers],
    group_size: int,
    target: MemoryTarget,
    demand: PlacementDemand,
) -> float:
    """Return the streams a second that a copy serves at its part of the demand, weighted.

    The weight is the share of its streams that a loss doesn't interrupt, to the power of the
    demand's weight.
    """
    paths = paths_of(model, copy, target.copy_streams)
    if not paths.capacity:
        return 0.0
    equal_share = 1.0 / len(paths.stages)
    interrupted = interrupted_share([(equal_share, each) for each in paths.stages], group_size)
    return paths.capacity / paths.stream_ms * 1000 * (1.0 - interrupted) ** demand.weight


def layout_value(
    model: ModelSpec,
    copies: Sequence[Sequence[HeldLayers]],
    paths: Sequence[SharedPath],
    host_kinds: Sequence[str],
    target: MemoryTarget,
    demand: PlacementDemand,
) -> float:
    """Return the streams a second that a layout serves at the demand with its margins, weighted.

    The weight is the share of streams that a loss doesn't interrupt, to the power of the demand's
    weight. A layout whose memory can't hold the demand after the loss of a copy, or the layers of
    the lost hosts, counts less in proportion.

    Args:
      model: the model.
      copies: the layers of each host of each copy.
      paths: the paths over all copies, which may pass several of them.
      host_kinds: the kind of each host of the group.
      target: how the group's memory is divided.
      demand: the demand on the group.
    """
    capacities = [request_capacity(model, each) for each in copies]
    if not capacities or not all(capacities) or not paths:
        return 0.0
    needed = BURST_FACTOR * target.streams
    remaining = sum(capacities) - (max(capacities) if len(capacities) > 1 else 0.0)
    served = needed * min(1.0, remaining / needed)
    per_copy = needed / len(copies)
    mean_ms = sum(each.share * stream_ms(model, each.stages, per_copy) for each in paths)
    by_path = [(each.share, len(each.stages)) for each in paths]
    kept = (1.0 - interrupted_share(by_path, len(host_kinds))) ** demand.weight
    return served / mean_ms * 1000 * kept * _healable_share(model, copies, host_kinds)


def _healable_share(
    model: ModelSpec, copies: Sequence[Sequence[HeldLayers]], host_kinds: Sequence[str]
) -> float:
    """Return the share of the layers of the fullest hosts, lost at once, that the rest can load."""
    held = sorted((each for copy in copies for each in copy), key=lambda each: each.layers)
    lost, rest = held[-LOST_HOST_COUNTS[-1] :], held[: -LOST_HOST_COUNTS[-1]]
    spare = sum(max(0, model.max_layers(each.kind, MAX_FILL) - each.layers) for each in rest)
    idle = Counter(host_kinds) - Counter(each.kind for each in held)
    spare += sum(model.max_layers(kind, MAX_FILL) * count for kind, count in idle.items())
    return min(1.0, spare / max(1, sum(each.layers for each in lost)))
