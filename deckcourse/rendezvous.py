"""Rendezvous hashing: who of many owns a key, so that few keys move when one joins or leaves."""

from collections.abc import Iterable, Mapping
from math import log

from xxhash import xxh3_64_intdigest

__all__ = ["owner", "ranked"]

_HASHES = 2.0**64


def owner(key: str, nodes: Iterable[str]) -> str:
    """Return the node with the highest hash together with the key."""
    return max(nodes, key=lambda node: (xxh3_64_intdigest(f"{node}\0{key}".encode()), node))


def ranked(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return nodes in their order for a key; one of twice the weight is first twice as often."""

    def place(node: str) -> tuple[float, str]:
        drawn = (xxh3_64_intdigest(f"{node}\0{key}".encode()) + 1) / (_HASHES + 1)
        return log(drawn) / max(weights[node], 1e-9), node

    return sorted(weights, key=place, reverse=True)
