"""Lines through measured points, and the measuring of processor time."""

import gc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import process_time

import numpy as np

__all__ = ["Slope", "fit", "least", "processor"]

REPEATS = 3


@dataclass(frozen=True)
class Slope:
    """Points and their line: `y` = `base` + `each` times `x`.

    `residual` is the root of the mean squared distance, as a part of the largest `y`.
    """

    name: str
    unit: str
    per: str
    x: tuple[float, ...]
    y: tuple[float, ...]
    base: float
    each: float
    residual: float


def fit(name: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Return the line through points."""
    x, y = (tuple(float(point[axis]) for point in points) for axis in (0, 1))
    each, base = np.polyfit(x, y, 1)
    distance = np.array(y) - (base + each * np.array(x))
    residual = float(np.sqrt(np.mean(distance**2)) / max(map(abs, y)))
    return Slope(name, unit, per, x, y, float(base), float(each), residual)


def least(measure: Callable[[], float]) -> float:
    """Return the least of a few tries: what else the machine does only ever adds."""
    found = []
    for _ in range(REPEATS):
        gc.collect()
        found.append(measure())
    return min(found)


def processor(work: Callable[[], object]) -> float:
    """Return the processor seconds that this process spends on a piece of work."""
    began = process_time()
    work()
    return process_time() - began
