"""How full paths are, from what the first upstreams of paths say of themselves.

Load pattern: several paths share upstreams behind their first ones, and an upstream that begins
paths is passed by others. It tells how many streams run there, begun there or not, and takes only
so many that begin there. Counted as they are told, streams on shared upstreams count twice: every
path looks full, and one first upstream keeps its queue beside others of half its load.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from deckcourse.layers.paths import LayerPath

__all__ = ["begun_at", "passers", "passing"]

# Rounds until the counts agree: an upstream is passed by those whose paths begin before it, and
# sites have three first upstreams a copy.
ROUNDS = 4


def passers(paths: Sequence[LayerPath]) -> dict[str, list[str]]:
    """Return for each first upstream that other paths pass the first upstreams of those."""
    firsts = {path.parts[0].instance: path for path in paths}
    found: dict[str, list[str]] = defaultdict(list)
    for name, path in firsts.items():
        for first in path.instances & firsts.keys() - {name}:
            found[first].append(name)
    # In the order of the paths: later ones are counted by what is known of earlier ones.
    return {first: found[first] for first in firsts if first in found}


def begun_at(
    paths: Sequence[LayerPath],
    running: Callable[[str], float],
    passed_by: Mapping[str, Sequence[str]] | None = None,
) -> dict[str, float]:
    """Return how many streams begin at each first upstream.

    Args:
      paths: one from each first upstream; all processes find the same and most streams take them.
      running: returns how many streams an upstream runs, begun there or passing.
      passed_by: the `passers` of the paths, where they are known already.
    """
    told = {path.parts[0].instance: running(path.parts[0].instance) for path in paths}
    found = dict(told)
    shared = passers(paths) if passed_by is None else passed_by
    for _ in range(ROUNDS):
        for first, names in shared.items():
            passing_here = sum([found[name] for name in names])
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
