"""Mutants of what carries streams and calls."""

from contextlib import contextmanager
from dataclasses import replace

from mutant_registry import CALL, STREAM, mutant

import deckcourse.asgi as asgi_module
import deckcourse.claims as claims_module
import deckcourse.entry as entry_module
import deckcourse.http_client as http_client_module
import deckcourse.pipeline as pipeline_module
from deckcourse.claims import ClaimBusy, ClaimGranted, Claims
from deckcourse.decision_log import DecisionLog
from deckcourse.engine import FinishFrame, Lost, TokenFrame
from deckcourse.entry import Entry
from deckcourse.http1.client import UpstreamConnection
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http1.server import _Connection
from deckcourse.outcomes import NotRun
from deckcourse.pipeline import _Run, _Stalled
from deckcourse.reasons import NotRunReason
from deckcourse.relay import Relay
from deckcourse.route import Route


@mutant("the relay drops frames of older attempts", *STREAM)
def no_attempt_check():
    accept = Relay.accept

    def every_attempt(self, frames):
        return accept(self, tuple(replace(frame, attempt=self._attempt) for frame in frames))

    Relay.accept = every_attempt


@mutant("the relay holds early tokens and drops repeated ones", *STREAM)
def no_reorder_window():
    def append(self, frame: TokenFrame | FinishFrame, ready):
        if isinstance(frame, FinishFrame):
            return self._finish(frame)
        self._tokens.append(frame.token)
        ready.append(frame)
        return None

    Relay._take = append


@mutant("the relay checks the trace of each token against the route", *STREAM)
def no_trace_check():
    begin = Relay.begin

    class AnyTrace(str):
        def __ne__(self, other):
            return False

        __hash__ = str.__hash__

    Relay.begin = lambda self, attempt, trace: begin(self, attempt, AnyTrace(trace))


@mutant("the relay takes an answer as whole only with its finish frame", *STREAM)
def no_finish_check():
    Relay.finished = property(lambda self: bool(self._tokens) and self._count is not None)
    Relay._finish = lambda self, frame: setattr(self, "_count", frame.count)


@mutant("a route joins its layers without gap or overlap", "units")
def no_coverage_check():
    Route.__post_init__ = lambda self: None


@mutant("a resume goes on after the tokens delivered", *STREAM)
def no_resume():
    start = _Run._start
    _Run._start = lambda self, route: replace(start(self, route), delivered=())


@mutant("a resume keeps the stages that answer a probe", *STREAM)
def no_keep():
    give_up = _Run._give_up_on

    def forget(self, instances):
        give_up(self, instances)
        self._avoid = replace(self._avoid, keep=frozenset())

    _Run._give_up_on = forget
    pipeline_module.Avoid = lambda keep=frozenset(), **rest: Avoid(**rest)


from deckcourse.router import Avoid  # noqa: E402 - the mutant above hides the name elsewhere


@mutant("a deadline acted on late blames nobody", *STREAM)
def no_late_check():
    pipeline_module.LATE_SECONDS = float("inf")


@mutant("a silent stage is found by its token deadline", *STREAM)
def no_stall_deadline():
    pipeline_module._stalled = lambda due: _Stalled(True)
    from deckcourse.token_gap import TokenGap

    TokenGap.next_deadline = lambda self, now: now + 1000.0
    TokenGap.first_deadline = lambda self, now: now + 1000.0


@mutant("an entry that reaches nobody blames nobody", *STREAM)
def no_cut_off_check():
    async def wait(self, route):
        for stage in route.stages:
            self._blame(route, stage.instance)

    _Run._wait_for_any = wait


@mutant("a request that began is never told not run", "not_run", *STREAM)
def not_run_after_start():
    _Run._given_up = lambda self, not_run, unknown, message: NotRun(not_run, message)


@mutant("a call is claimed before its dispatch", *CALL)
def no_claim():
    async def granted(self, account, key, attempt, digest):
        return ClaimGranted(key, claims_module.Claim(attempt, "", digest), 0)

    Claims.claim = granted


