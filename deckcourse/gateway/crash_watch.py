"""Requests under which upstreams ended, as one process sees them."""

import trio

from deckcourse.gateway.crash_check import CrashCheck
from deckcourse.gateway.upstream import Upstream

__all__ = ["CrashWatch"]

# Runs that wait to be looked at, at the most: far more than break off together.
MOST_WAITING = 1024


class CrashWatch:
    """Finds out about runs that broke off before anything of an answer came.

    The work goes on where the request that tells of it is cancelled meanwhile.

    Args:
      check: tells whether an upstream ended.
    """

    def __init__(self, check: CrashCheck) -> None:
        self._check = check
        self._broken, self._waiting = trio.open_memory_channel[Upstream](MOST_WAITING)

    def note_broken(self, upstream: Upstream) -> None:
        """Note that a run at an upstream broke off before it brought anything."""
        try:
            self._broken.send_nowait(upstream)
        except trio.WouldBlock:
            return

    async def run(self) -> None:
        """Look at runs that broke off until cancelled."""
        async with trio.open_nursery() as nursery:
            async for upstream in self._waiting:
                nursery.start_soon(self._check.pulse, upstream)
