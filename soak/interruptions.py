"""Records when processes were paused or links were cut."""

from dataclasses import dataclass, field

import trio

__all__ = ["Interruptions"]


@dataclass
class Interruptions:
    """Records when processes were paused or links were cut, which excuses late arrivals.

    `spans` are (name, begin, end), `resets` are (name, time), on trio's clock.
    """

    spans: list[tuple[str, float, float]] = field(default_factory=list)
    resets: list[tuple[str, float]] = field(default_factory=list)

    def record(self, name: str, seconds: float) -> None:
        """Record that a process is paused or a link is cut from now on."""
        now = trio.current_time()
        self.spans.append((name, now, now + seconds))

    def record_reset(self, name: str) -> None:
        """Record that connections are reset now."""
        self.resets.append((name, trio.current_time()))

    def overlaps(self, name: str, begin: float, end: float) -> bool:
        """Return whether an interruption of `name` overlaps the time from `begin` to `end`."""
        return any(
            other == name and first < end and last > begin for other, first, last in self.spans
        )

    def was_reset(self, name: str, begin: float, end: float) -> bool:
        """Return whether connections of `name` were reset between `begin` and `end`."""
        return any(other == name and begin <= at <= end for other, at in self.resets)
