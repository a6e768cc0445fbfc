"""The upstreams that ended under requests, as far as one process knows.

Ends are counted as a chain: one that came of a run sent when so many were known is one more than
those. However many processes tell of one end, and however many runs of one request were under way
when several upstreams ended by themselves, the chain grows by one.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from deckcourse.decisions.quarantine import CONVICTING_ENDS, is_guarded, quarantine_seconds
from deckcourse.peers.crash import Crash

__all__ = ["CrashEvidence"]

# What is known of a request is forgotten so long after the last end under it, seconds.
LIFETIME_SECONDS = 24 * 3600.0
# Requests that are remembered at the most, those under which upstreams ended and those that ran
# well; what is known longest is forgotten first.
MOST_REQUESTS = 4096
# Upstreams that are kept of one request, for operators: further ones change nothing.
MOST_ENDS = 16
# What others tell of a request so soon after it was cleared they may not know yet, seconds.
OUTDATED_SECONDS = 5.0
# A request that ran well did not end an upstream that is told of so soon after it, seconds.
DISPROVED_SECONDS = 10.0


@dataclass
class _Record:
    """What is known of one request: how many ends in a chain, of whom, and when the last was."""

    last_at: float
    ends: int = 0
    instances: dict[str, None] = field(default_factory=dict)


class CrashEvidence:
    """What is known of each request, by its identity.

    Args:
      clock: seconds, steady.
      spread: how many times longer than others this process refuses what is to be tried again, so
        that one process tries before all the others do.
    """

    def __init__(self, clock: Callable[[], float], spread: float = 1.0) -> None:
        self._clock = clock
        self._spread = spread
        self._records: dict[str, _Record] = {}
        self._ran_at: dict[str, float] = {}
        self._cleared_at: dict[str, float] = {}
        self._convicted_at = float("-inf")

    def __bool__(self) -> bool:
        """Return whether anything is known of any request."""
        return bool(self._records)

    @property
    def identities(self) -> list[str]:
        """The requests under which upstreams ended, the last one at the end."""
        return list(self._records)

    def note(self, crash: Crash) -> bool:
        """Take in that an upstream ended under a request; return whether that is news."""
        now = self._clock()
        record = self._records.pop(crash.identity, None) or _Record(now)
        # The one that ended last stands last.
        self._records[crash.identity] = record
        ends = max(record.ends, crash.known_ends + 1)
        if ends == record.ends and crash.instance in record.instances:
            return False
        record.ends = ends
        record.last_at = now
        if len(record.instances) < MOST_ENDS:
            record.instances[crash.instance] = None
        if record.ends >= CONVICTING_ENDS:
            self._convicted_at = now
        self._forget(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - LIFETIME_SECONDS
        for identity in [each for each, kept in self._records.items() if kept.last_at < oldest]:
            del self._records[identity]
        while len(self._records) > MOST_REQUESTS:
            del self._records[next(iter(self._records))]

    def note_ran(self, identity: str) -> bool:
        """Take in that a request ran well; return whether it was under suspicion until now."""
        _remember(self._ran_at, identity, self._clock())
        return self.clear(identity)

    def is_disproved(self, identity: str) -> bool:
        """Return whether a request ran well a moment ago, whatever is told of it."""
        return self._clock() < self._ran_at.get(identity, float("-inf")) + DISPROVED_SECONDS

    def clear(self, identity: str) -> bool:
        """Forget the ends under a request; return whether any were known."""
        known = self._records.pop(identity, None) is not None
        if known:
            _remember(self._cleared_at, identity, self._clock())
        return known

    def is_outdated(self, identity: str) -> bool:
        """Return whether a request was cleared so lately that others may not know it yet."""
        return self._clock() < self._cleared_at.get(identity, float("-inf")) + OUTDATED_SECONDS

    def ends(self, identity: str) -> int:
        """Return how many upstreams ended under a request, one after the other."""
        record = self._records.get(identity)
        return record.ends if record is not None else 0

    def crashes(self) -> list[Crash]:
        """Return every end that is known, those of the request that ended one last at the end."""
        return [
            Crash(identity, instance, max(0, kept.ends - 1))
            for identity, kept in self._records.items()
            for instance in kept.instances
        ]

    def instances(self, identity: str) -> tuple[str, ...]:
        """Return the upstreams that ended under a request."""
        record = self._records.get(identity)
        return tuple(record.instances) if record is not None else ()

    def place(self, identity: str, instance: str) -> int:
        """Return how many others, under which an upstream may have ended too, go before a request.

        Every process that knows the same comes to the same order.
        """
        return sum(each < identity for each in self._suspects(instance))

    def _suspects(self, instance: str) -> list[str]:
        """Return the requests under which an upstream may have ended."""
        return [each for each, kept in self._records.items() if instance in kept.instances]

    def _is_explained(self, identity: str) -> bool:
        """Return whether a convicted request was at each end under which another one was."""
        ended = self._records[identity].instances.keys()
        convicted = (
            kept.instances
            for other, kept in self._records.items()
            if other != identity and kept.ends >= CONVICTING_ENDS
        )
        return not ended - {each for instances in convicted for each in instances}

    def refused_until(self, identity: str) -> float | None:
        """Return until when a request is refused, on the clock; None where it may run."""
        record = self._records.get(identity)
        if record is None:
            return None
        now = self._clock()
        guarded = is_guarded(self._convicted_at, now) and not self._is_explained(identity)
        suspects = min(len(self._suspects(each)) for each in record.instances)
        seconds = self._spread * quarantine_seconds(record.ends, suspects, guarded)
        until = record.last_at + min(LIFETIME_SECONDS, seconds)
        return until if until > now else None


def _remember(moments: dict[str, float], identity: str, now: float) -> None:
    """Note a moment for a request; those noted longest ago are forgotten."""
    moments.pop(identity, None)
    moments[identity] = now
    while len(moments) > MOST_REQUESTS:
        del moments[next(iter(moments))]
