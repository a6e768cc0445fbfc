"""The search for the cheapest assignments that make a model whole by cutting it anew."""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from deckcourse.layers.coverage import gaps
from deckcourse.layers.hosts import MAX_FILL, Assignment, LayerHost
from deckcourse.layers.model import ModelSpec

__all__ = ["restore"]


class _PartialCut(NamedTuple):
    """The best way to cover the model up to a layer; cuts are compared by the first three fields.

    `uncovered` is the number of layers before it that no host holds, `max_load` the largest load of
    a host so far and `total_load` the sum of loads. The last host runs the layers from `first` and
    loads `load` of them; the hosts before it cover the model up to `predecessor_end`. A tuple,
    since one search creates tens of thousands of them.
    """

    uncovered: int
    max_load: int
    total_load: int
    first: int
    load: int
    predecessor_end: int = 0

    def cost_up_to(self, layers: int, reached: int) -> tuple[int, int, int]:
        """Return the cost if all layers after the one reached stay uncovered."""
        return self.uncovered + layers - reached, self.max_load, self.total_load


def restore(
    model: ModelSpec,
    hosts: Sequence[LayerHost],
    pending: Mapping[str, tuple[int, int]],
    give_up: bool,
    fill: float = MAX_FILL,
) -> tuple[tuple[Assignment, ...], bool]:
    """Cut the model anew over the hosts in their present order, with the smallest loads.

    The search goes from host to host and keeps, for each layer reached, the cuts that leave the
    fewest layers uncovered, then those whose largest load is smallest: loads run concurrently, so
    that one determines when the model is whole.

    Args:
      model: the model to make whole.
      hosts: all hosts of the group.
      pending: the hosts that accept no order now.
      give_up: whether a host may drop layers for others.
      fill: the maximum fill of a host, unless it is already fuller.

    Returns:
      The assignments, and whether they make the model whole.
    """
    ordered = _ordered_by_range(model, hosts)
    by_end: dict[int, _PartialCut] = {0: _PartialCut(0, 0, 0, 0, 0)}
    by_host: list[dict[int, _PartialCut]] = []
    for host in ordered:
        max_layers = host.max_layers(model, fill)
        by_end = _extend_cuts(model, host, max_layers, by_end, host.instance in pending, give_up)
        by_host.append(by_end)
    assignments = []
    end = min(by_end, key=lambda reached: by_end[reached].cost_up_to(model.layers, reached))
    is_whole = by_end[end].cost_up_to(model.layers, end)[0] == 0
    for host, cuts in zip(reversed(ordered), reversed(by_host), strict=True):
        cut = cuts[end]
        if cut.load:
            low, high = _with_adjacent_layers(model, host, cut.first, end, fill)
            reason = f"restores {cut.first}-{end}"
            assignments.append(Assignment(host.instance, low, high, reason))
        end = cut.predecessor_end
    return tuple(reversed(assignments)), is_whole


def _ordered_by_range(model: ModelSpec, hosts: Sequence[LayerHost]) -> list[LayerHost]:
    """Return the hosts ordered by their ranges, idle ones where the largest gap begins."""
    missing_ranges = gaps(model, hosts, 1)
    largest_gap = max(missing_ranges, key=lambda each: each[1] - each[0], default=(0, 0))
    return sorted(
        hosts,
        key=lambda each: (largest_gap[0], -1, "") if each.is_empty else (each.first, each.end, ""),
    )


def _extend_cuts(
    model: ModelSpec,
    host: LayerHost,
    max_layers: int,
    by_end: Mapping[int, _PartialCut],
    is_fixed: bool,
    give_up: bool,
) -> dict[int, _PartialCut]:
    """Return the best cuts after one more host; a fixed host runs only layers that it holds."""
    keeps_layers = not (give_up or host.is_empty)
    spare_layers = 0 if is_fixed else model.max_layers(host.kind) - (host.end - host.first)
    best: dict[int, _PartialCut] = {}
    for first, cut in _cheapest_starts(model, by_end):
        uncovered, max_load, total_load, _, _, predecessor_end = cut
        for end in range(first, min(model.layers, first + max_layers) + 1):
            overlap = min(end, host.end) - max(first, host.first)
            load = end - first - overlap if overlap > 0 else end - first
            if load > spare_layers:
                continue
            if keeps_layers and load and not _is_joinable(host, first, end, max_layers):
                continue
            cost = (uncovered, max(max_load, load), total_load + load)
            if end not in best or cost < best[end][:3]:
                best[end] = _PartialCut(*cost, first, load, predecessor_end)
    return best


def _is_joinable(host: LayerHost, first: int, end: int, max_layers: int) -> bool:
    """Return whether a range and a host's own range form one range that the host has room for."""
    is_touching = first <= host.end and host.first <= end
    return is_touching and max(end, host.end) - min(first, host.first) <= max_layers


def _cheapest_starts(
    model: ModelSpec, by_end: Mapping[int, _PartialCut]
) -> Iterator[tuple[int, _PartialCut]]:
    """Yield the cheapest cut from which each layer can start, with uncovered layers if needed."""
    best: _PartialCut | None = None
    for layer in range(model.layers + 1):
        candidate = by_end.get(layer)
        if best is not None:
            best = best._replace(uncovered=best.uncovered + 1)
        if candidate is not None and (best is None or candidate[:3] <= best[:3]):
            best = candidate._replace(predecessor_end=layer)
        if best is not None:
            yield layer, best


def _with_adjacent_layers(
    model: ModelSpec, host: LayerHost, first: int, end: int, fill: float
) -> tuple[int, int]:
    """Return a range, extended by adjacent layers that the host holds as far as memory allows."""
    spare = host.max_layers(model, fill) - (end - first)
    while spare > 0 and host.first <= end < host.end:
        end += 1
        spare -= 1
    while spare > 0 and host.first < first <= host.end:
        first -= 1
        spare -= 1
    return first, end
