"""The crashes of upstreams by the parts of the prompts that they began to answer.

Requests that differ in everything else may share a part that crashes whichever upstream begins on
it. Each crash is evidence against every part of the prompts that were there, and sound requests
share all the others: a part is suspect only until a request with it succeeds anywhere. As for whole
requests, crashes are counted as a chain, so that upstreams that end together count once.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from deckcourse.decisions.quarantine import part_quarantine_seconds
from deckcourse.peers.crash import Crash

__all__ = ["PartEvidence"]

# Retention of the evidence on a part after its last crash, seconds.
RETENTION_SECONDS = 24 * 3600.0
# Bound on the suspect and the successful parts that are retained, each: callers may send ever new
# ones. The least recently recorded ones are evicted.
MAX_PARTS = 4096
# Crashed upstreams retained for one part.
MAX_INSTANCES_PER_PART = 16
# Time after a success in which a part isn't suspected for a reported crash, seconds.
SUCCESS_TTL_SECONDS = 2.0


@dataclass
class _Record:
    """The evidence on one part; `instances` maps its crashed upstreams to when that was known."""

    crash_count: int = 0
    instances: dict[str, float] = field(default_factory=dict)

    @property
    def first_crash_at(self) -> float:
        return min(self.instances.values())

    @property
    def last_crash_at(self) -> float:
        return max(self.instances.values())


class PartEvidence:
    """The evidence on each suspect part of prompts, by its identity.

    Args:
      clock: a monotonic clock, seconds.
      spread: factor for the quarantine times of this process, which differs between processes.
    """

    def __init__(self, clock: Callable[[], float], spread: float = 1.0) -> None:
        self._clock = clock
        self._spread = spread
        self._records: dict[str, _Record] = {}
        self._succeeded_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether there are any suspect parts."""
        return bool(self._records)

    @property
    def identities(self) -> list[str]:
        """The suspect parts, ordered by their last reported crash."""
        return list(self._records)

    def record(self, crash: Crash) -> bool:
        """Record a crash with a part; return whether it is new."""
        if self.succeeded_recently(crash.identity):
            return False
        record = self._records.pop(crash.identity, None) or _Record()
        # Moves the record to the end: records are ordered by their last report.
        self._records[crash.identity] = record
        crash_count = max(record.crash_count, crash.known_crashes + 1)
        if crash_count == record.crash_count and crash.instance in record.instances:
            return False
        record.crash_count = crash_count
        if len(record.instances) < MAX_INSTANCES_PER_PART or crash.instance in record.instances:
            record.instances.setdefault(crash.instance, self._clock())
        self._evict()
        return True

    def _evict(self) -> None:
        oldest = self._clock() - RETENTION_SECONDS
        self._records = {
            name: each for name, each in self._records.items() if each.last_crash_at >= oldest
        }
        while len(self._records) > MAX_PARTS:
            del self._records[next(iter(self._records))]

    def record_success(self, identities: Iterable[str]) -> list[str]:
        """Record that a request with some parts succeeded; return those suspect until now."""
        now = self._clock()
        cleared = []
        for identity in identities:
            self._succeeded_at.pop(identity, None)
            self._succeeded_at[identity] = now
            if self.clear(identity):
                cleared.append(identity)
        while len(self._succeeded_at) > MAX_PARTS:
            del self._succeeded_at[next(iter(self._succeeded_at))]
        return cleared

    def succeeded_recently(self, identity: str) -> bool:
        """Return whether a request with a part succeeded so recently that it isn't suspected."""
        return self._clock() < self._succeeded_at.get(identity, float("-inf")) + SUCCESS_TTL_SECONDS

    def clear(self, identity: str) -> bool:
        """Clear a part of its crashes; return whether any were known."""
        return self._records.pop(identity, None) is not None

    def crash_count(self, identity: str) -> int:
        """Return the number of crashes in the chain of a part."""
        record = self._records.get(identity)
        return record.crash_count if record is not None else 0

    def crashes(self) -> list[Crash]:
        """Return all known crashes, ordered by the last report on their part."""
        return [
            Crash(identity, instance, max(0, record.crash_count - 1), is_part=True)
            for identity, record in self._records.items()
            for instance in record.instances
        ]

    def crashed_instances(self, identity: str) -> tuple[str, ...]:
        """Return the upstreams that crashed as they began on a part."""
        record = self._records.get(identity)
        return tuple(record.instances) if record is not None else ()

    def quarantined_until(self, identities: Iterable[str]) -> float | None:
        """Return when the quarantine of the last of some parts ends; None if none is in one."""
        now = self._clock()
        ends = [self._quarantine_end(each) for each in identities if each in self._records]
        return max((each for each in ends if each > now), default=None)

    def _quarantine_end(self, identity: str) -> float:
        record = self._records[identity]
        seconds = self._spread * part_quarantine_seconds(
            record.crash_count,
            len(record.instances),
            record.last_crash_at - record.first_crash_at,
        )
        return record.last_crash_at + min(RETENTION_SECONDS, seconds)
