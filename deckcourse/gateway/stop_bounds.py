"""The times by which the requests of a process must end once it stops.

An answer that began goes on until shortly before the process ends. Other requests get their outcome
a little sooner, while the process can still send it: as at a passed deadline, which a stop brings
forward for all that see it, among them the upstreams.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

import trio

__all__ = ["Response", "StopBounds"]


class Response(Protocol):
    """The response to a request."""

    @property
    def started(self) -> bool:
        """Whether it was started."""


class StopBounds:
    """The bounds that a stop sets for all requests; there are none before it."""

    def __init__(self) -> None:
        self._answer_by = float("inf")
        self._end_by = float("inf")
        self._scopes: dict[trio.CancelScope, Response | None] = {}
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether `end_all` was called: a request that ended early may have ended for that."""
        return self._ended

    @property
    def end_by(self) -> float:
        """When the process ends all that is in flight, on trio's clock."""
        return self._end_by

    def begin(self, answer_by: float, end_by: float) -> None:
        """Set the bounds, on trio's clock.

        Args:
          answer_by: when requests whose response has not started get their outcome.
          end_by: when everything else ends.
        """
        self._answer_by, self._end_by = answer_by, end_by

    def bound(self, deadline: float, has_started: bool) -> float:
        """Return when a request ends at the latest.

        Args:
          deadline: its own deadline.
          has_started: whether its response was started.
        """
        return min(deadline, self._end_by if has_started else self._answer_by)

    @contextmanager
    def until(self, deadline: float, response: Response | None = None) -> Iterator[None]:
        """Cancel what is done inside at a deadline, or by `end_unanswered` or `end_all`.

        Args:
          deadline: on trio's clock.
          response: tells whether the response has started; without it, only `end_all` cancels.
        """
        with trio.move_on_at(deadline) as scope:
            if self._ended:
                scope.cancel()
            self._scopes[scope] = response
            try:
                yield
            finally:
                del self._scopes[scope]

    def end_unanswered(self) -> None:
        """Cancel the requests whose response has not started: their time is over."""
        for scope, response in self._scopes.items():
            if response is not None and not response.started:
                scope.cancel()

    def end_all(self) -> None:
        """Cancel all requests, and from now on each one that waits for something."""
        self._ended = True
        for scope in self._scopes:
            scope.cancel()
