"""Upstreams that new requests avoid for a short time after a refusal or a report of a loss."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from deckcourse.gateway.traffic_share import TrafficShare

__all__ = ["RefusalBackoffs"]

# How long an upstream that refused is avoided if another path exists, doubled with each refusal
# soon after, up to the maximum: each attempt that is refused costs a retry.
REFUSAL_BACKOFF_SECONDS = 0.15
MAX_REFUSAL_BACKOFF_SECONDS = 1.2
# A refusal this long after the last backoff ended starts again with the shortest backoff.
BACKOFF_RESET_SECONDS = 0.5
# A process with a smaller share of the traffic than this extends backoffs in proportion, up to the
# maximum factor: its requests are rarer, and each would be refused by the same full upstream again.
EXTENDED_BACKOFF_SHARE = 0.1
MAX_BACKOFF_FACTOR = 4.0


@dataclass(frozen=True)
class _Refusal:
    """An upstream is avoided until `ends_at`; `seconds` is the length of this backoff."""

    ends_at: float
    seconds: float


class RefusalBackoffs:
    """The backoffs of the upstreams of one service.

    Args:
      clock: returns monotonic seconds.
      traffic: this process's share of all traffic.
      reported_lost: returns the upstreams that processes report as gone.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        traffic: TrafficShare,
        reported_lost: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._clock = clock
        self._traffic = traffic
        self._reported_lost = reported_lost
        self._refusals: dict[str, _Refusal] = {}

    def note_full(self, instance: str) -> None:
        """Record that an upstream has no room at the moment."""
        now = self._clock()
        last_refusal = self._refusals.get(instance)
        factor = self._backoff_factor
        seconds = REFUSAL_BACKOFF_SECONDS * factor
        if last_refusal is not None and now < last_refusal.ends_at + BACKOFF_RESET_SECONDS * factor:
            # Refusals of requests that were in flight together count as one.
            seconds = (
                last_refusal.seconds if now < last_refusal.ends_at else last_refusal.seconds * 2
            )
        seconds = min(seconds, MAX_REFUSAL_BACKOFF_SECONDS * factor)
        self._refusals[instance] = _Refusal(now + seconds, seconds)

    @property
    def _backoff_factor(self) -> float:
        """The factor by which this process extends backoffs, by its share of the traffic."""
        return min(MAX_BACKOFF_FACTOR, self._traffic.scale_interval(1.0, EXTENDED_BACKOFF_SHARE))

    def current(self) -> set[str]:
        """Return the upstreams that new requests avoid after a refusal or a report of a loss."""
        now = self._clock()
        oldest_end = now - BACKOFF_RESET_SECONDS * self._backoff_factor
        self._refusals = {
            name: each for name, each in self._refusals.items() if each.ends_at > oldest_end
        }
        refusing = {name for name, each in self._refusals.items() if each.ends_at > now}
        return refusing | self._reported_lost()

    def remaining(self, instances: Iterable[str]) -> float:
        """Return how long any of some upstreams is still avoided after a refusal, seconds."""
        refusals = (self._refusals.get(each) for each in instances)
        ends_at = max((each.ends_at for each in refusals if each is not None), default=0.0)
        return max(0.0, ends_at - self._clock())
