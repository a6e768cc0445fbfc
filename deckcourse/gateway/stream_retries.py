"""The retries of one stream: whether another upstream may run it, and who pays for it."""

import trio

from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.retry_allowance import RetryAllowance

__all__ = ["StreamRetries"]

# A stream that ran and has no place looks for one for so long after its last event, seconds: room
# comes free with each stream that ends. Later its caller, who can resume it, is told by the cut.
LONGEST_SEARCH_SECONDS = 1.0
# Between two tries of such a stream, seconds; doubled with each refusal, up to the longest.
REFUSED_PAUSE_SECONDS = 0.05
LONGEST_REFUSED_PAUSE_SECONDS = 0.4
# The part of all retries that is kept for streams that have run: one that nobody ran can come back
# later, one that broke off is lost without.
KEPT_FOR_BROKEN = 0.33
# The part that must be left when a stream is taken from an upstream that still has it: the next one
# may refuse it.
KEPT_FOR_TAKEN = 0.11


class StreamRetries:
    """Takes one stream's retries out of those that all processes may make.

    Args:
      context: what requests work with.
      admitted: the stream.
    """

    def __init__(self, context: GatewayContext, admitted: Admitted) -> None:
        self._upstreams = context.upstreams
        self._budget: RetryAllowance = context.budget(admitted.service.name)
        self._route = admitted.route
        self._in_hand = False
        self._refusals = 0
        self._ran: set[str] = set()

    def earn(self) -> None:
        """Count the stream's first try."""
        self._budget.earn()

    def note_run(self, instance: str) -> None:
        """Note that an upstream may run it."""
        self._ran.add(instance)

    def note_refused(self, instance: str) -> None:
        """Note that an upstream did not run it."""
        self._refusals += 1
        self._ran.discard(instance)

    def may_go_on(self) -> bool:
        """Return whether another upstream may run it; those that are gone don't count."""
        live = [
            each
            for each in self._ran
            if self._upstreams.get(each) is not None and not self._upstreams.is_suspect(each)
        ]
        return self._route.repeatable and len(live) < self._route.attempts

    async def wait(self, progress_at: float) -> bool:
        """Take a retry for a stream that ran, waiting a little for one; return whether it has.

        Args:
          progress_at: when its caller last got something, on trio's clock.
        """
        if self._in_hand:
            return self.take()
        if self._refusals:
            pause = REFUSED_PAUSE_SECONDS * 2**self._refusals
            await trio.sleep(min(pause, LONGEST_REFUSED_PAUSE_SECONDS))
        while trio.current_time() < progress_at + LONGEST_SEARCH_SECONDS:
            if self.take():
                return True
            await trio.sleep(REFUSED_PAUSE_SECONDS)
        return False

    def take(self, has_run: bool = True) -> bool:
        """Take a retry; return whether there was one for this stream."""
        if self._in_hand:
            self._in_hand = False
            return True
        return self._budget.spend(0.0 if has_run else KEPT_FOR_BROKEN)

    def take_ahead(self) -> bool:
        """Take a retry before the stream is taken from its upstream; return whether it may be."""
        self._in_hand = self.may_go_on() and self._budget.spend(KEPT_FOR_TAKEN)
        return self._in_hand

    def keep(self) -> None:
        """Keep a retry that was taken and not made, for the next try."""
        self._in_hand = True

    def close(self) -> None:
        """Give back what was taken and not made."""
        if self._in_hand:
            self._in_hand = False
            self._budget.give_back()
