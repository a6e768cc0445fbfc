"""The search for the cheapest way to make a model whole: new cuts over the hosts in their order."""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from deckcourse.layers.coverage import gaps
from deckcourse.layers.hosts import LARGEST_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["restore"]


class _Cut(NamedTuple):
    """The best way to reach a layer; ways are compared by the first three.

    `left_out` layers before it are held by nobody, `largest` is the largest load so far and
    `total` all loads; this host runs from `first`, behind hosts that reach up to `before`, and
    loads `load` layers for it. A tuple, since there are tens of thousands of them in one search.
    """

    left_out: int
    largest: int
    total: int
    first: int
    load: int
    before: int = 0

    def cost_up_to(self, layers: int, reached: int) -> tuple[int, int, int]:
        """Return the cost with all layers behind the one reached left out."""
        return self.left_out + layers - reached, self.largest, self.total


def restore(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    give_up: bool,
    fill: float = LARGEST_FILL,
) -> tuple[tuple[Assignment, ...], bool]:
    """Cut the model anew over the hosts in their present order, with the smallest loads.

    The search goes from host to host and keeps, for each layer reached, the cuts that leave the
    fewest layers out, then those whose largest load is smallest: loads run at the same time, so
    that one decides when the model is whole.

    Args:
      model: the model to make whole.
      hosts: everybody in the group.
      pending: who takes no order now.
      give_up: whether a host may give up layers for others.
      fill: the part of a host's memory that it may be filled to; a fuller one stays so.

    Returns:
      The assignments, and whether the model is whole with them.
    """
    ordered = _in_order(model, hosts)
    best: dict[int, _Cut] = {0: _Cut(0, 0, 0, 0, 0)}
    trail: list[dict[int, _Cut]] = []
    for host in ordered:
        room = host.most_layers(model, fill)
        best = _cut_further(model, host, room, best, host.instance in pending, give_up)
        trail.append(best)
    assignments = []
    end = min(best, key=lambda reached: best[reached].cost_up_to(model.layers, reached))
    whole = best[end].cost_up_to(model.layers, end)[0] == 0
    for host, cuts in zip(reversed(ordered), reversed(trail), strict=True):
        cut = cuts[end]
        if cut.load:
            low, high = _widened(model, host, cut.first, end, fill)
            reason = f"restores {cut.first}-{end}"
            assignments.append(Assignment(host.instance, low, high, reason))
        end = cut.before
    return tuple(reversed(assignments)), whole


def _in_order(model: ModelSpec, hosts: Sequence[LayerHost]) -> list[LayerHost]:
    """Return the hosts by what they hold, the idle ones where the largest gap begins."""
    missing = gaps(model, hosts, 1)
    largest = max(missing, key=lambda each: each[1] - each[0], default=(0, 0))
    return sorted(
        hosts,
        key=lambda each: (largest[0], -1, "") if each.empty else (each.first, each.end, ""),
    )


def _cut_further(
    model: ModelSpec,
    host: LayerHost,
    room: int,
    reached: Mapping[int, _Cut],
    fixed: bool,
    give_up: bool,
) -> dict[int, _Cut]:
    """Return the best cuts after one more host; a fixed one runs only what it holds."""
    keeps = not (give_up or host.empty)
    spare = 0 if fixed else model.most_layers(host.kind) - (host.end - host.first)
    found: dict[int, _Cut] = {}
    for first, way in _starts(model, reached):
        left_out, largest, total, _, _, before = way
        for end in range(first, min(model.layers, first + room) + 1):
            kept = min(end, host.end) - max(first, host.first)
            load = end - first - kept if kept > 0 else end - first
            if load > spare:
                continue
            if keeps and load and not _joined(host, first, end, room):
                continue
            cost = (left_out, max(largest, load), total + load)
            if end not in found or cost < found[end][:3]:
                found[end] = _Cut(*cost, first, load, before)
    return found


def _joined(host: LayerHost, first: int, end: int, room: int) -> bool:
    """Return whether a range and what a host holds are one range together, with room for it."""
    touching = first <= host.end and host.first <= end
    return touching and max(end, host.end) - min(first, host.first) <= room


def _starts(model: ModelSpec, reached: Mapping[int, _Cut]) -> Iterator[tuple[int, _Cut]]:
    """Yield the cheapest way to begin at each layer, leaving layers out where that is best."""
    best: _Cut | None = None
    for layer in range(model.layers + 1):
        here = reached.get(layer)
        if best is not None:
            best = best._replace(left_out=best.left_out + 1)
        if here is not None and (best is None or here[:3] <= best[:3]):
            best = here._replace(before=layer)
        if best is not None:
            yield layer, best


def _widened(
    model: ModelSpec, host: LayerHost, first: int, end: int, fill: float
) -> tuple[int, int]:
    """Return a new part with as much of what the host holds beside it as its memory takes."""
    spare = host.most_layers(model, fill) - (end - first)
    while spare > 0 and host.first <= end < host.end:
        end += 1
        spare -= 1
    while spare > 0 and host.first < first <= host.end:
        first -= 1
        spare -= 1
    return first, end
