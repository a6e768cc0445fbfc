"""Metrics in a Prometheus registry, served as text and optionally forwarded to statsd."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from deckcourse.counters import Counters, MemoryCounters

__all__ = ["RegistryCounters"]

# Upper bounds of the histogram buckets. Most of them lie around the latency objectives, which are
# between 0.1 and 0.5 seconds.
BUCKETS_SECONDS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 20.0)


class RegistryCounters(MemoryCounters):
    """Counters, durations and gauges kept in a Prometheus registry.

    Args:
      forward_to: other counters that everything is forwarded to.
    """

    def __init__(self, forward_to: Counters | None = None) -> None:
        super().__init__()
        self._forward_to = forward_to
        self._registry = CollectorRegistry()
        self._events = Counter(
            "deckcourse_events", "Events by name", ["name"], registry=self._registry
        )
        self._durations = Histogram(
            "deckcourse_seconds",
            "Durations by name",
            ["name"],
            registry=self._registry,
            buckets=BUCKETS_SECONDS,
        )
        self._gauges = Gauge(
            "deckcourse_gauge", "Gauges by name", ["name"], registry=self._registry
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        super().count(name, by)
        self._events.labels(name).inc(by)
        if self._forward_to is not None:
            self._forward_to.count(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Record one duration in the histogram `name`."""
        self._durations.labels(name).observe(seconds)
        if self._forward_to is not None:
            self._forward_to.timing(name, seconds)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self._gauges.labels(name).set(value)
        if self._forward_to is not None:
            self._forward_to.gauge(name, value)
