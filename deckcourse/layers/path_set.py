"""All paths over one state of the hosts; paths of one domain share as few hosts as possible.

Load pattern: without this, the best paths from all first stages use the same fast hosts, whose
memory fills up while others are idle; after a loss all paths of a domain use the one host that
still holds the lost range. So for each path of a domain a host counts as slower by the memory load
of the other paths, and paths over an overloaded host are searched again. Processes that see the
same hosts compute the same paths.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from deckcourse.layers.hosts import LayerHost
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.paths import LayerPath, PathFinder, PathStage

__all__ = ["PathSet"]

# Weight of a host's memory load: added to its cost factor if the paths over it admit exactly the
# streams that fill its memory, four times as much if they fill it twice. The pace of the sites'
# kinds differs by a factor of up to 6.7, so a path changes to another kind before it fills a host.
LOAD_WEIGHT = 3.0
# Number of paths of one domain that are spread over its hosts; further ones are the best from their
# first stages.
MAX_SPREAD_PATHS = 12
# Factor by which a host counts as slower for each earlier path over it in the search for another
# one. The pace of the sites' kinds differs by a factor of up to 6.7, so a replica of any kind is
# preferred to a host that is passed already.
REPLICA_FACTOR = 8.0


class PathSet:
    """Paths for new and running requests, each query being computed once.

    Args:
      model: the model whose layers a path runs.
      hosts: all upstreams that hold layers.
      before: the paths over an earlier state; those of unchanged domains are reused.
    """

    def __init__(
        self, model: ModelSpec, hosts: Iterable[LayerHost], before: "PathSet | None" = None
    ) -> None:
        self._model = model
        self._inside: dict[tuple[LayerHost, ...], list[LayerPath]] = {}
        self._inside_of: dict[str, list[LayerPath]] = {}
        same_model = before is not None and before.model == model
        self._previous_inside = before._inside if same_model else {}
        self._hosts = tuple(each for each in hosts if each.usable and not each.is_empty)
        self._starts: dict[frozenset[str], list[LayerPath]] = {}
        self._onward: dict[tuple[PathStage, str, frozenset[str]], LayerPath | None] = {}
        self._replicas: dict[tuple[LayerPath, frozenset[str]], list[LayerPath]] = {}

    @property
    def model(self) -> ModelSpec:
        """The model whose layers the paths run."""
        return self._model

    def all_paths(self, avoid: frozenset[str] = frozenset()) -> list[LayerPath]:
        """Return a path from each host that can be a first stage, cheapest first.

        Args:
          avoid: hosts that no path may use.
        """
        if avoid not in self._starts:
            self._starts[avoid] = self._find_starts(avoid)
        return self._starts[avoid]

    def paths_inside(self, domain: str) -> list[LayerPath]:
        """Return the paths inside a domain, none if it lacks a layer.

        Paths of other domains, which most requests don't need, are not computed.
        """
        if domain not in self._inside_of:
            domain_hosts = tuple(each for each in self._hosts if each.domain == domain)
            self._inside_of[domain] = self._find_inside(domain_hosts) if domain_hosts else []
        return self._inside_of[domain]

    def path_after(self, first: PathStage, domain: str, avoid: frozenset[str]) -> LayerPath | None:
        """Return the best path with a given first stage, None if there is none.

        Args:
          first: the first stage.
          domain: its failure domain.
          avoid: hosts that the path must not use.
        """
        key = (first, domain, avoid)
        if key not in self._onward:
            self._onward[key] = self._find_onward(first, domain, avoid | {first.instance})
        return self._onward[key]

    def paths_after(self, running: LayerPath, avoid: frozenset[str], count: int) -> list[LayerPath]:
        """Return paths with the first stage of a running one that pass other replicas.

        They are inside its domain, and each uses hosts of the running path and of the earlier ones
        only for layers that no other host of the domain holds.

        Args:
          running: the running path.
          avoid: hosts that the paths must not use.
          count: how many paths are searched; equal ones are left out.
        """
        key = running, avoid
        if key not in self._replicas:
            self._replicas[key] = self._find_replicas(running, avoid, count)
        return self._replicas[key]

    def _find_replicas(
        self, running: LayerPath, avoid: frozenset[str], count: int
    ) -> list[LayerPath]:
        first = running.stages[0]
        inside = [
            each
            for each in self._hosts_except(avoid | {first.instance})
            if each.domain == running.domain
        ]
        finder = PathFinder(self._model, inside, (first.end,))
        passed = Counter(running.instances)
        paths: list[LayerPath] = []
        for _ in range(count):
            factors = {name: REPLICA_FACTOR**times for name, times in passed.items()}
            path = finder.slowed(factors).cheapest_path_after(first, running.domain)
            if path is None:
                break
            passed.update(path.instances)
            if all(path.stages != each.stages for each in paths):
                paths.append(path)
        return paths

    def _find_starts(self, avoid: frozenset[str]) -> list[LayerPath]:
        by_domain: dict[str, list[LayerHost]] = defaultdict(list)
        for host in self._hosts_except(avoid):
            by_domain[host.domain].append(host)
        paths: list[LayerPath] = []
        incomplete_domains = set()
        for domain, hosts in by_domain.items():
            domain_paths = self._find_inside(tuple(hosts))
            paths += domain_paths
            if not domain_paths:
                incomplete_domains.add(domain)
        if incomplete_domains:
            # Layers that a domain lacks are run in others.
            cross_domain_paths = PathFinder(self._model, self._hosts_except(avoid)).cheapest_paths()
            paths += [each for each in cross_domain_paths if each.domain in incomplete_domains]
        return sorted(paths, key=lambda each: each.cost)

    def _find_inside(self, members: tuple[LayerHost, ...]) -> list[LayerPath]:
        """Return the paths inside the domain of the given hosts."""
        if members not in self._inside:
            paths = self._previous_inside.get(members)
            if paths is None:
                paths = self._spread_paths(members)
            self._inside[members] = paths
        return self._inside[members]

    def _find_onward(
        self, first: PathStage, domain: str, avoid: frozenset[str]
    ) -> LayerPath | None:
        hosts = self._hosts_except(avoid)
        inside = [each for each in hosts if each.domain == domain]
        path = PathFinder(self._model, inside, (first.end,)).cheapest_path_after(first, domain)
        return path or PathFinder(self._model, hosts, (first.end,)).cheapest_path_after(
            first, domain
        )

    def _hosts_except(self, avoid: frozenset[str]) -> list[LayerHost]:
        return [each for each in self._hosts if each.instance not in avoid]

    def _spread_paths(self, members: Sequence[LayerHost]) -> list[LayerPath]:
        """Return a path from each first stage of a domain, avoiding load on shared hosts."""
        finder = PathFinder(self._model, members)
        starts = finder.cheapest_paths()
        if len(starts) < 2:
            return starts
        hosts = {each.instance: each for each in members}
        paths = starts[:1]
        path_counts = Counter(starts[0].instances)
        for start in starts[1:]:
            path = (
                start
                if len(paths) >= MAX_SPREAD_PATHS
                else self._path_avoiding_load(finder, hosts, path_counts, start)
            )
            path_counts.update(path.instances)
            paths.append(path)
        for index, path in enumerate(paths[:MAX_SPREAD_PATHS]):
            if self._max_memory_load(hosts, path, path_counts) > 1.0:
                path_counts.subtract(path.instances)
                paths[index] = self._path_avoiding_load(finder, hosts, path_counts, path)
                path_counts.update(paths[index].instances)
        return [replace(each, cost=finder.cost(each.stages)) for each in paths]

    def _max_memory_load(
        self, hosts: Mapping[str, LayerHost], path: LayerPath, path_counts: Counter[str]
    ) -> float:
        """Return the memory load of a path's fullest host if all paths admit their maximum."""
        return max(self._memory_load(hosts[name], path_counts[name]) for name in path.instances)

    def _memory_load(self, host: LayerHost, path_count: int) -> float:
        """Return the streams that the paths over a host admit, relative to its memory capacity."""
        layers = host.end - host.first
        return (
            path_count
            * self._model.requests
            / max(1.0, self._model.request_capacity(host.kind, layers, layers))
        )

    def _path_avoiding_load(
        self,
        finder: PathFinder,
        hosts: Mapping[str, LayerHost],
        path_counts: Counter[str],
        start: LayerPath,
    ) -> LayerPath:
        """Return the best path from another path's first stage, given the load of paths in use."""
        load_factors = {
            name: 1.0 + LOAD_WEIGHT * self._memory_load(hosts[name], path_count) ** 2
            for name, path_count in path_counts.items()
        }
        first = hosts[start.stages[0].instance]
        return finder.slowed(load_factors).cheapest_path_from(first) or start
