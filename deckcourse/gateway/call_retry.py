"""The retry that pays for the next attempt of a plain call, out of the budget of its service."""

from deckcourse.gateway.retry_allowance import RetryAllowance

__all__ = ["CallRetry"]


class CallRetry:
    """Holds a retry from when it is spent until the call is sent again.

    An attempt may end before the call is sent, or be overtaken by the answer of another one: the
    retry then pays for the next one, or goes back to the budget.

    Args:
      budget: the retries of the service.
    """

    def __init__(self, budget: RetryAllowance) -> None:
        self._budget = budget
        self._is_held = False

    async def acquire(self) -> bool:
        """Spend a retry unless one is held; return whether one is held now."""
        if not self._is_held:
            self._is_held = await self._budget.acquire()
        return self._is_held

    async def spend(self) -> bool:
        """Spend a retry for a call that is sent again at once; return whether there was one."""
        return await self.acquire() and self.use()

    def use(self) -> bool:
        """Use the held retry, if any, as the call is sent again; return whether there was one."""
        was_held, self._is_held = self._is_held, False
        return was_held

    def hold(self) -> None:
        """Hold a retry for the next attempt: the call was not sent with it."""
        self._is_held = True

    def close(self) -> None:
        """Return an unused retry to the budget."""
        if self._is_held:
            self._is_held = False
            self._budget.give_back()
