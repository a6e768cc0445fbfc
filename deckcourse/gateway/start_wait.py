"""The wait of requests that arrive before a process knows its configuration.

Load pattern: after all processes have been restarted, all callers reconnect while the processes
still read their configuration. A refusal costs each caller one of few attempts, while the
configuration comes sooner than the caller gives up. Requests wait for it, in bounded number and
time; a process that can't reach the store for longer refuses them at once.
"""

from collections.abc import Awaitable, Callable

import trio

from deckcourse.settings import LoadSettings

__all__ = ["StartWait"]

# How long a request waits. Callers give up a request that isn't read within a second, and half of
# that leaves the time to be served elsewhere.
MAX_WAIT_SECONDS = 0.5
# A process that still knows no configuration this long after the first request can't reach the
# store, and refuses requests at once.
MAX_START_SECONDS = 2.0


class StartWait:
    """Lets requests wait until this process knows its configuration.

    Args:
      load_settings: returns the current settings; requests wait if `start_wait` is on.
      is_known: returns whether the configuration is known.
      wait_for_change: waits until the configuration changes.
      count: increments the counter of a name.
    """

    def __init__(
        self,
        load_settings: Callable[[], LoadSettings],
        is_known: Callable[[], bool],
        wait_for_change: Callable[[], Awaitable[object]],
        count: Callable[[str], None],
    ) -> None:
        self._load_settings = load_settings
        self._is_known = is_known
        self._wait_for_change = wait_for_change
        self._count = count
        self._waiting = 0
        # Set by the first request: a process is assembled before the event loop runs.
        self._refuses_at: float | None = None

    async def wait(self) -> None:
        """Wait until the configuration is known, or the request is to be refused."""
        settings = self._load_settings()
        if self._is_known() or not settings.start_wait:
            return
        if self._waiting >= settings.max_waiting:
            self._count("start-wait.full")
            return
        self._waiting += 1
        try:
            with trio.move_on_at(self._deadline()):
                while not self._is_known():
                    await self._wait_for_change()
        finally:
            self._waiting -= 1
        self._count("start-wait.served" if self._is_known() else "start-wait.timeout")

    def _deadline(self) -> float:
        """Return when a request that comes now is refused, on trio's clock."""
        now = trio.current_time()
        if self._refuses_at is None:
            self._refuses_at = now + MAX_START_SECONDS
        return min(self._refuses_at, now + MAX_WAIT_SECONDS)
