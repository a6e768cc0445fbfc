"""Moves streams whose path is blocked or lost to other paths behind the same first stage.

Load pattern: a loss of some hosts interrupts dozens of streams at all processes at once. With
`onward_spread`, hosts that one stream finds to be gone are left out for all of them, and the
streams of all processes are spread over several paths; otherwise each takes the cheapest one.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import trio

from deckcourse.decisions.gone_hosts import GoneEvidence, GoneHosts
from deckcourse.decisions.loss_reports import Evidence
from deckcourse.decisions.onward_choice import (
    OnwardForecast,
    draw_onward,
    forecast_onward,
    move_rank,
)
from deckcourse.decisions.prefill_queue import PrefillQueue
from deckcourse.gateway.active_stream import ActiveStream, Interruption
from deckcourse.gateway.dialect import MoveResult, StreamControl
from deckcourse.gateway.loss_port import LossReports
from deckcourse.gateway.onward_paths import OnwardPaths
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.paths import LayerPath

__all__ = ["NO_SPREAD", "OnwardSpread", "StreamMover"]

# Paths offered to the first upstream of a stalled stream before the stream is interrupted.
MAX_MOVE_ATTEMPTS = 3
# Shortest interval between two moves of one stream: time for its first event on the new path.
MOVE_INTERVAL_SECONDS = 0.2
# Interval between two searches for replicas ahead of a loss, and the share of the time that they
# may take: a process has a third of a core.
SEARCH_INTERVAL_SECONDS = 0.2
MAX_SEARCH_SHARE = 0.02
# Smallest share of the traffic by which own moves are scaled up: the largest sites have 390
# processes.
MIN_TRAFFIC_SHARE = 1 / 390


@dataclass(frozen=True)
class OnwardSpread:
    """How streams are spread over several paths after a loss.

    Attributes:
      is_on: returns whether they are.
      traffic_share: returns this process's share of all traffic.
      random: draws between paths.
    """

    is_on: Callable[[], bool] = lambda: False
    traffic_share: Callable[[], float] = lambda: 1.0
    random: Random = field(default_factory=Random)


NO_SPREAD = OnwardSpread()


@dataclass(frozen=True)
class _Choice:
    """A path for a stream, its forecast if it is one of several, and their number."""

    path: LayerPath
    forecast: OnwardForecast | None = None
    candidates: int = 1


@dataclass
class _Batch:
    """Streams that are moved together: how many of them have no path yet."""

    undecided: int


class StreamMover:
    """Moves the streams of this process.

    Args:
      streams: the streams that are monitored, a live view.
      upstreams: the upstreams that this process knows.
      control: moves streams.
      choices: returns the path choice of a service.
      spread: how streams are spread.
      losses: what processes tell each other about lost upstreams.
      count: increments the counter of a name.
      log: writes an entry to the decision log.
    """

    def __init__(
        self,
        streams: set[ActiveStream],
        upstreams: UpstreamTable,
        control: StreamControl,
        choices: Callable[[str], PathChoice],
        spread: OnwardSpread,
        losses: LossReports,
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._streams = streams
        self._upstreams = upstreams
        self._control = control
        self._choices = choices
        self._spread = spread
        self._losses = losses
        self._count = count
        self._log = log
        self._gone = GoneHosts()
        self._queue = PrefillQueue()
        self._onward = OnwardPaths(upstreams, choices, count)

    @property
    def is_spreading(self) -> bool:
        """Whether streams are spread over several paths."""
        return self._spread.is_on()

    @property
    def gone(self) -> GoneHosts:
        """The hosts that are left out of new paths."""
        return self._gone

    async def search_ahead(self) -> None:
        """Search replicas for the paths of running streams while none is moved, until cancelled."""
        while True:
            before = trio.current_time()
            if self.is_spreading and not any(each.is_moving for each in self._streams):
                self._onward.prepare_one(self._streams)
            spent = trio.current_time() - before
            await trio.sleep(max(SEARCH_INTERVAL_SECONDS, spent / MAX_SEARCH_SHARE))

    async def move_all(self) -> None:
        """Move each stream that is blocked or passes a suspected upstream or ended incarnation."""
        now = trio.current_time()
        due = [
            each
            for each in self._streams
            if not each.is_moving and now >= each.next_move_at and self._needs_move(each)
        ]
        is_spreading = self.is_spreading
        if is_spreading and len(due) > 1:
            due.sort(key=lambda each: self._rank(each, now))
        for stream in due:
            stream.is_moving = True
        batch = _Batch(len(due))
        try:
            async with trio.open_nursery() as nursery:
                while due:
                    offer = self._offer_spread if is_spreading else self._offer_cheapest
                    nursery.start_soon(self._move, due.pop(0), offer, batch)
                    if is_spreading:
                        # Tasks that start in the same tick run in random order.
                        await trio.lowlevel.checkpoint()
        finally:
            for stream in due:
                stream.is_moving = False

    def _needs_move(self, stream: ActiveStream) -> bool:
        if not stream.is_at_upstream:
            # A write to the caller is pending; a new path would produce events that nobody reads.
            return False
        later_stages = [each.instance for each in stream.path.stages[1:]]
        upstreams = self._upstreams
        lost: frozenset[str] = frozenset()
        if self.is_spreading:
            lost = self._gone.known(trio.current_time(), GoneEvidence.LOST)
        return stream.blocking_instance in later_stages or any(
            upstreams.is_suspected(each) or upstreams.has_ended(each) or each in lost
            for each in later_stages
        )

    def _rank(self, stream: ActiveStream, now: float) -> tuple[bool, float, float]:
        """Return the rank of a stream among those to be moved, without the moves to come."""
        avoid, _ = self._avoided(stream)
        forecasts = self._forecasts(stream, self._onward.candidates(stream, avoid))
        least_ms = min((each.next_event_ms for each in forecasts), default=0.0)
        return move_rank((stream.pause_ends_at - now) * 1000, stream.tokens, least_ms)

    def _is_better_elsewhere(self, stream: ActiveStream) -> bool:
        """Return whether a stream should restart on a path inside another failure domain.

        Moving it would send all its tokens across the link between the domains, which takes about
        36 ms per stream, one stream at a time; a path inside one domain reprocesses them in 3 ms. A
        stream that still has a place isn't restarted on a path that may be full.
        """
        choice = self._choices(stream.service)
        other = choice.choose(stream.model)
        return other is not None and not other.crossings and choice.has_room(other)

    async def _move(
        self,
        stream: ActiveStream,
        offer: Callable[[ActiveStream, _Batch], Awaitable[None]],
        batch: _Batch,
    ) -> None:
        path = stream.path
        try:
            await offer(stream, batch)
        finally:
            stream.is_moving = False
            stream.next_move_at = trio.current_time() + MOVE_INTERVAL_SECONDS
            if self.is_spreading and stream.path is not path:
                # The next host of the same loss may be found at once, on the new path too.
                stream.next_move_at = 0.0

    async def _offer_cheapest(self, stream: ActiveStream, batch: _Batch) -> None:
        """Offer the cheapest paths to a stream's first upstream until it accepts one.

        If it accepts none, or a path inside another failure domain is better, the stream is
        interrupted, provided that it may be retried.
        """
        avoid = {stream.blocking_instance} if stream.blocking_instance else set()
        for _ in range(MAX_MOVE_ATTEMPTS):
            if not stream.is_at_upstream:
                return
            choice, start = self._choices(stream.service), stream.path.stages[0]
            reported = self._losses.avoided() - {start.instance}
            path = choice.onward(stream.model, start, frozenset(avoid | reported))
            if path is None and reported:
                path = choice.onward(stream.model, start, frozenset(avoid))
            first = self._upstreams.last_known(stream.path.stages[0].instance)
            if path is None or first is None:
                break
            elsewhere = path.crossings and self._is_better_elsewhere(stream)
            if elsewhere and stream.interrupt(Interruption.BETTER_ELSEWHERE):
                return
            result, at_fault = await self._control.move(first, stream.request_id, path)
            self._record_move(stream, path, result, at_fault)
            if result is MoveResult.MOVED:
                return
            refusing = self._upstreams.at_address(at_fault, stream.service)
            if result is not MoveResult.STAGE_MISSING or refusing is None:
                break
            avoid.add(refusing.instance)
            self._losses.report(refusing.instance, Evidence.STAGE_MISSING)
        stream.interrupt(Interruption.NO_OTHER_PATH)

    async def _offer_spread(self, stream: ActiveStream, batch: _Batch) -> None:
        """Offer paths to a stream's first upstream, spread over several ones, until it accepts one.

        An answer that a host is gone concerns all streams, and the next path is offered at once.
        It counts as an attempt only after the stream's pause is over. Otherwise this is as in
        `_offer_cheapest`.
        """
        moves = batch.undecided
        batch.undecided -= 1
        attempts = 0
        while attempts < MAX_MOVE_ATTEMPTS:
            if not stream.is_at_upstream:
                return
            chosen = self._choose(stream, moves)
            first = self._upstreams.last_known(stream.path.stages[0].instance)
            if chosen is None or first is None:
                break
            elsewhere = chosen.path.crossings and self._is_better_elsewhere(stream)
            if elsewhere and stream.interrupt(Interruption.BETTER_ELSEWHERE):
                return
            queued = self._queue_prefill(chosen)
            result, at_fault = await self._control.move(first, stream.request_id, chosen.path)
            self._record_move(
                stream,
                chosen.path,
                result,
                at_fault,
                candidates=chosen.candidates,
                left_ms=round((stream.pause_ends_at - trio.current_time()) * 1000),
                **_logged(chosen.forecast),
            )
            if result is MoveResult.MOVED:
                if not self._needs_move(stream):
                    return
                # Another host of the path was found to be lost while the order was under way.
                attempts += 1
                continue
            for instance, ms in queued.items():
                self._queue.remove(instance, ms, trio.current_time())
            refusing = self._upstreams.at_address(at_fault, stream.service)
            if result is not MoveResult.STAGE_MISSING or refusing is None:
                break
            now = trio.current_time()
            self._gone.note(refusing.instance, GoneEvidence.MISSING, now)
            self._losses.report(refusing.instance, Evidence.STAGE_MISSING)
            behind_first = {each.instance for each in chosen.path.stages[1:]}
            if refusing.instance in behind_first and now < stream.pause_ends_at:
                self._count("move.retried-at-once")
            else:
                attempts += 1
        stream.interrupt(Interruption.NO_OTHER_PATH)

    def _avoided(self, stream: ActiveStream) -> tuple[frozenset[str], frozenset[str]]:
        """Return the hosts that a stream's path avoids, and those that it must not use at all.

        A report or a refusal may be wrong or past, which is no reason to leave the domain.
        """
        now = trio.current_time()
        gone = self._gone.known(now, GoneEvidence.MISSING, GoneEvidence.LOST)
        if stream.blocking_instance:
            gone |= {stream.blocking_instance}
        refusing = self._choices(stream.service).refusing()
        return gone | self._gone.known(now, GoneEvidence.REPORTED) | refusing, gone

    def _choose(self, stream: ActiveStream, moves: int) -> _Choice | None:
        """Return the path that a stream is to be offered, None if there is none.

        Args:
          stream: the stream.
          moves: the streams of this process that are to be moved now, this one included.
        """
        avoid, gone = self._avoided(stream)
        candidates = self._onward.candidates(stream, avoid)
        if not candidates and avoid != gone:
            candidates = self._onward.candidates(stream, gone)
        if not candidates:
            choice = self._choices(stream.service)
            path = choice.onward(stream.model, stream.path.stages[0], gone)
            return None if path is None else _Choice(path)
        forecasts = self._forecasts(stream, candidates)
        chosen = draw_onward(forecasts, moves * self._peer_factor, self._spread.random)
        return _Choice(candidates[chosen], forecasts[chosen], len(candidates))

    @property
    def _peer_factor(self) -> float:
        """The moves of all processes for each own one: all of them lose the same hosts."""
        return 1.0 / max(MIN_TRAFFIC_SHARE, self._spread.traffic_share())

    def _forecasts(
        self, stream: ActiveStream, candidates: Sequence[LayerPath]
    ) -> list[OnwardForecast]:
        choice, now = self._choices(stream.service), trio.current_time()

        def queued_ms(instance: str) -> float:
            return self._queue.queued_ms(instance, now)

        stages = choice.onward_stages(stream.model, candidates, stream.path, queued_ms)
        return [forecast_onward(stream.model, each, stream.tokens) for each in stages]

    def _queue_prefill(self, chosen: _Choice) -> dict[str, float]:
        """Record the prefill of a move and of the peers' moves at that time, by upstream."""
        prefill = chosen.forecast.prefill_ms if chosen.forecast is not None else {}
        queued = {name: ms * self._peer_factor for name, ms in prefill.items()}
        for instance, ms in queued.items():
            self._queue.add(instance, ms, trio.current_time())
        return queued

    def _record_move(
        self,
        stream: ActiveStream,
        path: LayerPath,
        result: MoveResult,
        at_fault: str,
        **inputs: object,
    ) -> None:
        self._count(f"move.{result}")
        self._log(
            "move",
            request=stream.request_id,
            result=str(result),
            parts=len(path.stages),
            at_fault=at_fault,
            **inputs,
        )
        if result is MoveResult.MOVED:
            stream.path = path
            stream.blocking_instance = ""
            stream.progress_at = trio.current_time()


def _logged(forecast: OnwardForecast | None) -> dict[str, int]:
    """Return the fields of a forecast in the log."""
    if forecast is None:
        return {}
    predicted = round(forecast.next_event_ms)
    return {"new_layers": forecast.new_layers, "predicted_ms": predicted}
