"""The requests at first upstreams that reports don't show yet; see `decisions.room_estimate`."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from random import Random

from deckcourse.decisions.room_estimate import ReportedLoad, unseen_by_free_slots
from deckcourse.decisions.sliding_count import SlidingCount
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.peers.loads import LoadBoard
from deckcourse.settings import LoadSettings

__all__ = ["UnseenRequests"]

# Window in which this process's requests are counted, short enough to show a jump of the load.
RATE_WINDOW_SECONDS = 2.0
# The time for which requests aren't reported: a report is queried every 0.4 s and 0.2 s old.
REPORT_SECONDS = 0.6
# A process with a larger share of the traffic knows enough of it by its own sends: with 7 processes
# the estimate found upstreams full more often than a fixed weight of these.
MAX_SHARE = 0.1
# With fewer reported requests the share of the traffic is mostly an assumption, some times too low:
# a single process with one stream took six free slots for full.
MIN_REPORTED_REQUESTS = 50
# How long an estimate is reused unless a request or report comes or a stream is sent.
ESTIMATE_TTL_SECONDS = 0.005


class UnseenRequests:
    """The estimate of one process for one service.

    Args:
      settings: returns the current settings for load that exceeds capacity.
      firsts: returns the upstreams that can be the first stage of a path.
      board: the latest load reports.
      traffic: this process's share of all traffic.
      stream_seconds: returns how long a usual stream takes, 0 if unknown.
      random: draws the place of each request among those of all processes.
      clock: returns monotonic seconds.
    """

    def __init__(
        self,
        settings: Callable[[], LoadSettings],
        firsts: Callable[[], list[Upstream]],
        board: LoadBoard,
        traffic: TrafficShare,
        stream_seconds: Callable[[], float],
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._firsts = firsts
        self._board = board
        self._traffic = traffic
        self._stream_seconds = stream_seconds
        self._random = random
        self._clock = clock
        self._requests = SlidingCount()
        self._place = 0.0
        # When and for which version the estimate was made.
        self._cached: tuple[float, int, Mapping[str, float] | None] = (float("-inf"), -1, None)

    def note_request(self) -> None:
        """Count a request of this process, and draw its place among those of all for the estimate.

        Called once for each request: a path may be chosen several times for one that waits or is
        sent again.
        """
        settings = self._settings()
        if settings.shared_room or settings.domain_forecast:
            now = self._clock()
            self._requests.forget(now, RATE_WINDOW_SECONDS)
            self._requests.add(now)
        if settings.shared_room:
            self._place = self._random.random()

    @property
    def own_rate(self) -> float:
        """The recent rate of this process's requests, per second; 0 if no setting needs it."""
        return self._requests.at_most(self._clock(), RATE_WINDOW_SECONDS) / RATE_WINDOW_SECONDS

    def estimate(self, sent: Callable[[str], int], version: int) -> Mapping[str, float] | None:
        """Return the unreported requests by upstream, None if own sends tell more.

        Args:
          sent: returns how many streams this process sent to an upstream since its last report.
          version: changes with each request and send of this process and with each report.
        """
        traffic = self._traffic
        if not self._settings().shared_room or not traffic.is_measured or traffic.share > MAX_SHARE:
            return None
        now = self._clock()
        at, known_version, known = self._cached
        if known_version == version and 0.0 <= now - at < ESTIMATE_TTL_SECONDS:
            return known
        estimate = self._compute(sent, now)
        self._cached = now, version, estimate
        return estimate

    def _compute(self, sent: Callable[[str], int], now: float) -> dict[str, float] | None:
        by_domain: dict[str, dict[str, ReportedLoad]] = defaultdict(dict)
        ages: dict[str, float] = {}
        for each in self._firsts():
            row = self._board.get(each.instance)
            if row is not None:
                load = ReportedLoad(row.requests, each.slots, sent(each.instance))
                by_domain[each.domain][each.instance] = load
                ages[each.domain] = min(now - row.at, ages.get(each.domain, float("inf")))
        present = {
            domain: sum(each.requests for each in loads.values())
            for domain, loads in by_domain.items()
        }
        total = sum(present.values())
        if total < MIN_REPORTED_REQUESTS:
            return None
        rate = self.own_rate / self._traffic.share
        stream_seconds = self._stream_seconds()
        estimate: dict[str, float] = {}
        for domain, loads in by_domain.items():
            # Callers are where streams are.
            coming = rate * present[domain] / total
            ending = present[domain] / stream_seconds if stream_seconds else 0.0
            growth = (coming - ending) * max(REPORT_SECONDS, ages[domain])
            estimate |= unseen_by_free_slots(loads, growth, self._traffic.share, self._place)
        return estimate
