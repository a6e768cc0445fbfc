"""How much the first upstreams of paths have to do, asked at intervals while requests come.

Every process asks by itself: what an upstream says counts all processes' requests, so that their
choices agree without a word between them. Between two answers the own new requests are added.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.upstreams import Upstream

__all__ = ["FirstLoad", "LoadWatch"]

# Between two questions to one upstream, seconds; its answer is 0.2 s old, and each is priced.
ASK_SECONDS = 0.4
# An answer older than this tells nothing, seconds.
LIFETIME_SECONDS = 1.2
# Upstreams are asked while a request came in the last so many seconds.
ACTIVE_SECONDS = 2.0
# What all processes together send may be so many times the own: one in so many is this one. The
# streams that this process began since the last answer count so often.
OWN_WEIGHT = 3.0


@dataclass(frozen=True)
class FirstLoad:
    """What an upstream says of its requests as the first of a path; good until `deadline`."""

    running: int
    queued: int
    cache_share: float
    deadline: float


class LoadWatch:
    """Keeps the newest answers.

    Args:
      control: asks an upstream.
      firsts: returns the upstreams that can be the first of a path.
    """

    def __init__(self, control: StreamControl, firsts: Callable[[], list[Upstream]]) -> None:
        self._control = control
        self._firsts = firsts
        self._loads: dict[str, FirstLoad] = {}
        self._begun_since: dict[str, int] = {}
        self._active_until = 0.0

    def note_request(self) -> None:
        """Note that a request came."""
        self._active_until = trio.current_time() + ACTIVE_SECONDS

    def note_begun(self, instance: str) -> None:
        """Note that this process sent a stream to an upstream."""
        self._begun_since[instance] = self._begun_since.get(instance, 0) + 1

    def utilization(self, instance: str, slots: int) -> float:
        """Return requests there for each one that it works on at once; over 1 they queue."""
        load = self._loads.get(instance)
        if load is None or load.deadline < trio.current_time():
            return 0.0
        begun = OWN_WEIGHT * self._begun_since.get(instance, 0)
        by_requests = (load.running + load.queued + begun) / max(1, slots)
        return max(by_requests, load.cache_share if load.queued else 0.0)

    async def run(self) -> None:
        """Ask until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if trio.current_time() < self._active_until:
                    for upstream in self._firsts():
                        nursery.start_soon(self._ask, upstream)
                await trio.sleep(ASK_SECONDS)

    async def _ask(self, upstream: Upstream) -> None:
        load = await self._control.load(upstream)
        if load is None:
            return
        self._begun_since.pop(upstream.instance, None)
        deadline = trio.current_time() + LIFETIME_SECONDS
        share = load.cache_used / load.cache_total if load.cache_total else 0.0
        self._loads[upstream.instance] = FirstLoad(load.running, load.queued, share, deadline)
