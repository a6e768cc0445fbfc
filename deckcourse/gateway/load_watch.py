"""How much the first upstreams of paths have to do, asked by few processes for all of them.

Load pattern: a process that sees one request a second learns of a full upstream by its own refusal,
while its choice is as old as its last question. Those that follow the store for their domain ask
its first upstreams often, others seldom, and pass the answers on; what an upstream says counts all
processes' requests, so that choices agree. Between two answers the own new requests are added.
"""

from collections.abc import Callable

import trio

from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.peers.loads import LoadBoard, LoadRow

__all__ = ["LoadWatch"]

# Between two questions to an upstream of the own failure domain, seconds; its answer is 0.2 s old.
ASK_SECONDS = 0.4
# Upstreams of other domains, which requests take only where the own one is full, are asked each so
# many rounds.
FAR_ROUNDS = 4
# Upstreams are asked while a request came in the last so many seconds, or while they have any.
ACTIVE_SECONDS = 2.0
# What all processes together send may be so many times the own: one in so many is this one. The
# streams that this process began since the last answer count so often.
OWN_WEIGHT = 3.0


class LoadWatch:
    """Keeps the newest answers.

    Args:
      control: asks an upstream.
      domain: the failure domain of this process.
      firsts: returns the upstreams that can be the first of a path.
      in_flight: returns this process's own requests at an upstream.
      traffic: gets what the answers tell of this process's part of all traffic.
      board: what is known of loads, by this process or from others.
      asks: returns whether this process asks upstreams, for itself and for others.
      standing: returns how many requests all processes have at the first upstreams, each once.
      is_limited: returns whether an upstream is rate limited; questions would use up its limit.
    """

    def __init__(
        self,
        control: StreamControl,
        domain: str,
        firsts: Callable[[], list[Upstream]],
        in_flight: Callable[[str], int],
        traffic: TrafficShare,
        board: LoadBoard,
        asks: Callable[[], bool],
        standing: Callable[[], float],
        is_limited: Callable[[str], bool] = lambda instance: False,
    ) -> None:
        self._control = control
        self._domain = domain
        self._firsts = firsts
        self._in_flight = in_flight
        self._traffic = traffic
        self._board = board
        self._asks = asks
        self._standing = standing
        self._is_limited = is_limited
        # For each upstream the streams begun here since an answer, and when that was asked for.
        self._begun_since: dict[str, tuple[float, int]] = {}
        self._active_until = 0.0
        self._rounds = 0
        self._woken = trio.Event()

    def note_request(self) -> None:
        """Note that a request came; the first one after a rest has upstreams asked at once."""
        self._woken.set()
        self._active_until = trio.current_time() + ACTIVE_SECONDS

    def note_begun(self, instance: str) -> None:
        """Note that this process sent a stream to an upstream."""
        at, count = self._since(instance)
        self._begun_since[instance] = at, count + 1

    def _since(self, instance: str) -> tuple[float, int]:
        """Return when the newest answer of an upstream was asked for, and the streams since."""
        row = self._board.known(instance)
        at = row.at if row is not None else float("-inf")
        known = self._begun_since.get(instance, (at, 0))
        return known if known[0] == at else (at, 0)

    def told(self, instance: str) -> float:
        """Return all that runs and waits at an upstream by its own word, 0 if unknown."""
        row = self._board.known(instance)
        return row.requests if row is not None else 0.0

    def running(self, instance: str) -> float:
        """Return how many streams run at an upstream, begun there or passing, 0 if unknown."""
        row = self._board.known(instance)
        return row.running if row is not None else 0.0

    def waiting(self, instance: str) -> float:
        """Return how many requests wait to begin at an upstream, or were just sent."""
        row = self._board.known(instance)
        return row.queued + OWN_WEIGHT * self._since(instance)[1] if row is not None else 0.0

    def cache_share(self, instance: str) -> float:
        """Return the part of its memory for requests that is taken where some queue, else 0."""
        row = self._board.known(instance)
        return row.cache_share if row is not None and row.queued else 0.0

    async def run(self) -> None:
        """Ask until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._is_active():
                    self._woken = trio.Event()
                    await self._woken.wait()
                self._note_share()
                if self._asks():
                    self._ask_round(nursery)
                await trio.sleep(ASK_SECONDS)

    def _is_active(self) -> bool:
        busy = any(each.requests for each in self._board.all())
        return busy or trio.current_time() < self._active_until

    def _ask_round(self, nursery: trio.Nursery) -> None:
        for upstream in self._firsts():
            if self._is_limited(upstream.instance):
                continue
            if upstream.domain == self._domain or self._rounds % FAR_ROUNDS == 0:
                nursery.start_soon(self._ask, upstream)
        self._rounds += 1

    def _note_share(self) -> None:
        known = self._board.all()
        if known:
            own = sum(self._in_flight(each.instance) for each in known)
            self._traffic.note(own, round(self._standing()))

    async def _ask(self, upstream: Upstream) -> None:
        asked_at = trio.current_time()
        load = await self._control.load(upstream)
        if load is None:
            return
        share = load.cache_used / load.cache_total if load.cache_total else 0.0
        row = LoadRow(upstream.instance, load.running, load.queued, share, asked_at)
        self._board.note(row)
        if not self._traffic.measured:
            self._note_share()
