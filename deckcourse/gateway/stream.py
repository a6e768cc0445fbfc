"""One stream of events: each event on at once, each once, in order, over as many paths as needed.

An event goes to the caller only when it is whole. Where the upstream breaks off, a route that
may be resumed goes on at another one behind the last event; the caller sees one answer.
"""

from dataclasses import dataclass

import trio

from deckcourse.gateway.active_stream import (
    ActiveStream,
    Interruption,
    StreamInterruptedError,
)
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.calls import (
    Withheld,
    is_withheld,
    refuse_joined,
    refuse_quarantined,
    send_request,
    time_to_return,
    within_deadline,
)
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.dialect import Dispatch, ReplyFacts
from deckcourse.gateway.events import Event, EventReader
from deckcourse.gateway.rate_gate import SendingToken
from deckcourse.gateway.stream_retries import StreamRetries
from deckcourse.http1.client import UpstreamConnection, UpstreamReply
from deckcourse.http1.message import ConnectionLostError, FailureKind, end_to_end
from deckcourse.layers.paths import LayerPath
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, RetryReason, UnknownReason

__all__ = ["StreamCall"]

# Refusals that a request that nobody ran may meet before it is refused itself.
MOST_TRIES = 5
# A caller gives a stream up after a pause of two seconds; no new path is looked for later.
LONGEST_PAUSE_SECONDS = 1.8
# Between two looks for a path while a stream that has begun has none, seconds.
PATH_WAIT_SECONDS = 0.03
# When to come back while a model isn't whole, seconds: neighbours load missing layers by then.
NO_PATH_RETRY_SECONDS = 1.0
# When to come back after every path was full, seconds: room comes free with each stream that ends,
# and there is still time for a first event within the objective.
FULL_RETRY_SECONDS = 0.25
# When to come back while everything queues, seconds: a request that is refused again costs more
# than one that comes late.
OVERLOAD_RETRY_SECONDS = 1.2
# For how long an upstream that resets or refuses connections gets no new work, seconds.
UNREACHABLE_SECONDS = 2.0
OK = 200
SERVER_ERROR = 500


@dataclass(frozen=True)
class _Finished:
    """The caller has the whole answer."""

    status: int


@dataclass(frozen=True)
class _Refused:
    """Nobody ran it: there was no room, or a part was missing or unreachable."""

    reason: RetryReason
    message: str


@dataclass(frozen=True)
class _Broken:
    """It ran, at least in part, and can't go on where it was."""

    message: str


_End = _Finished | _Refused | _Broken | Withheld


