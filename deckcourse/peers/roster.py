"""Who is there, as one process knows it: members whose beat rose not long ago."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from deckcourse.peers.member import Member

__all__ = ["Roster"]

# A member whose beat was not seen to rise for this long counts as gone, seconds: hundreds of
# processes are told of each other's beats in turn.
LIFETIME_SECONDS = 10.0
# So long a member that is gone is remembered, so that an old word of it doesn't bring it back.
REMEMBERED_SECONDS = 60.0
# Others that are remembered at the most, far more than any site has: whoever tells of ever new
# names must not fill the memory.
MOST_MEMBERS = 4096


@dataclass
class _Seen:
    """A member, when its beat last rose on this process's clock, and how often that was told on."""

    member: Member
    at: float
    told: int = 0


class Roster:
    """The members that one process knows, itself among them.

    Args:
      own: this process; its beat rises with each call of `beat`.
      clock: seconds, steady.
    """

    def __init__(self, own: Member, clock: Callable[[], float]) -> None:
        self._own = own
        self._clock = clock
        self._seen: dict[str, _Seen] = {}

    @property
    def own(self) -> Member:
        """This process."""
        return self._own

    def beat(self) -> None:
        """Show others that this process lives."""
        self._own = replace(self._own, beat=self._own.beat + 1)

    def leave(self) -> None:
        """Show others that this process is about to end."""
        self._own = replace(self._own, leaving=True, beat=self._own.beat + 1)

    def take(self, members: Iterable[Member]) -> None:
        """Take in what another process knows; older words than the known are dropped."""
        now = self._clock()
        for member in members:
            if member.name != self._own.name and self._is_news(member, now):
                self._seen[member.name] = _Seen(member, now)
        self._seen = {
            name: each for name, each in self._seen.items() if now - each.at < REMEMBERED_SECONDS
        }

    def _is_news(self, member: Member, now: float) -> bool:
        known = self._seen.get(member.name)
        if known is None:
            return len(self._seen) < MOST_MEMBERS
        if member.start == known.member.start:
            return member.beat > known.member.beat
        return member.start > known.member.start or now - known.at >= LIFETIME_SECONDS

    def live(self) -> tuple[Member, ...]:
        """Return the members that live, this process among them."""
        now = self._clock()
        others = (each.member for each in self._seen.values() if now - each.at < LIFETIME_SECONDS)
        return (self._own, *others)

    def news(self, domain: str, most: int) -> tuple[Member, ...]:
        """Return what is worth telling to a process of a domain, and count it as told.

        Its own domain goes before others, since it works with those, and what was told least
        before what is newest: so each beat comes around, and not the same few again and again.
        """
        now = self._clock()
        live = [each for each in self._seen.values() if now - each.at < LIFETIME_SECONDS]
        live.sort(key=lambda each: (each.member.domain != domain, each.told, -each.at))
        for each in live[:most]:
            each.told += 1
        return tuple(each.member for each in live[:most])
