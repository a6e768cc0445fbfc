"""An estimate of the prefill that moved streams have queued at each host.

Load pattern: streams are moved within 50 ms of a loss, while load reports are 0.2 to 0.6 s old. The
moves that a process has just made itself are the only sign of the queue that they cause.
"""

__all__ = ["PrefillQueue"]

# Moves count for this long: load reports are more recent after that.
RETENTION_SECONDS = 1.0


class PrefillQueue:
    """The prefill queued at hosts; each host processes a millisecond of it in a millisecond."""

    def __init__(self) -> None:
        # For each host, the milliseconds queued at a time, that time, and until when they count.
        self._queued: dict[str, tuple[float, float, float]] = {}

    def add(self, instance: str, ms: float, now: float) -> None:
        """Queue prefill at a host."""
        queued = self.queued_ms(instance, now)
        self._queued[instance] = queued + ms, now, now + RETENTION_SECONDS

    def remove(self, instance: str, ms: float, now: float) -> None:
        """Take back prefill whose move failed."""
        if instance in self._queued:
            until = self._queued[instance][2]
            self._queued[instance] = max(0.0, self.queued_ms(instance, now) - ms), now, until

    def queued_ms(self, instance: str, now: float) -> float:
        """Return the prefill that is still queued at a host, milliseconds."""
        queued, at, until = self._queued.get(instance, (0.0, 0.0, 0.0))
        if now >= until:
            self._queued.pop(instance, None)
            return 0.0
        return max(0.0, queued - (now - at) * 1000)
