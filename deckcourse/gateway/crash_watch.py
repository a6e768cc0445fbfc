"""Detects requests that crash upstreams, publishes them to peers, and quarantines them.

A retry sends a faulty request to the next upstream, and so does its caller's next attempt, at any
process and under any request id. The evidence is therefore kept by the content of the request.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import trio

from deckcourse.decisions.quarantine import CONFIRMING_CRASHES
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.crash_book import CrashBook
from deckcourse.gateway.crash_check import CrashCheck
from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.part_evidence import PartEvidence
from deckcourse.gateway.quarantine_view import QuarantineView, quarantine_of
from deckcourse.gateway.upstream import Upstream
from deckcourse.peers.crash import Crash
from deckcourse.peers.gossip import PeerGossip

__all__ = ["AttemptStart", "CrashWatch"]

# Bound on the queue of broken attempts, far above the number that break off together.
MAX_QUEUED_BREAKS = 1024
# Bound on the crashed upstreams that are retained.
MAX_CRASHED_UPSTREAMS = 1024
# An upstream that left the probe unanswered counts as crashed if its row is removed, or a newer
# incarnation appears, within this time after the break, seconds: rows lapse after three reports.
UNANSWERED_TTL_SECONDS = 10.0
# A sound upstream may be silent for about a second: one whose row goes counts as crashed only if it
# has not answered for this time after the break, seconds. It is probed in this interval until then.
SILENT_SECONDS = 1.5
SILENT_PROBE_INTERVAL_SECONDS = 0.2
# Maximum time that a suspect request waits for another one's trial, seconds.
MAX_TRIAL_WAIT_SECONDS = 0.5
# Time for peers to report the other requests that a crashed upstream ran, seconds.
REPORT_WAIT_SECONDS = 0.005
# Time that a suspect request allows for each one that precedes it, seconds: a request that crashes
# an upstream does so within it. Suspects beyond this rank run together, since a first event must
# arrive within half a second.
TRIAL_SECONDS = 0.12
MAX_RANK = 3
# Crashes of parts that stay suspect for this time are stored, seconds: others are cleared by the
# next success of any request with them.
PART_ROW_DELAY_SECONDS = 0.5
# Interval between removals of rows that are no longer needed, seconds.
PRUNE_INTERVAL_SECONDS = 60.0


@dataclass(frozen=True)
class AttemptStart:
    """The start of an attempt at an upstream.

    `at` is its time on trio's clock, `known_crashes` the crash count of the request at that time,
    `known_part_crashes` that of each suspect part of its prompt.
    """

    at: float = 0.0
    known_crashes: int = 0
    known_part_crashes: Mapping[str, int] = field(default_factory=dict)


@dataclass
class _BrokenAttempt:
    """An attempt that broke off before its first event; `probed` is set after the probe.

    `broke_at` is on trio's clock.
    """

    identity: str
    start: AttemptStart
    upstream: Upstream
    has_layers: bool
    broke_at: float
    parts: tuple[str, ...] = ()
    probed: trio.Event = field(default_factory=trio.Event)


@dataclass
class _Trial:
    """The suspect requests in flight at an upstream that have had no event yet."""

    identities: set[str] = field(default_factory=set)
    finished: trio.Event = field(default_factory=trio.Event)


class CrashWatch:
    """Detects and quarantines requests that crash upstreams, for one process.

    Broken attempts are processed in the background, also if the request is cancelled meanwhile.

    Args:
      evidence: the crashes by request.
      parts: the crashes by part of the prompts.
      check: probes upstreams after a break.
      book: stores the crashes.
      gossip: publishes crashes to peers at once.
      count: increments a counter by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        parts: PartEvidence,
        check: CrashCheck,
        book: CrashBook,
        gossip: PeerGossip,
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._evidence = evidence
        self._parts = parts
        self._check = check
        self._book = book
        self._gossip = gossip
        self._count = count
        self._log = log
        self._send, self._broken_attempts = trio.open_memory_channel[_BrokenAttempt](
            MAX_QUEUED_BREAKS
        )
        # Broken attempts at upstreams that left the probe unanswered, and until when they count.
        self._unresolved: dict[str, tuple[list[_BrokenAttempt], float]] = {}
        # The upstreams with suspect requests in flight that have had no event yet.
        self._trials: dict[str, _Trial] = {}
        # When each upstream crashed, as far as this process knows, in the order of its knowledge.
        self._crashed_at: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None
        gossip.register_crash_handlers(
            self._on_peer_crash,
            lambda: [*evidence.crashes(), *parts.crashes()],
            self._on_peer_cleared,
        )

    def quarantined_until(self, admitted: Admitted) -> float | None:
        """Return when the quarantine of a request ends, on trio's clock; None if it may run."""
        until = self._parts.quarantined_until(admitted.parts) if self._parts else None
        # The usual case: no suspect requests at all.
        if until is not None or not self._evidence:
            return until
        until = self._evidence.quarantined_until(admitted.identity)
        if until is None and self._is_in_trial(admitted.identity):
            return trio.current_time() + MAX_TRIAL_WAIT_SECONDS
        return until

    def _is_in_trial(self, identity: str) -> bool:
        """Return whether a confirmed request is in flight again after its quarantine ended."""
        is_in_flight = any(identity in each.identities for each in self._trials.values())
        return is_in_flight and self._evidence.crash_count(identity) >= CONFIRMING_CRASHES

    def view(self) -> tuple[QuarantineView, ...]:
        """Return the evidence on each suspect request."""
        return quarantine_of(self._evidence, self._parts, trio.current_time())

    def release(self, identity: str) -> bool:
        """Clear a request or a part here and in the store; return whether it was suspect."""
        was_suspect = self._evidence.clear(identity) or self._parts.clear(identity)
        if was_suspect:
            self._log("crash-released", identity=identity)
            self._book.remove(identity)
        return was_suspect

    def crash_count(self, admitted: Admitted) -> int:
        """Return the number of crashes in the chain of a request."""
        return self._evidence.crash_count(admitted.identity) if self._evidence else 0

    def trial_upstreams(self) -> frozenset[str]:
        """Return the upstreams with suspect requests in flight that have had no event yet."""
        return frozenset(self._trials)

    async def wait_for_trial(self, admitted: Admitted, instance: str) -> bool:
        """If a request is suspect, wait while another suspect is in flight at its upstream.

        If the upstream crashed while it ran both, the crash would be evidence against neither.

        Returns:
          Whether it waited; if so, the caller must choose an upstream again.
        """
        trial = self._trials.get(instance)
        if trial is None or not self.crash_count(admitted) or admitted.identity in trial.identities:
            return False
        with trio.move_on_after(MAX_TRIAL_WAIT_SECONDS):
            await trial.finished.wait()
        return True

    async def wait_for_preceding_suspects(self, admitted: Admitted, instance: str) -> None:
        """Wait until the suspects of the same crash that precede a request have been retried.

        They may be at other processes. Retried at once, all would meet at the next upstream, and
        whichever of them crashed it, all would be suspect for the second time.
        """
        if not self.crash_count(admitted):
            return
        await trio.sleep(REPORT_WAIT_SECONDS)
        rank = min(MAX_RANK, self._evidence.rank(admitted.identity, instance))
        await trio.sleep(rank * TRIAL_SECONDS)

    def begin_attempt(self, admitted: Admitted, instance: str) -> AttemptStart:
        """Record that a request is sent to an upstream; return the start of the attempt."""
        known_crashes = self.crash_count(admitted)
        if known_crashes:
            self._trials.setdefault(instance, _Trial()).identities.add(admitted.identity)
        known_part_crashes: dict[str, int] = {}
        if self._parts:
            known_part_crashes = {each: self._parts.crash_count(each) for each in admitted.parts}
        return AttemptStart(trio.current_time(), known_crashes, known_part_crashes)

    def end_attempt(self, admitted: Admitted, instance: str) -> None:
        """End the trial of a request at an upstream: its outcome is known."""
        trial = self._trials.get(instance)
        if trial is None or admitted.identity not in trial.identities:
            return
        trial.identities.discard(admitted.identity)
        if not trial.identities:
            del self._trials[instance]
            trial.finished.set()

    def record_success(self, admitted: Admitted, instance: str, start: AttemptStart) -> None:
        """Record that an upstream ran a request and is alive, which clears the request.

        Args:
          admitted: the request.
          instance: the upstream.
          start: the start of the attempt.
        """
        # The response shows that the upstream had not ended when earlier attempts broke off.
        self._unresolved.pop(instance, None)
        # If the upstream had crashed before the attempt, its next start responded, whose row isn't
        # known yet: later attempts may crash that one.
        if start.at > self._crashed_at.get(instance, float("inf")):
            del self._crashed_at[instance]
        self._record_part_success(admitted)
        # Recorded for requests that aren't suspect, too: a request that many callers send is then
        # known to succeed, and a crash soon after doesn't make it suspect, however few of its
        # attempts are in flight by then.
        if self._evidence.record_success(admitted.identity):
            self._count("crash.cleared")
            self._log("crash-cleared", identity=admitted.identity)
            self._book.remove(admitted.identity)

    def _record_part_success(self, admitted: Admitted) -> None:
        """Clear the parts of a prompt; tell peers, whose requests may share them."""
        cleared = self._parts.record_success(admitted.parts) if admitted.parts else []
        for identity in cleared:
            self._count("crash.part-cleared")
            self._log("crash-part-cleared", identity=identity)
            self._book.remove(identity)
        if cleared and self._nursery is not None:
            self._nursery.start_soon(self._gossip.publish_cleared, cleared)

    def _on_peer_cleared(self, identity: str) -> None:
        """Clear a part with which a request succeeded at a peer."""
        self._parts.record_success((identity,))

    async def record_broken_attempt(
        self, admitted: Admitted, upstream: Upstream, start: AttemptStart
    ) -> None:
        """Record an attempt that broke off before its first event; return after the probe.

        Args:
          admitted: the request.
          upstream: the upstream that ran it.
          start: the start of the attempt.
        """
        has_layers = admitted.service.model is not None
        now = trio.current_time()
        broken = _BrokenAttempt(admitted.identity, start, upstream, has_layers, now, admitted.parts)
        try:
            self._send.send_nowait(broken)
        except trio.WouldBlock:
            self._count("crash.not-judged")
            return
        await broken.probed.wait()

    def note_ended(self, instance: str) -> None:
        """Record that an upstream ended: a newer incarnation is known."""
        self._attribute_crash(instance)

    def note_row_dropped(self, instance: str) -> None:
        """Record that the row of an upstream was dropped: it has ended unless it answers."""
        unresolved, _ = self._unresolved.get(instance, ([], 0.0))
        if self._nursery is None or not any(each.has_layers for each in unresolved):
            # A plain upstream that accepts connections can't be told from a proxy in front of it.
            self._attribute_crash(instance)
            return
        self._nursery.start_soon(self._resolve_dropped, instance)

    async def _resolve_dropped(self, instance: str) -> None:
        """Probe an upstream without a row until it answers, is dead or was silent for too long."""
        while instance in self._unresolved:
            latest = self._unresolved[instance][0][-1]
            result = await self._check.probe(latest.upstream, latest.has_layers)
            if result is ProbeResult.ALIVE:
                self._unresolved.pop(instance, None)
            is_silent_for_long = trio.current_time() >= latest.broke_at + SILENT_SECONDS
            if result is ProbeResult.DEAD or is_silent_for_long:
                self._attribute_crash(instance)
                return
            await trio.sleep(SILENT_PROBE_INTERVAL_SECONDS)

    def _attribute_crash(self, instance: str) -> list[Crash]:
        """Attribute the end of an upstream to the attempts that it was running.

        Attempts that started after the first break were sent to an upstream that had already ended:
        a proxy in front of it may still accept connections.

        Returns:
          The crashes that peers need to know.
        """
        unresolved, until = self._unresolved.pop(instance, ([], 0.0))
        if trio.current_time() >= until:
            return []
        first_break_at = min(each.broke_at for each in unresolved)
        self._put_crash_time(instance, first_break_at)
        running = [each for each in unresolved if each.start.at <= first_break_at]
        crashes = [self._record_crash(each) for each in running]
        part_crashes = [crash for each in running for crash in self._record_part_crashes(each)]
        return [*(each for each in crashes if each is not None), *part_crashes]

    async def run(self) -> None:
        """Process broken attempts and maintain the crash table until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._book.run)
                nursery.start_soon(self._prune_regularly)
                async for broken in self._broken_attempts:
                    nursery.start_soon(self._process_break, broken)
        finally:
            self._nursery = None

    async def _prune_regularly(self) -> None:
        while True:
            await trio.sleep(PRUNE_INTERVAL_SECONDS)
            self._book.prune()

    async def _process_break(self, broken: _BrokenAttempt) -> None:
        crashes: list[Crash] = []
        try:
            result = await self._check.probe(broken.upstream, broken.has_layers)
            if result in (ProbeResult.DEAD, ProbeResult.SILENT):
                self._defer(broken)
            if result is ProbeResult.DEAD:
                crashes = self._attribute_crash(broken.upstream.instance)
        finally:
            broken.probed.set()
        if crashes:
            await self._gossip.publish_crashes(crashes)

    async def _write_part_crashes(self, crashes: list[Crash]) -> None:
        """Store the crashes of parts that stay suspect for a while."""
        await trio.sleep(PART_ROW_DELAY_SECONDS)
        for crash in crashes:
            if crash.instance in self._parts.crashed_instances(crash.identity):
                self._book.write(crash)

    def _defer(self, broken: _BrokenAttempt) -> None:
        now = trio.current_time()
        self._unresolved = {name: each for name, each in self._unresolved.items() if each[1] > now}
        instance = broken.upstream.instance
        unresolved, _ = self._unresolved.get(instance, ([], 0.0))
        recent = [each for each in unresolved if now < each.broke_at + UNANSWERED_TTL_SECONDS]
        self._unresolved[instance] = [*recent, broken], now + UNANSWERED_TTL_SECONDS

    def _record_crash(self, broken: _BrokenAttempt) -> Crash | None:
        """Record a crash that this process detected; return it if peers need to know.

        An attempt that started after the crash didn't cause it: a proxy in front of an ended
        upstream may still accept connections.
        """
        instance = broken.upstream.instance
        crashed_at = self._crashed_at.get(instance, float("inf"))
        if broken.start.at > crashed_at or self._evidence.succeeded_recently(broken.identity):
            return None
        crash = Crash(broken.identity, instance, broken.start.known_crashes)
        self._merge_crash(crash)
        self._book.write(crash)
        return crash

    def _record_part_crashes(self, broken: _BrokenAttempt) -> list[Crash]:
        """Record a crash for each shared part of a prompt; return those that peers need to know."""
        instance = broken.upstream.instance
        if broken.start.at > self._crashed_at.get(instance, float("inf")):
            return []
        known = broken.start.known_part_crashes
        crashes = [Crash(each, instance, known.get(each, 0), is_part=True) for each in broken.parts]
        new_crashes = [each for each in crashes if self._merge_part_crash(each)]
        if new_crashes and self._nursery is not None:
            self._nursery.start_soon(self._write_part_crashes, new_crashes)
        return new_crashes

    def _merge_part_crash(self, crash: Crash) -> bool:
        """Merge a crash with a part; return whether it is new."""
        if not self._parts.record(crash):
            return False
        self._count("crash.part-found")
        ends = self._parts.crash_count(crash.identity)
        self._log("crash-part", identity=crash.identity, instance=crash.instance, ends=ends)
        return True

    def _on_peer_crash(self, crash: Crash) -> None:
        """Merge a crash that a peer reported, unless the request was cleared since."""
        if crash.is_part:
            self._merge_part_crash(crash)
        elif not self._evidence.was_just_cleared(crash.identity):
            self._merge_crash(crash)

    def _merge_crash(self, crash: Crash) -> None:
        """Merge a crash that this process or a peer detected."""
        self._put_crash_time(crash.instance, trio.current_time())
        if self._evidence.succeeded_recently(crash.identity) or not self._evidence.record(crash):
            return
        self._count("crash.found")
        ends = self._evidence.crash_count(crash.identity)
        self._log("crash", identity=crash.identity, instance=crash.instance, ends=ends)

    def _put_crash_time(self, instance: str, at: float) -> None:
        """Record when an upstream crashed, unless that is known."""
        self._crashed_at.setdefault(instance, at)
        while len(self._crashed_at) > MAX_CRASHED_UPSTREAMS:
            del self._crashed_at[next(iter(self._crashed_at))]
