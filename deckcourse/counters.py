"""Counters and timings: a port, its in-memory twin and the statsd client behind it."""

from collections import Counter
from typing import Protocol

from statsd import StatsClient

__all__ = ["Counters", "MemoryCounters", "StatsdCounters"]

PREFIX = "deckcourse"


class Counters(Protocol):
    """Where counts and timings go."""

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""

    def timing(self, name: str, seconds: float) -> None:
        """Record one duration under `name`."""

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""


class MemoryCounters:
    """Counters kept in the process, for tests and for the status page."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> dict[str, int]:
        """All counters so far, by name."""
        return dict(self._counts)

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        self._counts[name] += by

    def timing(self, name: str, seconds: float) -> None:
        """Count the timing; the duration itself isn't kept."""
        self._counts[name] += 1

    def gauge(self, name: str, value: float) -> None:
        """Gauges aren't kept."""


class StatsdCounters(MemoryCounters):
    """Counters sent to a statsd daemon by UDP and kept for the status page as well."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._client = StatsClient(host, port, prefix=PREFIX)

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        super().count(name, by)
        self._client.incr(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Send one duration; statsd wants milliseconds."""
        super().timing(name, seconds)
        self._client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self._client.gauge(name, value)
