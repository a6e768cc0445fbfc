"""Rendezvous hashing: who of many owns a key, so that few keys move when one joins or leaves."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

__all__ = ["owner"]


def owner(key: str, nodes: Iterable[str]) -> str:
    """Return the node with the highest hash together with the key."""
    return max(nodes, key=lambda node: (xxh3_64_intdigest(f"{node}\0{key}".encode()), node))
