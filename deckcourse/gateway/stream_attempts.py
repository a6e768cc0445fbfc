"""The attempts of one stream that are in progress; the first that has the next event goes on.

An attempt whose upstream is silent is detached but not ended: the upstream may go on, while the
next one may refuse the stream or fall silent as well. All attempts wait until one of them takes the
response over, which ends the others.
"""

from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Generic, TypeVar

import trio

from deckcourse.gateway.active_stream import ActiveStream, Interruption
from deckcourse.layers.paths import LayerPath

__all__ = ["StreamAttempt", "StreamAttempts"]

# The result of an attempt.
_Result = TypeVar("_Result")


class StreamAttempt(Generic[_Result]):
    """One attempt to run a stream on a path.

    Args:
      path: the path.
    """

    def __init__(self, path: LayerPath) -> None:
        self.path = path
        self.stream: ActiveStream | None = None
        self.has_run = False
        self.result: _Result | None = None
        self.error: Exception | None = None
        self._scope = trio.CancelScope()

    @property
    def instance(self) -> str:
        """The first upstream of its path."""
        return self.path.stages[0].instance

    @property
    def is_detached(self) -> bool:
        """Whether another attempt is to take its place unless it goes on before."""
        return self.stream is not None and self.stream.is_detached

    @property
    def may_be_replaced(self) -> bool:
        """Whether another attempt may run at its first upstream, which answers.

        It left that one because of a host behind it, and another path may have become usable.
        """
        return self.is_detached and self.stream.interruption is not Interruption.FIRST_SILENT

    @property
    def scope(self) -> trio.CancelScope:
        """The scope of its task."""
        return self._scope

    def cancel(self) -> None:
        """Close its connection; the upstream stops the execution once it learns of that."""
        self._scope.cancel()


class StreamAttempts(Generic[_Result]):
    """The attempts in progress."""

    def __init__(self) -> None:
        self._nursery: trio.Nursery | None = None
        self._live: list[StreamAttempt[_Result]] = []
        self._ended: deque[StreamAttempt[_Result]] = deque()
        self._changed = trio.Event()
        self._search: trio.CancelScope | None = None

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Enclose all attempts; those that are in progress at the end are cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            yield
            nursery.cancel_scope.cancel()

    @property
    def has_ended(self) -> bool:
        """Whether `take_ended` has an attempt."""
        return bool(self._ended)

    @property
    def live(self) -> tuple[StreamAttempt[_Result], ...]:
        """The attempts that have not ended, the latest last."""
        return tuple(self._live)

    @property
    def instances(self) -> frozenset[str]:
        """The first upstreams of the attempts that no other one at these may replace."""
        return frozenset(each.instance for each in self._live if not each.may_be_replaced)

    @property
    def is_any_attached(self) -> bool:
        """Whether an attempt is in progress for which no other one is sought."""
        return any(not each.is_detached for each in self._live)

    def start(
        self, path: LayerPath, run: Callable[[StreamAttempt[_Result]], Awaitable[_Result]]
    ) -> None:
        """Start an attempt in the background.

        An earlier one at the same first upstream goes on until that one accepts this one: it may
        have no room for it. Of several, only the first is kept, so that there are no more than two.

        Args:
          path: the path that it runs on.
          run: makes the attempt and returns its result.
        """
        attempt = StreamAttempt[_Result](path)
        for each in self._others_at(attempt)[1:]:
            self.cancel(each)
        self._live.append(attempt)
        self._nursery.start_soon(self._run, attempt, run)

    def note_accepted(self, attempt: StreamAttempt[_Result]) -> None:
        """End earlier attempts at the first upstream of one that this upstream has accepted."""
        if attempt in self._live:
            for each in self._others_at(attempt):
                self.cancel(each)

    def _others_at(self, attempt: StreamAttempt[_Result]) -> list[StreamAttempt[_Result]]:
        """Return the other attempts in progress at the first upstream of one, the latest last."""
        others = (each for each in self._live if each is not attempt)
        return [each for each in others if each.instance == attempt.instance]

    async def _run(
        self,
        attempt: StreamAttempt[_Result],
        run: Callable[[StreamAttempt[_Result]], Awaitable[_Result]],
    ) -> None:
        with attempt.scope:
            try:
                attempt.result = await run(attempt)
            except Exception as error:  # Raised again where the attempts are awaited.
                attempt.error = error
        if attempt in self._live:
            self._live.remove(attempt)
            self._ended.append(attempt)
            self.note_change()

    def note_change(self) -> None:
        """Wake the task that waits in `wait_for_change`."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait until an attempt was detached, has taken over or has ended."""
        await self._changed.wait()

    def take_ended(self) -> StreamAttempt[_Result] | None:
        """Return an attempt that ended with a result, None if there is none.

        Raises:
          Exception: what the attempt raised.
        """
        if not self._ended:
            return None
        attempt = self._ended.popleft()
        if attempt.error is not None:
            raise attempt.error
        return attempt

    @contextmanager
    def searching(self) -> Iterator[trio.CancelScope]:
        """Enclose the search for a further attempt; it is cancelled once an attempt takes over."""
        with trio.CancelScope() as scope:
            self._search = scope
            try:
                yield scope
            finally:
                self._search = None

    def take_over(self, attempt: StreamAttempt[_Result]) -> None:
        """Let an attempt that has the next event go on, and end all others."""
        for each in self.live:
            if each is not attempt:
                self.cancel(each)
        if self._search is not None:
            self._search.cancel()
        if attempt.is_detached:
            attempt.stream.attach()
            self.note_change()

    def cancel(self, attempt: StreamAttempt[_Result]) -> None:
        """End an attempt; its result isn't taken."""
        self._live.remove(attempt)
        attempt.cancel()
