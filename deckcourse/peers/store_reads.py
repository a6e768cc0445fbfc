"""Reads of the store that go on after the wait for their answers has timed out.

Load pattern: on an overloaded machine or network the store answers late. If each read were dropped
at its timeout, a store that answers only slightly later would never be heard, and every process
would refuse its callers, though each answer came. A late answer is therefore still used.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import trio
from returns.result import Failure, Result, Success

from deckcourse.background import Background
from deckcourse.table import TableFailure

__all__ = ["STORE_TIMEOUT_SECONDS", "EarlierAnswer", "GivenUp", "StoreReads"]

# Timeout of a store reply, in addition to its wait, seconds: a slow store takes 60 times its 4 ms.
# The timeout of the reader (`change_feed`) is slightly longer. The process then turns to its
# sources; a reply that comes after all is still used.
STORE_TIMEOUT_SECONDS = 0.75

# How long a read goes on after its timeout, seconds. Later answers say too little about the present
# to be worth an open connection.
MAX_LATE_SECONDS = 1.25

_Value = TypeVar("_Value")


@dataclass(frozen=True)
class EarlierAnswer:
    """An earlier read of the table was answered, and its value passed to its callback."""


@dataclass(frozen=True)
class GivenUp:
    """The read was given up: other evidence shows that no answer will come on its connection."""


@dataclass
class _Read(Generic[_Value]):
    """One read; `answer` is None until it has ended.

    `after` is the version that its reader has, None before a snapshot. `sent_at` and its timeout
    `deadline` are on trio's clock; `scope` ends it.
    """

    table: str
    after: int | None
    sent_at: float
    deadline: float
    scope: trio.CancelScope
    answer: Result[_Value | GivenUp, TableFailure] | None = None
    is_awaited: bool = True

    def is_pending(self, now: float) -> bool:
        """Return whether it has neither ended nor timed out."""
        return self.answer is None and now < self.deadline


class StoreReads:
    """Runs the reads of one process; at most one reader at a time waits for each table.

    Args:
      on_late: called with the table and the seconds since the timeout when a read was answered
        after its timeout.
    """

    def __init__(self, on_late: Callable[[str, float], None]) -> None:
        self._on_late = on_late
        self._background = Background()
        # Tables with an answer that no reader has returned.
        self._answered: set[str] = set()
        # Reads whose reader has returned an earlier answer instead.
        self._left: dict[str, _Read] = {}
        # Reads that a reader waits for.
        self._awaited: dict[str, _Read] = {}
        self._ended = trio.Event()

    async def run(self) -> None:
        """Run the reads until cancelled."""
        await self._background.run()

    def take_answered(self, table: str) -> bool:
        """Return whether a table has an answer that no reader has returned, and forget it."""
        is_answered = table in self._answered
        self._answered.discard(table)
        return is_answered

    def version_of_reader(self, table: str) -> int | None:
        """Return the version that the reader waiting for a table has, None if none waits."""
        read = self._awaited.get(table)
        return None if read is None else read.after

    def give_up(self, table: str, sent_before: float) -> bool:
        """End the read that a reader of a table waits for; the reader gets `GivenUp`.

        Args:
          table: the table.
          sent_before: reads that were sent after this time on trio's clock are kept.

        Returns:
          Whether a read was ended.
        """
        read = self._awaited.get(table)
        if read is None or read.answer is not None or read.sent_at >= sent_before:
            return False
        read.answer = Success(GivenUp())
        read.scope.cancel()
        return True

    async def read(
        self,
        table: str,
        after: int | None,
        call: Callable[[], Awaitable[Result[_Value, TableFailure]]],
        on_success: Callable[[_Value], None],
        timeout: float,
    ) -> Result[_Value | EarlierAnswer | GivenUp, TableFailure]:
        """Return the answer of a read, or `EarlierAnswer` if an earlier read is answered before it.

        Args:
          table: the table that is read.
          after: the version that the reader has, None before a snapshot.
          call: makes the read.
          on_success: called with the value that was read, also if it comes late.
          timeout: the longest time to wait for an answer, seconds.

        Returns:
          The answer; the failure is UNKNOWN if there was none in time.
        """
        left = self._left.pop(table, None)
        if left is not None and left.is_pending(trio.current_time()):
            # Otherwise each late answer would begin one more read, beside those under way.
            answer = await self._wait_for(left)
            return answer.map(
                lambda value: value if isinstance(value, GivenUp) else EarlierAnswer()
            )
        now = trio.current_time()
        deadline = now + timeout
        scope = trio.CancelScope(deadline=deadline + MAX_LATE_SECONDS)
        read: _Read[_Value] = _Read(table, after, now, deadline, scope)
        self._background.start(self._perform, read, call, on_success)
        return await self._wait_for(read)

    async def _wait_for(
        self, read: _Read[_Value]
    ) -> Result[_Value | EarlierAnswer | GivenUp, TableFailure]:
        read.is_awaited = True
        self._awaited[read.table] = read
        try:
            with trio.move_on_at(read.deadline):
                while read.answer is None and read.table not in self._answered:
                    await self._ended.wait()
        finally:
            read.is_awaited = False
            if self._awaited.get(read.table) is read:
                del self._awaited[read.table]
        if read.answer is not None:
            return read.answer
        if not self.take_answered(read.table):
            return Failure(TableFailure.UNKNOWN)
        self._left[read.table] = read
        return Success(EarlierAnswer())

    async def _perform(
        self,
        read: _Read[_Value],
        call: Callable[[], Awaitable[Result[_Value, TableFailure]]],
        on_success: Callable[[_Value], None],
    ) -> None:
        answer: Result[_Value, TableFailure] = Failure(TableFailure.UNAVAILABLE)
        with read.scope:
            answer = await call()
        read.answer = read.answer or answer
        match answer:
            case Success(value):
                on_success(value)
                self._note_answered(read)
        self._ended.set()
        self._ended = trio.Event()

    def _note_answered(self, read: _Read) -> None:
        if not read.is_awaited:
            self._answered.add(read.table)
        late_seconds = trio.current_time() - read.deadline
        if late_seconds > 0.0:
            self._on_late(read.table, late_seconds)
