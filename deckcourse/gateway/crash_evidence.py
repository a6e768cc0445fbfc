"""The upstreams that ended under requests, as far as one process knows.

Evidence is a set: however many processes tell of one end, in whatever order, it counts once.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from deckcourse.decisions.quarantine import CONVICTING_ENDS, is_guarded, quarantine_seconds
from deckcourse.peers.crash import Crash

__all__ = ["CrashEvidence"]

# What is known of a request is forgotten so long after the last end under it, seconds.
LIFETIME_SECONDS = 24 * 3600.0
# Requests that are remembered at the most; those whose last end is longest ago are forgotten.
MOST_REQUESTS = 4096
# Ends that are kept of one request: further ones change nothing.
MOST_ENDS = 16


@dataclass
class _Record:
    """The starts of upstreams that ended under one request, and when the last of them did."""

    last_at: float
    instances: dict[str, None] = field(default_factory=dict)


class CrashEvidence:
    """What is known of each request, by its identity.

    Args:
      clock: seconds, steady.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
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
        if crash.instance in record.instances or len(record.instances) >= MOST_ENDS:
            return False
        record.instances[crash.instance] = None
        record.last_at = now
        if len(record.instances) >= CONVICTING_ENDS:
            self._convicted_at = now
        self._forget(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - LIFETIME_SECONDS
        for identity in [each for each, kept in self._records.items() if kept.last_at < oldest]:
            del self._records[identity]
        while len(self._records) > MOST_REQUESTS:
            del self._records[next(iter(self._records))]

    def clear(self, identity: str) -> None:
        """Forget what is known of a request: it ran well."""
        self._records.pop(identity, None)

    def ends(self, identity: str) -> int:
        """Return how many upstreams ended under a request."""
        record = self._records.get(identity)
        return len(record.instances) if record is not None else 0

    def crashes(self, identity: str) -> list[Crash]:
        """Return the ends that are known of one request."""
        record = self._records.get(identity)
        return [Crash(identity, each) for each in record.instances] if record is not None else []

    def refused_until(self, identity: str) -> float | None:
        """Return until when a request is refused, on the clock; None where it may run."""
        record = self._records.get(identity)
        if record is None:
            return None
        now = self._clock()
        guarded = is_guarded(self._convicted_at, now)
        seconds = min(LIFETIME_SECONDS, quarantine_seconds(len(record.instances), guarded))
        until = record.last_at + seconds
        return until if until > now else None
