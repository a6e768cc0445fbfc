"""The layouts that a group's hosts allow, and the one that serves the most streams.

Each way of laying a model out over hosts is a function of its own; which one fits depends on how
much the hosts differ in speed and memory, so all are worked out and compared by one measure.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from heapq import heapreplace
from itertools import accumulate

from deckcourse.decisions.layout_rate import (
    HeldLayers,
    copy_rate,
    memory_capacity,
    survival_probability,
)
from deckcourse.layers.hosts import MAX_FILL, PREFERRED_FILL, Assignment, Group, LayerHost
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.slices import slice_sizes

__all__ = ["LAYOUTS", "Copy", "Layout", "best_layout", "by_speed", "interleaved", "layout_rate"]

Copy = tuple[Assignment, ...]
Layout = tuple[Copy, ...]
LayoutWay = Callable[[ModelSpec, Group, float], Layout]

# Part of a host's memory that weights take at the most in a first placement, where that fits: the
# rest is for requests, and for the layers of a neighbour that is lost. On a day with many losses 20
# of 1,000 requests were refused in the end with 0.92, two with 0.70 (one run each).
FIRST_FILL = 0.70
# Hosts that begin a copy beside its first one, at the most: each is lost to the rest of the copy,
# and with two more a copy of the smallest kinds lets in three times what one host does.
MOST_STARTERS = 2
# A way that is less simple must be worth so much more, in parts: the measure is no more exact.
LEAST_GAIN = 0.05
# Layers are dealt inside a copy in proportion to memory, and with more for fast hosts: memory times
# speed to these powers. The fuller a fast host, the shorter a stream and the fewer of them fit.
SPEED_POWERS = (0.0, 0.5, 1.0)
# So many places where the hosts of a group, fast ones first, may be parted into copies, besides
# those where the kind changes; at least so many for each copy that the group has memory for.
LEAST_PARTINGS = 12
PARTINGS_PER_COPY = 4
# A copy takes at most so many times the memory of its weights: more room than that is not filled by
# what may begin there, and the search needn't weigh it. With 3 the layout found for a domain of 35
# hosts serves 34 streams a second, with 4 it serves 41 (by the measure).
MOST_MEMORY_PER_COPY = 4.0


def best_layout(model: ModelSpec, group: Group) -> Layout:
    """Return the layout of empty hosts that serves the most streams, empty where none fits."""
    for fill in (FIRST_FILL, MAX_FILL):
        layouts = [way(model, group, fill) for way in LAYOUTS]
        best = max(layouts, key=lambda each: layout_rate(model, group, each))
        if best:
            break
    return best


def layout_rate(model: ModelSpec, group: Group, layout: Layout) -> float:
    """Return the streams a second that a layout serves, whole and after losses in the mean.

    Args:
      model: the model.
      group: whose hosts hold it.
      layout: what they hold; 0 for one without copies.
    """
    kinds = {each.instance: each.kind for each in group.hosts}
    copies = (
        [HeldLayers(kinds[each.instance], each.first, each.end) for each in copy] for copy in layout
    )
    return sum(_worth(model, copy, len(group.hosts)) for copy in copies)


def _worth(model: ModelSpec, copy: Sequence[HeldLayers], everybody: int) -> float:
    return copy_rate(model, copy) * survival_probability(len(copy), everybody)


class _Copies:
    """The best copies over hosts of one group; hosts of the same kinds hold the same.

    Args:
      model: the model.
      everybody: how many hosts the group has.
      fill: the part of a host's memory that its slice takes at the most.
    """

    def __init__(self, model: ModelSpec, everybody: int, fill: float) -> None:
        self._model = model
        self._everybody = everybody
        self._fill = fill
        self._known: dict[tuple[str, ...], tuple[float, tuple[HeldLayers, ...]]] = {}

    def worth(self, hosts: Sequence[LayerHost]) -> float:
        """Return what the best copy over some hosts is worth, 0 where they can't hold the model."""
        return self._best(_by_memory(self._model, hosts))[0]

    def place(self, hosts: Sequence[LayerHost]) -> Copy:
        """Return the best copy over some hosts, empty where they can't hold the model."""
        ordered = _by_memory(self._model, hosts)
        _, held = self._best(ordered)
        return tuple(
            Assignment(host.instance, each.first, each.end, "first placement")
            for host, each in zip(ordered, held, strict=False)
            if each.layers
        )

    def _best(self, ordered: Sequence[LayerHost]) -> tuple[float, tuple[HeldLayers, ...]]:
        kinds = tuple(each.kind for each in ordered)
        if kinds not in self._known:
            self._known[kinds] = self._search(kinds)
        return self._known[kinds]

    def _search(self, kinds: tuple[str, ...]) -> tuple[float, tuple[HeldLayers, ...]]:
        """Return the worth of the best copy over hosts of some kinds, and what each host holds.

        The smallest ones may only begin paths; the model is sliced over the rest.
        """
        model = self._model
        best: tuple[float, tuple[HeldLayers, ...]] = (0.0, ())
        for starters in range(MOST_STARTERS + 1):
            if best[1] and starters * model.requests >= memory_capacity(model, best[1]):
                break
            beginning = tuple(_starter(model, each) for each in kinds[:starters])
            for power in SPEED_POWERS:
                sliced = self._sliced(kinds[starters:], power)
                if not sliced:
                    continue
                way = (*beginning, *sliced)
                worth = _worth(model, [each for each in way if each.layers], self._everybody)
                if worth > best[0] * (1.0 + LEAST_GAIN):
                    best = worth, way
        return best

    def _sliced(self, kinds: Sequence[str], power: float) -> list[HeldLayers]:
        """Return what each of some hosts holds of one copy, none where the model doesn't fit."""
        row = _interleaved(kinds)
        sizes = slice_sizes(self._model, [kinds[index] for index in row], power, self._fill)
        held = [HeldLayers(kind, 0, 0) for kind in kinds] if sizes else []
        at = 0
        for index, size in zip(row, sizes, strict=False):
            held[index] = HeldLayers(kinds[index], at, at + size)
            at += size
        return held


