"""The choice of a few paths of a failure domain that a process uses while they have capacity.

Load pattern: a process with two requests a second would use each of a dozen first stages so rarely
that its connections time out in between, and each request would need a new one. Each process
prefers a few paths of its own, so that all paths are used. Where copies differ in speed, a slow one
holds a stream several times as long as a fast one: with equal shares the fast copies were half
idle.
"""

from collections.abc import Sequence

from deckcourse.decisions.path_draw import COST_EXPONENT
from deckcourse.layers.paths import LayerPath
from deckcourse.rendezvous import ranked

__all__ = ["preferred_paths"]


def preferred_paths(paths: Sequence[LayerPath], process: str, count: int) -> list[LayerPath]:
    """Return the paths that a process prefers, its first choice first.

    Args:
      paths: one from each first stage.
      process: the name of the process; each process has its own order.
      count: the number of paths to return.
    """
    by_first = {each.stages[0].instance: each for each in paths}
    cheapest = min((each.cost for each in paths), default=1.0)
    weights = {name: (cheapest / each.cost) ** COST_EXPONENT for name, each in by_first.items()}
    return [by_first[name] for name in ranked(process, weights)[:count]]
