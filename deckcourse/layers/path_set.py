"""All paths over one state of the hosts: those of one domain share hosts as little as can be.

Load pattern: left to themselves the best paths from all first hosts lead over the same fast hosts,
whose memory runs out while the others stand idle; after a loss all paths of a domain lead over the
one host that holds the lost range still. So each path of a domain counts a host as slower by how
full the others make it, and one over a host that is too full is looked for again. Processes that
see the same hosts find the same paths.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from deckcourse.layers.hosts import LayerHost
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.paths import LayerPath, PathFinder, PathPart

__all__ = ["PathSet"]

# A host counts so many times slower beyond its pace where as many streams as all paths over it let
# in would just fill its memory, four times as much where they would fill it twice. The kinds of the
# sites differ by up to 6.7 in pace: a path takes another kind before it fills a host.
FULL_WEIGHT = 3.0
# So many paths of one domain are kept apart; a further one is the best from its first host.
MOST_APART = 12


class PathSet:
    """Paths for new requests and for running ones; each question is worked out once.

    Args:
      model: whose layers a path runs.
      hosts: everybody who holds some.
      before: the paths over an earlier state; what is known of domains that did not change since is
        taken from there.
    """

    def __init__(
        self, model: ModelSpec, hosts: Iterable[LayerHost], before: "PathSet | None" = None
    ) -> None:
        self._model = model
        self._inside: dict[tuple[LayerHost, ...], list[LayerPath]] = {}
        self._inside_of: dict[str, list[LayerPath]] = {}
        same_model = before is not None and before.model == model
        self._inside_before = before._inside if same_model else {}
        self._hosts = tuple(each for each in hosts if each.usable and not each.empty)
        self._starts: dict[frozenset[str], list[LayerPath]] = {}
        self._onward: dict[tuple[PathPart, str, frozenset[str]], LayerPath | None] = {}

    @property
    def model(self) -> ModelSpec:
        """Whose layers the paths run."""
        return self._model

    def starts(self, avoid: frozenset[str] = frozenset()) -> list[LayerPath]:
        """Return a path from each host that can be the first of one, cheapest first.

        Args:
          avoid: hosts that no path may meet.
        """
        if avoid not in self._starts:
            self._starts[avoid] = self._find_starts(avoid)
        return self._starts[avoid]

    def inside(self, domain: str) -> list[LayerPath]:
        """Return the paths that stay inside a domain, none where it lacks a layer.

        They are worked out without those of other domains, which most requests don't need.
        """
        if domain not in self._inside_of:
            members = tuple(each for each in self._hosts if each.domain == domain)
            self._inside_of[domain] = self._find_inside(members) if members else []
        return self._inside_of[domain]

    def onward(self, first: PathPart, domain: str, avoid: frozenset[str]) -> LayerPath | None:
        """Return the best path whose first part is given, None where there is none.

        Args:
          first: what runs the first layers.
          domain: its failure domain.
          avoid: hosts that the path must not meet.
        """
        key = (first, domain, avoid)
        if key not in self._onward:
            self._onward[key] = self._find_onward(first, domain, avoid | {first.instance})
        return self._onward[key]

    def _find_starts(self, avoid: frozenset[str]) -> list[LayerPath]:
        by_domain: dict[str, list[LayerHost]] = defaultdict(list)
        for host in self._without(avoid):
            by_domain[host.domain].append(host)
        found: list[LayerPath] = []
        broken = set()
        for domain, members in by_domain.items():
            inside = self._find_inside(tuple(members))
            found += inside
            if not inside:
                broken.add(domain)
        if broken:
            # What a domain lacks is borrowed from others.
            everywhere = PathFinder(self._model, self._without(avoid)).starts()
            found += [each for each in everywhere if each.domain in broken]
        return sorted(found, key=lambda each: each.cost)

    def _find_inside(self, members: tuple[LayerHost, ...]) -> list[LayerPath]:
        """Return the paths inside one domain."""
        if members not in self._inside:
            found = self._inside_before.get(members)
            if found is None:
                found = self._apart(members)
            self._inside[members] = found
        return self._inside[members]

    def _find_onward(self, first: PathPart, domain: str, avoid: frozenset[str]) -> LayerPath | None:
        hosts = self._without(avoid)
        inside = [each for each in hosts if each.domain == domain]
        path = PathFinder(self._model, inside, (first.end,)).onward(first, domain)
        return path or PathFinder(self._model, hosts, (first.end,)).onward(first, domain)

    def _without(self, avoid: frozenset[str]) -> list[LayerHost]:
        return [each for each in self._hosts if each.instance not in avoid]

    def _apart(self, members: Sequence[LayerHost]) -> list[LayerPath]:
        """Return a path from each first host of a domain, each beside the others."""
        finder = PathFinder(self._model, members)
        starts = finder.starts()
        if len(starts) < 2:
            return starts
        hosts = {each.instance: each for each in members}
        found = starts[:1]
        uses = Counter(starts[0].instances)
        for start in starts[1:]:
            path = start if len(found) >= MOST_APART else self._beside(finder, hosts, uses, start)
            uses.update(path.instances)
            found.append(path)
        for index, path in enumerate(found[:MOST_APART]):
            if self._fullness(hosts, path, uses) > 1.0:
                uses.subtract(path.instances)
                found[index] = self._beside(finder, hosts, uses, path)
                uses.update(found[index].instances)
        return [replace(each, cost=finder.cost(each.parts)) for each in found]

    def _fullness(
        self, hosts: Mapping[str, LayerHost], path: LayerPath, uses: Counter[str]
    ) -> float:
        """Return how full the fullest host of a path is if every path lets in all it may."""
        return max(self._load(hosts[name], uses[name]) for name in path.instances)

    def _load(self, host: LayerHost, paths: int) -> float:
        """Return the streams of so many paths over a host against those it has memory for."""
        layers = host.end - host.first
        return (
            paths * self._model.requests / max(1.0, self._model.places(host.kind, layers, layers))
        )

    def _beside(
        self,
        finder: PathFinder,
        hosts: Mapping[str, LayerHost],
        uses: Counter[str],
        start: LayerPath,
    ) -> LayerPath:
        """Return the best path from the first host of another one beside those in use."""
        crowded = {
            name: 1.0 + FULL_WEIGHT * self._load(hosts[name], count) ** 2
            for name, count in uses.items()
        }
        first = hosts[start.parts[0].instance]
        return finder.slowed(crowded).start(first) or start
