"""Queries of the incarnation of plain upstreams, at the health path of their service.

Load pattern: many answers without a length end at an upstream that is full. A query waits there for
a place like a request, or is refused. There is therefore at most one at a time for each upstream,
it waits for as long as the callers can, and its reply counts for all answers that ended before it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from deckcourse.gateway.dialect import ProbeResult, StreamControl
from deckcourse.gateway.upstream import Upstream

__all__ = ["HealthQueries"]

# Pause before the next query after one that was refused or got no reply.
RETRY_INTERVAL_SECONDS = 0.2
# Results that tell whether the upstream is there, or that it may not be queried.
CONCLUSIVE_RESULTS = frozenset({ProbeResult.ALIVE, ProbeResult.DEAD, ProbeResult.NOT_SENT})


@dataclass
class _Query:
    """A query in flight, sent at a time on trio's clock, and its result."""

    sent_at: float
    result: ProbeResult = ProbeResult.SILENT
    done: trio.Event = field(default_factory=trio.Event)


class HealthQueries:
    """Sends these queries, one at a time for each upstream.

    Args:
      control: sends them.
      may_query: returns whether an upstream accepts queries now, by its instance name.
    """

    def __init__(self, control: StreamControl, may_query: Callable[[str], bool]) -> None:
        self._control = control
        self._may_query = may_query
        self._queries: dict[str, _Query] = {}
        # When an upstream may be queried again after a query without a result.
        self._retry_at: dict[str, float] = {}

    async def query(self, upstream: Upstream, health_path: str, deadline: float) -> ProbeResult:
        """Return whether the same incarnation of an upstream is there now.

        ALIVE or DEAD as it replied, NOT_SENT if it may not be queried, SILENT if there was no reply
        with a name until the deadline.

        Args:
          upstream: the upstream.
          health_path: the path, as its service states it.
          deadline: when to give up, on trio's clock.
        """
        with trio.move_on_at(deadline):
            return await self._query_until_told(upstream, health_path, deadline)
        return ProbeResult.SILENT

    async def _query_until_told(
        self, upstream: Upstream, health_path: str, deadline: float
    ) -> ProbeResult:
        instance = upstream.instance
        asked_at = trio.current_time()
        while True:
            query = self._queries.get(instance)
            if query is not None:
                await query.done.wait()
                is_later = query.sent_at >= asked_at
            elif trio.current_time() < self._retry_at.get(instance, 0.0):
                await trio.sleep_until(self._retry_at[instance])
                continue
            elif not self._may_query(instance):
                return ProbeResult.NOT_SENT
            else:
                query = await self._send(upstream, health_path, deadline)
                is_later = True
            if is_later and query.result in CONCLUSIVE_RESULTS:
                return query.result

    async def _send(self, upstream: Upstream, health_path: str, deadline: float) -> _Query:
        now = trio.current_time()
        query = self._queries[upstream.instance] = _Query(now)
        try:
            query.result = await self._control.probe_health(upstream, health_path, deadline - now)
        finally:
            del self._queries[upstream.instance]
            self._note_end(upstream.instance, query.result)
            query.done.set()
        return query

    def _note_end(self, instance: str, result: ProbeResult) -> None:
        now = trio.current_time()
        self._retry_at = {name: at for name, at in self._retry_at.items() if at > now}
        if result is ProbeResult.SILENT:
            self._retry_at[instance] = now + RETRY_INTERVAL_SECONDS
