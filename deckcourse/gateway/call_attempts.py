"""The attempts of one plain call that are in progress; the first that has an answer goes on.

An attempt whose upstream seems out of reach isn't ended: the upstream may only be silent, while no
peer and no other upstream may take the call. Others are made beside it until one has an answer.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from deckcourse.outcomes import Answered, Outcome
from deckcourse.reasons import NotRunReason, UnknownReason

__all__ = ["CallAttempts"]

# Interval between two searches for another attempt beside one that is in progress: a retry, a peer
# or an upstream may have become available.
SEARCH_INTERVAL_SECONDS = 0.25
# How long an upstream that is in reach again may take to go on before others are sought: a plain
# call usually takes less.
RESUME_SECONDS = 0.4

# The result of an attempt.
_Result = TypeVar("_Result")


class CallAttempts:
    """The attempts in progress.

    Args:
      make_others: makes other attempts, one after the other, until there is an outcome.
      is_out_of_reach: returns whether all upstreams still seem out of reach.
    """

    def __init__(
        self, make_others: Callable[[], Awaitable[Outcome]], is_out_of_reach: Callable[[], bool]
    ) -> None:
        self._make_others = make_others
        self._is_out_of_reach = is_out_of_reach
        self._scopes: set[trio.CancelScope] = set()
        self._searches = 0
        self._is_decided = False

    @property
    def has_others(self) -> bool:
        """Whether an attempt that ends now leaves others that may have an answer."""
        return bool(self._scopes) or self._searches > 0

    async def take_over(self) -> None:
        """End all other attempts; called without a suspension before the caller is answered."""
        # Another one may have taken over in the tick in which this one has its answer.
        await trio.lowlevel.checkpoint_if_cancelled()
        self._is_decided = True
        for scope in self._scopes:
            scope.cancel()

    async def run(
        self,
        attempt: Callable[[Callable[[], None]], Awaitable[_Result]],
        is_answer: Callable[[_Result], bool],
    ) -> _Result | Outcome:
        """Make an attempt, and others beside it once its upstream seems out of reach.

        Args:
          attempt: makes it; it is passed the function to call then.
          is_answer: returns whether its result is the answer to the call.

        Returns:
          Its result, or the outcome of the others if that is final.
        """
        result: _Result | None = None
        others: Outcome | None = None
        is_searching = False
        has_ended = trio.Event()
        async with trio.open_nursery() as nursery:

            async def search() -> None:
                nonlocal others, is_searching
                try:
                    while not has_ended.is_set():
                        outcome = await self._make_others()
                        if _is_final(outcome):
                            others = outcome
                            scope.cancel()
                            return
                        with trio.move_on_after(SEARCH_INTERVAL_SECONDS):
                            await has_ended.wait()
                        if not self._is_out_of_reach():
                            with trio.move_on_after(RESUME_SECONDS):
                                await has_ended.wait()
                finally:
                    is_searching = False
                    self._searches -= 1

            def on_unreachable() -> None:
                nonlocal is_searching
                if not is_searching:
                    is_searching = True
                    self._searches += 1
                    nursery.start_soon(search)

            with trio.CancelScope() as scope:
                self._scopes.add(scope)
                try:
                    result = await attempt(on_unreachable)
                finally:
                    self._scopes.discard(scope)
            has_ended.set()
            if not scope.cancelled_caught and is_answer(result) and not self._is_decided:
                others = None
                nursery.cancel_scope.cancel()
        return others if others is not None else result


def _is_final(outcome: Outcome) -> bool:
    """Return whether an outcome holds although an upstream may still answer."""
    if isinstance(outcome, Answered):
        return True
    return outcome.reason in (NotRunReason.ENDS_UPSTREAMS, UnknownReason.ENDS_UPSTREAMS)
