"""Measured slopes: what one more request, token, peer, upstream, account or change costs.

Each measurement runs at four sizes or more and is fitted by a line; docs/CAPACITY.md is written
from these fits. Processor time is this process's own; sources and clients that run in the same
process are measured by themselves and taken off.
"""

from collections.abc import Callable
from time import perf_counter

from deckcourse.slope_fit import Slope
from deckcourse.slopes_control import CONTROL_SLOPES
from deckcourse.slopes_requests import REQUEST_SLOPES

__all__ = ["measure_all"]

MEASUREMENTS = (*REQUEST_SLOPES, *CONTROL_SLOPES)


def measure_all(say: Callable[[str], None]) -> list[Slope]:
    """Measure every slope; tell each as it is known."""
    slopes: list[Slope] = []
    for measure in MEASUREMENTS:
        began = perf_counter()
        for slope in measure():
            slopes.append(slope)
            say(f"{slope.name}: {slope.base:.3g} + {slope.each:.3g} {slope.unit} a {slope.per}")
        say(f"  took {perf_counter() - began:.1f} s")
    return slopes
