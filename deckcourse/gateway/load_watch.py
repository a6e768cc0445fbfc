"""Tracks the load of the first upstreams of paths; few processes query it and share it with peers.

Load pattern: a process with one request per second would know load only as of its last query, and
learn that an upstream is full by being refused. So the processes that follow the store for their
domain query its first upstreams often, and those of other domains rarely, and publish the reports
to their peers. A report counts the requests of all processes, so that their choices agree. Requests
that this process has sent since the last report are added, or those that all processes may have.
"""

from collections.abc import Callable

import trio

from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.unseen_requests import UnseenRequests
from deckcourse.gateway.upstream import Upstream
from deckcourse.peers.loads import LoadBoard, LoadRow

__all__ = ["LoadWatch"]

# Interval between two queries to an upstream in this process's failure domain; the report that it
# returns is 0.2 s old.
QUERY_INTERVAL_SECONDS = 0.4
# Upstreams in other domains, which get requests only if this domain is full, are queried once in
# this many rounds.
REMOTE_QUERY_ROUNDS = 4
# Upstreams are queried while they have requests, and for this long after a request came in.
IDLE_TIMEOUT_SECONDS = 2.0
# Weight of each stream that this process sent since the last report: it stands for those that all
# processes may have sent, of which one in this many is its own.
OWN_STREAM_WEIGHT = 3.0


