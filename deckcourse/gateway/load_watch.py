"""How much the first upstreams of paths have to do, asked at intervals while requests come.

Every process asks by itself: what an upstream says counts all processes' requests, so that their
choices agree without a word between them. Between two answers the own new requests are added.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstreams import Upstream

__all__ = ["FirstLoad", "LoadWatch"]

# Between two questions to one upstream, seconds; its answer is 0.2 s old.
ASK_SECONDS = 0.4
# Where a process carries less of the traffic than this it asks less often, in proportion: what all
# processes ask together would else grow with their number and not with the requests. Six to nine
# processes ask some 45 times a second for 26 to 46 requests.
ASKING_SHARE = 0.1
# The longest time between two questions all the same, seconds.
LONGEST_ASK_SECONDS = 1.4
# An answer older than so many times the pause between questions tells nothing.
LIFETIME_PAUSES = 3.0
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
      in_flight: returns this process's own requests at an upstream.
      traffic: gets what the answers tell of this process's part of all traffic.
    """

    def __init__(
        self,
        control: StreamControl,
        firsts: Callable[[], list[Upstream]],
        in_flight: Callable[[str], int],
        traffic: TrafficShare,
    ) -> None:
        self._control = control
        self._firsts = firsts
        self._in_flight = in_flight
        self._traffic = traffic
        self._loads: dict[str, FirstLoad] = {}
        self._begun_since: dict[str, int] = {}
        self._active_until = 0.0
        self._woken = trio.Event()

    def note_request(self) -> None:
        """Note that a request came; the first one after a rest has upstreams asked at once."""
        self._woken.set()
        self._active_until = trio.current_time() + ACTIVE_SECONDS

    def note_begun(self, instance: str) -> None:
        """Note that this process sent a stream to an upstream."""
        self._begun_since[instance] = self._begun_since.get(instance, 0) + 1

    def requests(self, instance: str) -> float:
        """Return how many requests an upstream has as the first of their path, 0 if unknown."""
        load = self._known(instance)
        if load is None:
            return 0.0
        return load.running + load.queued + OWN_WEIGHT * self._begun_since.get(instance, 0)

    def cache_share(self, instance: str) -> float:
        """Return the part of its memory for requests that is taken where some queue, else 0."""
        load = self._known(instance)
        return load.cache_share if load is not None and load.queued else 0.0

    def _known(self, instance: str) -> FirstLoad | None:
        load = self._loads.get(instance)
        return load if load is not None and load.deadline >= trio.current_time() else None

    async def run(self) -> None:
        """Ask until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if trio.current_time() >= self._active_until:
                    self._woken = trio.Event()
                    await self._woken.wait()
                self._note_share()
                for upstream in self._firsts():
                    nursery.start_soon(self._ask, upstream)
                await trio.sleep(self._pause)

    @property
    def _pause(self) -> float:
        """The time between two questions to one upstream, seconds."""
        return min(LONGEST_ASK_SECONDS, self._traffic.spread(ASK_SECONDS, ASKING_SHARE))

    def _note_share(self) -> None:
        now = trio.current_time()
        known = {name: each for name, each in self._loads.items() if each.deadline >= now}
        if not known:
            return
        everybodys = sum(each.running + each.queued for each in known.values())
        self._traffic.note(sum(map(self._in_flight, known)), everybodys)

    async def _ask(self, upstream: Upstream) -> None:
        load = await self._control.load(upstream)
        if load is None:
            return
        self._begun_since.pop(upstream.instance, None)
        deadline = trio.current_time() + LIFETIME_PAUSES * self._pause
        share = load.cache_used / load.cache_total if load.cache_total else 0.0
        self._loads[upstream.instance] = FirstLoad(load.running, load.queued, share, deadline)
        if not self._traffic.measured:
            self._note_share()
