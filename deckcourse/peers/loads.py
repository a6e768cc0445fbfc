"""Loads of upstreams, as queried by one process and relayed to the others."""

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["LoadBoard", "LoadRow"]

# More requests than any upstream has; a larger count is invalid.
MAX_REQUESTS = 1_000_000
# Upper bound on the size of times (seconds, about 30 years) and shares; also excludes NaN and
# infinity.
MAX_NUMBER = 1e9
# How long the load of an upstream is valid, seconds. Followers of its own domain query it
# every 0.4 s, those of other domains every 1.6 s.
LOAD_TTL_SECONDS = 3.0


_Count = Annotated[int, Meta(ge=0, le=MAX_REQUESTS)]


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """The load of an upstream as the first stage of paths, and when it was queried.

    Attributes:
      instance: the upstream.
      running: requests that it executes.
      queued: requests that wait there.
      cache_share: the share of its memory for requests that is in use.
      at: the time of the query, on this process's clock; in a frame, relative to the origin of the
        frame's times.
    """

    instance: str
    running: _Count
    queued: _Count
    cache_share: Annotated[float, Meta(ge=0.0, le=MAX_NUMBER)]
    at: Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

    @property
    def requests(self) -> int:
        """The number of its requests, running and queued."""
        return self.running + self.queued

    @property
    def is_valid(self) -> bool:
        """Whether its figures are in range; peers reject a whole frame with any other row."""
        counts = (self.running, self.queued)
        in_range = all(0 <= each <= MAX_REQUESTS for each in counts)
        return in_range and 0.0 <= self.cache_share <= MAX_NUMBER


class LoadBoard:
    """The newest known load of each upstream.

    Args:
      clock: monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rows: dict[str, LoadRow] = {}
        # The sequence number of the newest load of each upstream, in order of arrival.
        self._sequences: dict[str, int] = {}
        self._sequence = 0
        self._on_recorded: Callable[[], object] = lambda: None

    @property
    def sequence(self) -> int:
        """The sequence number of the newest load; changes with each load that is recorded."""
        return self._sequence

    def set_listener(self, on_recorded: Callable[[], object]) -> None:
        """Register the callback for each new load."""
        self._on_recorded = on_recorded

    def record(self, row: LoadRow) -> None:
        """Record the load of an upstream, unless it is invalid or a newer one is known."""
        if not row.is_valid:
            return
        current = self._rows.get(row.instance)
        if current is None or row.at > current.at:
            self._sequence += 1
            self._rows[row.instance] = row
            self._sequences[row.instance] = self._sequence
            self._on_recorded()

    def since(self, sequence: int) -> tuple[tuple[LoadRow, ...], int]:
        """Return the valid loads that came after a sequence number, and the newest number."""
        rows = (each for each in self.all() if self._sequences[each.instance] > sequence)
        return tuple(rows), self._sequence

    def get(self, instance: str) -> LoadRow | None:
        """Return the newest load of an upstream, None if there is none that is still valid."""
        row = self._rows.get(instance)
        if row is None or row.at < self._clock() - LOAD_TTL_SECONDS:
            return None
        return row

    def all(self) -> list[LoadRow]:
        """Return the valid load of every upstream."""
        oldest = self._clock() - LOAD_TTL_SECONDS
        self._rows = {name: each for name, each in self._rows.items() if each.at >= oldest}
        self._sequences = {name: self._sequences[name] for name in self._rows}
        return list(self._rows.values())
