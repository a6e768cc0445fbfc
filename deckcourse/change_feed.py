"""A feed of changes to a table's rows, and the follower that keeps a copy up to date by it."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

import trio
from returns.result import Failure, Result, Success

from deckcourse.table import Row, TableFailure

__all__ = ["LONG_WAIT_SECONDS", "ChangeFeed", "Changes", "Follower", "Snapshot"]

# Where the answer is no such sign, calls are saved by a longer wait, seconds.
LONG_WAIT_SECONDS = 5.0
# How long an answer may take beyond that, seconds: a slow store takes 60 times its 4 ms.
ANSWER_SECONDS = 0.8
# Changes that come in quick succession are fetched together after this pause, seconds; where many
# processes follow the same table, after up to the longest.
PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.25
# Between two tries while the store does not answer, seconds, and the same again by chance; doubled
# after each try up to the longest, which is longer where many processes try.
RETRY_SECONDS = 0.15
LONGEST_RETRY_SECONDS = 0.3
LARGEST_PROCESS_FACTOR = 3.0


@dataclass(frozen=True)
class Snapshot:
    """All rows of a table as of `version`.

    Every change before `as_of`, a moment of trio's clock, is in; None where only the moment of the
    question is known.
    """

    rows: tuple[Row, ...]
    version: int
    as_of: float | None = None


@dataclass(frozen=True)
class Changes:
    """Rows that changed, in order, up to `version`: key, value and version of each.

    A row without value is gone.

    `complete` is false where the store no longer has every change: a snapshot is due. `as_of` is
    as in `Snapshot`.
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
        """Return what changed after a version, as soon as something did or time is over."""


class Follower:
    """Keeps up with one table.

    Args:
      feed: where the table is read.
      table: its name.
      on_all: gets all rows whenever the table was read as a whole.
      on_change: gets each change after that: key, value and version; no value where the row is
        gone.
      random: for the time between tries while the store does not answer.
      on_contact: told False when the store stops answering and True when it answers again.
      wait: returns how long one question waits for changes, seconds.
      process_factor: returns how many times as many processes follow it as pauses are made for.
      gathered: returns whether the feed itself brings changes together: no pause is due then.
      paced: returns whether the feed itself decides when the store may be asked: pauses between
        tries stay at the shortest then. Pauses that grew beside the feed's own delayed the news of
        the store's return from 0.6 to 2.3 seconds at the slowest of 30 processes.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        table: str,
        on_all: Callable[[Sequence[Row]], None],
        on_change: Callable[[str, bytes | None, int], None],
        random: Random,
        on_contact: Callable[[bool], None] = lambda regained: None,
        wait: Callable[[], float] = lambda: LONG_WAIT_SECONDS,
        process_factor: Callable[[], float] = lambda: 1.0,
        gathered: Callable[[], bool] = lambda: False,
        paced: Callable[[], bool] = lambda: False,
    ) -> None:
        self._retry = RETRY_SECONDS
        self._feed = feed
        self._table = table
        self._on_all = on_all
        self._on_change = on_change
        self._random = random
        self._on_contact = on_contact
        self._wait = wait
        self._process_factor = process_factor
        self._gathered = gathered
        self._paced = paced
        self._asking = trio.CancelScope()
        self._version: int | None = None
        self._as_of = float("-inf")
        self._lost = False

    @property
    def as_of(self) -> float:
        """Every change before this moment of trio's clock is known."""
        return self._as_of

    @property
    def known(self) -> bool:
        """Whether the table was read at least once."""
        return self._as_of > float("-inf")

    @property
    def lost(self) -> bool:
        """Whether the last question had no answer."""
        return self._lost

    def ask_anew(self) -> None:
        """Give up the question under way: another one showed that the store went or came."""
        self._asking.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            asked_at = trio.current_time()
            as_of = await self._round(asked_at)
            if as_of is not None:
                self._contact(as_of)
                await self._gather()
            else:
                if not self._lost:
                    self._lost = True
                    self._on_contact(False)
                await self._pause()

    async def _gather(self) -> None:
        """Let changes in quick succession come together."""
        if self._gathered():
            await trio.lowlevel.checkpoint()
            return
        await trio.sleep(min(LONGEST_PAUSE_SECONDS, PAUSE_SECONDS * self._process_factor()))

    async def _pause(self) -> None:
        """Wait before the next try, until another follower's success makes it due."""
        if self._paced():
            self._retry = RETRY_SECONDS
        seconds = self._retry * (1 + self._random.random())
        # Whoever waits long relies on another follower to notice the store's return.
        longest = max(LONGEST_RETRY_SECONDS, self._wait() / 4)
        self._retry = min(
            2 * self._retry, longest * min(LARGEST_PROCESS_FACTOR, self._process_factor())
        )
        with trio.move_on_after(seconds) as self._asking:
            await trio.sleep_forever()

    def _contact(self, as_of: float) -> None:
        self._as_of = max(self._as_of, as_of)
        self._retry = RETRY_SECONDS

    def _note_answer(self) -> None:
        """Tell of the store's return before what it says is taken in: rows may have lapsed."""
        if self._lost:
            self._lost = False
            self._on_contact(True)

    async def _round(self, asked_at: float) -> float | None:
        """Ask once; return up to when all is known, None where there was no answer."""
        answer: Result = Failure(TableFailure.UNAVAILABLE)
        # After a loss, the first answer should come at once: it ends the doubt.
        wait = 0.0 if self._lost else self._wait()
        with trio.move_on_after(wait + ANSWER_SECONDS) as self._asking:
            if self._version is None:
                answer = await self._feed.snapshot(self._table)
            else:
                answer = await self._feed.changes(self._table, self._version, wait)
        if isinstance(answer, Success):
            self._note_answer()
        match answer:
            case Success(Snapshot(rows, version, as_of)):
                self._version = version
                self._on_all(rows)
                return asked_at if as_of is None else as_of
            case Success(Changes(rows, version, True, as_of)):
                self._version = version
                for row in rows:
                    self._on_change(*row)
                return asked_at if as_of is None else as_of
            case Success(_):
                self._version = None
                return await self._round(asked_at)
        return None
