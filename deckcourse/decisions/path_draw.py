"""The choice of a path for a request: the better of two randomly drawn ones.

Load pattern: hundreds of processes decide on load reports that are some 0.4 s old. If each took the
best path, all would take the same one until the next report: at 130 requests a second some 50 would
arrive at an upstream with capacity for 96. Choosing the better of two random paths spreads requests
and still avoids full ones.
"""

from collections.abc import Callable, Sequence
from random import Random

from deckcourse.layers.paths import LayerPath

__all__ = ["COST_EXPONENT", "draw_path"]

# A path of twice the cost is drawn less often by a factor of 2 to this power.
COST_EXPONENT = 2.0


def draw_path(
    paths: Sequence[LayerPath], score: Callable[[LayerPath], float], random: Random
) -> LayerPath | None:
    """Return the better of two randomly drawn paths, None if there are no paths.

    Args:
      paths: the candidates; cheaper ones are drawn more often.
      score: returns the current cost of a path for a request; lower is better.
      random: the random number generator.
    """
    # Weighted sampling: the smallest of exponential variates, each with the path's weight as its
    # rate, is drawn with a probability in proportion to the weight.
    drawn = sorted(paths, key=lambda each: random.expovariate(1.0) * each.cost**COST_EXPONENT)
    return min(drawn[:2], key=score, default=None)
