"""What processes report about lost upstreams, and which upstreams to avoid for that.

Load pattern: one loss of four hosts was found separately by 61 of 81 processes, each at the cost of
refused attempts, of which all processes together may make few. A report of one process therefore
makes the others avoid the upstream for a short time, until a follower has verified it.
"""

from dataclasses import dataclass, field
from enum import IntEnum

__all__ = [
    "AVOIDANCE_SECONDS",
    "CONFIRMED_SECONDS",
    "ByteAllowance",
    "Evidence",
    "LossBook",
    "ReporterCheck",
]

# How long an unverified report is believed: less than the time after which a process finds out
# itself, so that a wrong report costs callers no more than a lost one does.
AVOIDANCE_SECONDS = 0.4
# How long a verified loss is believed; the verifier repeats it before that while it holds.
CONFIRMED_SECONDS = 1.2
# After an upstream answered a probe, refusals and missing stages don't count for this time: a full
# upstream refuses many requests, and each report would cause another probe.
ALIVE_SECONDS = 0.4
# Reporters after which silence counts without verification: one alone may be cut off itself.
MIN_SILENCE_REPORTERS = 2
# Bounds on memory, above what the largest site needs.
MAX_UPSTREAMS = 1024
MAX_REPORTS_PER_UPSTREAM = 16
MAX_REPORTERS = 1024
# Window in which the upstreams that one reporter names are counted.
NAMING_WINDOW_SECONDS = 1.0
# A reporter that names more than this share of a failure domain is cut off from it itself.
ISOLATION_SHARE = 0.5


class Evidence(IntEnum):
    """What shows that an upstream is gone, or a verifier's result.

    REFUSED: an attempt was refused by or for it. UNREACHABLE: a connection was refused or reset.
    SILENT: two probes went unanswered. STAGE_MISSING: a move found its stage missing.

    Results: ENDED if its machine refuses connections, UNANSWERED if it doesn't answer a follower's
    probes, and ALIVE.
    """

    REFUSED = 1
    UNREACHABLE = 2
    SILENT = 3
    STAGE_MISSING = 4
    ENDED = 5
    UNANSWERED = 6
    ALIVE = 7

    @property
    def label(self) -> str:
        """The name in logs and counters."""
        return self.name.lower().replace("_", "-")

    @property
    def is_result(self) -> bool:
        """Whether it is the result of a verification."""
        return self >= Evidence.ENDED

    @property
    def confirms_loss(self) -> bool:
        """Whether it is a result that confirms the loss."""
        return self in (Evidence.ENDED, Evidence.UNANSWERED)


# Evidence that an upstream which answers probes may cause as well.
_WEAK_EVIDENCE = frozenset({Evidence.REFUSED, Evidence.STAGE_MISSING})


@dataclass
class _Record:
    """What is known about one upstream; all times are on the clock of the caller.

    `reports` maps evidence and reporter to the end of their validity. `result` is the last result
    and `result_by` names the process that sent it.
    """

    reports: dict[tuple[Evidence, str], float] = field(default_factory=dict)
    confirmed_until: float = float("-inf")
    alive_until: float = float("-inf")
    result: Evidence = Evidence.ALIVE
    result_by: str = ""

    def reporters(self, evidence: Evidence, now: float) -> set[str]:
        return {
            name for (each, name), until in self.reports.items() if each is evidence and until > now
        }

    def is_avoided(self, now: float) -> bool:
        if self.confirmed_until > now:
            return True
        silence = self.reporters(Evidence.SILENT, now)
        return len(silence) >= MIN_SILENCE_REPORTERS or any(
            until > now for (each, _), until in self.reports.items() if each is not Evidence.SILENT
        )

    def is_valid(self, now: float) -> bool:
        latest = max(self.reports.values(), default=float("-inf"))
        return max(latest, self.confirmed_until, self.alive_until) > now


