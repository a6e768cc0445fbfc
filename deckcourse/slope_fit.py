"""Least-squares lines through measured points, and CPU time measurement."""

import gc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import process_time

import numpy as np

__all__ = ["Slope", "cpu_seconds", "fit_line", "min_of_repeats"]

REPEATS = 3


@dataclass(frozen=True)
class Slope:
    """Measured points and the line fitted to them: `y` = `base` + `each` * `x`.

    `residual` is the root mean square error as a share of the largest `y`.
    """

    name: str
    unit: str
    per: str
    x: tuple[float, ...]
    y: tuple[float, ...]
    base: float
    each: float
    residual: float


def fit_line(name: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Fit a line to points by least squares."""
    x, y = (tuple(float(point[axis]) for point in points) for axis in (0, 1))
    each, base = np.polyfit(x, y, 1)
    residuals = np.array(y) - (base + each * np.array(x))
    residual = float(np.sqrt(np.mean(residuals**2)) / max(map(abs, y)))
    return Slope(name, unit, per, x, y, float(base), float(each), residual)


def min_of_repeats(measure: Callable[[], float]) -> float:
    """Return the minimum of `REPEATS` measurements: other load on the machine only adds time."""
    results = []
    for _ in range(REPEATS):
        gc.collect()
        results.append(measure())
    return min(results)


def cpu_seconds(work: Callable[[], object]) -> float:
    """Return the CPU seconds that this process uses for a piece of work."""
    started_at = process_time()
    work()
    return process_time() - started_at
