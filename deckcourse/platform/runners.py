"""Orders to runners, and queries of their reports."""

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
    ProbeReply,
    ProbeResult,
    StallReport,
)
from deckcourse.gateway.upstream import StartOrder, Upstream
from deckcourse.gateway.upstream_notice import NoticeOrigin, UpstreamNotice
from deckcourse.http1.client import MAX_REMEMBERED_CALLS, UNNAMED_CALL, UpstreamReply
from deckcourse.http1.message import ConnectionLostError, FailureKind, header_value
from deckcourse.http1.pool import ConnectionPool
from deckcourse.layers.hosts import Assignment
from deckcourse.layers.orders import LayerReport, OrderResult
from deckcourse.layers.paths import LayerPath
from deckcourse.peers.purpose import Purpose
from deckcourse.platform.dialect import format_path
from deckcourse.platform.names import (
    EXPECTED_INSTANCE,
    INSTANCE,
    MISDIRECTED,
    ORDER,
    REPORT,
    REQUEST_ID,
)
from deckcourse.platform.notices import parse_notice
from deckcourse.platform.reports import OrderAnswer, Report, decode_message, held_range
from deckcourse.platform.starts import runner_id

__all__ = ["RunnerControl"]

# A runner answers a query within about 2 ms. One that takes longer than this counts as lost.
REPORT_TIMEOUT_SECONDS = 0.15
# Timeout of an order's reply, after which the order is sent again.
ORDER_TIMEOUT_SECONDS = 0.12
# How long an order waits for a rate limit token, and the interval between its attempts.
ORDER_TOKEN_TIMEOUT_SECONDS = 1.0
TOKEN_RETRY_INTERVAL_SECONDS = 0.1
# A wait that ends later than its timeout by more than this shows that this process was paused.
MIN_PROCESS_PAUSE_SECONDS = 0.03
# The name recorded for an order whose reply has no id. A duplicate of that reply could be taken for
# the reply to a later order on the same connection.
NAMELESS_ORDER = "\0order"
# A connection that had such an order is closed if this many other idle ones exist. Each order in
# succession needs another connection: without the limit, fifty stayed open after fifty orders.
MAX_IDLE_AFTER_ORDER = 2
# Random bytes in the id of a control call, so that it differs from all ids of callers' requests.
ID_BYTES = 8
# A proxy that accepts connections for a runner that has exited closes them within this time.
PROXY_CLOSE_TIMEOUT_SECONDS = 0.01


class _NotAdmittedError(Exception):
    """The runner's rate limit granted no token for a query or an order."""


async def _admit_all() -> bool:
    """Admit every query and order."""
    return True


