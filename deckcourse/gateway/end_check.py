"""Checks answers whose end only the end of their connection marks.

The connections of a process that exits are closed in good order, unless they hold unread bytes. An
answer without a length or chunks that such a process was sending then looks complete. It counts as
complete only if the same incarnation of its upstream is still there after the end.

An accepted connection doesn't show that: a proxy or a listener that outlives the process accepts
connections for it, and so does the next process, of which this one may learn late.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

from deckcourse.gateway.dialect import ProbeResult, StreamControl
from deckcourse.gateway.health_queries import HealthQueries
from deckcourse.gateway.sibling_connections import SiblingConnections
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.client import UpstreamConnection, UpstreamReply
from deckcourse.http1.message import ConnectionLostError, FailureKind

__all__ = ["AnswerSource", "EndCheck"]

# Probe timeout, seconds: allows for a lost packet, which is sent again after 0.2 s. The caller has
# all that came before the end, and waits for nothing else.
PROBE_TIMEOUT_SECONDS = 0.3


@dataclass(frozen=True)
class AnswerSource:
    """The request of an answer, and the upstream that sent it.

    Attributes:
      request_id: the request, for the log.
      instance: the upstream.
      accepts_queries: whether the upstream accepts queries; a plain one would execute them.
      health_path: where a plain upstream tells its incarnation, empty if it does so nowhere.
      query_deadline: until when a query there may wait for its reply, on trio's clock.
    """

    request_id: str
    instance: str
    accepts_queries: bool
    health_path: str = ""
    query_deadline: float = 0.0


class EndCheck:
    """Checks whether upstreams are still there after the end of such an answer.

    Each answer is checked by what comes after its end: what came before may have been sent before
    the upstream ended.

    Args:
      upstreams: the upstreams that this process knows.
      control: sends probes.
      siblings: knows which connections lead to the same process.
      was_paused: returns whether this process was paused when what it reads now arrived: another
        process may have taken the address since then.
      count: increments a counter by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        control: StreamControl,
        siblings: SiblingConnections,
        was_paused: Callable[[], bool],
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._upstreams = upstreams
        self._control = control
        self._siblings = siblings
        self._was_paused = was_paused
        self._health = HealthQueries(control, self._may_query)
        self._count = count
        self._log = log

    async def run(self) -> None:
        """Run what requests leave to the background, until cancelled."""
        await self._siblings.run()

    def note_request(self, connection: UpstreamConnection, can_be_asked: bool = True) -> None:
        """Prepare for the end of an answer; called before its request is sent.

        Args:
          connection: the connection of the request.
          can_be_asked: whether the upstream has a health path, or accepts queries.
        """
        self._siblings.note_request(connection, can_be_asked)

    def note_answer(self, reply: UpstreamReply) -> None:
        """Prepare for the end of an answer; called with its head."""
        if reply.ends_with_connection:
            self._siblings.note_unframed_answer(reply.connection)
        else:
            self._siblings.note_framed_answer(reply.connection)

    async def check(self, reply: UpstreamReply, source: AnswerSource) -> None:
        """Check the end of an answer that was read to it.

        Args:
          reply: the answer.
          source: where it came from.

        Raises:
          ConnectionLostError: LOST, only the end of the connection marks the end of the answer, and
            its upstream may have ended with it.
        """
        if not reply.ended_with_connection:
            return
        ended_at = trio.current_time()
        was_paused = self._was_paused()
        if source.accepts_queries:
            result, evidence = await self._check_queryable(reply, source)
        else:
            result, evidence = await self._check_plain(reply, source)
        if self._upstreams.has_ended(source.instance):
            result, evidence = ProbeResult.DEAD, "superseded"
        self._count(f"unframed-end.{result}")
        self._log(
            "unframed-end",
            request=source.request_id,
            instance=source.instance,
            pulse=str(result),
            evidence=evidence,
            paused=was_paused,
            took_ms=round((trio.current_time() - ended_at) * 1000),
        )
        if result is not ProbeResult.ALIVE:
            raise ConnectionLostError(FailureKind.LOST, "the upstream may have ended")

    def _may_query(self, instance: str) -> bool:
        """Return whether an upstream has not asked for a time without requests."""
        return self._upstreams.backoff_until(instance) is None

    async def _check_queryable(
        self, reply: UpstreamReply, source: AnswerSource
    ) -> tuple[ProbeResult, str]:
        """Return ALIVE only if the same incarnation replies, and what showed the result.

        At its limit of connections, an upstream resets those of a query; its machine refuses none.
        """
        upstream = self._upstreams.last_known(source.instance)
        if upstream is None:
            return ProbeResult.SILENT, "unknown"
        answer = await self._control.probe(upstream, PROBE_TIMEOUT_SECONDS)
        if answer.result is ProbeResult.ALIVE:
            is_same = answer.is_identified
            return (ProbeResult.ALIVE if is_same else ProbeResult.SILENT), "report"
        if answer.result is ProbeResult.SILENT:
            return answer.result, "report"
        if await self._siblings.outlive(reply.connection):
            is_dead = answer.result is ProbeResult.DEAD and await self._is_refused(upstream)
            return (ProbeResult.DEAD if is_dead else ProbeResult.ALIVE), "sibling"
        if answer.result is ProbeResult.NOT_SENT:
            return ProbeResult.SILENT, "none"
        return answer.result, "report"

    async def _check_plain(
        self, reply: UpstreamReply, source: AnswerSource
    ) -> tuple[ProbeResult, str]:
        """Return ALIVE only if the same incarnation is still there, and what showed the result."""
        upstream = self._upstreams.last_known(source.instance)
        if upstream is None:
            return ProbeResult.SILENT, "unknown"
        if not source.health_path:
            return await self._check_unaskable(reply, upstream)
        if await self._siblings.outlive(reply.connection):
            return ProbeResult.ALIVE, "sibling"
        result = await self._health.query(upstream, source.health_path, source.query_deadline)
        if result is not ProbeResult.NOT_SENT:
            return result, "health"
        return ProbeResult.SILENT, "none"

    async def _check_unaskable(
        self, reply: UpstreamReply, upstream: Upstream
    ) -> tuple[ProbeResult, str]:
        """Return ALIVE only if siblings stay open and the machine is not silent.

        A sibling stays open on a machine that went silent, too; a new connection tells these apart.
        It may be closed at once: an upstream at its limit of connections does that.
        """
        if not await self._siblings.outlive(reply.connection, math.inf):
            return ProbeResult.SILENT, "none"
        result = await self._control.probe_connection(
            upstream, PROBE_TIMEOUT_SECONDS, quiet_seconds=0.0
        )
        return result, "sibling"

    async def _is_refused(self, upstream: Upstream) -> bool:
        """Return whether the machine of an upstream refuses connections."""
        result = await self._control.probe_connection(upstream, PROBE_TIMEOUT_SECONDS)
        return result is ProbeResult.DEAD