class LoadWatch:
    """Queries the load of first upstreams and returns the latest reports.

    Args:
      control: queries an upstream.
      domain: the failure domain of this process.
      firsts: returns the upstreams that can be the first stage of a path.
      in_flight: returns how many requests of this process are in flight at an upstream.
      traffic: updated with this process's share of all traffic.
      board: the latest load reports, from this process or its peers.
      queries_loads: returns whether this process queries upstreams, for itself and for its peers.
      total_requests: returns how many requests all processes have at the first upstreams.
      is_limited: returns whether an upstream is rate limited; queries would use up its limit.
      unseen: estimates the requests of all processes that no report shows yet.
    """

    def __init__(
        self,
        control: StreamControl,
        domain: str,
        firsts: Callable[[], list[Upstream]],
        in_flight: Callable[[str], int],
        traffic: TrafficShare,
        board: LoadBoard,
        queries_loads: Callable[[], bool],
        total_requests: Callable[[], float],
        is_limited: Callable[[str], bool] = lambda instance: False,
        unseen: UnseenRequests | None = None,
    ) -> None:
        self._control = control
        self._domain = domain
        self._firsts = firsts
        self._in_flight = in_flight
        self._traffic = traffic
        self._board = board
        self._queries_loads = queries_loads
        self._total_requests = total_requests
        self._is_limited = is_limited
        self._unseen = unseen
        # For each upstream, when its latest report was queried and the streams sent since.
        self._sent_since_report: dict[str, tuple[float, int]] = {}
        # The same for the streams that ended.
        self._ended_since_report: dict[str, tuple[float, int]] = {}
        self._version = 0
        self._idle_at = 0.0
        self._rounds = 0
        self._wake = trio.Event()

    @property
    def version(self) -> int:
        """Changes with each request to this process, each stream that it sent and each report."""
        return self._version + self._board.sequence

    def note_request(self) -> None:
        """Record that a request came; the first one after an idle period triggers a query."""
        if self._unseen is not None:
            self._unseen.note_request()
        self._version += 1
        self._wake.set()
        self._idle_at = trio.current_time() + IDLE_TIMEOUT_SECONDS

    def note_sent(self, instance: str) -> None:
        """Record that this process sent a stream to an upstream."""
        at, count = self._find_since(self._sent_since_report, instance)
        self._sent_since_report[instance] = at, count + 1
        self._version += 1

    def note_ended(self, instance: str) -> None:
        """Record that a stream that this process sent to an upstream ended."""
        at, count = self._find_since(self._ended_since_report, instance)
        self._ended_since_report[instance] = at, count + 1

    def sent(self, instance: str) -> int:
        """Return how many streams this process sent since an upstream's latest report."""
        return self._find_since(self._sent_since_report, instance)[1]

    def ended(self, instance: str) -> int:
        """Return how many streams of this process ended since an upstream's latest report."""
        return self._find_since(self._ended_since_report, instance)[1]

    def reported_at(self, instance: str) -> float | None:
        """Return when an upstream's latest report was queried, None if there is none."""
        row = self._board.get(instance)
        return row.at if row is not None else None

    def _find_since(self, counts: dict[str, tuple[float, int]], instance: str) -> tuple[float, int]:
        """Return when an upstream's latest report was queried, and what was counted since."""
        row = self._board.get(instance)
        at = row.at if row is not None else float("-inf")
        counted = counts.get(instance, (at, 0))
        return counted if counted[0] == at else (at, 0)

    def has_report(self, instance: str) -> bool:
        """Return whether a valid report of an upstream is known."""
        return self._board.get(instance) is not None

    def reported(self, instance: str) -> float:
        """Return how many requests an upstream reported, running and queued; 0 if unknown."""
        row = self._board.get(instance)
        return row.requests if row is not None else 0.0

    def running(self, instance: str) -> float:
        """Return how many streams run at an upstream, begun there or passing; 0 if unknown."""
        row = self._board.get(instance)
        return row.running if row is not None else 0.0

    def queued(self, instance: str) -> float:
        """Return how many requests an upstream reported as queued; 0 if unknown."""
        row = self._board.get(instance)
        return row.queued if row is not None else 0.0

    def total(self) -> float:
        """Return how many requests all processes have at the first upstreams."""
        return self._total_requests()

    def waiting(self, instance: str) -> float:
        """Return how many requests are queued at an upstream, including those just sent."""
        row = self._board.get(instance)
        return row.queued + self._find_unreported(row) if row is not None else 0.0

    def unreported(self, instance: str) -> float:
        """Return the requests that `waiting` adds to those that an upstream reported as queued."""
        row = self._board.get(instance)
        return self._find_unreported(row) if row is not None else 0.0

    def _find_unreported(self, row: LoadRow) -> float:
        """Return the estimated requests of all processes that a report doesn't show."""
        at, count = self._sent_since_report.get(row.instance, (row.at, 0))
        sent = count if at == row.at else 0
        unseen = None
        if self._unseen is not None:
            unseen = self._unseen.estimate(self.sent, self.version)
        return OWN_STREAM_WEIGHT * sent if unseen is None else unseen.get(row.instance, sent)

    def cache_share(self, instance: str) -> float:
        """Return the used share of an upstream's request memory if requests queue there, else 0."""
        row = self._board.get(instance)
        return row.cache_share if row is not None and row.queued else 0.0

    async def run(self) -> None:
        """Query upstreams until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._is_active():
                    self._wake = trio.Event()
                    await self._wake.wait()
                self._record_share()
                if self._queries_loads():
                    self._query_round(nursery)
                await trio.sleep(QUERY_INTERVAL_SECONDS)

    def _is_active(self) -> bool:
        busy = any(each.requests for each in self._board.all())
        return busy or trio.current_time() < self._idle_at

    def _query_round(self, nursery: trio.Nursery) -> None:
        for upstream in self._firsts():
            if self._is_limited(upstream.instance):
                continue
            if upstream.domain == self._domain or self._rounds % REMOTE_QUERY_ROUNDS == 0:
                nursery.start_soon(self._query, upstream)
        self._rounds += 1

    def _record_share(self) -> None:
        reports = self._board.all()
        if reports:
            own = sum(self._in_flight(each.instance) for each in reports)
            self._traffic.note(own, round(self._total_requests()))

    async def _query(self, upstream: Upstream) -> None:
        queried_at = trio.current_time()
        load = await self._control.query_load(upstream)
        if load is None:
            return
        share = load.cache_used / load.cache_total if load.cache_total else 0.0
        row = LoadRow(upstream.instance, load.running, load.queued, share, queried_at)
        self._board.record(row)
        if not self._traffic.is_measured:
            self._record_share()
