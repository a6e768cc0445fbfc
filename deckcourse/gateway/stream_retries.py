"""The retries of one stream, out of the budget of its service."""

from collections.abc import Callable

import trio

from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.retry_allowance import RetryAllowance
from deckcourse.gateway.retry_issuer import URGENT_RESERVE_SHARE

__all__ = ["MAX_PAUSE_SECONDS", "StreamRetries"]

# Callers abandon a stream after two seconds without data; attempts for it end before that.
MAX_PAUSE_SECONDS = 1.8
# How long after its last event an interrupted stream may wait for a retry: each stream that ends
# frees capacity. After that its connection is cut, so that its caller can resume it.
MAX_RETRY_WAIT_SECONDS = 1.0
# Backoff between two attempts of such a stream, doubled with each refusal up to the maximum.
REFUSAL_BACKOFF_SECONDS = 0.05
MAX_REFUSAL_BACKOFF_SECONDS = 0.4
# Share of the budget that must remain when a stream is detached from an upstream that still holds
# it: the next upstream may refuse it.
DETACHING_RESERVE_SHARE = 0.11


class StreamRetries:
    """Spends one stream's retries from the retry budget of its service.

    Args:
      context: the objects that requests share.
      admitted: the stream's request.
    """

    def __init__(self, context: GatewayContext, admitted: Admitted) -> None:
        self._budget: RetryAllowance = context.budget(admitted.service.name)
        self._has_reserved = False
        self._refusals = 0
        self._is_first_process = admitted.earlier is None

    @property
    def was_refused(self) -> bool:
        """Whether an upstream refused the stream: it is full, for whichever process sends it."""
        return self._refusals > 0

    def earn(self) -> None:
        """Add the stream's first attempt to the retry budget, at one process only."""
        if self._is_first_process:
            self._budget.earn()

    def note_refused(self) -> None:
        """Record that an upstream refused the stream without executing it."""
        self._refusals += 1

    async def wait(self, progress_at: float) -> bool:
        """Reserve a retry for an executed stream, waiting for one; return whether it got one.

        A stream that comes after the wait, since its upstream was silent, takes one that is
        available as long as its caller waits.

        Args:
          progress_at: when its caller last received an event, on trio's clock.
        """
        if self._has_reserved:
            return True
        if self._refusals:
            backoff = REFUSAL_BACKOFF_SECONDS * 2**self._refusals
            await trio.sleep(min(backoff, MAX_REFUSAL_BACKOFF_SECONDS))
        if trio.current_time() >= progress_at + MAX_PAUSE_SECONDS:
            return False
        while not await self.acquire():
            if trio.current_time() >= progress_at + MAX_RETRY_WAIT_SECONDS:
                return False
            await trio.sleep(REFUSAL_BACKOFF_SECONDS)
        self._has_reserved = True
        return True

    def use(self) -> bool:
        """Use the reserved retry, if any, as the stream is sent again; return whether there was."""
        had_reserved, self._has_reserved = self._has_reserved, False
        return had_reserved

    async def acquire(self, was_executed: bool = True) -> bool:
        """Spend a retry; return whether there was one for this stream."""
        if self._has_reserved:
            self._has_reserved = False
            return True
        return await self._budget.acquire(0.0 if was_executed else URGENT_RESERVE_SHARE)

    def reserve(self, when_granted: Callable[[], object]) -> bool:
        """Reserve a retry before the stream is detached from its upstream.

        Args:
          when_granted: called later if no retry is available now but one is granted soon.
        """
        if not self._has_reserved:
            self._has_reserved = self._budget.spend(DETACHING_RESERVE_SHARE)
        if not self._has_reserved:
            self._budget.request_ahead(when_granted)
        return self._has_reserved

    async def reserve_spare(self) -> bool:
        """Reserve a retry for a search that failed before; return whether there was one.

        It leaves what is kept for urgent ones: streams that have just lost their upstream.
        """
        if not self._has_reserved:
            self._has_reserved = await self._budget.acquire(URGENT_RESERVE_SHARE)
        return self._has_reserved

    def reserve_unused(self) -> None:
        """Reserve a spent but unused retry for the next attempt."""
        self._has_reserved = True

    def close(self) -> None:
        """Return a reserved but unused retry to the budget."""
        if self._has_reserved:
            self._has_reserved = False
            self._budget.give_back()
