"""The layouts that a group's hosts allow, and the one that serves the most streams.

Each way of laying a model out over hosts is a function of its own; which one fits depends on how
much the hosts differ in speed and memory, so all are worked out and compared by one measure.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from itertools import pairwise

from deckcourse.decisions.layout_rate import HeldLayers, copy_rate, expected_part, memory_places
from deckcourse.layers.hosts import EVEN_FILL, LARGEST_FILL, Assignment, Group, LayerHost, memory_mb
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.slices import slice_model

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
    for fill in (FIRST_FILL, LARGEST_FILL):
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
    return sum(_copy_worth(model, copy, kinds) for copy in layout)


def _copy_worth(model: ModelSpec, copy: Copy, kinds: Mapping[str, str]) -> float:
    return copy_rate(model, _held(copy, kinds)) * expected_part(len(copy), len(kinds))


def _held(copy: Copy, kinds: Mapping[str, str]) -> list[HeldLayers]:
    return [HeldLayers(kinds[each.instance], each.first, each.end) for each in copy]


def interleaved(model: ModelSpec, group: Group, fill: float) -> Layout:
    """Deal the hosts to the copies by memory, so that each copy has some of each kind."""
    decks: list[list[LayerHost]] = [[] for _ in range(group.copies)]
    for host in reversed(_by_memory(model, group.hosts)):
        min(decks, key=lambda deck: memory_mb(model, deck)).append(host)
    kinds = {each.instance: each.kind for each in group.hosts}
    copies = (_best_copy(model, deck, kinds, fill) for deck in decks)
    return tuple(copy for copy in copies if copy)


def by_speed(model: ModelSpec, group: Group, fill: float) -> Layout:
    """Part the hosts, fast ones first, into the copies that together serve the most streams."""
    ordered = sorted(group.hosts, key=lambda each: (_speed_order(model, each), each.instance))
    kinds = {each.instance: each.kind for each in ordered}
    most_memory = MOST_MEMORY_PER_COPY * model.layers * model.layer_mb
    # Decks of as many hosts of the same kinds are worth the same.
    known: dict[tuple[str, ...], float] = {}

    def worth_of(deck: Sequence[LayerHost]) -> float:
        alike = tuple(each.kind for each in deck)
        if alike not in known:
            known[alike] = _copy_worth(model, _best_copy(model, deck, kinds, fill), kinds)
        return known[alike]

    # For each parting the best layout of the hosts before it: its worth, and its partings.
    best: dict[int, tuple[float, tuple[int, ...]]] = {0: (0.0, (0,))}
    for end in _partings(ordered, group.copies)[1:]:
        ways = []
        for start, (worth, parted) in best.items():
            deck = ordered[start:end]
            if memory_mb(model, deck) <= most_memory and (more := worth_of(deck)):
                ways.append((worth + more, (*parted, end)))
        if ways:
            best[end] = max(ways)
    _, parted = best.get(len(ordered), (0.0, ()))
    return tuple(
        _best_copy(model, ordered[start:end], kinds, fill) for start, end in pairwise(parted)
    )


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


def _best_copy(
    model: ModelSpec, deck: Sequence[LayerHost], kinds: Mapping[str, str], fill: float
) -> Copy:
    """Return the way of placing one copy that serves the most streams, empty where none fits."""
    weights = model.layers * model.layer_mb
    if not weights < memory_mb(model, deck) * fill:
        return ()

    ordered = _by_memory(model, deck)
    best: Copy = ()
    least = 0.0
    for starters in range(MOST_STARTERS + 1):
        if best and starters * model.requests >= memory_places(model, _held(best, kinds)):
            break
        # The smallest hosts hold the first layers, and the model is sliced over the rest.
        beginning = tuple(_starter(model, each) for each in ordered[:starters])
        rest = _interleaved(ordered[starters:])
        for power in SPEED_POWERS:
            slices = slice_model(model, rest, "first placement", power, fill)
            way = (*slices, *beginning) if slices else ()
            worth = _copy_worth(model, way, kinds)
            if worth > least:
                best, least = way, worth * (1.0 + LEAST_GAIN)
    return best


def _by_memory(model: ModelSpec, hosts: Sequence[LayerHost]) -> list[LayerHost]:
    """Return hosts, the smallest first; which names they have changes no layout's worth."""
    return sorted(
        hosts, key=lambda each: (model.kind_of(each.kind).memory_mb, each.kind, each.instance)
    )


def _starter(model: ModelSpec, host: LayerHost) -> Assignment:
    end = max(1, model.most_layers(host.kind, EVEN_FILL))
    return Assignment(host.instance, 0, min(end, model.layers), "begins paths")


def _interleaved(hosts: Sequence[LayerHost]) -> list[LayerHost]:
    """Spread each kind evenly: a small host's neighbours should be able to take its layers."""
    by_kind: dict[str, list[LayerHost]] = defaultdict(list)
    for host in hosts:
        by_kind[host.kind].append(host)
    placed = [
        ((index + 0.5) / len(members), kind, host)
        for kind, members in by_kind.items()
        for index, host in enumerate(members)
    ]
    return [host for _, _, host in sorted(placed, key=lambda each: each[:2])]
