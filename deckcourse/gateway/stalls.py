"""Streams that stand still: who holds them up, and what becomes of them.

A stream that brings nothing for longer than usual is asked about at the first upstream of its
path, which names the upstream that it waits for. All streams through that one get another path;
where the first one itself is silent, they begin anew elsewhere.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import trio

from deckcourse.gateway.active_stream import ActiveStream, Interruption
from deckcourse.gateway.dialect import MoveResult, Pulse, StreamControl
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.paths import LayerPath

__all__ = ["StallMonitor"]

# Between two looks at the streams, seconds; where none can stand still earlier, so much later.
LOOK_SECONDS = 0.012
LONGEST_LOOK_SECONDS = 0.06
# An upstream that is there says so within 3 ms; one that doesn't in the first time, and then again
# in the second, counts as lost, seconds.
PULSE_SECONDS = 0.015
SECOND_PULSE_SECONDS = 0.025
# One that is silent for this long once more is lost beyond doubt, seconds: a loaded machine or a
# lost packet explains less. It is asked again each so many seconds, since it may only have paused.
DOUBT_SECONDS = 0.1
RESOLVE_SECONDS = 0.4
# Where so large a part of a path is silent, this process is more likely cut off itself.
CUT_OFF_SHARE = 0.5
# A look that comes so much later than it should says that this process itself was paused, seconds:
# what waits in its sockets is read first.
PAUSED_SECONDS = 0.1
# Questions about streams that turn out not to be stalled become rarer, up to this pause, seconds.
SHORTEST_ASK_SECONDS = 0.06
LONGEST_ASK_SECONDS = 0.8
# A report is 0.2 s old: only after so many questions without a result they become rarer.
QUICK_QUESTIONS = 5
# Streams lost together have their last events within this time, two usual gaps, seconds: an
# event of another stream that comes later shows that its upstreams are there.
PASSED_SECONDS = 0.05
# An upstream that answered is not asked again for so long, however many streams stand, seconds.
PULSE_PAUSE_SECONDS = 0.4
# For how long an upstream that holds streams up gets no new work, seconds: until its row is gone
# or it was restarted.
SUSPECT_SECONDS = 4.0
# So many unanswered questions in a row tell that the first upstream itself is gone.
SILENT_QUESTIONS = 2
# Other paths that a standing stream's first upstream is offered at the most.
MOST_MOVES = 3
# An upstream that answers and still holds streams up is told of once in so long, seconds.
BLAMED_SECONDS = 1.0
# Between two tries to move one stream, seconds: time for its first event on the new path.
MOVE_PAUSE_SECONDS = 0.2


@dataclass
class _Asking:
    """What is known of the questions to one first upstream."""

    next_at: float = 0.0
    pause: float = SHORTEST_ASK_SECONDS
    unanswered: int = 0
    questions: int = 0
    under_way: bool = False


class StallMonitor:
    """Watches all streams of this process.

    Args:
      upstreams: the upstreams that this process knows; suspicions are noted there.
      control: asks upstreams and moves streams.
      choices: returns the choice of paths for a service.
      witness: told the failure domain of each upstream that was found lost.
      count: counts by name.
      log: writes decisions.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        control: StreamControl,
        choices: Callable[[str], PathChoice],
        witness: Callable[[str], None],
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._upstreams = upstreams
        self._control = control
        self._choices = choices
        self._witness = witness
        self._count = count
        self._log = log
        self._streams: set[ActiveStream] = set()
        self._asking: dict[str, _Asking] = defaultdict(_Asking)
        self._probed_until: dict[str, float] = {}
        self._blamed_until: dict[str, float] = {}
        self._doubted: set[str] = set()
        self._nursery: trio.Nursery | None = None

    def add(self, stream: ActiveStream) -> None:
        """Watch a stream."""
        self._streams.add(stream)

    def discard(self, stream: ActiveStream) -> None:
        """Stop watching a stream whose upstream has nothing to do with it any more."""
        stream.has_ended = True
        self._streams.discard(stream)

    def note_ended(self, upstream: Upstream) -> None:
        """Take the streams away from a start that ended: the newer one knows nothing of them."""
        if any(each.path.parts[0].instance == upstream.instance for each in self._streams):
            self._interrupt_first(upstream.instance, "restarted")
        if self._nursery is not None:
            self._nursery.start_soon(self._move_all)

    async def run(self) -> None:
        """Watch until cancelled."""
        due = trio.current_time()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                now = trio.current_time()
                if now - due < PAUSED_SECONDS:
                    self._look(nursery, now)
                else:
                    self._log("paused", seconds=round(now - due, 3))
                due = now + self._until_next_look(now)
                await trio.sleep_until(due)

    def _until_next_look(self, now: float) -> float:
        """Return after how long a stream may stand still at the earliest, seconds."""
        moments = [
            each.stalled_at for each in self._streams if each.is_waiting and not each.is_moving
        ]
        earliest = min(moments, default=now + LONGEST_LOOK_SECONDS)
        return max(LOOK_SECONDS, min(LONGEST_LOOK_SECONDS, earliest - now))

    def _look(self, nursery: trio.Nursery, now: float) -> None:
        standing = {each.path.parts[0].instance for each in self._streams if each.is_stalled(now)}
        for instance in list(self._asking):
            if instance not in standing and not self._asking[instance].under_way:
                del self._asking[instance]
        for instance in standing:
            asking = self._asking[instance]
            if not asking.under_way and now >= asking.next_at:
                asking.under_way = True
                nursery.start_soon(self._ask, instance, asking)

    async def _ask(self, instance: str, asking: _Asking) -> None:
        try:
            # A row that is gone tells nothing of the streams there: some upstreams serve on.
            upstream = self._upstreams.last_known(instance)
            if upstream is None:
                self._interrupt_first(instance, "gone")
                return
            asking.questions += 1
            async with trio.open_nursery() as nursery:
                if asking.questions % QUICK_QUESTIONS == 1:
                    nursery.start_soon(self._probe_all_behind, instance)
                nursery.start_soon(self._ask_first, upstream, asking)
        finally:
            asking.under_way = False
            asking.next_at = trio.current_time() + asking.pause

    async def _ask_first(self, upstream: Upstream, asking: _Asking) -> None:
        report = await self._control.stalled(upstream)
        if report is not None and not report.asked:
            return
        if report is None:
            asking.unanswered += 1
            if asking.unanswered >= SILENT_QUESTIONS:
                self._suspect(upstream)
                self._interrupt_first(upstream.instance, "silent")
        else:
            asking.unanswered = 0
            self._upstreams.note_pace(upstream.instance, report.pace)
            await self._act_on(upstream, report.waiting_for, asking)

    async def _probe_all_behind(self, first: str) -> None:
        """Ask every upstream behind the first one of standing streams whether it is there."""
        names = self._behind(first)
        lost: list[tuple[Upstream, Pulse]] = []
        async with trio.open_nursery() as nursery:
            for upstream in self._due_for_pulse(names):
                nursery.start_soon(self._probe, upstream, lost)
        if not lost or len(lost) > max(1, CUT_OFF_SHARE * len(names)):
            return
        for upstream, pulse in lost:
            self._suspect(upstream)
            self._log(
                "pulse", instance=upstream.instance, address=upstream.address, pulse=str(pulse)
            )
        await self._move_all()

    def _behind(self, first: str) -> set[str]:
        """Return the upstreams behind the first one that may hold its standing streams up.

        Those that another stream has passed since are there: the standing one waits for something
        else, such as the prompt of another request.
        """
        now = trio.current_time()
        behind: set[str] = set()
        for stream in self._streams:
            if stream.path.parts[0].instance == first and stream.is_stalled(now):
                further = {part.instance for part in stream.path.parts[1:]}
                behind |= further - self._passed_since(stream.progress_at + PASSED_SECONDS)
        return behind

    def _passed_since(self, moment: float) -> set[str]:
        """Return the upstreams of all streams that brought an event since."""
        return {
            part.instance
            for stream in self._streams
            if stream.has_events and stream.progress_at > moment
            for part in stream.path.parts
        }

    def _due_for_pulse(self, names: set[str]) -> list[Upstream]:
        """Return those that may be asked now, and count them as asked."""
        now = trio.current_time()
        self._probed_until = {name: at for name, at in self._probed_until.items() if at > now}
        due = []
        for name in names:
            upstream = self._upstreams.last_known(name)
            if upstream is None or self._upstreams.is_suspect(name):
                continue
            if name not in self._probed_until:
                self._probed_until[name] = now + PULSE_PAUSE_SECONDS
                due.append(upstream)
        return due

    async def _probe(self, upstream: Upstream, lost: list[tuple[Upstream, Pulse]]) -> None:
        """Ask one upstream whether it is there; add it to `lost` where it isn't."""
        reading = await self._control.pulse(upstream, PULSE_SECONDS)
        if reading.pulse is Pulse.SILENT:
            reading = await self._control.pulse(upstream, SECOND_PULSE_SECONDS)
        if reading.pulse is Pulse.ALIVE:
            self._upstreams.note_pace(upstream.instance, reading.pace)
        elif reading.pulse is not Pulse.UNASKED:
            lost.append((upstream, reading.pulse))

    def _suspect(self, upstream: Upstream) -> None:
        self._upstreams.suspect(upstream.instance, SUSPECT_SECONDS)
        self._witness(upstream.domain)
        if upstream.instance not in self._doubted and self._nursery is not None:
            self._doubted.add(upstream.instance)
            self._nursery.start_soon(self._resolve, upstream)

    async def _resolve(self, upstream: Upstream) -> None:
        """Ask a suspect until it answers, is gone beyond doubt and forgotten, or left."""
        instance = upstream.instance
        deadline = trio.current_time() + SUSPECT_SECONDS
        try:
            while trio.current_time() < deadline and self._upstreams.is_suspect(instance):
                reading = await self._control.pulse(upstream, DOUBT_SECONDS)
                if reading.pulse is Pulse.ALIVE:
                    self._upstreams.clear(instance)
                    self._log("suspicion-ended", instance=instance, address=upstream.address)
                    return
                if reading.pulse is not Pulse.UNASKED:
                    self._upstreams.suspect(instance, 0.0, lost=True)
                await trio.sleep(RESOLVE_SECONDS)
        finally:
            self._doubted.discard(instance)

    def _interrupt_first(self, instance: str, how: str) -> None:
        affected = [
            each
            for each in self._streams
            if each.is_at_upstream and each.path.parts[0].instance == instance
        ]
        taken = sum(each.interrupt(Interruption.FIRST_SILENT) for each in affected)
        self._count("stall.first-silent")
        self._log(
            "first-upstream-lost",
            instance=instance,
            how=how,
            streams=len(affected),
            taken=taken,
        )

    async def _act_on(
        self, first: Upstream, waiting_for: Mapping[str, str], asking: _Asking
    ) -> None:
        """Suspect whom the requests wait for, and move the streams away from there.

        Args:
          first: who reported.
          waiting_for: for each request that waits, the address of the upstream it waits for.
          asking: the questions to the first upstream.
        """
        if not waiting_for:
            if asking.questions >= QUICK_QUESTIONS:
                asking.pause = min(asking.pause * 2, LONGEST_ASK_SECONDS)
            return
        asking.pause = SHORTEST_ASK_SECONDS
        culprits: dict[str, Upstream] = {}
        for address in set(waiting_for.values()):
            culprit = self._upstreams.at_address(address, first.service)
            if culprit is None:
                self._log("stall-unknown-upstream", address=address)
            elif not self._upstreams.is_suspect(culprit.instance):
                culprits[culprit.instance] = culprit
        lost: list[tuple[Upstream, Pulse]] = []
        async with trio.open_nursery() as nursery:
            for culprit in culprits.values():
                nursery.start_soon(self._probe, culprit, lost)
        for culprit in culprits.values():
            self._blame(culprit, any(each is culprit for each, _ in lost), first, waiting_for)
        await self._move_all()

    def _blame(
        self, culprit: Upstream, is_lost: bool, first: Upstream, waiting_for: Mapping[str, str]
    ) -> None:
        """Act on one upstream that requests wait for.

        One that answers isn't lost: it gives up layers, say. It is left out of paths for a while,
        and what it holds still counts.
        """
        now = trio.current_time()
        if is_lost:
            self._suspect(culprit)
        else:
            self._choices(first.service).note_full(culprit.instance)
        if is_lost or self._blamed_until.get(culprit.instance, 0.0) <= now:
            self._blamed_until[culprit.instance] = now + BLAMED_SECONDS
            self._log(
                "stall",
                instance=culprit.instance,
                address=culprit.address,
                lost=is_lost,
                told_by=first.instance,
                requests=len(waiting_for),
            )
        for stream in self._streams:
            if waiting_for.get(stream.request_id) == culprit.address and stream.is_stalled(now):
                stream.blocking_instance = culprit.instance

    async def _move_all(self) -> None:
        """Move every stream that passes a suspect or an ended start, or waits for somebody."""
        now = trio.current_time()
        async with trio.open_nursery() as nursery:
            for stream in list(self._streams):
                if not stream.is_moving and now >= stream.next_move_at and self._must_move(stream):
                    stream.is_moving = True
                    nursery.start_soon(self._move, stream)

    def _must_move(self, stream: ActiveStream) -> bool:
        if not stream.is_at_upstream:
            # Its caller holds a write up; the next path would only be read for nothing.
            return False
        further = [each.instance for each in stream.path.parts[1:]]
        upstreams = self._upstreams
        return stream.blocking_instance in further or any(
            upstreams.is_suspect(each) or upstreams.has_ended(each) for each in further
        )

    def _better_elsewhere(self, stream: ActiveStream) -> bool:
        """Return whether a stream should begin anew on a path inside another failure domain.

        All tokens so far would have to cross the pipe between the domains, which takes some 36 ms
        a stream, one after the other; a whole path reads them anew in 3 ms. A path that may have no
        room is no place for a stream that still has one.
        """
        choice = self._choices(stream.service)
        other = choice.choose(stream.model)
        return other is not None and not other.crossings and choice.has_room(other)

    async def _move(self, stream: ActiveStream) -> None:
        try:
            await self._offer_paths(stream)
        finally:
            stream.is_moving = False
            stream.next_move_at = trio.current_time() + MOVE_PAUSE_SECONDS

    async def _offer_paths(self, stream: ActiveStream) -> None:
        """Offer other paths to a stream's first upstream until it takes one.

        Where none is taken, or a whole path elsewhere is better, the stream is taken from there if
        it may go on elsewhere.
        """
        avoid = {stream.blocking_instance} if stream.blocking_instance else set()
        for _ in range(MOST_MOVES):
            if not stream.is_at_upstream:
                return
            path = self._choices(stream.service).onward(
                stream.model, stream.path.parts[0], frozenset(avoid)
            )
            first = self._upstreams.last_known(stream.path.parts[0].instance)
            if path is None or first is None:
                break
            elsewhere = path.crossings and self._better_elsewhere(stream)
            if elsewhere and stream.interrupt(Interruption.BETTER_ELSEWHERE):
                return
            result, at_fault = await self._control.move(first, stream.request_id, path)
            self._note_move(stream, path, result, at_fault)
            if result is MoveResult.MOVED:
                return
            culprit = self._upstreams.at_address(at_fault, stream.service)
            if result is not MoveResult.PART_MISSING or culprit is None:
                break
            avoid.add(culprit.instance)
        stream.interrupt(Interruption.NO_OTHER_PATH)

    def _note_move(
        self, stream: ActiveStream, path: LayerPath, result: MoveResult, at_fault: str
    ) -> None:
        self._count(f"move.{result}")
        self._log(
            "move",
            request=stream.request_id,
            result=str(result),
            parts=len(path.parts),
            at_fault=at_fault,
        )
        if result is MoveResult.MOVED:
            stream.path = path
            stream.blocking_instance = ""
            stream.progress_at = trio.current_time()
