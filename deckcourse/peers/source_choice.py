"""The choice of the process to subscribe to, by how earlier subscriptions ended."""

import trio

from deckcourse.peers.followers import sources
from deckcourse.peers.member import Member
from deckcourse.peers.relay import RelayEnd
from deckcourse.peers.roster import Roster

__all__ = ["SourceChoice"]

# A source that was unreachable or stale is avoided for this long, seconds.
COOLDOWN_SECONDS = 3.0


class SourceChoice:
    """The sources that one process may use.

    Args:
      roster: the membership view.
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._unreachable_until: dict[str, float] = {}
        self._stale_until: dict[str, float] = {}

    def candidates(self) -> tuple[Member, ...]:
        """Return the sources that may be used, recently stale ones last."""
        now = trio.current_time()
        self._unreachable_until = {
            name: at for name, at in self._unreachable_until.items() if at > now
        }
        self._stale_until = {name: at for name, at in self._stale_until.items() if at > now}
        candidates = sources(
            self._roster.own, self._roster.live(), frozenset(self._unreachable_until)
        )
        return tuple(sorted(candidates, key=lambda each: each.name in self._stale_until))

    def has_fresh_beside(self, source: str) -> bool:
        """Return whether there is another source that was not stale recently."""
        names = {each.name for each in self.candidates()}
        return bool(names - {source} - self._stale_until.keys())

    def note_end(self, source: Member, end: RelayEnd) -> None:
        """Record why the subscription to a source ended."""
        until = trio.current_time() + COOLDOWN_SECONDS
        if end is RelayEnd.STALE:
            self._stale_until[source.name] = until
        elif end is not RelayEnd.NOT_NEEDED:
            self._unreachable_until[source.name] = until
