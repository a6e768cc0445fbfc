"""Which few of a domain's paths a process keeps to while they have room.

Load pattern: a process that sees two requests a second would use a dozen first upstreams so seldom
that its connections don't outlast the pauses, and each request needs a new one. Each process keeps
to a few of its own, so that all paths are used. Where copies differ in speed, a slow one holds a
stream several times as long as a fast one: with equal parts the fast ones stood half empty.
"""

from collections.abc import Sequence

from deckcourse.decisions.path_draw import COST_POWER
from deckcourse.layers.paths import LayerPath
from deckcourse.rendezvous import ranked

__all__ = ["usual_paths"]


def usual_paths(paths: Sequence[LayerPath], process: str, count: int) -> list[LayerPath]:
    """Return the paths that a process keeps to, its own first choice first.

    Args:
      paths: one from each first upstream.
      process: its name; each has its own order.
      count: how many it keeps to.
    """
    by_first = {each.parts[0].instance: each for each in paths}
    cheapest = min((each.cost for each in paths), default=1.0)
    weights = {name: (cheapest / each.cost) ** COST_POWER for name, each in by_first.items()}
    return [by_first[name] for name in ranked(process, weights)[:count]]
