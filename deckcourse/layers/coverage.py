"""How often each layer of a model is held."""

from collections import Counter
from collections.abc import Iterable

from deckcourse.layers.hosts import LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["gaps", "holders", "range_gaps"]


def holders(model: ModelSpec, hosts: Iterable[LayerHost]) -> list[int]:
    """Return for each layer how many hosts hold it."""
    return _held(model, _ranges(hosts))


def gaps(model: ModelSpec, hosts: Iterable[LayerHost], depth: int) -> list[tuple[int, int]]:
    """Return the ranges that fewer than `depth` hosts hold, in order."""
    return range_gaps(model, _ranges(hosts), depth)


def _ranges(hosts: Iterable[LayerHost]) -> list[tuple[int, int]]:
    """Return the range that each host holds."""
    return [(each.first, each.end) for each in hosts]


def _held(model: ModelSpec, ranges: Iterable[tuple[int, int]]) -> list[int]:
    # Many hosts hold the same few ranges.
    count = [0] * model.layers
    for (first, end), times in Counter(ranges).items():
        for layer in range(first, min(end, model.layers)):
            count[layer] += times
    return count


def range_gaps(
    model: ModelSpec, ranges: Iterable[tuple[int, int]], depth: int
) -> list[tuple[int, int]]:
    """Return the ranges of layers that fewer than `depth` of the given ones hold, in order."""
    count = _held(model, ranges)
    found = []
    start = None
    for layer in range(model.layers + 1):
        short = layer < model.layers and count[layer] < depth
        if short and start is None:
            start = layer
        if not short and start is not None:
            found.append((start, layer))
            start = None
    return found
