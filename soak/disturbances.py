"""Records when processes and links were disturbed, and when planned work took place.

A runner that is merely silent isn't disturbed: it has not ended any answer.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum

import trio

__all__ = ["STORE", "Disturbances", "PlannedKind", "PlannedWork", "Span"]

# The name of the store among the disturbed.
STORE = "store"


class PlannedKind(StrEnum):
    """What the operator does: stop an entry, reload its settings, or change the configuration."""

    STOP = "stop"
    RELOAD = "reload"
    CHANGE = "change"


@dataclass(frozen=True)
class PlannedWork:
    """Planned work at a time on trio's clock; a change concerns all entries and names none."""

    kind: PlannedKind
    at: float
    entry: str = ""


@dataclass(frozen=True)
class Span:
    """A disturbance of a process or a link, on trio's clock."""

    name: str
    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether the span shares a moment with the time from `begin` to `end`."""
        return self.begin <= end and self.end >= begin


@dataclass
class Disturbances:
    """The disturbances of a site: the unplanned ones, the absences after a stop, planned work.

    `cuts` are the times in which a link lost its connections or forwarded nothing in a direction.
    `slowed` are the times in which entries had only a part of a processor; requests may get lost
    then no more than at other times.
    """

    unplanned: list[Span] = field(default_factory=list)
    cuts: list[Span] = field(default_factory=list)
    absences: list[Span] = field(default_factory=list)
    planned: list[PlannedWork] = field(default_factory=list)
    slowed: list[Span] = field(default_factory=list)

    def record(self, name: str, seconds: float = 0.0, since: float | None = None) -> None:
        """Record an unplanned disturbance.

        Args:
          name: what is disturbed: an entry, a runner, a link or the store.
          seconds: how long it lasts from now on.
          since: when it began, if it didn't begin now.
        """
        now = trio.current_time()
        self.unplanned.append(Span(name, now if since is None else since, now + seconds))

    def record_cut(self, name: str, seconds: float = 0.0) -> None:
        """Record that the link of `name` is cut from now on."""
        now = trio.current_time()
        self.cuts.append(Span(name, now, now + seconds))

    def plan(self, kind: PlannedKind, entry: str = "") -> None:
        """Record planned work that is done now."""
        self.planned.append(PlannedWork(kind, trio.current_time(), entry))

    def record_absence(self, entry: str, since: float) -> None:
        """Record that an entry that was stopped at `since` is started again now."""
        self.absences.append(Span(entry, since, trio.current_time()))

    def is_disturbed(self, names: Collection[str], begin: float, end: float) -> bool:
        """Return whether one of the names had an unplanned disturbance at some time."""
        return any(each.name in names and each.overlaps(begin, end) for each in self.unplanned)

    def is_slowed(self, entry: str, begin: float, end: float) -> bool:
        """Return whether an entry had only a part of a processor at some time."""
        return any(each.name == entry and each.overlaps(begin, end) for each in self.slowed)

    def is_absent(self, entry: str, begin: float, end: float) -> bool:
        """Return whether an entry was stopped, away or started at some time."""
        return any(each.name == entry and each.overlaps(begin, end) for each in self.absences)
