"""The requests that reached runners, by the runners' own records."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["Arrival", "arrivals"]


@dataclass(frozen=True)
class Arrival:
    """A request that reached a runner at a time on trio's clock.

    `deadline_ms` is the deadline that it carried, None if it carried none.
    """

    request_id: str
    runner: str
    at: float
    deadline_ms: int | None


def arrivals(records: Iterable[Mapping], offset: float) -> list[Arrival]:
    """Return all arrivals but the misdirected ones, ordered by time.

    Args:
      records: the records of the runners, with the times of the monotonic clock.
      offset: the difference from that clock to trio's.
    """
    found = [
        Arrival(
            each["arrived"],
            each["instance"].partition(".")[0],
            each["clock"] + offset,
            int(each["deadline_ms"]) if each["deadline_ms"].isdigit() else None,
        )
        for each in records
        if "arrived" in each
    ]
    return sorted(found, key=lambda each: each.at)
