"""How much upstreams have to do, as asked by one process and told to others."""

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["LoadBoard", "LoadRow"]

# More requests than any upstream has; a larger number is nobody's word.
MOST_REQUESTS = 1_000_000
# A moment or a share beyond this is none: NaN and infinity are in no range. Seconds, some 30 years.
LARGEST_NUMBER = 1e9
# What an upstream said counts for so long, seconds: it is asked each 0.4 s by those near to it, and
# each 1.6 s by others.
LIFETIME_SECONDS = 3.0


_Count = Annotated[int, Meta(ge=0, le=MOST_REQUESTS)]


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream says of its requests as the first of a path, and when it was asked.

    `cache_share` is the part of its memory for requests that is taken. `at` is on this process's
    clock; on the way to another it counts from the moment that frames count from.
    """

    instance: str
    running: _Count
    queued: _Count
    cache_share: Annotated[float, Meta(ge=0.0, le=LARGEST_NUMBER)]
    at: Annotated[float, Meta(ge=-LARGEST_NUMBER, le=LARGEST_NUMBER)]

    @property
    def requests(self) -> int:
        """All requests that it has."""
        return self.running + self.queued

    @property
    def sound(self) -> bool:
        """Whether its figures can be true; others would take a frame with any other for none."""
        counts = (self.running, self.queued)
        in_range = all(0 <= each <= MOST_REQUESTS for each in counts)
        return in_range and 0.0 <= self.cache_share <= LARGEST_NUMBER


class LoadBoard:
    """The newest word of each upstream.

    Args:
      clock: seconds, steady.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rows: dict[str, LoadRow] = {}
        # The number of the last word of each upstream, in the order in which they came.
        self._numbers: dict[str, int] = {}
        self._number = 0

    def note(self, row: LoadRow) -> None:
        """Take in what an upstream said, unless it can't be or something newer is known."""
        if not row.sound:
            return
        known = self._rows.get(row.instance)
        if known is None or row.at > known.at:
            self._number += 1
            self._rows[row.instance] = row
            self._numbers[row.instance] = self._number

    def since(self, number: int) -> tuple[tuple[LoadRow, ...], int]:
        """Return the words of late that came after the one of a number, and the newest number."""
        rows = (each for each in self.all() if self._numbers[each.instance] > number)
        return tuple(rows), self._number

    def known(self, instance: str) -> LoadRow | None:
        """Return the newest word of an upstream, None where there is none of late."""
        row = self._rows.get(instance)
        if row is None or row.at < self._clock() - LIFETIME_SECONDS:
            return None
        return row

    def all(self) -> list[LoadRow]:
        """Return every upstream's word of late."""
        oldest = self._clock() - LIFETIME_SECONDS
        self._rows = {name: each for name, each in self._rows.items() if each.at >= oldest}
        self._numbers = {name: self._numbers[name] for name in self._rows}
        return list(self._rows.values())
