"""Orders to runners and their reports."""

from collections.abc import Awaitable, Callable
from secrets import token_hex

import msgspec
import trio
from msgspec import UNSET, UnsetType

from deckcourse.decisions.answer_times import AnswerTimes
from deckcourse.gateway.dialect import (
    LoadReport,
    MoveResult,
    NoticeListener,
    Pulse,
    PulseReading,
    StallReport,
)
from deckcourse.gateway.upstream import StartNews, Upstream
from deckcourse.gateway.upstream_notice import UpstreamNotice
from deckcourse.http1.client import (
    NAMELESS,
    REMEMBERED_CALLS,
    ConnectionPool,
    UpstreamReply,
)
from deckcourse.http1.message import ConnectionLostError, FailureKind, header_value
from deckcourse.layers.hosts import Assignment
from deckcourse.layers.orders import LayerReport, OrderResult
from deckcourse.layers.paths import LayerPath
from deckcourse.peers.purpose import Purpose
from deckcourse.platform.dialect import format_path
from deckcourse.platform.names import (
    EXPECTED_INSTANCE,
    MISDIRECTED,
    ORDER,
    REPORT,
    REQUEST_ID,
)
from deckcourse.platform.notices import notice_of
from deckcourse.platform.reports import OrderAnswer, Report, decode_message, held_range
from deckcourse.platform.starts import runner_id

__all__ = ["RunnerControl"]

# A runner answers a report within some 2 ms; one that takes longer is gone or cut off, seconds.
REPORT_SECONDS = 0.15
# The same for the answer to an order, seconds: later it is given again.
ORDER_SECONDS = 0.12
# Longest wait of an order for a rate limit token, and the pause between attempts, seconds.
ORDER_PATIENCE_SECONDS = 1.0
ADMISSION_PAUSE_SECONDS = 0.1
# A wait that ends so much later than it should says that this process was paused, seconds.
OWN_PAUSE_SECONDS = 0.03
# The name of orders whose answers carry no id: a second one could be taken for the next order's.
NAMELESS_ORDER = "\0order"
# A connection that had such an order is closed where so many others are kept: each order in a row
# takes another one, and fifty stayed open after as many.
MOST_KEPT_AFTER_ORDERS = 2
# Random bytes of a control call's id: no caller's request has the same.
ID_BYTES = 8
# A connection that something else took for a runner that ended is closed within so long, seconds.
CLOSED_SECONDS = 0.01


class _NotAdmittedError(Exception):
    """The rate limit of a runner left no token for a question or an order."""


async def _always() -> bool:
    """Admit every question."""
    return True


