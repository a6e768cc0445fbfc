"""The crashes of upstreams that one process knows, by suspect request.

Crashes of a request are counted as a chain: a crash during an attempt that was sent when N crashes
were known is number N + 1. So the count grows by one only, however many processes report one crash,
and however many attempts of a request were in flight when several upstreams ended independently.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from deckcourse.decisions.quarantine import (
    CONFIRMING_CRASHES,
    had_recent_confirmed_crash,
    quarantine_seconds,
)
from deckcourse.peers.crash import Crash

__all__ = ["CrashEvidence"]

# Retention of the evidence on a request after its last crash, seconds.
RETENTION_SECONDS = 24 * 3600.0
# Bound on the suspect, successful and cleared requests that are retained, each; the least recently
# recorded ones are evicted.
MAX_REQUESTS = 4096
# Crashed upstreams retained for one request, to be shown to operators.
MAX_INSTANCES_PER_REQUEST = 16
# Grace period after a request was cleared, seconds: reports from peers that don't know of it yet
# are ignored.
CLEARED_GRACE_SECONDS = 5.0
# Time after a success in which a request isn't suspected for a reported crash, seconds.
SUCCESS_TTL_SECONDS = 10.0


@dataclass
class _Record:
    """The evidence on one request: its crash count, crashed upstreams and last crash."""

    last_crash_at: float
    crash_count: int = 0
    instances: dict[str, None] = field(default_factory=dict)


class CrashEvidence:
    """The evidence on each suspect request, by its identity.

    Args:
      clock: a monotonic clock, seconds.
      spread: factor for the quarantine times of this process, which differs between processes: one
        of them retries a request before the others do.
    """

    def __init__(self, clock: Callable[[], float], spread: float = 1.0) -> None:
        self._clock = clock
        self._spread = spread
        self._records: dict[str, _Record] = {}
        self._succeeded_at: dict[str, float] = {}
        self._cleared_at: dict[str, float] = {}
        self._confirmed_at = float("-inf")

    def __bool__(self) -> bool:
        """Return whether there are any suspect requests."""
        return bool(self._records)

    @property
    def identities(self) -> list[str]:
        """The suspect requests, ordered by their last reported crash."""
        return list(self._records)

    def record(self, crash: Crash) -> bool:
        """Record a crash with its suspect request; return whether it is new."""
        now = self._clock()
        record = self._records.pop(crash.identity, None) or _Record(now)
        # Moves the record to the end: records are ordered by their last report.
        self._records[crash.identity] = record
        crash_count = max(record.crash_count, crash.known_crashes + 1)
        if crash_count == record.crash_count and crash.instance in record.instances:
            return False
        record.crash_count = crash_count
        record.last_crash_at = now
        if len(record.instances) < MAX_INSTANCES_PER_REQUEST:
            record.instances[crash.instance] = None
        if record.crash_count >= CONFIRMING_CRASHES:
            self._confirmed_at = now
        self._evict(now)
        return True

    def _evict(self, now: float) -> None:
        oldest = now - RETENTION_SECONDS
        for identity in [
            each for each, entry in self._records.items() if entry.last_crash_at < oldest
        ]:
            del self._records[identity]
        while len(self._records) > MAX_REQUESTS:
            del self._records[next(iter(self._records))]

    def record_success(self, identity: str) -> bool:
        """Record that a request succeeded; return whether it was suspect until now."""
        _put_time(self._succeeded_at, identity, self._clock())
        return self.clear(identity)

    def succeeded_recently(self, identity: str) -> bool:
        """Return whether a request succeeded so recently that it isn't suspected for a crash."""
        return self._clock() < self._succeeded_at.get(identity, float("-inf")) + SUCCESS_TTL_SECONDS

    def clear(self, identity: str) -> bool:
        """Clear a request of its crashes; return whether any were known."""
        was_suspect = self._records.pop(identity, None) is not None
        if was_suspect:
            _put_time(self._cleared_at, identity, self._clock())
        return was_suspect

    def was_just_cleared(self, identity: str) -> bool:
        """Return whether a request was cleared so recently that peers may not know of it."""
        return self._clock() < self._cleared_at.get(identity, float("-inf")) + CLEARED_GRACE_SECONDS

    def crash_count(self, identity: str) -> int:
        """Return the number of crashes in the chain of a request."""
        record = self._records.get(identity)
        return record.crash_count if record is not None else 0

    def crashes(self) -> list[Crash]:
        """Return all known crashes, ordered by the last report on their suspect request."""
        return [
            Crash(identity, instance, max(0, entry.crash_count - 1))
            for identity, entry in self._records.items()
            for instance in entry.instances
        ]

    def crashed_instances(self, identity: str) -> tuple[str, ...]:
        """Return the upstreams that crashed while they ran a request."""
        record = self._records.get(identity)
        return tuple(record.instances) if record is not None else ()

    def rank(self, identity: str, instance: str) -> int:
        """Return how many other suspects of an upstream's crash precede a request.

        All processes with the same evidence compute the same order.
        """
        return sum(each < identity for each in self._suspects_of(instance))

    def _suspects_of(self, instance: str) -> list[str]:
        """Return the requests that an upstream ran when it crashed."""
        return [each for each, entry in self._records.items() if instance in entry.instances]

    def _is_explained(self, identity: str) -> bool:
        """Return whether a confirmed request was also involved in each crash of a request."""
        crashed = self._records[identity].instances.keys()
        confirmed = (
            entry.instances
            for other, entry in self._records.items()
            if other != identity and entry.crash_count >= CONFIRMING_CRASHES
        )
        return not crashed - {each for instances in confirmed for each in instances}

    def quarantined_until(self, identity: str) -> float | None:
        """Return when the quarantine of a request ends, on the clock; None if it may run."""
        record = self._records.get(identity)
        if record is None:
            return None
        now = self._clock()
        guarded = had_recent_confirmed_crash(self._confirmed_at, now) and not self._is_explained(
            identity
        )
        suspects = min(len(self._suspects_of(each)) for each in record.instances)
        seconds = self._spread * quarantine_seconds(record.crash_count, suspects, guarded)
        until = record.last_crash_at + min(RETENTION_SECONDS, seconds)
        return until if until > now else None


def _put_time(times: dict[str, float], identity: str, now: float) -> None:
    """Record a time for a request; evict the least recently recorded ones."""
    times.pop(identity, None)
    times[identity] = now
    while len(times) > MAX_REQUESTS:
        del times[next(iter(times))]