class StreamCall:
    """One stream from admission to its outcome."""

    def __init__(self, context: GatewayContext, admitted: Admitted) -> None:
        self._context = context
        self._admitted = admitted
        self._choice = context.choices(admitted.service.name)
        self._avoid: set[str] = set()
        self._runs = 0
        # Whether any run of it brought events.
        self._ran_well = False
        self._retries = StreamRetries(context, admitted)
        self._last_event = admitted.caller.last_event
        self._progress_at = trio.current_time()
        self._arrived_at = trio.current_time()
        self._choice.watch.note_request()

    @property
    def _begun(self) -> bool:
        return self._admitted.exchange.started

    async def run(self) -> Outcome:
        """Return the outcome; after Answered the caller has the whole answer."""
        self._retries.earn()
        try:
            return await within_deadline(self._admitted, self._tries, lambda: self._runs > 0)
        finally:
            self._retries.close()

    async def _tries(self) -> Outcome:
        last: _Refused | _Broken | None = None
        number = 0
        while True:
            refusal = refuse_quarantined(self._context, self._admitted, self._runs > 0)
            if refusal is not None and not self._ran_well:
                return refusal
            if number and self._runs and not await self._retries.wait(self._progress_at):
                return self._give_up(last, NotRunReason.RETRY_BUDGET, FULL_RETRY_SECONDS)
            path = await self._path()
            if path is None:
                return self._no_path(last)
            refusal = None if self._runs else self._refuse(path, number, last)
            if refusal is not None:
                return refusal
            if not self._context.may_send():
                return self._give_up(last, NotRunReason.NOT_READY, FULL_RETRY_SECONDS)
            if await self._context.crashes.wait_for_turn(self._admitted, path.parts[0].instance):
                if number:
                    self._retries.keep()
                continue
            end = await self._attempt_with_token(path)
            if isinstance(end, Withheld):
                if number:
                    self._retries.keep()
                await trio.lowlevel.checkpoint()
                continue
            number += 1
            if isinstance(end, _Finished):
                self._context.returns(self._admitted.service.name).note_answered()
                return Answered(0, end.status)
            last = end
            self._log_try(path, end)
            if isinstance(end, _Broken) and not self._retries.may_go_on():
                break
            if not self._runs and number == MOST_TRIES:
                break
            if isinstance(end, _Broken) and not self._ran_well:
                first = path.parts[0].instance
                await self._context.crashes.wait_behind_others(self._admitted, first)
        return self._give_up(last, NotRunReason.UPSTREAM_REFUSED, FULL_RETRY_SECONDS)

    def _refuse(
        self, path: LayerPath, number: int, last: _Refused | _Broken | None
    ) -> Outcome | None:
        """Return why a request that nobody ran isn't sent on a path, None where it is."""
        if self._choice.overloaded(path):
            message = "every path has more waiting than it can serve in time"
            return NotRun(NotRunReason.OVERLOADED, message, self._later(OVERLOAD_RETRY_SECONDS))
        if number and self._choice.refused_of_late(path):
            return self._give_up(last, NotRunReason.UPSTREAM_REFUSED, FULL_RETRY_SECONDS)
        if number and not self._retries.take(has_run=False):
            return self._give_up(last, NotRunReason.RETRY_BUDGET, FULL_RETRY_SECONDS)
        return None

    def _give_up(
        self, last: _Refused | _Broken | None, reason: NotRunReason, retry_after: float
    ) -> Outcome:
        message = last.message if last is not None else "no usable upstreams hold every layer"
        if self._runs:
            return Unknown(UnknownReason.UPSTREAM_LOST, f"{message}; given up: {reason}")
        return NotRun(reason, message, self._later(retry_after))

    def _no_path(self, last: _Refused | _Broken | None) -> Outcome:
        """Return the outcome where no path is left: those who asked for time say when one is."""
        opens_at = self._choice.opens_at(self._admitted.service.model)
        if self._runs or opens_at is None:
            return self._give_up(last, NotRunReason.NO_ROUTE, NO_PATH_RETRY_SECONDS)
        # Rejected at once: waiting would not help the caller.
        seconds = max(0.0, opens_at - trio.current_time())
        message = f"every path begins at an upstream that takes no request for {seconds:.2f} s"
        return NotRun(NotRunReason.UPSTREAM_BACKOFF, message, self._later(seconds))

    def _later(self, seconds: float) -> float:
        """Return a time to come back, `seconds` at least, when its turn among the refused comes."""
        return time_to_return(self._context, self._admitted, seconds)

    async def _path(self) -> LayerPath | None:
        """Return a path; a stream that has begun waits a little for one."""
        while True:
            avoid = frozenset(self._avoid)
            path = self._choose(avoid)
            if path is None and avoid and self._begun:
                path = self._choose(frozenset())
            if path is not None or not self._begun:
                return path
            if trio.current_time() >= self._progress_at + LONGEST_PAUSE_SECONDS:
                return None
            await trio.sleep(PATH_WAIT_SECONDS)

    def _choose(self, avoid: frozenset[str]) -> LayerPath | None:
        """Return a path, away from requests that may end their upstreams where there is one."""
        model = self._admitted.service.model
        trials = self._context.crashes.trial_upstreams()
        choose = self._choice.choose
        if self._context.crashes.known_ends(self._admitted):
            choose = self._choice.choose_quietest
        path = choose(model, avoid | trials) if trials else None
        return path or choose(model, avoid)

    async def _attempt_with_token(self, path: LayerPath) -> _End:
        """Try a path with a token for its first upstream; returns the token if unspent."""
        token = await self._context.rates.acquire(path.parts[0].instance)
        if token is None:
            return Withheld()
        try:
            return await self._attempt(path, token)
        finally:
            await self._context.rates.give_back(token)

    async def _attempt(self, path: LayerPath, token: SendingToken) -> _End:
        context = self._context
        first = path.parts[0]
        stream = ActiveStream(
            self._admitted.caller.request_id,
            self._admitted.service.name,
            self._admitted.service.model,
            path,
            trio.current_time(),
            self._admitted.route.gap_objective,
            take_retry=self._retries.take_ahead,
        )
        context.upstreams.begin(first.instance)
        context.monitor.add(stream)
        try:
            with stream.interruptible():
                connection = await context.pool.acquire(first.address, unlike=stream.request_id)
            with context.pool.kept_or_closed(connection):
                end = await self._exchange(connection, stream, token)
        except ConnectionLostError as failure:
            end = await self._on_failure(stream, failure)
        except StreamInterruptedError:
            return await self._on_interruption(stream)
        finally:
            context.monitor.discard(stream)
            context.crashes.end_run(self._admitted, first.instance)
            context.upstreams.end(first.instance)
        if isinstance(end, _Finished | _Broken):
            context.upstreams.note(first.instance, isinstance(end, _Broken))
        return end

    async def _on_interruption(self, stream: ActiveStream) -> _End:
        if stream.interruption is not Interruption.BETTER_ELSEWHERE:
            self._avoid.add(stream.path.parts[0].instance)
        if stream.interruption is Interruption.FIRST_SILENT:
            await self._note_broken(stream)
        self._context.count(f"retry.{RetryReason.STAGE_STALLED}")
        exchange = self._admitted.exchange
        self._context.log(
            "try-interrupted",
            request=self._admitted.caller.request_id,
            instance=stream.path.parts[0].instance,
            why=str(stream.interruption),
            begun=exchange.started,
            torn=exchange.torn,
            last_event=self._last_event,
        )
        return _Broken(str(stream.interruption))

    async def _on_failure(self, stream: ActiveStream, failure: ConnectionLostError) -> _End:
        instance = stream.path.parts[0].instance
        self._avoid.add(instance)
        if failure.kind is FailureKind.UNSENT:
            self._context.upstreams.suspect(instance, UNREACHABLE_SECONDS, lost=True)
            self._context.pool.forget(stream.path.parts[0].address)
            self._context.count(f"retry.{RetryReason.UNREACHABLE}")
            return _Refused(RetryReason.UNREACHABLE, failure.message)
        await self._note_broken(stream)
        self._context.count(f"retry.{RetryReason.STAGE_LOST}")
        return _Broken(failure.message)

    async def _note_broken(self, stream: ActiveStream) -> None:
        """Note that a run broke off, if nothing of it came: what had begun to run did no harm."""
        upstream = self._context.upstreams.last_known(stream.path.parts[0].instance)
        if upstream is not None and not stream.begun and not self._ran_well:
            await self._context.crashes.note_broken(self._admitted, upstream, stream.run)

    async def _exchange(
        self, connection: UpstreamConnection, stream: ActiveStream, token: SendingToken
    ) -> _End:
        """Send the request and pass its answer on."""
        admitted = self._admitted
        if is_withheld(self._context, token):
            return Withheld()
        dispatch = Dispatch(
            stream.path.parts[0].instance,
            admitted.deadline - trio.current_time(),
            admitted.account_name,
            admitted.priority,
            stream.path,
            self._last_event,
        )
        stream.progress_at = trio.current_time()
        self._runs += 1
        stream.run = self._context.crashes.begin_run(admitted, dispatch.instance)
        self._retries.note_run(dispatch.instance)
        self._choice.watch.note_begun(dispatch.instance)
        try:
            with stream.interruptible():
                reply, facts = await send_request(self._context, admitted, connection, dispatch)
        except ConnectionLostError as failure:
            self._runs -= failure.kind is FailureKind.UNSENT
            raise
        if reply.status == OK:
            return await self._relay(reply, stream)
        stream.waiting = False
        with stream.interruptible():
            body = await reply.whole_body()
        if facts.not_run:
            self._runs -= 1
            self._retries.note_refused(stream.path.parts[0].instance)
            return self._on_refusal(stream, reply.status, facts)
        refuse_joined(reply, body)
        return await self._on_other_answer(reply, body)

    async def _on_other_answer(self, reply: UpstreamReply, body: bytes) -> _End:
        if self._begun or (reply.status >= SERVER_ERROR and self._retries.may_go_on()):
            return _Broken(f"upstream answered {reply.status}")
        await self._admitted.exchange.whole(reply.status, end_to_end(reply.headers), body)
        return _Finished(reply.status)

    def _on_refusal(self, stream: ActiveStream, status: int, facts: ReplyFacts) -> _End:
        """Learn from a refusal: who is full, gone or without its part."""
        culprit = stream.path.parts[0].instance
        if facts.at_fault:
            row = self._context.upstreams.at_address(facts.at_fault, stream.service)
            culprit = row.instance if row is not None else culprit
        self._avoid.add(culprit)
        self._choice.note_full(culprit)
        self._context.count(f"retry.{RetryReason.REFUSED}.{status}")
        return _Refused(RetryReason.REFUSED, f"{culprit} answered {status}")

    async def _relay(self, reply: UpstreamReply, stream: ActiveStream) -> _End:
        reader = EventReader(self._last_event)
        while True:
            stream.waiting = True
            with stream.interruptible():
                data = await reply.next_data()
            stream.waiting = False
            if data is None:
                break
            events = reader.feed(data)
            if events:
                self._note_ran(stream)
                await self._pass_on(reply, stream, events)
                stream.note_event(trio.current_time())
            if reader.fault:
                self._context.count("event.malformed")
                raise ConnectionLostError(FailureKind.MALFORMED, reader.fault)
        if reader.incomplete:
            raise ConnectionLostError(FailureKind.LOST, "the stream ended inside an event")
        if self._last_event is None:
            raise ConnectionLostError(FailureKind.LOST, "the stream ended before its first event")
        await self._end(reply, reader.trailing)
        return _Finished(OK)

    def _note_ran(self, stream: ActiveStream) -> None:
        """Note that events came: this is no request that ends its upstreams."""
        if not self._ran_well:
            self._ran_well = True
            first = stream.path.parts[0].instance
            self._context.crashes.note_ran(self._admitted, first)
            self._context.crashes.end_run(self._admitted, first)

    async def _end(self, reply: UpstreamReply, trailing: bytes) -> None:
        await self._start(reply)
        if trailing:
            await self._admitted.exchange.send(trailing)
        await self._admitted.exchange.finish()

    def _measure(self, stream: ActiveStream, event: Event) -> None:
        """Record how long the caller waited for an event, and say so where it was too long."""
        begun = self._begun
        waited = trio.current_time() - (self._progress_at if begun else self._arrived_at)
        route = self._admitted.route
        objective = route.gap_objective if begun else route.objective
        self._context.timing("gap" if begun else "first-event", waited)
        if objective and waited > objective:
            self._context.log(
                "late-event",
                request=self._admitted.caller.request_id,
                event=event.id,
                waited_ms=round(waited * 1000),
                instance=stream.path.parts[0].instance,
                runs=self._runs,
            )

    async def _pass_on(
        self, reply: UpstreamReply, stream: ActiveStream, events: list[Event]
    ) -> None:
        self._measure(stream, events[0])
        await self._start(reply)
        await self._admitted.exchange.send(b"".join(each.data for each in events))
        self._progress_at = trio.current_time()
        self._last_event = events[-1].id

    async def _start(self, reply: UpstreamReply) -> None:
        if not self._begun:
            headers = tuple(
                each for each in end_to_end(reply.headers) if each[0] != b"content-length"
            )
            await self._admitted.exchange.start(OK, headers)

    def _log_try(self, path: LayerPath, end: _Refused | _Broken) -> None:
        self._context.log(
            "try-failed",
            request=self._admitted.caller.request_id,
            instance=path.parts[0].instance,
            parts=len(path.parts),
            kind=type(end).__name__.strip("_").lower(),
            what=end.message,
            last_event=self._last_event,
            runs=self._runs,
            identity=self._admitted.identity if isinstance(end, _Broken) else "",
        )
