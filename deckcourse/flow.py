"""Maximum flow through a model's replicas and links: the bound, and the weights of routing.

Idea: placement on mixed accelerators as maximum flow (Helix, ASPLOS 2025).
"""

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

from deckcourse.configuration import FlowWeight, Placement

if TYPE_CHECKING:
    from scipy.sparse import csr_matrix

__all__ = ["LinkRate", "model_flow"]

# Capacities are whole numbers to the solver, in these parts of a token a second.
UNITS = 100
LARGEST = 2**31 - 1
# Replicas of a stage that isn't the bottleneck get work in proportion to their speed, as long
# as that costs less than this part of the flow.
BALANCE_TOLERANCE = 0.02
SOURCE = 0
SINK = 1

# Tokens a second that a link between two failure domains carries for a model.
LinkRate = Callable[[str, str], float]


def model_flow(
    places: Sequence[Placement],
    depth: int,
    rates: Mapping[str, float],
    link_rate: LinkRate,
) -> tuple[float, tuple[FlowWeight, ...]]:
    """Return the largest flow in tokens a second, and a balanced flow for each link that has any.

    Args:
      places: the replicas of one model.
      depth: its layers.
      rates: tokens a second that each instance can do for the layers it holds.
      link_rate: see `LinkRate`.
    """
    usable = [each for each in places if rates.get(each.instance, 0.0) > 0.0]
    if not usable:
        return 0.0, ()
    total, flow = _solve(usable, depth, rates, link_rate)
    scaled = _scaled_rates(usable, rates, total / UNITS)
    balanced, balanced_flow = _solve(usable, depth, scaled, link_rate)
    if balanced >= total * (1 - BALANCE_TOLERANCE):
        flow = balanced_flow
    return total / UNITS, _weights(usable, flow)


def _scaled_rates(
    places: Sequence[Placement], rates: Mapping[str, float], flow: float
) -> dict[str, float]:
    """Shrink each replica so that the replicas of its range carry just the flow together."""
    totals: dict[tuple[int, int], float] = {}
    for each in places:
        layers = (each.first, each.end)
        totals[layers] = totals.get(layers, 0.0) + rates[each.instance]
    return {
        each.instance: rates[each.instance] * min(1.0, flow / totals[each.first, each.end])
        for each in places
    }


def _solve(
    places: Sequence[Placement], depth: int, rates: Mapping[str, float], link_rate: LinkRate
) -> "tuple[int, csr_matrix]":
    """Solve on a graph in which replica i is split into the nodes 2 + 2i and 3 + 2i.

    The solver is imported here: it takes some 30 MB, and a controller that never plans, as most
    of them, does without.
    """
    import numpy as np
    from scipy.sparse import csr_matrix
    from scipy.sparse.csgraph import maximum_flow

    rows: list[int] = []
    columns: list[int] = []
    capacities: list[int] = []

    def edge(start: int, end: int, rate: float) -> None:
        rows.append(start)
        columns.append(end)
        capacities.append(min(LARGEST, round(rate * UNITS)))

    starting: dict[int, list[int]] = {}
    for index, place in enumerate(places):
        starting.setdefault(place.first, []).append(index)
    for index, place in enumerate(places):
        edge(2 + 2 * index, 3 + 2 * index, rates[place.instance])
        if place.first == 0:
            edge(SOURCE, 2 + 2 * index, LARGEST / UNITS)
        if place.end == depth:
            edge(3 + 2 * index, SINK, LARGEST / UNITS)
        for following in starting.get(place.end, ()):
            rate = link_rate(place.domain, places[following].domain)
            edge(3 + 2 * index, 2 + 2 * following, rate)
    size = 2 + 2 * len(places)
    data = np.array(capacities, dtype=np.int32)
    graph = csr_matrix((data, (rows, columns)), shape=(size, size))
    result = maximum_flow(graph, SOURCE, SINK)
    return int(result.flow_value), result.flow


def _weights(places: Sequence[Placement], flow: "csr_matrix") -> tuple[FlowWeight, ...]:
    weights: list[FlowWeight] = []
    entries = flow.tocoo()
    for start, end, value in zip(entries.row, entries.col, entries.data, strict=True):
        if value <= 0 or end < 2 or end % 2 == 1:
            continue
        source = "" if start == SOURCE else places[(start - 3) // 2].instance
        target = places[(end - 2) // 2]
        weights.append(FlowWeight(target.model, source, target.instance, float(value) / UNITS))
    return tuple(weights)
