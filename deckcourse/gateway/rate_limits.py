"""Rate limits of upstreams, learned from their responses and from peers."""

from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace

from deckcourse.peers.rate_limit import RateLimit

__all__ = ["RateLimitBook"]

# Bound on tracked upstreams, far above the number at any site.
MAX_LIMITS = 4096


@dataclass(frozen=True)
class _Entry:
    """A limit and the time at which it was learned."""

    limit: RateLimit
    learned_at: float


class RateLimitBook:
    """The current limits, by incarnation of an upstream.

    Responses may arrive out of order. A response to a request that was sent after a limit was
    learned is newer than the limit and replaces it. Any other response can only tighten it.

    Args:
      clock: a monotonic clock, seconds.
      on_change: called with each new, changed or ended limit and its source.
    """

    def __init__(
        self, clock: Callable[[], float], on_change: Callable[[RateLimit, str], None]
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._entries: dict[str, _Entry] = {}
        self._limited: dict[str, float] = {}

    @property
    def limited(self) -> dict[str, float]:
        """The rates of all limited upstreams; read-only."""
        return self._limited

    def rate_of(self, instance: str) -> float | None:
        """Return an upstream's limit, requests a second; None if it has none."""
        return self._limited.get(instance)

    def limit_of(self, instance: str) -> RateLimit | None:
        """Return the versioned limit of an upstream, None if it never had one."""
        entry = self._entries.get(instance)
        return entry.limit if entry is not None else None

    def limits(self) -> list[RateLimit]:
        """Return the limits in force."""
        return [self._entries[instance].limit for instance in self._limited]

    def record(
        self, instance: str, rate: float | None, sent_at: float, is_control: bool = False
    ) -> None:
        """Apply the limit in an upstream's response.

        Args:
          instance: the upstream.
          rate: the limit in the response, None for none.
          sent_at: when the request was sent.
          is_control: whether it responds to a query or an order rather than a caller's request.
        """
        entry = self._entries.get(instance)
        if entry is None:
            if rate is not None:
                self._store(RateLimit(instance, 1, rate, is_control), "answer")
            return
        known = entry.limit
        if rate is None and is_control and not known.on_query_replies:
            return
        on_questions = known.on_query_replies or is_control
        if rate == known.rate:
            if rate is not None and on_questions != known.on_query_replies:
                self._store(replace(known, on_query_replies=True), "answer")
        elif sent_at >= entry.learned_at:
            self._store(RateLimit(instance, known.version + 1, rate, on_questions), "answer")
        elif rate is not None and rate < known.bound:
            self._store(replace(known, rate=rate, on_query_replies=on_questions), "answer")

    def merge(self, limit: RateLimit) -> None:
        """Merge a limit received from a peer."""
        entry = self._entries.get(limit.instance)
        if limit.supersedes(entry.limit if entry is not None else None):
            self._store(limit, "peer")

    def forget_unknown(self, is_known: Callable[[str], bool], seconds: float) -> None:
        """Drop limits of unknown upstreams that are older than `seconds`."""
        oldest = self._clock() - seconds
        old_entries = [name for name, each in self._entries.items() if each.learned_at < oldest]
        for instance in old_entries:
            if not is_known(instance):
                self.forget(instance)

    def forget(self, instance: str) -> None:
        """Drop the limit of an incarnation that ended."""
        entry = self._entries.pop(instance, None)
        if entry is not None and self._limited.pop(instance, None) is not None:
            self._on_change(replace(entry.limit, rate=None), "gone")

    def _store(self, limit: RateLimit, source: str) -> None:
        self._entries.pop(limit.instance, None)
        while len(self._entries) >= MAX_LIMITS:
            self.forget(next(iter(self._entries)))
        self._entries[limit.instance] = _Entry(limit, self._clock())
        if limit.rate is None:
            self._limited.pop(limit.instance, None)
        else:
            self._limited[limit.instance] = limit.rate
        self._on_change(limit, source)
