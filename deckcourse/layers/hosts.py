"""Upstreams as hosts of a model's layers, and the groups of hosts that hold a model.

A group is a failure domain that can hold the model by itself, so that no activations cross between
domains; upstreams of the remaining domains form one common group.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter

from deckcourse.layers.model import ModelSpec

__all__ = [
    "PREFERRED_FILL",
    "MAX_FILL",
    "Assignment",
    "Group",
    "LayerHost",
    "domains_of",
    "groups_of",
    "memory_mb",
]

# Separates the domains in the name of a group of several domains.
SEPARATOR = "+"
# Shares of an accelerator's memory for weights; the rest holds the KV cache of requests.
PREFERRED_FILL = 0.60
MAX_FILL = 0.92
# The layers of a host that is slower than usual by this factor are also loaded elsewhere.
MIN_SLOW_PACE = 2.5
# A group holds one copy for each time that its memory is this multiple of the model's weights; the
# rest is for the KV cache of requests and for healing.
MEMORY_PER_COPY = 1.65


@dataclass(frozen=True)
class LayerHost:
    """An upstream that holds the layers `first` to `end` (exclusive), none if both are 0.

    `usable` is false if the upstream is leaving or this process suspects it. `serving` is false
    only if it is confirmed lost. `pace` is the factor by which it is slower than usual. `lapsing`
    marks one whose row was missing after a store outage and may return. `scarce` marks a rate
    limited first stage, whose layers are also loaded elsewhere.
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
    def is_empty(self) -> bool:
        """Whether it holds no layers."""
        return self.end <= self.first

    def fill(self, model: ModelSpec) -> float:
        """Return the share of its memory that the weights it holds occupy."""
        return (self.end - self.first) * model.layer_mb / model.kind_of(self.kind).memory_mb

    def max_layers(self, model: ModelSpec, fill: float) -> int:
        """Return how many layers it may hold: up to a fill, but at least those it already holds."""
        return max(model.max_layers(self.kind, fill), self.end - self.first)

    def widened_range(self, first: int, end: int, count: int) -> tuple[int, int]:
        """Return a range within its own, widened to `count` layers or to all that it holds."""
        while end - first < count and (first > self.first or end < self.end):
            if end < self.end:
                end += 1
            else:
                first -= 1
        return first, end


@dataclass(frozen=True)
class Assignment:
    """The range that one upstream is to hold, and why.

    With `at_once` it drops its other layers without waiting for requests that run on them.
    """

    instance: str
    first: int
    end: int
    reason: str
    at_once: bool = False


@dataclass(frozen=True)
class Group:
    """Upstreams that are to hold `copies` copies of a model together.

    `open` is true if every layer is held, slow and suspected hosts included: new requests may be
    served. `is_passable` is the same with leaving hosts included: running streams continue.
    """

    name: str
    hosts: tuple[LayerHost, ...]
    copies: int
    open: bool = False
    is_passable: bool = False


def groups_of(model: ModelSpec, hosts: Iterable[LayerHost]) -> tuple[Group, ...]:
    """Return the groups of the usable hosts; domains that can't hold the model together form none.

    Args:
      model: the model to place.
      hosts: all upstreams of the model's service.
    """
    usable: dict[str, list[LayerHost]] = defaultdict(list)
    serving: dict[str, list[LayerHost]] = defaultdict(list)
    for host in hosts:
        if host.usable and host.pace < MIN_SLOW_PACE and not host.scarce:
            usable[host.domain].append(host)
        if host.serving:
            serving[host.domain].append(host)
    groups = []
    leftover_domains: list[str] = []
    for domain, domain_hosts in sorted(usable.items()):
        if _can_hold(model, domain_hosts):
            groups.append(_group(model, domain, domain_hosts, serving[domain]))
        else:
            leftover_domains.append(domain)
    leftover_hosts = [each for domain in leftover_domains for each in usable[domain]]
    if leftover_hosts and _can_hold(model, leftover_hosts):
        serving_hosts = [each for domain in leftover_domains for each in serving[domain]]
        groups.append(
            _group(model, SEPARATOR.join(leftover_domains), leftover_hosts, serving_hosts)
        )
    return tuple(groups)


def domains_of(group: str) -> frozenset[str]:
    """Return the failure domains of a group by its name."""
    return frozenset(group.split(SEPARATOR))


def memory_mb(model: ModelSpec, hosts: Iterable[LayerHost]) -> float:
    """Return the total memory of the hosts, MB."""
    return sum(model.kind_of(kind).memory_mb * count for kind, count in _kind_counts(hosts).items())


def _kind_counts(hosts: Iterable[LayerHost]) -> Counter[str]:
    """Return the number of hosts of each kind; there are few kinds."""
    return Counter([each.kind for each in hosts])


def _can_hold(model: ModelSpec, hosts: Sequence[LayerHost]) -> bool:
    counts = _kind_counts(hosts).items()
    capacity = sum(model.max_layers(kind, MAX_FILL) * count for kind, count in counts)
    return capacity >= model.layers


def _group(
    model: ModelSpec, name: str, hosts: Sequence[LayerHost], serving_hosts: Sequence[LayerHost]
) -> Group:
    copies = int(memory_mb(model, hosts) / (MEMORY_PER_COPY * model.layers * model.layer_mb))
    ordered = tuple(sorted(hosts, key=attrgetter("instance")))
    is_open = _holds_all(model, [each for each in serving_hosts if not each.leaving])
    return Group(
        name, ordered, max(1, copies), is_open, is_open or _holds_all(model, serving_hosts)
    )


def _holds_all(model: ModelSpec, hosts: Iterable[LayerHost]) -> bool:
    # A set of ranges, since many hosts hold the same few ranges.
    ranges = {(each.first, each.end) for each in hosts}
    covered = {layer for first, end in ranges for layer in range(first, end)}
    return covered >= set(range(model.layers))
