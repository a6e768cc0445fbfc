"""Paths over layers: for one request, which upstream runs which layers, in order.

Upstreams may overlap, and a path may use any part of what one holds. The cheapest path is found
from the last layer backwards; its cost is the time that a usual request takes on it.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property

from deckcourse.layers.hosts import EVEN_FILL, LayerHost
from deckcourse.layers.model import HOP_MS, ModelSpec

__all__ = ["LayerPath", "PathFinder", "PathPart"]

# A pipe between failure domains is shared by all requests that cross it, and full at some 27 of
# them a second (trials): a path crosses only where none stays inside, and then as seldom as it
# can. Milliseconds of a usual request.
CROSSING_MS = 5_000.0
# The same for memory: an upstream whose weights leave little room for requests counts as slower,
# by up to this factor, so that requests use another one that holds the same layers.
FULL_WEIGHT = 3.0
# An engine accepts no more parts than this in one path.
MOST_PARTS = 32


@dataclass(frozen=True)
class PathPart:
    """One upstream and the layers `first` up to `end` that it runs."""

    instance: str
    address: str
    first: int
    end: int


@dataclass(frozen=True)
class LayerPath:
    """A request's way through every layer once; `cost` in milliseconds of a usual request.

    `crossings` counts how often it goes from one failure domain to another.
    """

    parts: tuple[PathPart, ...]
    domain: str
    cost: float
    crossings: int = 0

    @cached_property
    def instances(self) -> frozenset[str]:
        """The upstreams on the path."""
        return frozenset(each.instance for each in self.parts)


@dataclass(frozen=True)
class _Step:
    """The best way on from one layer: who takes over, up to where, and the cost of all the rest."""

    host: LayerHost
    end: int
    cost: float


class PathFinder:
    """The cheapest paths over one set of hosts.

    Args:
      model: whose layers a path runs.
      hosts: who holds them; unusable and empty ones are passed over.
      extra_cuts: layers at which a path may change hosts, besides where the hosts' ranges end.
      slower: how many times slower some hosts count than their pace says, by instance.
    """

    def __init__(
        self,
        model: ModelSpec,
        hosts: Iterable[LayerHost],
        extra_cuts: Sequence[int] = (),
        slower: Mapping[str, float] = {},
    ) -> None:
        self._model = model
        self._hosts = [each for each in hosts if each.usable and not each.empty]
        self._layer_ms = {
            each.instance: self._layer_time(each) * each.pace * slower.get(each.instance, 1.0)
            for each in self._hosts
        }
        ends = {point for each in self._hosts for point in (each.first, each.end)}
        self._cuts = sorted(
            point for point in ends | {0, model.layers, *extra_cuts} if 0 <= point <= model.layers
        )
        self._domains = {each.domain for each in self._hosts}
        self._taking_over: dict[int, dict[str, _Step]] = {}
        self._onward: dict[tuple[int, str], _Step | None] = {}
        self._solve()

    def _layer_time(self, host: LayerHost) -> float:
        model = self._model
        kind = model.kind_of(host.kind)
        prompt = model.usual_prompt / model.prefill_per_ms * kind.prefill_factor
        answer = model.usual_answer * model.step_ms * kind.step_factor
        fullness = max(0.0, host.fill(model) - EVEN_FILL)
        return (prompt + answer) / model.layers * (1.0 + FULL_WEIGHT * fullness)

    def _crossing(self, domain: str, other: str) -> float:
        hop = HOP_MS * self._model.usual_answer
        if domain == other:
            return hop
        return (
            hop + CROSSING_MS + self._model.delay(domain, other) * 1000 * self._model.usual_answer
        )

    def _solve(self) -> None:
        covering: dict[int, list[LayerHost]] = defaultdict(list)
        for host in self._hosts:
            reach = slice(bisect_left(self._cuts, host.first), bisect_left(self._cuts, host.end))
            for cut in self._cuts[reach]:
                covering[cut].append(host)
        for cut in reversed(self._cuts[:-1]):
            steps = {}
            for host in covering[cut]:
                step = self._best_end(host, cut)
                if step is not None:
                    steps[host.instance] = step
            self._taking_over[cut] = steps
            for domain in self._domains:
                self._onward[cut, domain] = self._best_onward(cut, domain)

    def _best_end(self, host: LayerHost, cut: int) -> _Step | None:
        best = None
        layer_ms = self._layer_ms[host.instance]
        reach = slice(bisect_right(self._cuts, cut), bisect_right(self._cuts, host.end))
        for end in self._cuts[reach]:
            cost = (end - cut) * layer_ms
            if end < self._model.layers:
                onward = self._onward[end, host.domain]
                if onward is None:
                    continue
                cost += onward.cost
            if best is None or cost < best.cost:
                best = _Step(host, end, cost)
        return best

    def _best_onward(self, cut: int, domain: str) -> _Step | None:
        best = None
        for step in self._taking_over[cut].values():
            cost = step.cost + self._crossing(domain, step.host.domain)
            if best is None or cost < best.cost:
                best = _Step(step.host, step.end, cost)
        return best

    def starts(self) -> list[LayerPath]:
        """Return the best path from each host that can be the first of one, cheapest first."""
        paths = [self._follow(step, ()) for step in self._taking_over.get(0, {}).values()]
        return sorted((each for each in paths if each is not None), key=lambda each: each.cost)

    def cost(self, parts: Sequence[PathPart]) -> float:
        """Return what a path over known hosts of one failure domain costs."""
        running = sum((each.end - each.first) * self._layer_ms[each.instance] for each in parts)
        return running + (len(parts) - 1) * HOP_MS * self._model.usual_answer

    def onward(self, first: PathPart, domain: str) -> LayerPath | None:
        """Return the best path whose first part is given, None where there is none."""
        if first.end >= self._model.layers:
            return LayerPath((first,), domain, 0.0)
        step = self._onward.get((first.end, domain))
        return None if step is None else self._follow(step, (first,), domain)

    def _follow(
        self, step: _Step, before: tuple[PathPart, ...], domain: str = ""
    ) -> LayerPath | None:
        parts = list(before)
        cost = step.cost
        domain = last_domain = domain or step.host.domain
        crossings = 0
        at = parts[-1].end if parts else 0
        while True:
            host = step.host
            crossings += host.domain != last_domain
            last_domain = host.domain
            _append(parts, PathPart(host.instance, host.address, at, step.end))
            if step.end >= self._model.layers:
                break
            at = step.end
            step = self._onward[at, host.domain]
        if len(parts) > MOST_PARTS:
            return None
        return LayerPath(tuple(parts), domain, cost, crossings)


def _append(parts: list[PathPart], part: PathPart) -> None:
    """Add a part; a path that comes back to a host lets that host run what lies between as well.

    An engine takes no path that names an upstream twice, and what a host holds has no gap.
    """
    for index, known in enumerate(parts):
        if known.instance == part.instance:
            del parts[index:]
            part = PathPart(known.instance, known.address, known.first, part.end)
            break
    parts.append(part)
