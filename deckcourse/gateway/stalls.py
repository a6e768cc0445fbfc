"""Detects stalled streams, finds the blocking upstream and moves the streams to other paths.

The moves themselves are in `stream_moves`, the check of reported upstreams in `reported_losses`.
For a stalled stream, the monitor queries the first upstream of its path, which reports the upstream
that the stream waits for. All streams that pass the blocking upstream are moved to other paths. If
the first upstream doesn't answer, its streams are restarted on other paths.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import trio

from deckcourse.decisions.loss_reports import Evidence
from deckcourse.gateway.active_stream import ActiveStream, Interruption
from deckcourse.gateway.dialect import ProbeResult, StreamControl
from deckcourse.gateway.loss_port import NO_REPORTS, LossReports
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.reported_losses import ReportedLosses
from deckcourse.gateway.stream_moves import NO_SPREAD, OnwardSpread, StreamMover
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["StallMonitor"]

# Shortest and longest interval between two checks of the streams; the next check is due when the
# next stream can become stalled.
MIN_CHECK_INTERVAL_SECONDS = 0.012
MAX_CHECK_INTERVAL_SECONDS = 0.06
# A live upstream answers a probe within 3 ms; one that misses the first timeout and then the second
# is suspected.
PROBE_TIMEOUT_SECONDS = 0.015
SECOND_PROBE_TIMEOUT_SECONDS = 0.025
# A suspected upstream that doesn't answer within this timeout either is confirmed lost: a loaded
# machine or a lost packet delays an answer by less. Probes are repeated in this interval, since the
# upstream may only have paused.
CONFIRMING_PROBE_TIMEOUT_SECONDS = 0.1
CONFIRMING_PROBE_INTERVAL_SECONDS = 0.4
# An upstream that answers no probe and sends no event for this time has ended or is cut off: sound
# ones are silent for about a second. The platform counts a machine without a path for this time as
# out of contact.
CUT_OFF_SECONDS = 3.0
# If more than this share of a path's upstreams is silent, this process is probably isolated itself.
ISOLATION_SHARE = 0.5
# A check that runs this much too late shows that this process itself was paused: data that waits
# in its sockets is read first.
PROCESS_PAUSE_SECONDS = 0.1
# Interval between queries to an upstream; it grows to the maximum while queries report no blocking
# upstream.
MIN_QUERY_INTERVAL_SECONDS = 0.06
MAX_QUERY_INTERVAL_SECONDS = 0.8
# Queries before the interval grows, since a report can be 0.2 s old. Later stages are probed with
# the first of every this many queries.
QUERIES_BEFORE_BACKOFF = 5
# Streams interrupted by the same loss have their last events within this time (two average gaps): a
# later event of another stream shows that the upstreams of its path are alive.
SAME_LOSS_SECONDS = 0.05
# Shortest interval between two probes of one upstream, however many streams are stalled.
PROBE_INTERVAL_SECONDS = 0.4
# How long a suspected upstream gets no new requests: by then its row is gone or it has restarted.
SUSPICION_TTL_SECONDS = 4.0
# Consecutive unanswered queries after which the first upstream itself is suspected.
MAX_UNANSWERED_QUERIES = 2
# A stream waits this long for its next event at an upstream that answers queries and reports no
# blocking one. After that its connection may have gone silent for good, which no reset tells; its
# caller abandons it after two seconds.
SILENT_CONNECTION_SECONDS = 1.5
# Shortest interval between log entries about a blocking upstream that answers probes.
STALL_LOG_INTERVAL_SECONDS = 1.0


@dataclass
class _QueryState:
    """The state of the queries to one first upstream."""

    next_at: float = 0.0
    interval: float = MIN_QUERY_INTERVAL_SECONDS
    unanswered: int = 0
    queries: int = 0
    is_in_flight: bool = False


class StallMonitor:
    """Monitors all streams of this process for stalls.

    Args:
      upstreams: the upstreams that this process knows; suspicions are recorded there.
      control: queries upstreams, probes them and moves streams.
      choices: returns the path choice of a service.
      on_suspected: called with the failure domain of each upstream that is suspected.
      count: increments the counter of a name.
      log: writes an entry to the decision log.
      spread: how moved streams are spread over several paths.
      losses: receives what is observed about upstreams, and tells what others have confirmed.
      on_unreachable: called with each upstream that answered no probes.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        control: StreamControl,
        choices: Callable[[str], PathChoice],
        on_suspected: Callable[[str], None],
        count: Callable[[str], None],
        log: Callable[..., None],
        spread: OnwardSpread = NO_SPREAD,
        losses: LossReports = NO_REPORTS,
        on_unreachable: Callable[[Upstream], None] = lambda upstream: None,
    ) -> None:
        self._upstreams = upstreams
        self._control = control
        self._choices = choices
        self._on_suspected = on_suspected
        self._count = count
        self._log = log
        self._losses = losses
        self._on_unreachable = on_unreachable
        self._streams: set[ActiveStream] = set()
        self._mover = StreamMover(
            self._streams, upstreams, control, choices, spread, losses, count, log
        )
        self._query_states: dict[str, _QueryState] = defaultdict(_QueryState)
        self._next_probe_at: dict[str, float] = {}
        self._next_stall_log_at: dict[str, float] = {}
        self._confirming: set[str] = set()
        self._reported = ReportedLosses(
            self._streams,
            upstreams,
            self._mover,
            self._probe_now,
            self._suspect,
            self._interrupt_streams_of,
            ISOLATION_SHARE,
            count,
            log,
        )
        self._nursery: trio.Nursery | None = None

    def add(self, stream: ActiveStream) -> None:
        """Start monitoring a stream."""
        self._streams.add(stream)

    def discard(self, stream: ActiveStream) -> None:
        """Stop monitoring a stream that its upstream no longer holds."""
        stream.has_ended = True
        self._streams.discard(stream)

    def note_ended(self, upstream: Upstream) -> None:
        """Interrupt or move the streams of an ended incarnation: the next one doesn't hold them."""
        if any(each.path.stages[0].instance == upstream.instance for each in self._streams):
            self._interrupt_streams_of(upstream.instance, "restarted")
        if self._nursery is not None:
            self._nursery.start_soon(self._move_all)

    def check_upstream(self, instance: str, confirmed: bool = False) -> None:
        """Check an upstream that a peer or a connection watch reports as lost.

        If own streams pass it, it is probed at once, and they are moved unless it answers. With
        `onward_spread`, the streams of one that is confirmed to have ended are moved without a
        probe.
        """
        if self._nursery is not None:
            confirmed = confirmed or self._losses.has_ended(instance)
            self._reported.check(instance, confirmed, self._nursery)

    async def run(self) -> None:
        """Monitor streams until cancelled."""
        due_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._mover.search_ahead)
            while True:
                now = trio.current_time()
                if now - due_at < PROCESS_PAUSE_SECONDS:
                    self._check_streams(nursery, now)
                else:
                    self._log("paused", seconds=round(now - due_at, 3))
                due_at = now + self._seconds_until_check(now)
                await trio.sleep_until(due_at)

    def _seconds_until_check(self, now: float) -> float:
        """Return the seconds until the next stream can become stalled, within the bounds."""
        moments = [
            each.stalled_at
            for each in self._streams
            if each.is_waiting and each.interruption is None and not each.is_moving
        ]
        earliest = min(moments, default=now + MAX_CHECK_INTERVAL_SECONDS)
        return max(MIN_CHECK_INTERVAL_SECONDS, min(MAX_CHECK_INTERVAL_SECONDS, earliest - now))

    def _check_streams(self, nursery: trio.Nursery, now: float) -> None:
        stalled_firsts = {
            each.path.stages[0].instance for each in self._streams if each.is_stalled(now)
        }
        for instance in list(self._query_states):
            if instance not in stalled_firsts and not self._query_states[instance].is_in_flight:
                del self._query_states[instance]
        for instance in stalled_firsts:
            query_state = self._query_states[instance]
            if not query_state.is_in_flight and now >= query_state.next_at:
                query_state.is_in_flight = True
                nursery.start_soon(self._query, instance, query_state)

    async def _query(self, instance: str, query_state: _QueryState) -> None:
        try:
            # A missing row doesn't mean that its streams are lost: some upstreams keep serving.
            upstream = self._upstreams.last_known(instance)
            if upstream is None:
                self._interrupt_streams_of(instance, "gone")
                return
            query_state.queries += 1
            async with trio.open_nursery() as nursery:
                if query_state.queries % QUERIES_BEFORE_BACKOFF == 1:
                    nursery.start_soon(self._probe_later_stages, instance)
                nursery.start_soon(self._query_first, upstream, query_state)
        finally:
            query_state.is_in_flight = False
            query_state.next_at = trio.current_time() + query_state.interval

    async def _query_first(self, upstream: Upstream, query_state: _QueryState) -> None:
        report = await self._control.query_stalled(upstream)
        if report is not None and not report.was_sent:
            return
        if report is None:
            query_state.unanswered += 1
            if query_state.unanswered >= MAX_UNANSWERED_QUERIES:
                self._suspect(upstream)
                self._interrupt_streams_of(upstream.instance, "silent")
        else:
            query_state.unanswered = 0
            self._upstreams.record_pace(upstream.instance, report.pace)
            await self._handle_report(upstream, report.blocking_addresses, query_state)

    async def _probe_later_stages(self, first: str) -> None:
        """Probe the upstreams behind a first stage that may block its stalled streams."""
        instances = self._find_possible_blockers(first)
        lost: list[tuple[Upstream, ProbeResult]] = []
        async with trio.open_nursery() as nursery:
            for upstream in self._due_for_probe(instances):
                nursery.start_soon(self._probe, upstream, lost)
        if not lost or len(lost) > max(1, ISOLATION_SHARE * len(instances)):
            return
        for upstream, pulse in lost:
            self._suspect(upstream)
            self._log(
                "pulse", instance=upstream.instance, address=upstream.address, pulse=str(pulse)
            )
        await self._move_all()

    def _find_possible_blockers(self, first: str) -> set[str]:
        """Return the upstreams behind a first stage that may block its stalled streams.

        Upstreams on the path of a stream with later events are alive: the stalled stream waits for
        something else, such as the prompt of another request.
        """
        now = trio.current_time()
        possible_blockers: set[str] = set()
        for stream in self._streams:
            if stream.path.stages[0].instance == first and stream.is_stalled(now):
                later_stages = {part.instance for part in stream.path.stages[1:]}
                possible_blockers |= later_stages - self._with_events_since(
                    stream.progress_at + SAME_LOSS_SECONDS
                )
        return possible_blockers

    def _with_events_since(self, moment: float) -> set[str]:
        """Return the upstreams on the paths of all streams with an event after a moment."""
        return {
            part.instance
            for stream in self._streams
            if stream.has_events and stream.progress_at > moment
            for part in stream.path.stages
        }

    def _due_for_probe(self, instances: set[str]) -> list[Upstream]:
        """Return the upstreams that may be probed now, and record them as probed."""
        now = trio.current_time()
        self._next_probe_at = {
            instance: at for instance, at in self._next_probe_at.items() if at > now
        }
        due = []
        for instance in instances:
            upstream = self._upstreams.last_known(instance)
            if upstream is None or self._upstreams.is_suspected(instance):
                continue
            if instance not in self._next_probe_at:
                self._next_probe_at[instance] = now + PROBE_INTERVAL_SECONDS
                due.append(upstream)
        return due

    async def _probe(
        self, upstream: Upstream, lost: list[tuple[Upstream, ProbeResult]], once: bool = False
    ) -> ProbeResult:
        """Probe one upstream; append it to `lost` unless it answers. Return the result.

        Args:
          upstream: the upstream.
          lost: receives the upstream and the result.
          once: whether not to probe a silent upstream again, since others have done so.
        """
        reply = await self._control.probe(upstream, PROBE_TIMEOUT_SECONDS)
        if reply.result is ProbeResult.SILENT and not once:
            reply = await self._control.probe(upstream, SECOND_PROBE_TIMEOUT_SECONDS)
        if reply.result is ProbeResult.ALIVE:
            self._upstreams.record_pace(upstream.instance, reply.pace)
        elif reply.result is not ProbeResult.NOT_SENT:
            lost.append((upstream, reply.result))
        return reply.result

    async def _move_all(self) -> None:
        await self._mover.move_all()

    async def _probe_now(self, upstream: Upstream) -> ProbeResult:
        """Probe an upstream at once; events over it meanwhile show as well that it is alive."""
        probed_at = trio.current_time()
        once = self._losses.is_confirmed(upstream.instance)
        result = await self._probe(upstream, [], once)
        events_since = self._with_events_since(probed_at + PROBE_TIMEOUT_SECONDS)
        if result is ProbeResult.SILENT and upstream.instance in events_since:
            return ProbeResult.ALIVE
        return result

    def _suspect(self, upstream: Upstream) -> None:
        self._upstreams.suspect(upstream.instance, SUSPICION_TTL_SECONDS)
        self._on_suspected(upstream.domain)
        self._losses.report(upstream.instance, Evidence.SILENT)
        self._on_unreachable(upstream)
        if upstream.instance not in self._confirming and self._nursery is not None:
            self._confirming.add(upstream.instance)
            self._nursery.start_soon(self._confirm_suspicion, upstream)

    async def _confirm_suspicion(self, upstream: Upstream) -> None:
        """Probe a suspected upstream until it answers, is no longer suspected, or time is up."""
        instance = upstream.instance
        silent_since = trio.current_time()
        deadline = silent_since + SUSPICION_TTL_SECONDS
        try:
            while trio.current_time() < deadline and self._upstreams.is_suspected(instance):
                reply = await self._control.probe(upstream, CONFIRMING_PROBE_TIMEOUT_SECONDS)
                if reply.result is ProbeResult.ALIVE:
                    self._upstreams.clear_suspicion(instance)
                    self._log("suspicion-ended", instance=instance, address=upstream.address)
                    return
                if reply.result is not ProbeResult.NOT_SENT:
                    self._upstreams.suspect(instance, 0.0, lost=True)
                    if instance in self._with_events_since(silent_since):
                        silent_since = trio.current_time()
                    if trio.current_time() >= silent_since + CUT_OFF_SECONDS:
                        self._upstreams.note_cut_off(instance)
                await trio.sleep(CONFIRMING_PROBE_INTERVAL_SECONDS)
        finally:
            self._confirming.discard(instance)

    def _interrupt_streams_of(self, instance: str, how: str) -> None:
        affected = [
            each
            for each in self._streams
            if each.is_at_upstream and each.path.stages[0].instance == instance
        ]
        interrupted = sum(each.interrupt(Interruption.FIRST_SILENT) for each in affected)
        self._count("stall.first-silent")
        self._log(
            "first-upstream-lost",
            instance=instance,
            how=how,
            streams=len(affected),
            taken=interrupted,
        )

    async def _handle_report(
        self, first: Upstream, waiting_for: Mapping[str, str], query_state: _QueryState
    ) -> None:
        """Probe the upstreams that requests wait for, and move the streams away from them.

        Args:
          first: the upstream that reported.
          waiting_for: for each waiting request, the address of the upstream that it waits for.
          query_state: the state of the queries to the first upstream.
        """
        self._interrupt_on_silent_connections(first, waiting_for)
        if not waiting_for:
            if query_state.queries >= QUERIES_BEFORE_BACKOFF:
                query_state.interval = min(query_state.interval * 2, MAX_QUERY_INTERVAL_SECONDS)
            return
        query_state.interval = MIN_QUERY_INTERVAL_SECONDS
        blocking_upstreams: dict[str, Upstream] = {}
        for address in set(waiting_for.values()):
            blocking = self._upstreams.at_address(address, first.service)
            if blocking is None:
                self._log("stall-unknown-upstream", address=address)
            elif not self._upstreams.is_suspected(blocking.instance):
                blocking_upstreams[blocking.instance] = blocking
        lost: list[tuple[Upstream, ProbeResult]] = []
        async with trio.open_nursery() as nursery:
            for blocking in blocking_upstreams.values():
                nursery.start_soon(self._probe, blocking, lost)
        for blocking in blocking_upstreams.values():
            self._record_blocking(
                blocking, any(each is blocking for each, _ in lost), first, waiting_for
            )
        await self._move_all()

    def _interrupt_on_silent_connections(
        self, first: Upstream, waiting_for: Mapping[str, str]
    ) -> None:
        """Interrupt streams that wait too long for an upstream which answers and isn't blocked."""
        now = trio.current_time()
        for stream in list(self._streams):
            is_at_first = stream.path.stages[0].instance == first.instance
            is_late = stream.has_events and now >= stream.event_at + SILENT_CONNECTION_SECONDS
            is_blocked = stream.request_id in waiting_for
            if is_at_first and is_late and not is_blocked and stream.is_stalled(now):
                stream.interrupt(Interruption.CONNECTION_SILENT)

    def _record_blocking(
        self, blocking: Upstream, is_lost: bool, first: Upstream, waiting_for: Mapping[str, str]
    ) -> None:
        """Record one blocking upstream and the streams that wait for it.

        An upstream that answers probes isn't lost: it may be unloading layers, for example. Paths
        avoid it for a while, but its layers still count as held.
        """
        now = trio.current_time()
        if is_lost:
            self._suspect(blocking)
        else:
            self._choices(first.service).note_full(blocking.instance)
        if is_lost or self._next_stall_log_at.get(blocking.instance, 0.0) <= now:
            self._next_stall_log_at[blocking.instance] = now + STALL_LOG_INTERVAL_SECONDS
            self._log(
                "stall",
                instance=blocking.instance,
                address=blocking.address,
                lost=is_lost,
                told_by=first.instance,
                requests=len(waiting_for),
            )
        for stream in self._streams:
            if waiting_for.get(stream.request_id) == blocking.address and stream.is_stalled(now):
                stream.blocking_instance = blocking.instance
