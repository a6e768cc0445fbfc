"""The retry allowance of one process at one service.

The platform limits the retries of all processes in any time window to a fraction of the requests
plus a fixed number, the slack. A process needs nobody's consent for its part of the fraction: its
own requests earned it. The slack is shared: retries of it are requested from the one process that
issues them.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from deckcourse.decisions.sliding_count import SlidingCount
from deckcourse.gateway.retry_issuer import GRANT_LIFETIME_SECONDS, RetryGrant
from deckcourse.gateway.retry_limits import RetryLimits
from deckcourse.peers.issuer_messages import RetryNeed

__all__ = ["RetryAllowance", "RetryTally"]

# Share of the platform's ratio that requests earn: a margin, since requests and retries are counted
# in windows that begin at other times than the platform's.
EARNED_SHARE = 0.9
# Time without a retry after which the issuer prefers this process, seconds.
LONG_WAIT_SECONDS = 4.0
# Most retries requested at once.
MAX_REQUESTED = 64
# Spent retries of which it is remembered where they came from.
MAX_REMEMBERED = 256


@dataclass(frozen=True)
class RetryTally:
    """What happened at one service in an interval.

    Attributes:
      requests: first attempts.
      retries: retries that were spent, less those returned unused.
      granted: retries granted by the issuer.
      denied: how often a retry was denied; a stream that waits for one asks repeatedly.
    """

    requests: int = 0
    retries: int = 0
    granted: int = 0
    denied: int = 0


class RetryAllowance:
    """The retries that this process may make at one service.

    Args:
      limits: returns the limits of all processes together.
      service: the service.
      request: requests retries from the issuer.
      clock: returns monotonic seconds.
    """

    def __init__(
        self,
        service: str,
        limits: Callable[[], RetryLimits],
        request: Callable[[RetryNeed], Awaitable[RetryGrant]],
        clock: Callable[[], float],
    ) -> None:
        self._service = service
        self._limits = limits
        self._request = request
        self._clock = clock
        self._requests = SlidingCount()
        self._earned_retries = SlidingCount()
        # Until when each granted retry may be used, earliest first.
        self._grants: deque[float] = deque()
        # The same for the latest retries spent, infinity for those that requests had earned.
        self._spent: deque[float] = deque(maxlen=MAX_REMEMBERED)
        self._lock = trio.Lock()
        self._retried_at = float("-inf")
        self._waiting = 0
        self._wanted_ahead: list[Callable[[], object]] = []
        self._has_wanted = trio.Event()
        # Until when the issuer denies urgent retries and others.
        self._denied_until = {True: float("-inf"), False: float("-inf")}
        self._tally = RetryTally()

    @property
    def balance(self) -> float:
        """The number of retries that may be made now without a request to the issuer."""
        return max(0.0, self._earned()) + len(self._valid_grants())

    def _earned(self, reserve_share: float = 0.0) -> float:
        """Return the earned retries that are left, less a reserved share of all that were earned.

        Both counts err on the low side of what is left.
        """
        limits, now = self._limits(), self._clock()
        earned = EARNED_SHARE * limits.ratio * self._requests.at_least(now, limits.window)
        spent = self._earned_retries.at_most(now, limits.window)
        return (1.0 - reserve_share) * earned - spent

    def _valid_grants(self) -> deque[float]:
        while self._grants and self._grants[0] < self._clock():
            self._grants.popleft()
        return self._grants

    def earn(self) -> None:
        """Add what a request's first attempt earns."""
        now, window = self._clock(), self._limits().window
        for each in (self._requests, self._earned_retries):
            each.forget(now, window)
        self._requests.add(now)
        self._add_to_tally(requests=1)

    def spend(self, reserve_share: float = 0.0) -> bool:
        """Spend an earned or granted retry; return whether there was one.

        Args:
          reserve_share: the share of what was earned that is kept for requests that need it more.
        """
        is_spent = self._spend(reserve_share)
        if not is_spent:
            self._add_to_tally(denied=1)
        return is_spent

    async def acquire(self, reserve_share: float = 0.0) -> bool:
        """Spend a retry, requesting one from the issuer if needed; return whether there was one.

        Args:
          reserve_share: see `spend`; retries with a reserve aren't urgent.
        """
        is_spent = self._spend(reserve_share) or await self._acquire_granted(reserve_share)
        if not is_spent:
            self._add_to_tally(denied=1)
        return is_spent

    def request_ahead(self, when_granted: Callable[[], object]) -> None:
        """Request an urgent retry in the background.

        Args:
          when_granted: called if one was granted, to spend it.
        """
        if len(self._wanted_ahead) < MAX_REQUESTED:
            self._wanted_ahead.append(when_granted)
            self._has_wanted.set()

    async def run(self) -> None:
        """Request retries in the background until cancelled."""
        while True:
            await self._has_wanted.wait()
            self._has_wanted = trio.Event()
            async with self._lock:
                wanted, self._wanted_ahead = self._wanted_ahead, []
                if wanted and self._clock() >= self._denied_until[True]:
                    await self._request_granted(len(wanted), is_urgent=True)
            for when_granted in wanted:
                if self._valid_grants():
                    when_granted()

    def give_back(self) -> None:
        """Return a spent but unused retry."""
        if not self._spent:
            return
        expires_at = self._spent.pop()
        self._add_to_tally(retries=-1)
        if expires_at == float("inf"):
            self._earned_retries.remove_latest()
        elif expires_at >= self._clock():
            self._grants.appendleft(expires_at)

    def take_tally(self) -> RetryTally:
        """Return what happened since the last call."""
        tally, self._tally = self._tally, RetryTally()
        return tally

    def _spend(self, reserve_share: float) -> bool:
        if self._earned(reserve_share) >= 1.0:
            self._earned_retries.add(self._clock())
            self._spent.append(float("inf"))
        elif self._valid_grants():
            self._spent.append(self._grants.popleft())
        else:
            return False
        self._retried_at = self._clock()
        self._add_to_tally(retries=1)
        return True

    async def _acquire_granted(self, reserve_share: float) -> bool:
        """Spend a retry of the slack; those that wait at the same time share a request."""
        is_urgent = not reserve_share
        self._waiting += 1
        try:
            async with self._lock:
                if self._spend(reserve_share):
                    return True
                if self._clock() < self._denied_until[is_urgent]:
                    return False
                # Lets others that lost their upstream at the same moment join the request.
                await trio.lowlevel.checkpoint()
                await self._request_granted(self._waiting, is_urgent)
                return self._spend(reserve_share)
        finally:
            self._waiting -= 1

    async def _request_granted(self, count: int, is_urgent: bool) -> None:
        expires_at = self._clock() + GRANT_LIFETIME_SECONDS
        has_waited = self._clock() >= self._retried_at + LONG_WAIT_SECONDS
        count = min(count, MAX_REQUESTED)
        grant = await self._request(RetryNeed(self._service, count, is_urgent, has_waited))
        if not grant.count:
            self._denied_until[is_urgent] = self._clock() + grant.wait
        self._grants.extend([expires_at] * grant.count)
        self._add_to_tally(granted=grant.count)

    def _add_to_tally(
        self, requests: int = 0, retries: int = 0, granted: int = 0, denied: int = 0
    ) -> None:
        tally = self._tally
        self._tally = RetryTally(
            tally.requests + requests,
            tally.retries + retries,
            tally.granted + granted,
            tally.denied + denied,
        )
