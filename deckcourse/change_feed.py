"""The change feed of a table, and the follower that reports its changes to callbacks."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

import trio
from returns.result import Failure, Result, Success

from deckcourse.table import Row, TableFailure

__all__ = ["LONG_POLL_SECONDS", "ChangeFeed", "Changes", "Follower", "Snapshot", "StoreFeed"]

# Longest wait of a long poll. Feeds whose answers show that the store is reachable wait for a
# shorter time.
LONG_POLL_SECONDS = 5.0
# Timeout of an answer in addition to that wait: a slow store takes 60 times its usual 4 ms.
ANSWER_TIMEOUT_SECONDS = 0.8
# Pause after an answer, so that changes in quick succession are fetched together. It grows with the
# number of processes that follow the table.
BATCH_INTERVAL_SECONDS = 0.1
MAX_BATCH_INTERVAL_SECONDS = 0.25
# Backoff while the store does not answer, plus a random jitter of up to the same time. It doubles
# after each attempt; its maximum grows with the number of processes.
RETRY_BACKOFF_SECONDS = 0.15
MAX_RETRY_BACKOFF_SECONDS = 0.3
MAX_PROCESS_FACTOR = 3.0


@dataclass(frozen=True)
class Snapshot:
    """All rows of a table as of `version`.

    It contains every change before `as_of`, a time on trio's clock; None if the feed knows no later
    time than that of the request.
    """

    rows: tuple[Row, ...]
    version: int
    as_of: float | None = None


@dataclass(frozen=True)
class Changes:
    """The rows that changed up to `version`, in order, as tuples of key, value and version.

    The value of a deleted row is None. `complete` is false if the store no longer has every change,
    so that a snapshot is needed. `as_of` is as in `Snapshot`.
    """

    rows: tuple[tuple[str, bytes | None, int], ...]
    version: int
    complete: bool = True
    as_of: float | None = None


class ChangeFeed(Protocol):
    """Reads tables and waits for changes."""

    async def snapshot(self, table: str) -> Result[Snapshot, TableFailure]:
        """Return all rows of a table."""

    async def changes(
        self, table: str, after: int, seconds: float
    ) -> Result[Changes, TableFailure]:
        """Return the changes after version `after`; wait up to `seconds` for the first one."""


class StoreFeed(ChangeFeed, Protocol):
    """The change feed of the store itself, over connections of this process."""

    def renew_connections(self) -> None:
        """Make later reads use new connections: the idle ones may have gone silent."""


class Follower:
    """Follows one table and passes its rows and changes to callbacks.

    Args:
      feed: the change feed that the table is read from.
      table: the table's name.
      on_snapshot: called with all rows after each snapshot.
      on_change: called with the key, value and version of each later change; the value of a deleted
        row is None.
      random: source of the jitter of the retry backoff.
      on_availability: called with False when the store becomes unavailable and with True when it
        has recovered.
      wait: returns how long a request waits for changes, seconds.
      process_factor: returns the number of processes that follow the table, as a multiple of the
        number that the pauses are made for.
      is_batched: returns whether the feed batches changes itself, so that no pause is needed.
      is_paced: returns whether the feed itself paces requests to the store; the retry backoff does
        not grow then. When it grew in addition to the feed's own backoff, the slowest of 30
        processes learned of the store's recovery after 2.3 seconds instead of 0.6.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        table: str,
        on_snapshot: Callable[[Sequence[Row]], None],
        on_change: Callable[[str, bytes | None, int], None],
        random: Random,
        on_availability: Callable[[bool], None] = lambda available: None,
        wait: Callable[[], float] = lambda: LONG_POLL_SECONDS,
        process_factor: Callable[[], float] = lambda: 1.0,
        is_batched: Callable[[], bool] = lambda: False,
        is_paced: Callable[[], bool] = lambda: False,
    ) -> None:
        self._retry_backoff = RETRY_BACKOFF_SECONDS
        self._feed = feed
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._random = random
        self._on_availability = on_availability
        self._wait = wait
        self._process_factor = process_factor
        self._is_batched = is_batched
        self._is_paced = is_paced
        self._cancel_scope = trio.CancelScope()
        self._version: int | None = None
        self._as_of = float("-inf")
        self._unavailable = False

    @property
    def as_of(self) -> float:
        """The time on trio's clock up to which every change is known."""
        return self._as_of

    @property
    def is_loaded(self) -> bool:
        """Whether the table has been read at least once."""
        return self._as_of > float("-inf")

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the last request had no answer."""
        return self._unavailable

    def retry_now(self) -> None:
        """Cancel the current request or backoff.

        Called when another request has shown that the store became unavailable or recovered.
        """
        self._cancel_scope.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            requested_at = trio.current_time()
            as_of = await self._request_once(requested_at)
            if as_of is not None:
                self._record_answer(as_of)
                await self._wait_for_batch()
            else:
                if not self._unavailable:
                    self._unavailable = True
                    self._on_availability(False)
                await self._back_off()

    async def _wait_for_batch(self) -> None:
        """Wait until the next request, so that changes in quick succession come in one batch."""
        if self._is_batched():
            await trio.lowlevel.checkpoint()
            return
        await trio.sleep(
            min(MAX_BATCH_INTERVAL_SECONDS, BATCH_INTERVAL_SECONDS * self._process_factor())
        )

    async def _back_off(self) -> None:
        """Wait out the retry backoff, or until another follower has reached the store."""
        if self._is_paced():
            self._retry_backoff = RETRY_BACKOFF_SECONDS
        seconds = self._retry_backoff * (1 + self._random.random())
        # A follower with a long wait relies on another one to notice that the store has recovered.
        max_backoff = max(MAX_RETRY_BACKOFF_SECONDS, self._wait() / 4)
        self._retry_backoff = min(
            2 * self._retry_backoff, max_backoff * min(MAX_PROCESS_FACTOR, self._process_factor())
        )
        with trio.move_on_after(seconds) as self._cancel_scope:
            await trio.sleep_forever()

    def _record_answer(self, as_of: float) -> None:
        self._as_of = max(self._as_of, as_of)
        self._retry_backoff = RETRY_BACKOFF_SECONDS

    def _report_recovery(self) -> None:
        """Report that the store has recovered, if it was unavailable.

        Called before the answer is processed, since rows may have lapsed during the outage.
        """
        if self._unavailable:
            self._unavailable = False
            self._on_availability(True)

    async def _request_once(self, requested_at: float) -> float | None:
        """Make one request; return the time up to which changes are known, None if it failed."""
        answer: Result = Failure(TableFailure.UNAVAILABLE)
        # After a failure, don't wait for changes: an immediate answer shows that the store has
        # recovered.
        wait = 0.0 if self._unavailable else self._wait()
        with trio.move_on_after(wait + ANSWER_TIMEOUT_SECONDS) as self._cancel_scope:
            if self._version is None:
                answer = await self._feed.snapshot(self._table)
            else:
                answer = await self._feed.changes(self._table, self._version, wait)
        if isinstance(answer, Success):
            self._report_recovery()
        match answer:
            case Success(Snapshot(rows, version, as_of)):
                self._version = version
                self._on_snapshot(rows)
                return requested_at if as_of is None else as_of
            case Success(Changes(rows, version, True, as_of)):
                self._version = version
                for row in rows:
                    self._on_change(*row)
                return requested_at if as_of is None else as_of
            case Success(_):
                self._version = None
                return await self._request_once(requested_at)
        return None