class _OwnWait:
    """A wait of this process, which may end later than it should."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._deadline = trio.current_time() + seconds

    @property
    def stood_still(self) -> bool:
        """Whether this process stood still at its end: what came waits in its sockets."""
        return trio.current_time() > self._deadline + OWN_PAUSE_SECONDS


class RunnerControl:
    """Gives orders to runners and reads their reports.

    A runner may give an answer twice, the second time late, in the place of the next one on that
    connection. An answer with the id of another call is therefore none. Where answers to control
    calls carry no id, an order goes only on connections that had no order of late, and what reads
    as a report is none to it; a report may then be an older one. An order that rests on it is
    turned down, as it names the count; a load or a stall may be that of a moment ago.

    A runner may have started again under its id since it was asked. What another start says is no
    answer about the one that was asked; whoever judges starts hears of it.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._answer_times = AnswerTimes()
        self._judge: Callable[[Upstream, int], StartNews] = lambda asked, start: StartNews.SAME
        self._admission: Callable[[str, Purpose], Awaitable[bool]] = (
            lambda instance, purpose: _always()
        )
        self._listener: NoticeListener = lambda instance, notice, sent_at, is_question: None

    def judge_starts(self, judge: Callable[[Upstream, int], StartNews]) -> None:
        """Have the start in each answer judged: whether it is the one that was asked."""
        self._judge = judge

    def listen(self, listener: NoticeListener) -> None:
        """Register the listener for notices in answers to questions and orders."""
        self._listener = listener

    def admit(self, admission: Callable[[str, Purpose], Awaitable[bool]]) -> None:
        """Register the admission check for questions and orders."""
        self._admission = admission

    def _timeout(self, base_seconds: float) -> float:
        """Return the timeout for an answer, seconds; above the base if recent answers are late."""
        return self._answer_times.timeout(base_seconds, trio.current_time())

    def _record_timeout(self, upstream: Upstream, wait: _OwnWait) -> None:
        """Record that an answer timed out, unless a pause of this process delayed the wait."""
        if not wait.stood_still:
            now = trio.current_time()
            self._answer_times.record_timeout(upstream.instance, wait.seconds, now)

    def _start_news(self, asked: Upstream, born: int | UnsetType) -> StartNews:
        """Return which start answered; one that isn't told counts as the one that was asked."""
        return StartNews.SAME if born is UNSET else self._judge(asked, born)

    async def place(self, upstream: Upstream, assignment: Assignment, orders: int) -> OrderResult:
        """Order what is assigned, if the runner has taken `orders` orders so far."""
        body = {
            "op": "place",
            "rangeStart": assignment.first,
            "targetVersion": assignment.end,
            "how": "cut" if assignment.at_once else "wait",
            "expectedRev": orders,
        }
        answer = await self._order(upstream, body, ORDER_SECONDS, Purpose.ORDER)
        if answer is None:
            return OrderResult.UNANSWERED
        results = {200: OrderResult.HELD, 202: OrderResult.TAKEN, 409: OrderResult.CONFLICT}
        return results.get(answer[0], OrderResult.REFUSED)

    async def order_count(self, upstream: Upstream) -> int | None:
        """Return how many orders a runner has taken, None without an answer."""
        report = await self._report_if_admitted(upstream, Purpose.ORDER)
        return None if report is None else report.sequence

    async def layer_report(self, upstream: Upstream) -> LayerReport | None:
        """Return a runner's order count, layers and busy state, None without an answer."""
        report = await self._report_if_admitted(upstream, Purpose.ORDER)
        if report is None:
            return None
        return LayerReport(report.sequence, held_range(report), report.utilization)

    async def stalled(self, upstream: Upstream) -> StallReport | None:
        """Return the requests that wait at the first runner of their path, None unanswered."""
        try:
            report = await self._report(upstream)
        except _NotAdmittedError:
            return StallReport({}, asked=False)
        if report is None:
            return None
        return StallReport({each.id: each.address for each in report.stalled}, report.pace)

    async def load(self, upstream: Upstream) -> LoadReport | None:
        """Return what a runner has to do, None unanswered."""
        report = await self._report_if_admitted(upstream)
        if report is None:
            return None
        return LoadReport(report.running, report.queued, report.kvUsed, report.kvTotal)

    async def pulse(self, upstream: Upstream, seconds: float) -> PulseReading:
        """Ask a runner whether it is there; DEAD if its machine turns connections down."""
        if not await self._admission(upstream.instance, Purpose.QUESTION):
            return PulseReading(Pulse.UNASKED)
        seconds = self._timeout(seconds)
        wait = _OwnWait(seconds)
        reading = await self._pulse_once(upstream, seconds)
        if reading.pulse is Pulse.SILENT:
            self._record_timeout(upstream, wait)
        if reading.pulse is Pulse.SILENT and wait.stood_still:
            if not await self._admission(upstream.instance, Purpose.QUESTION):
                return PulseReading(Pulse.UNASKED)
            return await self._pulse_once(upstream, seconds)
        return reading

    async def reach(self, upstream: Upstream, seconds: float) -> Pulse:
        """Return whether a runner takes connections: a plain one would run what it is sent."""
        with trio.move_on_after(self._timeout(seconds)):
            try:
                connection = await self._pool.open(upstream.address)
            except ConnectionLostError:
                return Pulse.DEAD
            try:
                await trio.sleep(CLOSED_SECONDS)
                return Pulse.ALIVE if connection.is_quiet() else Pulse.SILENT
            finally:
                connection.abort()
        return Pulse.SILENT

    async def _pulse_once(self, upstream: Upstream, seconds: float) -> PulseReading:
        spoke = False
        with trio.move_on_after(seconds):
            # An idle connection may have been closed long ago; a second one tells.
            for attempt in range(2):
                if attempt and not await self._admission(upstream.instance, Purpose.QUESTION):
                    return PulseReading(Pulse.ALIVE if spoke else Pulse.UNASKED)
                try:
                    status, content = await self._exchange(upstream, b"GET", REPORT)
                except ConnectionLostError as failure:
                    # One that says something else than was asked is there.
                    spoke = spoke or failure.kind is FailureKind.MALFORMED
                    continue
                report = decode_message(content, Report)
                if report is None or status == MISDIRECTED:
                    spoke = True
                    continue
                news = self._start_news(upstream, report.born)
                if news is StartNews.NEWER:
                    return PulseReading(Pulse.DEAD)
                return PulseReading(Pulse.ALIVE, report.pace if news is StartNews.SAME else 1.0)
            return PulseReading(Pulse.ALIVE if spoke else Pulse.DEAD)
        return PulseReading(Pulse.ALIVE if spoke else Pulse.SILENT)

    async def move(
        self, upstream: Upstream, request_id: str, path: LayerPath
    ) -> tuple[MoveResult, str]:
        """Give a running request another path; the address at fault comes with PART_MISSING."""
        body = {"op": "repath", "id": request_id, "path": format_path(path)}
        answer = await self._order(upstream, body, REPORT_SECONDS)
        if answer is None:
            return MoveResult.UNANSWERED, ""
        status, content = answer
        if status in (200, 202):
            return MoveResult.MOVED, ""
        if status == 409:
            fault = decode_message(content, OrderAnswer)
            return MoveResult.PART_MISSING, fault.address if fault is not None else ""
        return MoveResult.UNKNOWN_REQUEST, ""

    async def _order(
        self,
        upstream: Upstream,
        value: object,
        seconds: float,
        purpose: Purpose = Purpose.QUESTION,
    ) -> tuple[int, bytes] | None:
        """Give an order where no answer without an id can be taken for the answer to it.

        Returns:
          The answer's status and body, None where there was none in time or another start gave it.
        """
        try:
            await self._wait_for_admission(upstream, purpose)
        except _NotAdmittedError:
            return None
        answer = await self._call(upstream, b"POST", ORDER, value, seconds, NAMELESS_ORDER)
        if answer is None or answer[0] == MISDIRECTED:
            return answer
        if decode_message(answer[1], Report) is not None:
            return None
        told = decode_message(answer[1], OrderAnswer)
        if told is not None and self._start_news(upstream, told.born) is not StartNews.SAME:
            return None
        return answer

    async def _call(
        self,
        upstream: Upstream,
        method: bytes,
        target: bytes,
        value: object,
        seconds: float,
        unlike: str | None = None,
    ) -> tuple[int, bytes] | None:
        """Return an answer's status and body, None where there was none in time."""
        wait = _OwnWait(self._timeout(seconds))
        try:
            with trio.move_on_after(wait.seconds):
                return await self._exchange(upstream, method, target, value, unlike)
        except ConnectionLostError:
            return None  # The caller counts it: an answer that is missing is a value here.
        self._record_timeout(upstream, wait)
        return None

    async def _wait_for_admission(self, upstream: Upstream, purpose: Purpose) -> None:
        """Wait for a token; a question doesn't wait, an order does for a bounded time.

        Raises:
          _NotAdmittedError: there was none in time.
        """
        patience = ORDER_PATIENCE_SECONDS if purpose is Purpose.ORDER else 0.0
        deadline = trio.current_time() + patience
        while not await self._admission(upstream.instance, purpose):
            if trio.current_time() >= deadline:
                raise _NotAdmittedError
            await trio.sleep(ADMISSION_PAUSE_SECONDS)

    async def _report_if_admitted(
        self, upstream: Upstream, purpose: Purpose = Purpose.QUESTION
    ) -> Report | None:
        """Return a runner's report, None without an answer or without a token."""
        try:
            return await self._report(upstream, purpose)
        except _NotAdmittedError:
            return None

    async def _report(
        self, upstream: Upstream, purpose: Purpose = Purpose.QUESTION
    ) -> Report | None:
        """Return a runner's report, None where there was none in time or of another start.

        Where this process itself stood still meanwhile, the answer may wait in its socket, and the
        question is asked a second time.

        Raises:
          _NotAdmittedError: there was no token for the question.
        """
        # Before the timeout starts, since a token may take longer than a healthy runner.
        await self._wait_for_admission(upstream, purpose)
        wait = _OwnWait(self._timeout(REPORT_SECONDS))
        answer = await self._call(upstream, b"GET", REPORT, None, REPORT_SECONDS)
        if answer is None and wait.stood_still:
            await self._wait_for_admission(upstream, purpose)
            answer = await self._call(upstream, b"GET", REPORT, None, REPORT_SECONDS)
        if answer is None or answer[0] != 200:
            return None
        report = decode_message(answer[1], Report)
        if report is None or self._start_news(upstream, report.born) is not StartNews.SAME:
            return None
        return report

    async def _exchange(
        self,
        upstream: Upstream,
        method: bytes,
        target: bytes,
        value: object = None,
        unlike: str | None = None,
    ) -> tuple[int, bytes]:
        """Return an answer's status and body.

        Raises:
          ConnectionLostError: there was none, or it is another call's.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        own_id = token_hex(ID_BYTES)
        headers = [
            (b"host", upstream.address.encode()),
            (EXPECTED_INSTANCE, runner_id(upstream.instance).encode()),
            (REQUEST_ID, own_id.encode()),
        ]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        async with self._pool.lent(upstream.address, unlike=unlike) as connection:
            sent_at = trio.current_time()
            reply = await connection.call(method, target, tuple(headers), body)
            told_id = _id(reply)
            for _ in range(REMEMBERED_CALLS):
                if told_id in (own_id, NAMELESS) or not connection.had_call(told_id):
                    break
                reply = await connection.next_reply()
                told_id = _id(reply)
            if told_id not in (own_id, NAMELESS):
                raise ConnectionLostError(FailureKind.MALFORMED, "the answer is another call's")
            connection.note_call(told_id)
            if told_id == NAMELESS and unlike is not None:
                connection.note_call(unlike)
                if self._pool.idle(upstream.address) >= MOST_KEPT_AFTER_ORDERS:
                    connection.retire()
            content = await reply.whole_body()
            answered_at = trio.current_time()
            self._answer_times.record(upstream.instance, answered_at - sent_at, answered_at)
        self._apply_notice(upstream, notice_of(reply), content, sent_at)
        return reply.status, content

    def _apply_notice(
        self, asked: Upstream, notice: UpstreamNotice, content: bytes, sent_at: float
    ) -> None:
        """Pass a notice on, unless another start of the runner answered."""
        if notice.anonymous:
            return
        told = decode_message(content, OrderAnswer)
        born = told.born if told is not None else UNSET
        if self._start_news(asked, born) is StartNews.SAME:
            self._listener(asked.instance, notice, sent_at, True)


def _id(reply: UpstreamReply) -> str:
    return header_value(reply.headers, REQUEST_ID).decode("latin-1")
