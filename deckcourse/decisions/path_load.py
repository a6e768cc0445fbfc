"""How full paths are, from what the first upstreams of paths say of themselves.

Load pattern: several paths share upstreams behind their first ones, and an upstream that begins
paths is passed by others. It tells how many streams run there, begun there or not, and takes only
so many that begin there. Counted as they are told, streams on shared upstreams count twice: every
path looks full, and one first upstream keeps its queue beside others of half its load.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from deckcourse.layers.paths import LayerPath

__all__ = ["begun_at", "passing"]

# Rounds until the counts agree: an upstream is passed by those whose paths begin before it, and
# sites have three first upstreams a copy.
ROUNDS = 4


def begun_at(paths: Sequence[LayerPath], running: Callable[[str], float]) -> dict[str, float]:
    """Return how many streams begin at each first upstream.

    Args:
      paths: one from each first upstream; all processes find the same and most streams take them.
      running: returns how many streams an upstream runs, begun there or passing.
    """
    firsts = {path.parts[0].instance: path for path in paths}
    told = {first: running(first) for first in firsts}
    passed_by: dict[str, list[str]] = {first: [] for first in firsts}
    for name, path in firsts.items():
        for first in path.instances & passed_by.keys() - {name}:
            passed_by[first].append(name)
    found = dict(told)
    for _ in range(ROUNDS):
        for first in firsts:
            passing_here = sum(found[name] for name in passed_by[first])
            found[first] = max(0.0, told[first] - passing_here)
    return found


def passing(paths: Sequence[LayerPath], begun: Mapping[str, float]) -> Mapping[str, float]:
    """Return how many streams pass each upstream of the paths, those that begin there among them.

    Args:
      paths: one from each first upstream.
      begun: the streams that begin at each.
    """
    found: dict[str, float] = defaultdict(float)
    for path in paths:
        streams = begun.get(path.parts[0].instance, 0.0)
        for part in path.parts:
            found[part.instance] += streams
    return found