def interleaved(model: ModelSpec, group: Group, fill: float) -> Layout:
    """Deal the hosts to the copies by memory, so that each copy has some of each kind."""
    decks: list[list[LayerHost]] = [[] for _ in range(group.copies)]
    # The decks by their memory, the emptiest first.
    emptiest = [(0.0, index) for index in range(group.copies)]
    for host in reversed(_by_memory(model, group.hosts)):
        memory, index = emptiest[0]
        decks[index].append(host)
        heapreplace(emptiest, (memory + model.kind_of(host.kind).memory_mb, index))
    copies = _Copies(model, len(group.hosts), fill)
    return tuple(copy for deck in decks if (copy := copies.place(deck)))


def by_speed(model: ModelSpec, group: Group, fill: float) -> Layout:
    """Part the hosts, fast ones first, into the copies that together serve the most streams."""
    ordered = sorted(group.hosts, key=lambda each: (_speed_order(model, each), each.instance))
    memory = [0.0, *accumulate(model.kind_of(each.kind).memory_mb for each in ordered)]
    weights = model.layers * model.layer_mb
    copies = _Copies(model, len(ordered), fill)
    # For each parting the best layout of the hosts before it: its worth, and the parting before.
    best: dict[int, tuple[float, int]] = {0: (0.0, 0)}
    for end in _partings(ordered, group.copies)[1:]:
        found = (0.0, 0)
        for start, (worth, _) in reversed(best.items()):
            if memory[end] - memory[start] > MOST_MEMORY_PER_COPY * weights:
                break
            if memory[end] - memory[start] <= weights:
                continue
            more = copies.worth(ordered[start:end])
            if more and worth + more > found[0]:
                found = worth + more, start
        if found[0]:
            best[end] = found
    layout: list[Copy] = []
    end = len(ordered) if len(ordered) in best else 0
    while end:
        start = best[end][1]
        layout.append(copies.place(ordered[start:end]))
        end = start
    return tuple(reversed(layout))


# Which ways are weighed against each other.
LAYOUTS: tuple[LayoutWay, ...] = (interleaved, by_speed)


def _speed_order(model: ModelSpec, host: LayerHost) -> tuple[float, float]:
    kind = model.kind_of(host.kind)
    return kind.step_factor, -kind.memory_mb


def _partings(ordered: Sequence[LayerHost], copies: int) -> list[int]:
    """Return where hosts may be parted: at both ends, where the kind changes, and evenly."""
    changes = {
        index for index in range(1, len(ordered)) if ordered[index - 1].kind != ordered[index].kind
    }
    count = min(len(ordered), max(LEAST_PARTINGS, PARTINGS_PER_COPY * copies))
    even = {round(len(ordered) * index / count) for index in range(count + 1)}
    return sorted(changes | even)


def _by_memory(model: ModelSpec, hosts: Sequence[LayerHost]) -> list[LayerHost]:
    """Return hosts, the smallest first; which names they have changes no layout's worth."""
    return sorted(
        hosts, key=lambda each: (model.kind_of(each.kind).memory_mb, each.kind, each.instance)
    )


def _starter(model: ModelSpec, kind: str) -> HeldLayers:
    """Return what a host that only begins paths holds."""
    return HeldLayers(kind, 0, min(max(1, model.max_layers(kind, PREFERRED_FILL)), model.layers))


def _interleaved(kinds: Sequence[str]) -> list[int]:
    """Return the order in which each kind is spread evenly, as indexes.

    A small host's neighbours should be able to take its layers.
    """
    by_kind: dict[str, list[int]] = defaultdict(list)
    for index, kind in enumerate(kinds):
        by_kind[kind].append(index)
    placed = [
        ((number + 0.5) / len(members), kind, index)
        for kind, members in by_kind.items()
        for number, index in enumerate(members)
    ]
    return [index for _, _, index in sorted(placed)]