@mutant("a claim whose reply was lost is settled by reading", *CALL)
def lost_claim_is_granted():
    async def grant(self, group):
        for waiting in group:
            waiting.settle(ClaimGranted(waiting.key, waiting.claim, 0))
        return []

    Claims._settle_by_reading = grant


@mutant("a claim that was given up is released", *CALL)
def no_release():
    async def nothing(self, key, claim):
        return None

    Claims.release = nothing


@mutant("the result of a call is recorded", *CALL)
def no_record():
    async def nothing(self, granted, reply):
        return False

    Claims.record = nothing


@mutant("a claim of another is told from an own one", *CALL)
def any_claim_is_own():
    result_of = claims_module._result_of

    def own(waiting, row):
        result = result_of(waiting, row)
        if isinstance(result, ClaimBusy):
            return ClaimGranted(waiting.key, waiting.claim, row.version)
        return result

    claims_module._result_of = own


@mutant("the digest tells another request under the same key", *CALL)
def no_digest():
    entry_module.request_digest = lambda *parts: "the same"


@mutant("a lost call that may not be repeated isn't sent again", "not_run", *CALL)
def lost_call_is_repeated():
    send = Entry._send

    async def sent(self, upstream, request, name, fresh):
        for _ in range(3):
            reply = await send(self, upstream, request, name, fresh)
            if not isinstance(reply, Lost):
                return reply
        return reply

    Entry._send = sent


@mutant("an unkeyed call that was lost is unknown, not not-run", "not_run", *CALL)
def lost_is_not_run():
    call_once = Entry._call_once

    async def told(self, request, name):
        outcome = await call_once(self, request, name)
        if hasattr(outcome, "repeatable"):
            return NotRun(NotRunReason.UPSTREAM_UNREACHABLE, "lost")
        return outcome

    Entry._call_once = told


@mutant("a cancellation comes before a part of an answer or after it", "cut_writes_elsewhere")
def parts_are_cut():
    async def send(self, message):
        await self._send(message)

    asgi_module.Request.send = send


@mutant("an idle connection takes over changes of the limits", "http1")
def limits_are_read_before_the_wait():
    receive_first = _Connection._receive_first

    async def receive(self):
        limits = self._limits()
        self._limits = lambda: limits
        return await receive_first(self)

    _Connection._receive_first = receive


@mutant("a request that was read is served before its connection closes", "http1")
def any_response_announces_the_close():
    _Connection._has_begun_request = property(lambda self: False)


@mutant("half a body is no request", "cut_writes_elsewhere")
def half_bodies_are_served():
    def more(message):
        return {"type": "http.request"} if message["type"] == "http.disconnect" else message

    init = asgi_module.Request.__init__

    def receive_on(self, scope, receive, send):
        async def received():
            return more(await receive())

        init(self, scope, received, send)

    asgi_module.Request.__init__ = receive_on


@mutant("the end of an answer is no leaving of its caller", "cut_writes_elsewhere")
def ends_are_cut():
    asgi_module.Request.ended = property(lambda self: False)


@mutant("bytes behind a reply end its connection", "cut_writes_elsewhere")
def surplus_is_kept():
    http_client_module._KeptConnection.surplus = property(lambda self: False)


@mutant("the rest of a line that was cut is written first", "cut_writes_elsewhere")
def rests_are_dropped():
    write = DecisionLog._write

    def dropped(self, message):
        write(self, message)
        self._unwritten = b""

    DecisionLog._write = dropped


@mutant("a connection whose call was given up is closed", "cut_writes_elsewhere")
def given_up_connections_are_kept():
    @contextmanager
    def release_after_call(self, connection):
        try:
            yield
        finally:
            kept = UpstreamConnection(connection.address, connection._transport)
            kept.is_usable = lambda longest_idle: True
            self._idle[connection.address].append(kept)

    ConnectionPool.release_after_call = release_after_call
