"""What a layout of a model is worth: the streams that it serves a second, whole and after losses.

Load pattern: at high load every copy is as full as its places and its memory let it be, and a few
hosts are lost before their layers are loaded elsewhere. A stream holds its place for as long as it
is written, so a copy of fast hosts serves more streams with the same memory; one slow host in a
copy makes every stream there longer. A copy over many hosts is lost more often.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from deckcourse.layers.model import HOP_MS, ModelSpec

__all__ = [
    "HeldLayers",
    "copy_rate",
    "expected_part",
    "memory_places",
    "places_of",
    "stream_ms",
]

# Layouts are compared whole and after the loss of one and of two hosts of the group: the streams
# that break are few, but until their layers are loaded elsewhere the rest has to carry the load.
LOSSES = (0, 1, 2)


@dataclass(frozen=True)
class HeldLayers:
    """What a host of a copy holds: the layers `first` up to `end` on a kind of accelerator."""

    kind: str
    first: int
    end: int

    @property
    def layers(self) -> int:
        """How many layers it holds."""
        return self.end - self.first


def memory_places(model: ModelSpec, copy: Sequence[HeldLayers]) -> float:
    """Return how many usual requests have memory beside the weights of a copy's fullest host."""
    alike = {(each.kind, each.layers) for each in copy}
    return min((model.places(kind, layers, layers) for kind, layers in alike), default=0.0)


def places_of(model: ModelSpec, copy: Sequence[HeldLayers]) -> float:
    """Return how many usual requests a copy takes at once, 0 where it has no hosts.

    It is bounded by the places of the hosts at which paths begin, and by memory.
    """
    firsts = sum(each.first == 0 for each in copy)
    return min(firsts * model.requests, memory_places(model, copy))


def stream_ms(model: ModelSpec, path: Iterable[HeldLayers], streams: float) -> float:
    """Return how long a usual stream takes on a path, from its arrival to its last token.

    Args:
      model: the model.
      path: who runs which layers, each layer once.
      streams: how many are written at once on it.
    """
    layers: Counter[str] = Counter()
    parts = 0
    for each in path:
        layers[each.kind] += each.layers
        parts += 1
    token = HOP_MS * (parts - 1)
    reading = 0.0
    for kind, count in layers.items():
        token += count / model.layers * model.token_ms(kind, streams)
        reading += count / model.layers * model.reading_ms(kind)
    # A new request waits for half of a pass, in which each stream gets an event, in the mean.
    return reading + token * (model.event_tokens / 2 + model.usual_answer)


def copy_rate(model: ModelSpec, copy: Sequence[HeldLayers]) -> float:
    """Return how many usual streams a copy serves in a second with all its places taken.

    Args:
      model: the model.
      copy: what each host of the copy holds; where several hold the first layers, paths begin at
        one each, and all share the others.
    """
    places = places_of(model, copy)
    if not places:
        return 0.0
    longest = max((each for each in copy if each.first == 0), key=lambda each: each.layers)
    path = [longest, *(each for each in copy if each.first > 0)]
    return places / stream_ms(model, path, places) * 1000


def expected_part(hosts: int, everybody: int) -> float:
    """Return how probably a copy is whole, in the mean over the losses that are weighed.

    Args:
      hosts: how many hosts hold the copy.
      everybody: how many hosts of the group may be lost.
    """
    spared = 1.0 - hosts / max(hosts, everybody, 1)
    return sum(spared**lost for lost in LOSSES) / len(LOSSES)