class LossBook:
    """The reports that one process believes. Nothing in it outlasts `CONFIRMED_SECONDS`."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def add(self, instance: str, evidence: Evidence, reporter: str, now: float) -> bool:
        """Add a report or a result; return whether it is new.

        Args:
          instance: the upstream.
          evidence: what was observed.
          reporter: the process that observed it.
          now: the current time, seconds.
        """
        record = self._records.get(instance)
        if record is None:
            self._drop_expired(now)
            if len(self._records) >= MAX_UPSTREAMS:
                return False
            record = self._records[instance] = _Record()
        if evidence.is_result:
            return self._add_result(record, evidence, reporter, now)
        if not self._is_new(record, evidence, reporter, now):
            return False
        if len(record.reports) >= MAX_REPORTS_PER_UPSTREAM:
            record.reports = {key: until for key, until in record.reports.items() if until > now}
        if len(record.reports) >= MAX_REPORTS_PER_UPSTREAM:
            return False
        record.reports[evidence, reporter] = now + AVOIDANCE_SECONDS
        return True

    def _add_result(self, record: _Record, result: Evidence, reporter: str, now: float) -> bool:
        was_confirmed = record.confirmed_until > now
        was_alive = record.alive_until > now and not record.is_avoided(now)
        record.result, record.result_by = result, reporter
        if result is Evidence.ALIVE:
            record.reports.clear()
            record.confirmed_until = float("-inf")
            record.alive_until = now + ALIVE_SECONDS
            return not was_alive
        record.confirmed_until = now + CONFIRMED_SECONDS
        record.alive_until = float("-inf")
        return not was_confirmed

    def _is_new(self, record: _Record, evidence: Evidence, reporter: str, now: float) -> bool:
        if record.confirmed_until > now:
            return False
        if record.alive_until > now and evidence in _WEAK_EVIDENCE:
            return False
        reporters = record.reporters(evidence, now)
        enough = MIN_SILENCE_REPORTERS if evidence is Evidence.SILENT else 1
        return reporter not in reporters and len(reporters) < enough

    def is_known_from_others(self, instance: str, evidence: Evidence, own: str, now: float) -> bool:
        """Return whether others have reported the same, so that this process need not."""
        record = self._records.get(instance)
        if record is None:
            return False
        if record.confirmed_until > now and record.result_by != own:
            return True
        others = record.reporters(evidence, now) - {own}
        enough = MIN_SILENCE_REPORTERS if evidence is Evidence.SILENT else 1
        return len(others) >= enough

    def result_by(self, instance: str, now: float) -> str:
        """Return the process whose result about an upstream is valid, empty if there is none."""
        record = self._records.get(instance)
        if record is None or max(record.confirmed_until, record.alive_until) <= now:
            return ""
        return record.result_by

    def is_confirmed(self, instance: str, now: float) -> bool:
        """Return whether the loss of an upstream is confirmed."""
        record = self._records.get(instance)
        return record is not None and record.confirmed_until > now

    def has_ended(self, instance: str, now: float) -> bool:
        """Return whether an upstream is confirmed to have ended."""
        record = self._records.get(instance)
        return (
            record is not None and record.confirmed_until > now and record.result is Evidence.ENDED
        )

    def is_avoided(self, instance: str, now: float) -> bool:
        """Return whether new requests avoid an upstream."""
        record = self._records.get(instance)
        return record is not None and record.is_avoided(now)

    def avoided(self, now: float) -> frozenset[str]:
        """Return the upstreams that new requests avoid."""
        if not self._records:
            return frozenset()
        self._drop_expired(now)
        return frozenset(name for name, each in self._records.items() if each.is_avoided(now))

    def withdraw(self, reporter: str) -> None:
        """Drop everything that a reporter said."""
        for record in self._records.values():
            record.reports = {
                key: until for key, until in record.reports.items() if key[1] != reporter
            }
            if record.result_by == reporter:
                record.confirmed_until = float("-inf")

    def clear(self) -> None:
        """Drop everything."""
        self._records.clear()

    def _drop_expired(self, now: float) -> None:
        self._records = {name: each for name, each in self._records.items() if each.is_valid(now)}


class ReporterCheck:
    """Tells reporters that lost single upstreams from those that are cut off themselves."""

    def __init__(self) -> None:
        # For each reporter, when it last named each upstream, with its failure domain.
        self._named: dict[str, dict[str, tuple[str, float]]] = {}
        # Until when the reports of each such reporter are ignored.
        self._ignored_until: dict[str, float] = {}

    def is_isolated(self, reporter: str, now: float) -> bool:
        """Return whether a reporter named too many upstreams in the last second."""
        return self._ignored_until.get(reporter, now) > now

    def note(self, reporter: str, instance: str, domain: str, domain_size: int, now: float) -> None:
        """Record that a reporter names an upstream.

        Args:
          reporter: the reporting process.
          instance: the upstream.
          domain: the failure domain of the upstream.
          domain_size: the number of upstreams in it.
          now: the current time, seconds.
        """
        if reporter not in self._named and len(self._named) >= MAX_REPORTERS:
            oldest = next(iter(self._named))
            del self._named[oldest]
            self._ignored_until.pop(oldest, None)
        recent = {
            name: each
            for name, each in self._named.get(reporter, {}).items()
            if each[1] > now - NAMING_WINDOW_SECONDS
        }
        recent[instance] = domain, now
        self._named[reporter] = recent
        count = sum(each == domain for each, _ in recent.values())
        if count > max(1.0, ISOLATION_SHARE * domain_size):
            self._ignored_until[reporter] = now + NAMING_WINDOW_SECONDS


class ByteAllowance:
    """A token bucket of bytes; starts full.

    Args:
      rate: bytes a second.
      capacity: bytes that may be sent at once.
    """

    def __init__(self, rate: float, capacity: float) -> None:
        self._rate = rate
        self._capacity = capacity
        self._bytes = capacity
        self._updated_at = float("-inf")

    def take(self, count: int, now: float) -> bool:
        """Take the bytes of a datagram; return whether they may be sent."""
        if self._updated_at > float("-inf"):
            refilled = max(0.0, now - self._updated_at) * self._rate
            self._bytes = min(self._capacity, self._bytes + refilled)
        self._updated_at = now
        if count > self._bytes:
            return False
        self._bytes -= count
        return True
