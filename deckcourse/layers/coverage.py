"""How often each layer of a model is held."""

from collections.abc import Iterable

from deckcourse.layers.hosts import LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["gaps", "holders"]


def holders(model: ModelSpec, hosts: Iterable[LayerHost]) -> list[int]:
    """Return for each layer how many hosts hold it."""
    count = [0] * model.layers
    for host in hosts:
        for layer in range(host.first, min(host.end, model.layers)):
            count[layer] += 1
    return count


def gaps(model: ModelSpec, hosts: Iterable[LayerHost], depth: int) -> list[tuple[int, int]]:
    """Return the ranges that fewer than `depth` hosts hold, in order."""
    count = holders(model, hosts)
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
