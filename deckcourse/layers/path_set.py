"""All paths over one state of the hosts: those of one domain share hosts as little as can be.

Left to themselves the best paths from two first hosts lead over the same fast hosts, whose memory
runs out while the others stand idle. So each further path of a domain counts the hosts of the paths
before it as slower. Processes that see the same hosts find the same paths.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import replace

from deckcourse.layers.hosts import LayerHost
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.paths import LayerPath, PathFinder, PathPart

__all__ = ["PathSet"]

# A host that another path of its domain passes counts so many times slower beyond that. The kinds
# of the sites differ by up to 6.7 in pace: most paths take another kind before they share a host.
SHARED_WEIGHT = 3.0
# So many paths of one domain are kept apart; a further one is the best from its first host.
MOST_APART = 4


class PathSet:
    """Paths for new requests and for running ones; each question is worked out once.

    Args:
      model: whose layers a path runs.
      hosts: everybody who holds some.
    """

    def __init__(self, model: ModelSpec, hosts: Iterable[LayerHost]) -> None:
        self._model = model
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
            inside = PathFinder(self._model, members).starts()
            found += self._apart(members, inside)
            if not inside:
                broken.add(domain)
        if broken:
            # What a domain lacks is borrowed from others.
            everywhere = PathFinder(self._model, self._without(avoid)).starts()
            found += [each for each in everywhere if each.domain in broken]
        return sorted(found, key=lambda each: each.cost)

    def _find_onward(self, first: PathPart, domain: str, avoid: frozenset[str]) -> LayerPath | None:
        hosts = self._without(avoid)
        inside = [each for each in hosts if each.domain == domain]
        path = PathFinder(self._model, inside, (first.end,)).onward(first, domain)
        return path or PathFinder(self._model, hosts, (first.end,)).onward(first, domain)

    def _without(self, avoid: frozenset[str]) -> list[LayerHost]:
        return [each for each in self._hosts if each.instance not in avoid]

    def _apart(self, members: list[LayerHost], starts: list[LayerPath]) -> list[LayerPath]:
        """Return a path from the first host of each of `starts`, each beside those before it."""
        found = starts[:1]
        uses = Counter(found[0].instances) if found else Counter()
        plain = PathFinder(self._model, members) if len(starts) > 1 else None
        for start in starts[1:]:
            path = start
            if len(found) < MOST_APART:
                path = self._beside(members, uses, start.parts[0].instance) or start
                path = replace(path, cost=plain.cost(path.parts))
            uses.update(path.instances)
            found.append(path)
        return found

    def _beside(self, members: list[LayerHost], uses: Counter[str], first: str) -> LayerPath | None:
        crowded = (
            replace(each, pace=each.pace * (1.0 + SHARED_WEIGHT * uses[each.instance]))
            for each in members
        )
        starts = PathFinder(self._model, crowded).starts()
        return next((each for each in starts if each.parts[0].instance == first), None)
