"""How old the state of one process may become before it reads the store itself.

A process that reaches the store must know what the store has acknowledged within a time that the
operator sets for each table, whatever happens to the processes that it learns of changes from. Its
replica of a table holds every change before its `as_of`. So that this age never passes the time, a
process whose source doesn't confirm the table soon enough reads the store itself, and a source
reads the store often enough to confirm the table in time while it is sound.

Load pattern: all subscribers of a lost source lack its confirmations together, in hundreds of
processes. Their own reads are spread by chance, one at a time in each process.
"""

from collections.abc import Callable, Mapping
from functools import cached_property
from random import Random

from deckcourse.change_feed import MAX_BATCH_INTERVAL_SECONDS
from deckcourse.peers.knowledge import SharedState
from deckcourse.peers.relay import COALESCING_SECONDS, MAX_FRAME_INTERVAL_SECONDS
from deckcourse.peers.store_reads import STORE_TIMEOUT_SECONDS
from deckcourse.peers.store_reports import StoreReports

__all__ = ["StalenessLimits"]

# Time that an own read takes on a new connection, and beside late timers, seconds.
OWN_READ_SECONDS = 0.3
# Own reads of processes that lose their sources together are spread over this time, seconds.
SPREAD_SECONDS = 0.4
# Time from the end of a source's wait at the store until its subscribers have the confirmation,
# seconds: the answer, the pause before the next read, and the next frame.
CONFIRMATION_SECONDS = (
    0.1 + MAX_BATCH_INTERVAL_SECONDS + MAX_FRAME_INTERVAL_SECONDS + COALESCING_SECONDS
)
# Shortest wait for changes, if a time allows no longer one, seconds.
MIN_WAIT_SECONDS = 0.1
# Shortest age at which a table is read, if a time allows no longer one, seconds.
MIN_AGE_SECONDS = 0.1
# Time in which a source that confirms the tables with a bound again reads the others, and its
# subscribers have them, seconds.
CATCH_UP_SECONDS = 1.0
# Pause after an own read that failed, and before one that others report to be of no use, plus a
# random time of up to the spread, seconds. Meanwhile the followers, which retry often, tell of the
# store's recovery.
RETRY_SECONDS = 2.0
# The same if the source goes on confirming, but late, so that the store is slow; plus a random time
# of up to as much.
SLOW_STORE_RETRY_SECONDS = 6.0


class StalenessLimits:
    """The limits of one process.

    Args:
      shared_state: the replicas of the tables.
      bounds: returns the time after which each change of a table must be known, seconds, for one
        table at least. Others are confirmed less often, and read when the source stops confirming
        these.
      contact: returns that time for the other tables, seconds.
      reports: the reports of processes that the store did not answer.
      clock: monotonic clock, seconds.
      random: spreads the reads, so that they differ between processes.
    """

    def __init__(
        self,
        shared_state: SharedState,
        bounds: Callable[[], Mapping[str, float]],
        contact: Callable[[], float],
        reports: StoreReports,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._shared_state = shared_state
        self._bounds = bounds
        self._contact = contact
        self._reports = reports
        self._clock = clock
        self._random = random
        # The time before which own reads are not repeated after a failure.
        self._retry_at = float("-inf")
        # When a table with a bound was last unconfirmed for too long.
        self._was_unconfirmed_at = float("-inf")
        # When the source first confirmed them all after that.
        self._confirmed_again_at = float("-inf")

    @cached_property
    def _spread(self) -> float:
        return SPREAD_SECONDS * self._random.random()

    def wait(self, table: str) -> float:
        """Return how long a source's read of a table may wait at the store for changes, seconds.

        After changes, the replica is known to be current only as of the request for them; the next
        read waits for less, so that the next confirmation isn't later.
        """
        bound = self._bounds().get(table)
        if bound is None:
            return float("inf")
        longest = max(
            MIN_WAIT_SECONDS, bound - OWN_READ_SECONDS - SPREAD_SECONDS - CONFIRMATION_SECONDS
        )
        as_of = self._shared_state.replica(table).as_of
        confirmed_at = as_of + longest + MAX_BATCH_INTERVAL_SECONDS
        return min(longest, max(0.0, confirmed_at - self._clock()))

    def read_due_at(self, table: str) -> float:
        """Return the time at which this process reads a table itself unless its source confirms it.

        A read that is due is put off if other processes report that the store does not answer them.
        The time is on the clock.
        """
        now = self._clock()
        due_at = self._unconfirmed_at(table)
        if table in self._bounds() and due_at <= now:
            self._was_unconfirmed_at = now
        due_at = max(due_at, self._retry_at)
        if due_at <= now and self._reports.is_store_unavailable:
            self._put_off(RETRY_SECONDS)
            return self._retry_at
        return due_at

    def _unconfirmed_at(self, table: str) -> float:
        """Return when a table will have been unconfirmed for too long.

        One without a bound is, once one with a bound was unconfirmed and it wasn't read since. A
        source that confirms those with a bound again is given time for it: otherwise all processes
        would read it as the store returns.
        """
        bounds = self._bounds()
        as_of = self._shared_state.replica(table).as_of
        if table in bounds:
            return as_of + self._longest_age(bounds[table])
        if as_of < self._was_unconfirmed_at:
            if self._confirmed_again_at < self._was_unconfirmed_at:
                return self._was_unconfirmed_at
            return self._confirmed_again_at + CATCH_UP_SECONDS + self._spread
        source_due_at = self._confirmed_at() + self._longest_age(min(bounds.values()))
        return max(as_of + self._longest_age(self._contact()), source_due_at)

    def _put_off(self, seconds: float, spread: float = SPREAD_SECONDS) -> None:
        self._retry_at = self._clock() + seconds + spread * self._random.random()

    def _longest_age(self, bound: float) -> float:
        return max(MIN_AGE_SECONDS, bound - OWN_READ_SECONDS - self._spread)

    def _confirmed_at(self) -> float:
        """Return the time as of which other processes have confirmed every table with a bound."""
        return min(self._shared_state.relayed_as_of(each) for each in self._bounds())

    def note_success(self) -> None:
        """Record that the store answered an own read in time."""
        self._retry_at = float("-inf")

    def note_failure(self, sent_at: float) -> None:
        """Record that an own read failed, which was sent at a time on the clock.

        If the source has confirmed since then, the store is slow.
        """
        self._reports.publish()
        if self._confirmed_at() > sent_at - self._longest_age(min(self._bounds().values())):
            self._put_off(SLOW_STORE_RETRY_SECONDS, SLOW_STORE_RETRY_SECONDS)
        else:
            self._put_off(RETRY_SECONDS)

    def note_source(self) -> None:
        """Forget failures of own reads once the source confirms in time: it reaches the store."""
        now = self._clock()
        if now >= self._confirmed_at() + STORE_TIMEOUT_SECONDS:
            return
        self.note_success()
        if self._confirmed_again_at < self._was_unconfirmed_at:
            self._confirmed_again_at = now
