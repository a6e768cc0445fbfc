"""The membership view of one process: the members whose heartbeat rose recently."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from deckcourse.peers.member import Member

__all__ = ["Roster"]

# A member whose heartbeat was not seen to rise for this long counts as dead, seconds. Digests carry
# only some members, so that with hundreds of processes a heartbeat arrives only now and then.
MEMBER_TTL_SECONDS = 10.0
# Dead members are kept for this long, seconds, so that a stale digest does not revive them.
DEAD_MEMBER_RETENTION_SECONDS = 60.0
# Largest number of other members kept, far more than any site has: bounds the memory that a peer
# with ever new names can take.
MAX_MEMBERS = 4096


@dataclass
class _Entry:
    """A member, when its heartbeat last rose, and how often that heartbeat was forwarded.

    `updated_at` is on this process's clock.
    """

    member: Member
    updated_at: float
    sent_count: int = 0


class Roster:
    """The members that one process knows, including itself.

    Args:
      own: this process; `advance_heartbeat` raises its heartbeat.
      clock: monotonic clock, seconds.
    """

    def __init__(self, own: Member, clock: Callable[[], float]) -> None:
        self._own = own
        self._clock = clock
        self._entries: dict[str, _Entry] = {}

    @property
    def own(self) -> Member:
        """This process."""
        return self._own

    def advance_heartbeat(self) -> None:
        """Raise the heartbeat of this process."""
        self._own = replace(self._own, heartbeat=self._own.heartbeat + 1)

    def mark_leaving(self) -> None:
        """Mark this process as leaving."""
        self._own = replace(self._own, leaving=True, heartbeat=self._own.heartbeat + 1)

    def merge(self, members: Iterable[Member]) -> None:
        """Merge the members that another process knows, except for superseded entries."""
        now = self._clock()
        for member in members:
            if member.name != self._own.name and self._is_newer(member, now):
                self._entries[member.name] = _Entry(member, now)
        self._entries = {
            name: each
            for name, each in self._entries.items()
            if now - each.updated_at < DEAD_MEMBER_RETENTION_SECONDS
        }

    def _is_newer(self, member: Member, now: float) -> bool:
        current = self._entries.get(member.name)
        if current is None:
            return len(self._entries) < MAX_MEMBERS
        if member.start == current.member.start:
            return member.heartbeat > current.member.heartbeat
        return member.start > current.member.start or now - current.updated_at >= MEMBER_TTL_SECONDS

    def live(self) -> tuple[Member, ...]:
        """Return the live members, including this process."""
        now = self._clock()
        others = (
            each.member
            for each in self._entries.values()
            if now - each.updated_at < MEMBER_TTL_SECONDS
        )
        return (self._own, *others)

    def live_member(self, name: str) -> Member | None:
        """Return the live member of a name, also this process; None if there is none."""
        if name == self._own.name:
            return self._own
        entry = self._entries.get(name)
        if entry is None or self._clock() - entry.updated_at >= MEMBER_TTL_SECONDS:
            return None
        return entry.member

    def select_for_digest(self, domain: str, max_count: int) -> tuple[Member, ...]:
        """Return the members to send to a process of a domain, and count them as sent.

        Members of the recipient's domain come first, since it works with those. Next come the
        entries sent the fewest times, then the newest: every heartbeat gets around, rather than
        the same few repeatedly.

        Args:
          domain: the failure domain of the recipient.
          max_count: the largest number of members to return.
        """
        now = self._clock()
        live = [
            each for each in self._entries.values() if now - each.updated_at < MEMBER_TTL_SECONDS
        ]
        live.sort(
            key=lambda each: (each.member.domain != domain, each.sent_count, -each.updated_at)
        )
        for each in live[:max_count]:
            each.sent_count += 1
        return tuple(each.member for each in live[:max_count])
