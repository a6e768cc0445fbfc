"""Paths over layers: for one request, which upstream runs which layers, in order.

Upstreams may overlap, and a path may use any part of what one holds. The cheapest path is found
from the last layer backwards; its cost is the time that a usual request takes on it.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from copy import copy
from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

from deckcourse.layers.hosts import PREFERRED_FILL, LayerHost
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


class _Step(NamedTuple):
    """The best way on from one layer; of ways that cost as much the first host's counts.

    `cost` is that of all the rest, `place` the host's in the order of hosts; it runs up to `end`.
    A tuple, since there are thousands of them in one search.
    """

    cost: float
    place: int
    end: int
    host: LayerHost


class _Member(NamedTuple):
    """A host that may take over at a cut, and its place in the order of hosts."""

    host: LayerHost
    place: int


class PathFinder:
    """The cheapest paths over one set of hosts.

    Args:
      model: whose layers a path runs.
      hosts: who holds them; unusable and empty ones are passed over.
      extra_cuts: layers at which a path may change hosts, besides where the hosts' ranges end.
    """

    def __init__(
        self, model: ModelSpec, hosts: Iterable[LayerHost], extra_cuts: Sequence[int] = ()
    ) -> None:
        self._model = model
        self._hosts = [each for each in hosts if each.usable and not each.empty]
        self._usual_ms = {each.instance: self._layer_time(each) * each.pace for each in self._hosts}
        self._layer_ms: Mapping[str, float] = self._usual_ms
        ends = {point for each in self._hosts for point in (each.first, each.end)}
        self._cuts = sorted(
            point for point in ends | {0, model.layers, *extra_cuts} if 0 <= point <= model.layers
        )
        self._domains = {each.domain for each in self._hosts}
        self._covering = self._find_covering()
        self._onward: dict[tuple[int, str], _Step] = {}
        self._solve()

    def slowed(self, factors: Mapping[str, float]) -> "PathFinder":
        """Return the finder over the same hosts where some count as slower.

        Args:
          factors: how many times slower a host counts than its pace says, by instance.
        """
        finder = copy(self)
        finder._layer_ms = {
            name: each * factors.get(name, 1.0) for name, each in self._usual_ms.items()
        }
        finder._onward = {}
        finder._solve()
        return finder

    def _layer_time(self, host: LayerHost) -> float:
        model = self._model
        kind = model.kind_of(host.kind)
        prompt = model.usual_prompt / model.prefill_per_ms * kind.prefill_factor
        answer = model.usual_answer * model.step_ms * kind.step_factor
        fullness = max(0.0, host.fill(model) - PREFERRED_FILL)
        return (prompt + answer) / model.layers * (1.0 + FULL_WEIGHT * fullness)

    def _crossing(self, domain: str, other: str) -> float:
        hop = HOP_MS * self._model.usual_answer
        if domain == other:
            return hop
        return (
            hop + CROSSING_MS + self._model.delay(domain, other) * 1000 * self._model.usual_answer
        )

    def _find_covering(self) -> dict[int, dict[str, list[_Member]]]:
        """Return who may take over at each cut, by domain, those that reach furthest first."""
        covering: dict[int, dict[str, list[_Member]]] = {
            cut: defaultdict(list) for cut in self._cuts
        }
        for place, host in enumerate(self._hosts):
            reach = slice(bisect_left(self._cuts, host.first), bisect_left(self._cuts, host.end))
            for cut in self._cuts[reach]:
                covering[cut][host.domain].append(_Member(host, place))
        for by_domain in covering.values():
            for members in by_domain.values():
                members.sort(key=lambda each: (-each.host.end, each.place))
        return covering

    def _solve(self) -> None:
        """Find the best way on from each cut to each domain, from the last cut to the first.

        Cuts at which nobody who goes on reaches the end have none.
        """
        for cut in reversed(self._cuts[1:-1]):
            found = (self._best_step(members, cut) for members in self._covering[cut].values())
            steps = [each for each in found if each is not None]
            for domain in self._domains if steps else ():
                self._onward[cut, domain] = min(
                    each._replace(cost=each.cost + self._crossing(domain, each.host.domain))
                    for each in steps
                )

    def _best_step(self, members: Sequence[_Member], cut: int) -> _Step | None:
        """Return the best way on from a cut by one of some hosts of one domain.

        Of those that reach an end the fastest is best for it, so that each host is looked at once.

        Args:
          members: the hosts, those that reach furthest first.
          cut: from where.
        """
        best = None
        fastest = None
        domain = members[0].host.domain
        waiting = iter(members)
        following = next(waiting, None)
        lowest = bisect_right(self._cuts, cut)
        highest = bisect_right(self._cuts, members[0].host.end)
        for end in reversed(self._cuts[lowest:highest]):
            while following is not None and following.host.end >= end:
                ms = self._layer_ms[following.host.instance]
                if fastest is None or (ms, following.place) < fastest[:2]:
                    fastest = ms, following.place, following.host
                following = next(waiting, None)
            onward = self._rest(end, domain)
            if fastest is None or onward is None:
                continue
            ms, place, host = fastest
            step = _Step((end - cut) * ms + onward, place, end, host)
            if best is None or step[:3] < best[:3]:
                best = step
        return best

    def _rest(self, cut: int, domain: str) -> float | None:
        """Return what all layers from a cut on cost from a domain, None where nobody holds them."""
        if cut >= self._model.layers:
            return 0.0
        onward = self._onward.get((cut, domain))
        return None if onward is None else onward.cost

    def starts(self) -> list[LayerPath]:
        """Return the best path from each host that can be the first of one, cheapest first."""
        firsts = [each for members in self._covering[0].values() for each in members]
        paths = [self.start(each.host) for each in sorted(firsts, key=lambda each: each.place)]
        return sorted((each for each in paths if each is not None), key=lambda each: each.cost)

    def start(self, host: LayerHost) -> LayerPath | None:
        """Return the best path from a host that holds the first layers, None without one."""
        step = self._best_step([_Member(host, 0)], 0)
        return None if step is None else self._follow(step, ())

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
