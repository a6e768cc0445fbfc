"""Paths over layers: for one request, which upstream runs which layers, in order.

Hosts may overlap, and a path may use any part of the layers that a host holds. The cheapest path is
found from the last layer backwards; its cost is the time of a usual request on it.
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

__all__ = ["MAX_STAGES", "LayerPath", "PathFinder", "PathStage", "append_stage"]

# Cost of crossing between failure domains, milliseconds of a usual request. All requests that cross
# a link share it, and some 27 of them a second fill it (trials): a path crosses only if none stays
# inside a domain, and then as rarely as possible.
CROSSING_COST_MS = 5_000.0
# Cost factor of an upstream by how far its fill exceeds `PREFERRED_FILL`: requests prefer another
# upstream that holds the same layers and has more memory for them.
FILL_PENALTY = 3.0
# Maximum number of stages that an engine accepts in one path.
MAX_STAGES = 32


@dataclass(frozen=True)
class PathStage:
    """A stage: one upstream and the layers `first` to `end` (exclusive) that it runs."""

    instance: str
    address: str
    first: int
    end: int


@dataclass(frozen=True)
class LayerPath:
    """A request's path, on which each layer runs once; `cost` in milliseconds of a usual request.

    `crossings` is the number of times that it changes the failure domain.
    """

    stages: tuple[PathStage, ...]
    domain: str
    cost: float
    crossings: int = 0

    @cached_property
    def instances(self) -> frozenset[str]:
        """The upstreams on the path."""
        return frozenset(each.instance for each in self.stages)


class _Continuation(NamedTuple):
    """The cheapest continuation from a layer; of equally cheap ones that with the first host.

    `cost` is that of all remaining layers, `position` the host's index among the hosts; it runs the
    layers up to `end`. A tuple, since one search creates thousands of them.
    """

    cost: float
    position: int
    end: int
    host: LayerHost


class _Candidate(NamedTuple):
    """A host that a path may change to at a cut, and its index among the hosts."""

    host: LayerHost
    position: int


class PathFinder:
    """The cheapest paths over one set of hosts.

    Args:
      model: the model whose layers a path runs.
      hosts: the hosts; unusable and empty ones are ignored.
      extra_cuts: layers at which a path may change hosts, in addition to the ends of host ranges.
    """

    def __init__(
        self, model: ModelSpec, hosts: Iterable[LayerHost], extra_cuts: Sequence[int] = ()
    ) -> None:
        self._model = model
        self._hosts = [each for each in hosts if each.usable and not each.is_empty]
        self._unslowed_layer_ms = {
            each.instance: self._layer_ms_of(each) * each.pace for each in self._hosts
        }
        self._layer_ms: Mapping[str, float] = self._unslowed_layer_ms
        ends = {cut for each in self._hosts for cut in (each.first, each.end)}
        self._cuts = sorted(
            cut for cut in ends | {0, model.layers, *extra_cuts} if 0 <= cut <= model.layers
        )
        self._domains = {each.domain for each in self._hosts}
        self._candidates = self._find_candidates()
        self._continuations: dict[tuple[int, str], _Continuation] = {}
        self._find_continuations()

    def slowed(self, factors: Mapping[str, float]) -> "PathFinder":
        """Return a finder over the same hosts in which some count as slower.

        Args:
          factors: by instance, a factor by which a host is slower in addition to its pace.
        """
        finder = copy(self)
        finder._layer_ms = {
            name: each * factors.get(name, 1.0) for name, each in self._unslowed_layer_ms.items()
        }
        finder._continuations = {}
        finder._find_continuations()
        return finder

    def _layer_ms_of(self, host: LayerHost) -> float:
        model = self._model
        kind = model.kind_of(host.kind)
        prompt = model.usual_prompt / model.prefill_per_ms * kind.prefill_factor
        answer = model.usual_answer * model.step_ms * kind.step_factor
        fullness = max(0.0, host.fill(model) - PREFERRED_FILL)
        return (prompt + answer) / model.layers * (1.0 + FILL_PENALTY * fullness)

    def _hop_cost(self, domain: str, other: str) -> float:
        hop = HOP_MS * self._model.usual_answer
        if domain == other:
            return hop
        return (
            hop
            + CROSSING_COST_MS
            + self._model.delay(domain, other) * 1000 * self._model.usual_answer
        )

    def _find_candidates(self) -> dict[int, dict[str, list[_Candidate]]]:
        """Return the hosts that hold each cut, by domain, those with the highest end first."""
        candidates: dict[int, dict[str, list[_Candidate]]] = {
            cut: defaultdict(list) for cut in self._cuts
        }
        for position, host in enumerate(self._hosts):
            covered_cuts = slice(
                bisect_left(self._cuts, host.first), bisect_left(self._cuts, host.end)
            )
            for cut in self._cuts[covered_cuts]:
                candidates[cut][host.domain].append(_Candidate(host, position))
        for by_domain in candidates.values():
            for domain_candidates in by_domain.values():
                domain_candidates.sort(key=lambda each: (-each.host.end, each.position))
        return candidates

    def _find_continuations(self) -> None:
        """Find the cheapest continuation from each cut and domain, from the last cut to the first.

        Cuts from which no path reaches the last layer have none.
        """
        for cut in reversed(self._cuts[1:-1]):
            best_by_domain = (
                self._best_continuation(candidates, cut)
                for candidates in self._candidates[cut].values()
            )
            continuations = [each for each in best_by_domain if each is not None]
            for domain in self._domains if continuations else ():
                self._continuations[cut, domain] = min(
                    each._replace(cost=each.cost + self._hop_cost(domain, each.host.domain))
                    for each in continuations
                )

    def _best_continuation(
        self, candidates: Sequence[_Candidate], cut: int
    ) -> _Continuation | None:
        """Return the cheapest continuation from a cut over some hosts of one domain.

        For each end the fastest host that reaches it is best, so each host is visited once.

        Args:
          candidates: the hosts, those with the highest end first.
          cut: the layer at which the continuation starts.
        """
        best = None
        fastest = None
        domain = candidates[0].host.domain
        remaining = iter(candidates)
        next_candidate = next(remaining, None)
        first_index = bisect_right(self._cuts, cut)
        end_index = bisect_right(self._cuts, candidates[0].host.end)
        for end in reversed(self._cuts[first_index:end_index]):
            while next_candidate is not None and next_candidate.host.end >= end:
                layer_ms = self._layer_ms[next_candidate.host.instance]
                if fastest is None or (layer_ms, next_candidate.position) < fastest[:2]:
                    fastest = layer_ms, next_candidate.position, next_candidate.host
                next_candidate = next(remaining, None)
            remaining_cost = self._remaining_cost(end, domain)
            if fastest is None or remaining_cost is None:
                continue
            layer_ms, position, host = fastest
            continuation = _Continuation(
                (end - cut) * layer_ms + remaining_cost, position, end, host
            )
            if best is None or continuation[:3] < best[:3]:
                best = continuation
        return best

    def _remaining_cost(self, cut: int, domain: str) -> float | None:
        """Return the cost of all layers from a cut on, None if no path covers them."""
        if cut >= self._model.layers:
            return 0.0
        continuation = self._continuations.get((cut, domain))
        return None if continuation is None else continuation.cost

    def cheapest_paths(self) -> list[LayerPath]:
        """Return the best path from each host that can be a first stage, cheapest first."""
        candidates = [each for members in self._candidates[0].values() for each in members]
        paths = [
            self.cheapest_path_from(each.host)
            for each in sorted(candidates, key=lambda each: each.position)
        ]
        return sorted((each for each in paths if each is not None), key=lambda each: each.cost)

    def cheapest_path_from(self, host: LayerHost) -> LayerPath | None:
        """Return the best path from a host that holds the first layers, None if there is none."""
        continuation = self._best_continuation([_Candidate(host, 0)], 0)
        return None if continuation is None else self._build_path(continuation, ())

    def cost(self, parts: Sequence[PathStage]) -> float:
        """Return the cost of a path over known hosts of one failure domain."""
        execution_cost = sum(
            (each.end - each.first) * self._layer_ms[each.instance] for each in parts
        )
        return execution_cost + (len(parts) - 1) * HOP_MS * self._model.usual_answer

    def cheapest_path_after(self, first: PathStage, domain: str) -> LayerPath | None:
        """Return the best path with a given first stage, None if there is none."""
        if first.end >= self._model.layers:
            return LayerPath((first,), domain, 0.0)
        continuation = self._continuations.get((first.end, domain))
        return None if continuation is None else self._build_path(continuation, (first,), domain)

    def _build_path(
        self, continuation: _Continuation, stages_before: tuple[PathStage, ...], domain: str = ""
    ) -> LayerPath | None:
        stages = list(stages_before)
        cost = continuation.cost
        domain = last_domain = domain or continuation.host.domain
        crossings = 0
        start = stages[-1].end if stages else 0
        while True:
            host = continuation.host
            crossings += host.domain != last_domain
            last_domain = host.domain
            append_stage(stages, PathStage(host.instance, host.address, start, continuation.end))
            if continuation.end >= self._model.layers:
                break
            start = continuation.end
            continuation = self._continuations[start, host.domain]
        if len(stages) > MAX_STAGES:
            return None
        return LayerPath(tuple(stages), domain, cost, crossings)


def append_stage(stages: list[PathStage], stage: PathStage) -> None:
    """Append a stage; a path that returns to a host lets it run the layers in between as well.

    An engine rejects a path that names an upstream twice, and a host's range has no gaps.
    """
    for index, earlier in enumerate(stages):
        if earlier.instance == stage.instance:
            del stages[index:]
            stage = PathStage(earlier.instance, earlier.address, earlier.first, stage.end)
            break
    stages.append(stage)
