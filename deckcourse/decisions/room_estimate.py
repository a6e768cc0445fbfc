"""The requests at first upstreams that their reports don't show yet.

Load pattern: the load doubles within a second at a site of a hundred processes or more. Reports are
up to 0.85 s old, and a process with one request a second has hardly sent any since. All processes
then see the same free slots, and together send several times as many requests as there are.
"""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ReportedLoad", "unseen_by_free_slots"]


@dataclass(frozen=True)
class ReportedLoad:
    """The last report of a first upstream.

    Attributes:
      requests: the requests that it has, running and queued.
      slots: those that it takes.
      sent: the requests that this process has sent since.
    """

    requests: float
    slots: float
    sent: float = 0.0


def unseen_by_free_slots(
    loads: Mapping[str, ReportedLoad], growth: float, share: float, place: float
) -> dict[str, float]:
    """Return the unreported requests of each upstream, shared among the processes.

    All processes together send as many requests as come before the next report, to each upstream in
    proportion to its free slots. Where a request of this process stands among them is unknown, so
    that its place is drawn: it then finds room with the probability with which there is any for it,
    and the processes together fill the free slots once.

    Args:
      loads: the reported loads of one failure domain.
      growth: the requests that the domain gets in that time beyond those that end.
      share: this process's share of the traffic.
      place: the place of a request among those, 0 to 1.
    """
    free = {name: max(0.0, each.slots - each.requests) for name, each in loads.items()}
    total_free = sum(free.values())
    others = max(0.0, growth) * (1.0 - share) * place
    return {
        name: each.sent + others * (free[name] / total_free if total_free else 1.0 / len(loads))
        for name, each in loads.items()
    }
