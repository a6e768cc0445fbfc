"""Measured slopes: the cost of one more request, token, peer, upstream, account or change.

Each measurement runs at four sizes or more and is fitted by a line; docs/CAPACITY.md is written
from these fits. CPU time is that of this process; where token source and clients run in the same
process, their cost is measured separately and subtracted.
"""

from collections.abc import Callable
from time import perf_counter

from deckcourse.slope_fit import Slope
from deckcourse.slopes_control import CONTROL_SLOPES
from deckcourse.slopes_requests import REQUEST_SLOPES

__all__ = ["measure_all"]

MEASUREMENTS = (*REQUEST_SLOPES, *CONTROL_SLOPES)


def measure_all(write_line: Callable[[str], None]) -> list[Slope]:
    """Measure every slope and write a line for each when it is measured."""
    slopes: list[Slope] = []
    for measure in MEASUREMENTS:
        started_at = perf_counter()
        for slope in measure():
            slopes.append(slope)
            write_line(
                f"{slope.name}: {slope.base:.3g} + {slope.each:.3g} {slope.unit} a {slope.per}"
            )
        write_line(f"  took {perf_counter() - started_at:.1f} s")
    return slopes
