"""Counters and histograms in a registry, served as text; statsd gets them too where it is set."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from deckcourse.counters import Counters, MemoryCounters

__all__ = ["RegistryCounters"]

# Upper bounds of the histograms, seconds: the objectives lie between 0.1 and 0.5.
BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 20.0)


class RegistryCounters(MemoryCounters):
    """Counters kept in a registry.

    Args:
      also: gets everything that is counted here as well.
    """

    def __init__(self, also: Counters | None = None) -> None:
        super().__init__()
        self._also = also
        self._registry = CollectorRegistry()
        self._events = Counter(
            "deckcourse_events", "Events by name", ["name"], registry=self._registry
        )
        self._seconds = Histogram(
            "deckcourse_seconds",
            "Durations by name",
            ["name"],
            registry=self._registry,
            buckets=BUCKETS,
        )
        self._gauges = Gauge(
            "deckcourse_gauge", "Gauges by name", ["name"], registry=self._registry
        )

    def text(self) -> bytes:
        """Return everything as text."""
        return generate_latest(self._registry)

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        super().count(name, by)
        self._events.labels(name).inc(by)
        if self._also is not None:
            self._also.count(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Record one duration."""
        self._seconds.labels(name).observe(seconds)
        if self._also is not None:
            self._also.timing(name, seconds)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self._gauges.labels(name).set(value)
        if self._also is not None:
            self._also.gauge(name, value)
