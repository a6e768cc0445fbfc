"""Upstreams as holders of a model's layers, and the groups that hold a model together.

A group is a failure domain that can hold the model by itself, so that no activations cross between
domains; upstreams of domains that can't are put together in one group.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter

from deckcourse.layers.model import ModelSpec

__all__ = [
    "EVEN_FILL",
    "LARGEST_FILL",
    "Assignment",
    "Group",
    "LayerHost",
    "domains_of",
    "groups_of",
    "memory_mb",
]

# Stands between the domains in the name of a group of several.
SEPARATOR = "+"
# Parts of an accelerator's memory that weights may take; the rest holds the KV cache of requests.
EVEN_FILL = 0.60
LARGEST_FILL = 0.92
# What a host that is so many times slower than usual holds is loaded elsewhere as well.
SLOW_PACE = 2.5
# A group holds one copy for each time that its memory takes so many times the model's weights; the
# rest is for the KV cache of requests and for healing.
MEMORY_PER_COPY = 1.65


@dataclass(frozen=True)
class LayerHost:
    """An upstream that holds the layers `first` up to `end`, none where both are 0.

    `usable` is false for one that leaves or that this process suspects, `serving` only for one that
    is lost beyond doubt; `pace` over 1 says how many times slower than usual it works. `lapsing`
    says that its row was gone when the store came back: it may be there again in a moment. `scarce`
    marks a rate limited first upstream, whose layers are loaded elsewhere as well.
    """

    instance: str
    domain: str
    kind: str
    first: int = 0
    end: int = 0
    address: str = ""
    usable: bool = True
    pace: float = 1.0
    serving: bool = True
    leaving: bool = False
    lapsing: bool = False
    scarce: bool = False

    @property
    def empty(self) -> bool:
        """Whether it holds nothing."""
        return self.end <= self.first

    def fill(self, model: ModelSpec) -> float:
        """Return the part of its memory that the weights it holds take."""
        return (self.end - self.first) * model.layer_mb / model.kind_of(self.kind).memory_mb

    def most_layers(self, model: ModelSpec, fill: float) -> int:
        """Return how many layers it may hold: up to a fill, or as many as it holds already."""
        return max(model.most_layers(self.kind, fill), self.end - self.first)

    def widened(self, first: int, end: int, layers: int) -> tuple[int, int]:
        """Return a part of what it holds, widened to `layers` layers as far as it holds them."""
        while end - first < layers and (first > self.first or end < self.end):
            if end < self.end:
                end += 1
            else:
                first -= 1
        return first, end


@dataclass(frozen=True)
class Assignment:
    """What one upstream should hold from now on, and why.

    With `at_once` it gives up everything else without waiting for the requests that pass there.
    """

    instance: str
    first: int
    end: int
    reason: str
    at_once: bool = False


@dataclass(frozen=True)
class Group:
    """Upstreams that are to hold `copies` of a model together.

    `open` tells whether every layer is held if slow and doubtful ones count: new requests may be
    served then. `passable` tells the same if those that leave count too: streams under way go on.
    """

    name: str
    hosts: tuple[LayerHost, ...]
    copies: int
    open: bool = False
    passable: bool = False


def groups_of(model: ModelSpec, hosts: Iterable[LayerHost]) -> tuple[Group, ...]:
    """Return the groups of the usable hosts; hosts of a rest that can't hold the model are none.

    Args:
      model: the model to place.
      hosts: every upstream of its service.
    """
    usable: dict[str, list[LayerHost]] = defaultdict(list)
    serving: dict[str, list[LayerHost]] = defaultdict(list)
    for host in hosts:
        if host.usable and host.pace < SLOW_PACE and not host.scarce:
            usable[host.domain].append(host)
        if host.serving:
            serving[host.domain].append(host)
    groups = []
    rest: list[str] = []
    for domain, members in sorted(usable.items()):
        if _can_hold(model, members):
            groups.append(_group(model, domain, members, serving[domain]))
        else:
            rest.append(domain)
    together = [each for domain in rest for each in usable[domain]]
    if together and _can_hold(model, together):
        there = [each for domain in rest for each in serving[domain]]
        groups.append(_group(model, SEPARATOR.join(rest), together, there))
    return tuple(groups)


def domains_of(group: str) -> frozenset[str]:
    """Return the failure domains of the group of a name."""
    return frozenset(group.split(SEPARATOR))


def memory_mb(model: ModelSpec, hosts: Iterable[LayerHost]) -> float:
    """Return the memory of all hosts together, in MB."""
    return sum(model.kind_of(kind).memory_mb * count for kind, count in _kinds(hosts).items())


def _kinds(hosts: Iterable[LayerHost]) -> Counter[str]:
    """Return how many hosts there are of each kind, of which there are few."""
    return Counter([each.kind for each in hosts])


def _can_hold(model: ModelSpec, hosts: Sequence[LayerHost]) -> bool:
    counts = _kinds(hosts).items()
    most = sum(model.most_layers(kind, LARGEST_FILL) * count for kind, count in counts)
    return most >= model.layers


def _group(
    model: ModelSpec, name: str, hosts: Sequence[LayerHost], there: Sequence[LayerHost]
) -> Group:
    copies = int(memory_mb(model, hosts) / (MEMORY_PER_COPY * model.layers * model.layer_mb))
    ordered = tuple(sorted(hosts, key=attrgetter("instance")))
    is_open = _holds_all(model, [each for each in there if not each.leaving])
    return Group(name, ordered, max(1, copies), is_open, is_open or _holds_all(model, there))


def _holds_all(model: ModelSpec, hosts: Iterable[LayerHost]) -> bool:
    # Many hosts hold the same few ranges.
    ranges = {(each.first, each.end) for each in hosts}
    held = {layer for first, end in ranges for layer in range(first, end)}
    return held >= set(range(model.layers))
