"""How many more streams the paths of a failure domain can take together.

Load pattern: the paths of a domain share later stages. Adding up what each path has free counts a
shared stage once for each path, and the requests of another domain would overfill it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["PathRoom", "free_streams"]


@dataclass(frozen=True)
class PathRoom:
    """The streams that one path can take in addition.

    Attributes:
      slots: those that its first stage admits.
      timely: those with which it still meets the times that its route allows.
      memory: by stage, those that fit into its memory.
    """

    slots: float
    timely: float
    memory: tuple[tuple[str, float], ...]


def free_streams(rooms: Iterable[PathRoom]) -> float:
    """Return how many more streams some paths can take together.

    Each path in turn takes as many as it can. A stream that one path adds to a shared stage makes
    the tokens of the others there later as well, so it counts against what these can take.
    """
    added: dict[str, float] = {}
    total = 0.0
    for room in rooms:
        taken = min(room.slots, room.timely)
        for stage, free in room.memory:
            already = added.get(stage, 0.0)
            taken = min(taken, room.timely - already, free - already)
        if taken <= 0:
            continue
        total += taken
        for stage, _ in room.memory:
            added[stage] = added.get(stage, 0.0) + taken
    return total
