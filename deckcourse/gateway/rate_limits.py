"""The rate limits that upstreams name, as one process knows them from answers and from peers."""

from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace

from deckcourse.peers.rate_limit import RateLimit

__all__ = ["RateLimitBook"]

# Upstreams whose limits are kept at the most, far more than any site has.
MAX_LIMITS = 4096


@dataclass(frozen=True)
class _Entry:
    """A limit and when this process learned of it."""

    limit: RateLimit
    learned_at: float


class RateLimitBook:
    """The limits in force, by start of an upstream.

    Answers overtake each other. An answer to a request that was sent after this process knew of a
    limit is newer than that limit, and changes or ends it. Of any other answer only a stricter
    limit counts.

    Args:
      clock: seconds, steady.
      on_change: told of each limit that is new here, whether it changed or ended, and by whom.
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
        """The upstreams that name a limit, with their rates; not to be changed."""
        return self._limited

    def rate_of(self, instance: str) -> float | None:
        """Return an upstream's limit, requests a second; None where it names none."""
        return self._limited.get(instance)

    def limit_of(self, instance: str) -> RateLimit | None:
        """Return an upstream's limit as peers are told of it, None where it never named one."""
        entry = self._entries.get(instance)
        return entry.limit if entry is not None else None

    def limits(self) -> list[RateLimit]:
        """Return the limits in force."""
        return [self._entries[instance].limit for instance in self._limited]

    def record(
        self, instance: str, rate: float | None, sent_at: float, is_question: bool = False
    ) -> None:
        """Take in an upstream's own answer.

        Args:
          instance: the upstream.
          rate: the limit that the answer names, None for none.
          sent_at: when the request was sent that it answers.
          is_question: whether that was a question or an order, no caller's request.
        """
        entry = self._entries.get(instance)
        if entry is None:
            if rate is not None:
                self._store(RateLimit(instance, 1, rate, is_question), "answer")
            return
        known = entry.limit
        if rate is None and is_question and not known.on_questions:
            return
        on_questions = known.on_questions or is_question
        if rate == known.rate:
            if rate is not None and on_questions != known.on_questions:
                self._store(replace(known, on_questions=True), "answer")
        elif sent_at >= entry.learned_at:
            self._store(RateLimit(instance, known.version + 1, rate, on_questions), "answer")
        elif rate is not None and rate < known.bound:
            self._store(replace(known, rate=rate, on_questions=on_questions), "answer")

    def merge(self, limit: RateLimit) -> None:
        """Take in what a peer knows."""
        entry = self._entries.get(limit.instance)
        if limit.supersedes(entry.limit if entry is not None else None):
            self._store(limit, "peer")

    def forget_unknown(self, is_known: Callable[[str], bool], seconds: float) -> None:
        """Drop what was learned so long ago of upstreams that aren't known."""
        oldest = self._clock() - seconds
        old = [name for name, each in self._entries.items() if each.learned_at < oldest]
        for instance in old:
            if not is_known(instance):
                self.forget(instance)

    def forget(self, instance: str) -> None:
        """Drop the limit of a start that ended."""
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
