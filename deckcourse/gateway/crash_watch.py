"""Requests under which upstreams ended: found out, told to others, and refused.

A retry carries a fault of the request on to the next upstream, and so does its caller's next
attempt, at any process and under any id. So what is remembered goes by what the request is.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.crash_book import CrashBook
from deckcourse.gateway.crash_check import CrashCheck
from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.dialect import Pulse
from deckcourse.gateway.upstream import Upstream
from deckcourse.peers.crash import Crash
from deckcourse.peers.gossip import PeerGossip

__all__ = ["CrashWatch"]

# Runs that wait to be looked at, at the most: far more than break off together.
MOST_WAITING = 1024
# An upstream that said nothing when it was asked has ended if its row goes, or a newer start is
# known, within so long after the connection broke, seconds: rows lapse after three reports.
DOUBT_SECONDS = 10.0
# Between two looks for rows that nobody needs any more, seconds.
TIDY_SECONDS = 60.0


@dataclass
class _Break:
    """A run that broke off before it brought anything; `looked_at` is set once that is judged."""

    identity: str
    known_ends: int
    upstream: Upstream
    looked_at: trio.Event = field(default_factory=trio.Event)


class CrashWatch:
    """What one process does about requests under which upstreams end.

    The work goes on where the request that tells of a break is cancelled meanwhile.

    Args:
      evidence: what is known of requests.
      check: tells whether an upstream ended.
      book: keeps what is known in the store.
      gossip: tells others at once.
      count: counts by name.
      log: writes decisions.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        check: CrashCheck,
        book: CrashBook,
        gossip: PeerGossip,
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._evidence = evidence
        self._check = check
        self._book = book
        self._gossip = gossip
        self._count = count
        self._log = log
        self._send, self._breaks = trio.open_memory_channel[_Break](MOST_WAITING)
        # What broke off at upstreams that said nothing, and until when that counts.
        self._doubted: dict[str, tuple[list[_Break], float]] = {}
        # The upstreams where requests under suspicion run now and have brought nothing yet.
        self._on_trial: dict[str, set[str]] = defaultdict(set)
        gossip.listen(self._hear)

    def refused_until(self, admitted: Admitted) -> float | None:
        """Return until when a request is refused, on trio's clock; None where it may run."""
        # Nothing is worked out where nothing is known, as on all but few days.
        return self._evidence.refused_until(admitted.identity) if self._evidence else None

    def known_ends(self, admitted: Admitted) -> int:
        """Return how many upstreams ended under a request, one after the other."""
        return self._evidence.ends(admitted.identity) if self._evidence else 0

    def trial_upstreams(self) -> frozenset[str]:
        """Return the upstreams where requests under suspicion have brought nothing yet."""
        return frozenset(self._on_trial)

    def begin_trial(self, admitted: Admitted, instance: str) -> None:
        """Note that a request is sent to an upstream, which counts where it is under suspicion."""
        if self.known_ends(admitted):
            self._on_trial[instance].add(admitted.identity)

    def end_trial(self, admitted: Admitted, instance: str) -> None:
        """Note that what is to be learned of a request at an upstream is known."""
        if instance in self._on_trial:
            self._on_trial[instance].discard(admitted.identity)
            if not self._on_trial[instance]:
                del self._on_trial[instance]

    def note_ran(self, admitted: Admitted) -> None:
        """Note that an upstream ran a request and is there: it did nothing to the others."""
        if self._evidence and self._evidence.note_ran(admitted.identity):
            self._count("crash.cleared")
            self._log("crash-cleared", identity=admitted.identity)
            self._book.remove(admitted.identity)

    async def note_broken(self, admitted: Admitted, upstream: Upstream, known_ends: int) -> None:
        """Note that a run broke off before it brought anything; return once that is judged.

        Args:
          admitted: the request.
          upstream: where it ran.
          known_ends: how many upstreams were known to have ended under it when it was sent.
        """
        broken = _Break(admitted.identity, known_ends, upstream)
        try:
            self._send.send_nowait(broken)
        except trio.WouldBlock:
            self._count("crash.not-judged")
            return
        await broken.looked_at.wait()

    def note_ended(self, instance: str) -> None:
        """Note that an upstream is gone, by its row or by a newer start."""
        doubted, until = self._doubted.pop(instance, ([], 0.0))
        if trio.current_time() < until:
            for broken in doubted:
                self._found(Crash(broken.identity, instance, broken.known_ends))

    async def run(self) -> None:
        """Judge breaks and keep the table until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._book.run)
            nursery.start_soon(self._tidy)
            async for broken in self._breaks:
                nursery.start_soon(self._judge, broken)

    async def _tidy(self) -> None:
        while True:
            await trio.sleep(TIDY_SECONDS)
            self._book.tidy()

    async def _judge(self, broken: _Break) -> None:
        upstream = broken.upstream
        try:
            pulse = await self._check.pulse(upstream)
            if pulse is Pulse.DEAD:
                crash = Crash(broken.identity, upstream.instance, broken.known_ends)
                self._found(crash)
            elif pulse is Pulse.SILENT:
                self._doubt(broken)
        finally:
            broken.looked_at.set()
        if pulse is Pulse.DEAD:
            await self._gossip.tell_crash(crash)

    def _doubt(self, broken: _Break) -> None:
        now = trio.current_time()
        self._doubted = {name: each for name, each in self._doubted.items() if each[1] > now}
        instance = broken.upstream.instance
        doubted, _ = self._doubted.get(instance, ([], 0.0))
        self._doubted[instance] = [*doubted, broken], now + DOUBT_SECONDS

    def _found(self, crash: Crash) -> None:
        """Take in an end that this process saw."""
        if not self._evidence.is_disproved(crash.identity):
            self._hear(crash)
            self._book.write(crash)

    def _hear(self, crash: Crash) -> None:
        """Take in an end that this process or another one saw."""
        if self._evidence.is_disproved(crash.identity) or not self._evidence.note(crash):
            return
        self._count("crash.found")
        ends = self._evidence.ends(crash.identity)
        self._log("crash", identity=crash.identity, instance=crash.instance, ends=ends)
