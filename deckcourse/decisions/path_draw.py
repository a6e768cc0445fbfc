"""Which of several paths a request takes: the better of two that are drawn.

Load pattern: hundreds of processes choose by what they were told some 0.4 s ago. If each took the
best path, all of them would take the same one until they hear better: at 130 requests a second some
50 meet at an upstream with 96 places. The better of two drawn ones spreads them, and still leaves
out what is full.
"""

from collections.abc import Callable, Sequence
from random import Random

from deckcourse.layers.paths import LayerPath

__all__ = ["COST_POWER", "draw_path"]

# A path that takes twice the time is drawn so many times as seldom, as a power of two.
COST_POWER = 2.0


def draw_path(
    paths: Sequence[LayerPath], score: Callable[[LayerPath], float], random: Random
) -> LayerPath | None:
    """Return the better of two paths, drawn by the inverse of their cost; None where there is none.

    Args:
      paths: what may be taken.
      score: returns what a request's way would cost now; less is better.
      random: draws.
    """
    # The first of exponential draws, each with the weight as its rate, is drawn by the weights.
    drawn = sorted(paths, key=lambda each: random.expovariate(1.0) * each.cost**COST_POWER)
    return min(drawn[:2], key=score, default=None)
