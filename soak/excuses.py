"""Which kind excuses what for the judges that belong to a kind.

A judge of a kind plays beside every other kind, and excuses nothing for it, unless it is listed
here. docs/JUDGES.md tells what the disturbances of each kind excuse for the judges of all seeds.
"""

from collections.abc import Iterable, Mapping
from enum import Enum, auto

__all__ = ["EXCUSES", "Excuse", "excuses_beside"]


class Excuse(Enum):
    """What planned work is a reason for.

    LAST_OF_GRACE: an answer couldn't be whole when the grace period of a stop ran out, see
    `LostJudge.was_last_of_grace`.
    """

    LAST_OF_GRACE = auto()


# By the kind with the judge and the kind beside it. The judge doesn't play beside other kinds.
EXCUSES: Mapping[str, Mapping[str, frozenset[Excuse]]] = {
    # Any stream that ends is reported, so that it plays only beside kinds that are no faults.
    "silent-runners": {
        "planned": frozenset({Excuse.LAST_OF_GRACE}),
        "changes": frozenset(),
    },
}


def excuses_beside(judge: str, names: Iterable[str]) -> frozenset[Excuse] | None:
    """Return what is excused for the judge of a kind beside others, None if it doesn't play."""
    listed = EXCUSES.get(judge)
    others = set(names) - {judge}
    if listed is None:
        return frozenset()
    if not others <= listed.keys():
        return None
    return frozenset().union(*(listed[each] for each in others))
