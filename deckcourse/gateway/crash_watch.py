"""Requests under which upstreams ended: found out, told to others, and refused.

A retry carries a fault of the request on to the next upstream, and so does its caller's next
attempt, at any process and under any id. So what is remembered goes by what the request is.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from deckcourse.decisions.quarantine import CONVICTING_ENDS
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.crash_book import CrashBook
from deckcourse.gateway.crash_check import CrashCheck
from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.dialect import Pulse
from deckcourse.gateway.quarantine_view import QuarantineView, quarantine_of
from deckcourse.gateway.upstream import Upstream
from deckcourse.peers.crash import Crash
from deckcourse.peers.gossip import PeerGossip

__all__ = ["CrashWatch", "RunStart"]

# Runs that wait to be looked at, at the most: far more than break off together.
MOST_WAITING = 1024
# Ends of upstreams that are remembered at the most.
MOST_ENDED = 1024
# An upstream that said nothing when it was asked has ended if its row goes, or a newer start is
# known, within so long after the connection broke, seconds: rows lapse after three reports.
DOUBT_SECONDS = 10.0
# For how long a request under suspicion waits for its turn at the most, seconds.
LONGEST_TRIAL_SECONDS = 0.5
# Until others have told of who else was at an upstream that ended, seconds.
HEARD_SECONDS = 0.005
# What a request under suspicion leaves to each that goes before it, seconds: whatever ends an
# upstream that begins to run it does so in this time. Of more than so many the rest go together:
# a first event must come within half a second.
TURN_SECONDS = 0.12
MOST_PLACES = 3
# Between two looks for rows that nobody needs any more, seconds.
TIDY_SECONDS = 60.0


@dataclass(frozen=True)
class RunStart:
    """The beginning of a run of a request at an upstream.

    `at` is on trio's clock, `known_ends` how many upstreams were known to have ended under the
    request by then.
    """

    at: float = 0.0
    known_ends: int = 0


@dataclass
class _Break:
    """A run that broke off before it brought anything; `looked_at` is set once that is judged.

    `broke_at` is on trio's clock.
    """

    identity: str
    start: RunStart
    upstream: Upstream
    has_layers: bool
    broke_at: float
    looked_at: trio.Event = field(default_factory=trio.Event)


@dataclass
class _Trial:
    """The requests under suspicion that run at an upstream and have brought nothing yet."""

    identities: set[str] = field(default_factory=set)
    over: trio.Event = field(default_factory=trio.Event)


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
        self._trials: dict[str, _Trial] = {}
        # When this process learned of each end, the latest at the end.
        self._ended_at: dict[str, float] = {}
        gossip.share_crashes(self._hear_others, evidence.crashes)

    def refused_until(self, admitted: Admitted) -> float | None:
        """Return until when a request is refused, on trio's clock; None where it may run."""
        # Nothing is worked out where nothing is known, as on all but few days.
        if not self._evidence:
            return None
        until = self._evidence.refused_until(admitted.identity)
        if until is None and self._is_tried(admitted.identity):
            return trio.current_time() + LONGEST_TRIAL_SECONDS
        return until

    def _is_tried(self, identity: str) -> bool:
        """Return whether a convicted request, whose time is over, is tried once more just now."""
        tried = any(identity in each.identities for each in self._trials.values())
        return tried and self._evidence.ends(identity) >= CONVICTING_ENDS

    def view(self) -> tuple[QuarantineView, ...]:
        """Return what is known of each request."""
        return quarantine_of(self._evidence, trio.current_time())

    def release(self, identity: str) -> bool:
        """Forget what is known of a request, here and by its rows; return whether there was any."""
        known = self._evidence.clear(identity)
        if known:
            self._log("crash-released", identity=identity)
            self._book.remove(identity)
        return known

    def known_ends(self, admitted: Admitted) -> int:
        """Return how many upstreams ended under a request, one after the other."""
        return self._evidence.ends(admitted.identity) if self._evidence else 0

    def trial_upstreams(self) -> frozenset[str]:
        """Return the upstreams where requests under suspicion have brought nothing yet."""
        return frozenset(self._trials)

    async def wait_for_turn(self, admitted: Admitted, instance: str) -> bool:
        """Wait while another request under suspicion runs where this one would, if it is under it.

        Were two of them there at its end, it would tell nothing of either.

        Returns:
          Whether it waited: an upstream is to be chosen anew.
        """
        trial = self._trials.get(instance)
        if trial is None or not self.known_ends(admitted) or admitted.identity in trial.identities:
            return False
        with trio.move_on_after(LONGEST_TRIAL_SECONDS):
            await trial.over.wait()
        return True

    async def wait_behind_others(self, admitted: Admitted, instance: str) -> None:
        """Wait until those that were at an ended upstream as well, and go before, have been tried.

        They may be at other processes: tried at once, all would be together at the next upstream,
        and whichever of them ends it, all would be under suspicion for the second time.
        """
        if not self.known_ends(admitted):
            return
        await trio.sleep(HEARD_SECONDS)
        place = min(MOST_PLACES, self._evidence.place(admitted.identity, instance))
        await trio.sleep(place * TURN_SECONDS)

    def begin_run(self, admitted: Admitted, instance: str) -> RunStart:
        """Note that a request is sent to an upstream; return what is known of it by then."""
        known_ends = self.known_ends(admitted)
        if known_ends:
            self._trials.setdefault(instance, _Trial()).identities.add(admitted.identity)
        return RunStart(trio.current_time(), known_ends)

    def end_run(self, admitted: Admitted, instance: str) -> None:
        """Note that what is to be learned of a request at an upstream is known."""
        trial = self._trials.get(instance)
        if trial is None or admitted.identity not in trial.identities:
            return
        trial.identities.discard(admitted.identity)
        if not trial.identities:
            del self._trials[instance]
            trial.over.set()

    def note_ran(self, admitted: Admitted, instance: str) -> None:
        """Note that an upstream ran a request and is there: it did nothing to the others."""
        # An answer shows that the upstream had not ended when earlier runs broke off.
        self._doubted.pop(instance, None)
        # Always noted: a request that many callers send is known to run well before an upstream
        # ends under it, however few of them are there at the next end.
        if self._evidence.note_ran(admitted.identity):
            self._count("crash.cleared")
            self._log("crash-cleared", identity=admitted.identity)
            self._book.remove(admitted.identity)

    async def note_broken(self, admitted: Admitted, upstream: Upstream, start: RunStart) -> None:
        """Note that a run broke off before it brought anything; return once that is judged.

        Args:
          admitted: the request.
          upstream: where it ran.
          start: the run's beginning.
        """
        has_layers = admitted.service.model is not None
        now = trio.current_time()
        broken = _Break(admitted.identity, start, upstream, has_layers, now)
        try:
            self._send.send_nowait(broken)
        except trio.WouldBlock:
            self._count("crash.not-judged")
            return
        await broken.looked_at.wait()

    def note_ended(self, instance: str) -> None:
        """Note that an upstream is gone, by its row or by a newer start."""
        doubted, until = self._doubted.pop(instance, ([], 0.0))
        if trio.current_time() >= until:
            return
        # Runs that began after the first break were sent to an upstream that had already ended:
        # a proxy in front of it may still accept connections.
        first_break_at = min(each.broke_at for each in doubted)
        for broken in doubted:
            if broken.start.at <= first_break_at:
                self._found(broken)

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
        crash: Crash | None = None
        try:
            pulse = await self._check.pulse(broken.upstream, broken.has_layers)
            if pulse is Pulse.DEAD:
                crash = self._found(broken)
            elif pulse is Pulse.SILENT:
                self._doubt(broken)
        finally:
            broken.looked_at.set()
        if crash is not None:
            await self._gossip.tell_crash(crash)

    def _doubt(self, broken: _Break) -> None:
        now = trio.current_time()
        self._doubted = {name: each for name, each in self._doubted.items() if each[1] > now}
        instance = broken.upstream.instance
        doubted, _ = self._doubted.get(instance, ([], 0.0))
        recent = [each for each in doubted if now < each.broke_at + DOUBT_SECONDS]
        self._doubted[instance] = [*recent, broken], now + DOUBT_SECONDS

    def _found(self, broken: _Break) -> Crash | None:
        """Take in an end that this process saw; return what others are to be told, if anything.

        What was sent to an upstream that had ended did not end it: whatever stands before one may
        take connections on.
        """
        instance = broken.upstream.instance
        ended_at = self._ended_at.get(instance, float("inf"))
        if broken.start.at > ended_at or self._evidence.is_disproved(broken.identity):
            return None
        crash = Crash(broken.identity, instance, broken.start.known_ends)
        self._hear(crash)
        self._book.write(crash)
        return crash

    def _hear_others(self, crash: Crash) -> None:
        """Take in an end that another process tells of, unless that is no longer true."""
        if not self._evidence.is_outdated(crash.identity):
            self._hear(crash)

    def _hear(self, crash: Crash) -> None:
        """Take in an end that this process or another one saw."""
        self._ended_at.setdefault(crash.instance, trio.current_time())
        while len(self._ended_at) > MOST_ENDED:
            del self._ended_at[next(iter(self._ended_at))]
        if self._evidence.is_disproved(crash.identity) or not self._evidence.note(crash):
            return
        self._count("crash.found")
        ends = self._evidence.ends(crash.identity)
        self._log("crash", identity=crash.identity, instance=crash.instance, ends=ends)
