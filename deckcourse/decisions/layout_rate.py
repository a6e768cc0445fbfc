"""The value of a layout of a model: the streams a second that it serves, also after host losses.

Load pattern: at high load every copy is as full as its request slots and memory allow, and a few
hosts are lost before their layers are loaded elsewhere. A stream occupies its slot until it ends,
so a copy on fast hosts serves more streams with the same memory; one slow host in a copy slows all
its streams. A copy on many hosts is lost more often.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from deckcourse.layers.model import HOP_MS, ModelSpec

__all__ = [
    "HeldLayers",
    "copy_rate",
    "survival_probability",
    "memory_capacity",
    "request_capacity",
    "stream_ms",
]

# Layouts are compared with no, one and two hosts of the group lost: few streams break, but the
# remaining copies carry the load until the lost layers are loaded elsewhere.
LOST_HOST_COUNTS = (0, 1, 2)


@dataclass(frozen=True)
class HeldLayers:
    """The layers that a host of a copy holds, `first` to `end` (exclusive), on its accelerator."""

    kind: str
    first: int
    end: int

    @property
    def layers(self) -> int:
        """The number of layers."""
        return self.end - self.first


def memory_capacity(model: ModelSpec, copy: Sequence[HeldLayers]) -> float:
    """Return how many usual requests fit into the KV cache of a copy's fullest host."""
    distinct = {(each.kind, each.layers) for each in copy}
    return min(
        (model.request_capacity(kind, layers, layers) for kind, layers in distinct), default=0.0
    )


def request_capacity(model: ModelSpec, copy: Sequence[HeldLayers]) -> float:
    """Return how many usual requests a copy runs concurrently, 0 if it has no hosts.

    The request slots of its first stages and memory limit it.
    """
    first_stages = sum(each.first == 0 for each in copy)
    return min(first_stages * model.requests, memory_capacity(model, copy))


def stream_ms(model: ModelSpec, path: Iterable[HeldLayers], stream_count: float) -> float:
    """Return the duration of a usual stream on a path, from its arrival to its last token, ms.

    Args:
      model: the model.
      path: the layer ranges of its stages, each layer once.
      stream_count: the number of concurrent streams on it.
    """
    layers: Counter[str] = Counter()
    stages = 0
    for each in path:
        layers[each.kind] += each.layers
        stages += 1
    token_ms = HOP_MS * (stages - 1)
    prompt_ms = 0.0
    for kind, count in layers.items():
        token_ms += count / model.layers * model.token_ms(kind, stream_count)
        prompt_ms += count / model.layers * model.prompt_ms(kind)
    # A new request waits on average for half of a pass, in which each stream gets an event.
    return prompt_ms + token_ms * (model.event_tokens / 2 + model.usual_answer)


def copy_rate(model: ModelSpec, copy: Sequence[HeldLayers]) -> float:
    """Return how many usual streams a second a copy serves at full capacity.

    Args:
      model: the model.
      copy: the layers of each host of the copy; of several that hold the first layers each is the
        first stage of some paths, and all share the other hosts.
    """
    capacity = request_capacity(model, copy)
    if not capacity:
        return 0.0
    first_stage = max((each for each in copy if each.first == 0), key=lambda each: each.layers)
    path = [first_stage, *(each for each in copy if each.first > 0)]
    return capacity / stream_ms(model, path, capacity) * 1000


def survival_probability(hosts: int, group_size: int) -> float:
    """Return the probability that a copy loses no host, averaged over `LOST_HOST_COUNTS`.

    Args:
      hosts: the number of hosts that hold the copy.
      group_size: the number of hosts in the group, each of which may be lost.
    """
    survival_share = 1.0 - hosts / max(hosts, group_size, 1)
    return sum(survival_share**lost for lost in LOST_HOST_COUNTS) / len(LOST_HOST_COUNTS)
