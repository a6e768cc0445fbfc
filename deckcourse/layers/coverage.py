"""The number of hosts that hold each layer of a model."""

from collections import Counter
from collections.abc import Iterable

from deckcourse.layers.hosts import LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["gaps", "holder_counts", "range_gaps"]


def holder_counts(model: ModelSpec, hosts: Iterable[LayerHost]) -> list[int]:
    """Return the number of holders of each layer."""
    return _holder_counts(model, _ranges(hosts))


def gaps(model: ModelSpec, hosts: Iterable[LayerHost], depth: int) -> list[tuple[int, int]]:
    """Return the ranges of layers that fewer than `depth` hosts hold, in order."""
    return range_gaps(model, _ranges(hosts), depth)


def _ranges(hosts: Iterable[LayerHost]) -> list[tuple[int, int]]:
    """Return the layer range of each host."""
    return [(each.first, each.end) for each in hosts]


def _holder_counts(model: ModelSpec, ranges: Iterable[tuple[int, int]]) -> list[int]:
    # Counts equal ranges once, since many hosts hold the same few ranges.
    counts = [0] * model.layers
    for (first, end), holders in Counter(ranges).items():
        for layer in range(first, min(end, model.layers)):
            counts[layer] += holders
    return counts


def range_gaps(
    model: ModelSpec, ranges: Iterable[tuple[int, int]], depth: int
) -> list[tuple[int, int]]:
    """Return the ranges of layers that fewer than `depth` of the given ranges cover, in order."""
    counts = _holder_counts(model, ranges)
    found_gaps = []
    start = None
    for layer in range(model.layers + 1):
        is_gap = layer < model.layers and counts[layer] < depth
        if is_gap and start is None:
            start = layer
        if not is_gap and start is not None:
            found_gaps.append((start, layer))
            start = None
    return found_gaps