class _TimedWait:
    """A wait with a timeout, which ends late if this process is paused meanwhile."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._deadline = trio.current_time() + seconds

    @property
    def process_was_paused(self) -> bool:
        """Whether this process was paused at the timeout: a reply may wait unread in its socket."""
        return trio.current_time() > self._deadline + MIN_PROCESS_PAUSE_SECONDS


class RunnerControl:
    """Sends orders to runners and queries their reports.

    A runner may send a late duplicate of a reply in place of the next reply on the same connection.
    Replies with the id of another call are therefore ignored. If replies to control calls have no
    id, an order is sent only on connections without a recent order, and a report is not accepted as
    its reply. A report itself may then be an outdated duplicate: an order based on it is refused,
    since it contains the order count, while a load or a stall may be slightly outdated.

    A runner may have restarted under its id since the call was made. The reply of another
    incarnation is ignored, after its start time has been passed to the callback of
    `set_start_observer`.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._answer_times = AnswerTimes()
        self._judge_start: Callable[[Upstream, int], StartOrder] = (
            lambda asked, start: StartOrder.SAME
        )
        self._admit: Callable[[str, Purpose], Awaitable[bool]] = (
            lambda instance, purpose: _admit_all()
        )
        self._on_notice: NoticeListener = lambda instance, notice, origin: None

    def set_start_observer(self, judge: Callable[[Upstream, int], StartOrder]) -> None:
        """Register the callback that compares a reply's start time with the queried incarnation."""
        self._judge_start = judge

    def set_notice_listener(self, listener: NoticeListener) -> None:
        """Register the listener for notices in replies to queries and orders."""
        self._on_notice = listener

    def set_admission_check(self, admission: Callable[[str, Purpose], Awaitable[bool]]) -> None:
        """Register the admission check for queries and orders."""
        self._admit = admission

    def _timeout(self, base_seconds: float) -> float:
        """Return the timeout of a reply, seconds; above the base if recent replies were late."""
        return self._answer_times.timeout(base_seconds, trio.current_time())

    def _record_timeout(self, upstream: Upstream, wait: _TimedWait) -> None:
        """Record that a reply timed out, unless a pause of this process delayed the wait."""
        if not wait.process_was_paused:
            now = trio.current_time()
            self._answer_times.record_timeout(upstream.instance, wait.seconds, now)

    def _compare_start(self, asked: Upstream, born: int | UnsetType) -> StartOrder:
        """Return which incarnation replied; without a start time it counts as the queried one."""
        return StartOrder.SAME if born is UNSET else self._judge_start(asked, born)

    async def place(self, upstream: Upstream, assignment: Assignment, orders: int) -> OrderResult:
        """Order the assigned layers; accepted if the runner has taken `orders` orders so far."""
        body = {
            "op": "place",
            "rangeStart": assignment.first,
            "targetVersion": assignment.end,
            "how": "cut" if assignment.at_once else "wait",
            "expectedRev": orders,
        }
        answer = await self._order(upstream, body, ORDER_TIMEOUT_SECONDS, Purpose.ORDER)
        if answer is None:
            return OrderResult.UNANSWERED
        results = {200: OrderResult.HELD, 202: OrderResult.ACCEPTED, 409: OrderResult.CONFLICT}
        return results.get(answer[0], OrderResult.REFUSED)

    async def order_count(self, upstream: Upstream) -> int | None:
        """Return the number of orders that a runner has taken, None without a reply."""
        report = await self._report_if_admitted(upstream, Purpose.ORDER)
        return None if report is None else report.sequence

    async def layer_report(self, upstream: Upstream) -> LayerReport | None:
        """Return a runner's order count, layers and busy state, None without a reply."""
        report = await self._report_if_admitted(upstream, Purpose.ORDER)
        if report is None:
            return None
        return LayerReport(report.sequence, held_range(report), report.utilization)

    async def query_stalled(self, upstream: Upstream) -> StallReport | None:
        """Return the stalled requests whose first stage is this runner, None without a reply."""
        try:
            report = await self._report(upstream)
        except _NotAdmittedError:
            return StallReport({}, was_sent=False)
        if report is None:
            return None
        return StallReport({each.id: each.address for each in report.stalled}, report.pace)

    async def query_load(self, upstream: Upstream) -> LoadReport | None:
        """Return a runner's load, None without a reply."""
        report = await self._report_if_admitted(upstream)
        if report is None:
            return None
        return LoadReport(report.running, report.queued, report.kvUsed, report.kvTotal)

    async def probe(self, upstream: Upstream, seconds: float, afresh: bool = False) -> ProbeReply:
        """Probe a runner with a query; DEAD if its machine refuses connections."""
        if not await self._admit(upstream.instance, Purpose.QUERY):
            return ProbeReply(ProbeResult.NOT_SENT)
        seconds = self._timeout(seconds)
        wait = _TimedWait(seconds)
        reading = await self._probe_once(upstream, seconds, afresh)
        if reading.result is ProbeResult.SILENT:
            self._record_timeout(upstream, wait)
        if reading.result is ProbeResult.SILENT and wait.process_was_paused:
            if not await self._admit(upstream.instance, Purpose.QUERY):
                return ProbeReply(ProbeResult.NOT_SENT)
            return await self._probe_once(upstream, seconds, afresh)
        return reading

    async def probe_connection(
        self, upstream: Upstream, seconds: float, quiet_seconds: float = PROXY_CLOSE_TIMEOUT_SECONDS
    ) -> ProbeResult:
        """Probe a runner by opening a connection only: some runners would execute any request."""
        with trio.move_on_after(self._timeout(seconds)):
            try:
                connection = await self._pool.open(upstream.address)
            except ConnectionLostError:
                return ProbeResult.DEAD
            try:
                await trio.sleep(quiet_seconds)
                return ProbeResult.ALIVE if connection.is_quiet() else ProbeResult.SILENT
            finally:
                connection.abort()
        return ProbeResult.SILENT

    async def probe_health(
        self, upstream: Upstream, health_path: str, seconds: float
    ) -> ProbeResult:
        """Probe a runner by its health path, whose reply names the incarnation.

        The reply may take as long as that to a request, and be a refusal without a name.
        """
        if not await self._admit(upstream.instance, Purpose.QUERY):
            return ProbeResult.NOT_SENT
        with trio.move_on_after(seconds):
            try:
                reply, _ = await self._exchange(
                    upstream, b"GET", health_path.encode(), afresh=True, is_timed=False
                )
            except ConnectionLostError as failure:
                return ProbeResult.DEAD if _is_refused(failure) else ProbeResult.SILENT
            name = header_value(reply.headers, INSTANCE).decode("latin-1")
            if name == runner_id(upstream.instance):
                return ProbeResult.ALIVE
            return ProbeResult.DEAD if name or reply.status == MISDIRECTED else ProbeResult.SILENT
        return ProbeResult.SILENT

    async def _probe_once(self, upstream: Upstream, seconds: float, afresh: bool) -> ProbeReply:
        has_replied = False
        with trio.move_on_after(seconds):
            # An idle connection may have been closed by the runner, so a failure is retried once.
            for attempt in range(2):
                if attempt and not await self._admit(upstream.instance, Purpose.QUERY):
                    return ProbeReply(ProbeResult.ALIVE if has_replied else ProbeResult.NOT_SENT)
                try:
                    reply, content = await self._exchange(upstream, b"GET", REPORT, afresh=afresh)
                except ConnectionLostError as failure:
                    # A malformed reply shows that the runner is alive.
                    has_replied = has_replied or failure.kind is FailureKind.MALFORMED
                    continue
                report = decode_message(content, Report)
                if report is None or reply.status == MISDIRECTED:
                    has_replied = True
                    continue
                incarnation = self._compare_start(upstream, report.born)
                if incarnation is StartOrder.NEWER:
                    return ProbeReply(ProbeResult.DEAD)
                if incarnation is StartOrder.OLDER:
                    return ProbeReply(ProbeResult.ALIVE)
                return ProbeReply(ProbeResult.ALIVE, report.pace, is_identified=True)
            return ProbeReply(ProbeResult.ALIVE if has_replied else ProbeResult.DEAD)
        return ProbeReply(ProbeResult.ALIVE if has_replied else ProbeResult.SILENT)

    async def move(
        self, upstream: Upstream, request_id: str, path: LayerPath
    ) -> tuple[MoveResult, str]:
        """Move a running request to another path.

        With STAGE_MISSING, the second value is the address of the runner whose stage is missing.
        """
        body = {"op": "repath", "id": request_id, "path": format_path(path)}
        answer = await self._order(upstream, body, REPORT_TIMEOUT_SECONDS)
        if answer is None:
            return MoveResult.UNANSWERED, ""
        status, content = answer
        if status in (200, 202):
            return MoveResult.MOVED, ""
        if status == 409:
            refusal = decode_message(content, OrderAnswer)
            return MoveResult.STAGE_MISSING, refusal.address if refusal is not None else ""
        return MoveResult.UNKNOWN_REQUEST, ""

    async def _order(
        self,
        upstream: Upstream,
        value: object,
        seconds: float,
        purpose: Purpose = Purpose.QUERY,
    ) -> tuple[int, bytes] | None:
        """Send an order on a connection where no duplicate reply can be taken for its reply.

        Returns:
          The reply's status and body, None if none came in time or another incarnation replied.
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
        order_answer = decode_message(answer[1], OrderAnswer)
        if (
            order_answer is not None
            and self._compare_start(upstream, order_answer.born) is not StartOrder.SAME
        ):
            return None
        return answer

    async def _call(
        self,
        upstream: Upstream,
        method: bytes,
        target: bytes,
        value: object,
        seconds: float,
        call_name: str | None = None,
    ) -> tuple[int, bytes] | None:
        """Make one call; return the reply's status and body, None if none came in time."""
        wait = _TimedWait(self._timeout(seconds))
        try:
            with trio.move_on_after(wait.seconds):
                reply, content = await self._exchange(upstream, method, target, value, call_name)
                return reply.status, content
        except ConnectionLostError:
            return None  # A missing reply is a regular result, which the caller handles.
        self._record_timeout(upstream, wait)
        return None

    async def _wait_for_admission(self, upstream: Upstream, purpose: Purpose) -> None:
        """Get a rate limit token; an order waits for a limited time, a query doesn't wait.

        Raises:
          _NotAdmittedError: no token was granted in time.
        """
        token_timeout = ORDER_TOKEN_TIMEOUT_SECONDS if purpose is Purpose.ORDER else 0.0
        deadline = trio.current_time() + token_timeout
        while not await self._admit(upstream.instance, purpose):
            if trio.current_time() >= deadline:
                raise _NotAdmittedError
            await trio.sleep(TOKEN_RETRY_INTERVAL_SECONDS)

    async def _report_if_admitted(
        self, upstream: Upstream, purpose: Purpose = Purpose.QUERY
    ) -> Report | None:
        """Return a runner's report, None without a reply or without a token."""
        try:
            return await self._report(upstream, purpose)
        except _NotAdmittedError:
            return None

    async def _report(self, upstream: Upstream, purpose: Purpose = Purpose.QUERY) -> Report | None:
        """Return a runner's report, None if none came in time or another incarnation replied.

        If this process was paused at the timeout, the reply may have come unread, and the query is
        retried once.

        Raises:
          _NotAdmittedError: no token was granted for the query.
        """
        # Before the timeout starts, since a token may take longer than a healthy runner's reply.
        await self._wait_for_admission(upstream, purpose)
        wait = _TimedWait(self._timeout(REPORT_TIMEOUT_SECONDS))
        answer = await self._call(upstream, b"GET", REPORT, None, REPORT_TIMEOUT_SECONDS)
        if answer is None and wait.process_was_paused:
            await self._wait_for_admission(upstream, purpose)
            answer = await self._call(upstream, b"GET", REPORT, None, REPORT_TIMEOUT_SECONDS)
        if answer is None or answer[0] != 200:
            return None
        report = decode_message(answer[1], Report)
        if report is None or self._compare_start(upstream, report.born) is not StartOrder.SAME:
            return None
        return report

    async def _exchange(
        self,
        upstream: Upstream,
        method: bytes,
        target: bytes,
        value: object = None,
        call_name: str | None = None,
        afresh: bool = False,
        is_timed: bool = True,
    ) -> tuple[UpstreamReply, bytes]:
        """Send a request and return the reply and its body.

        Args:
          upstream: the recipient.
          method: the method.
          target: the path.
          value: the body, sent as JSON.
          call_name: see `ConnectionPool.acquire`.
          afresh: whether to open a new connection.
          is_timed: whether the time to the reply tells how late replies are.

        Raises:
          ConnectionLostError: there was no reply, or it belongs to another call.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        call_id = token_hex(ID_BYTES)
        headers = [
            (b"host", upstream.address.encode()),
            (EXPECTED_INSTANCE, runner_id(upstream.instance).encode()),
            (REQUEST_ID, call_id.encode()),
        ]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        address = upstream.address
        connection = await (
            self._pool.open(address)
            if afresh
            else self._pool.acquire(address, without_call=call_name)
        )
        with self._pool.release_after_call(connection):
            sent_at = trio.current_time()
            reply = await connection.call(method, target, tuple(headers), body)
            reply_id = _id(reply)
            for _ in range(MAX_REMEMBERED_CALLS):
                if reply_id in (call_id, UNNAMED_CALL) or not connection.has_recent_call(reply_id):
                    break
                reply = await connection.next_reply()
                reply_id = _id(reply)
            if reply_id not in (call_id, UNNAMED_CALL):
                raise ConnectionLostError(
                    FailureKind.MALFORMED, "the reply belongs to another call"
                )
            connection.record_call(reply_id)
            if reply_id == UNNAMED_CALL and call_name is not None:
                connection.record_call(call_name)
                if self._pool.idle_count(upstream.address) >= MAX_IDLE_AFTER_ORDER:
                    connection.close_after_call()
            content = await reply.read_body()
            answered_at = trio.current_time()
            if is_timed:
                self._answer_times.record(upstream.instance, answered_at - sent_at, answered_at)
        self._apply_notice(upstream, parse_notice(reply), content, sent_at, connection.opened_at)
        return reply, content

    def _apply_notice(
        self,
        asked: Upstream,
        notice: UpstreamNotice,
        content: bytes,
        sent_at: float,
        connected_at: float,
    ) -> None:
        """Pass a notice to the listener with the start time of the incarnation that replied."""
        if notice.anonymous:
            return
        order_answer = decode_message(content, OrderAnswer)
        start = order_answer.born if order_answer is not None else UNSET
        if start is not UNSET:
            self._judge_start(asked, start)
        origin = NoticeOrigin(
            sent_at, connected_at, None if start is UNSET else start, is_control=True
        )
        self._on_notice(asked.instance, notice, origin)


def _is_refused(failure: ConnectionLostError) -> bool:
    """Return whether a machine refused a connection, rather than didn't accept it in time."""
    is_late = isinstance(failure.__cause__, trio.TooSlowError)
    return failure.kind is FailureKind.UNSENT and not is_late


def _id(reply: UpstreamReply) -> str:
    return header_value(reply.headers, REQUEST_ID).decode("latin-1")
