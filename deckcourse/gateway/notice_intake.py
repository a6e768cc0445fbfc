"""Applies the notices in upstream responses to the upstream table and the rate limits.

A response to a caller's request doesn't tell which incarnation of the upstream sent it. A
connection belongs to one process, so the sender is the newest incarnation that had started when the
connection was opened.
"""

from collections.abc import Callable

import trio

from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.retained_notices import RetainedNotice, RetainedNotices
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstream_notice import NoticeOrigin, UpstreamNotice
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["NoticeIntake"]


class NoticeIntake:
    """Applies upstream notices to the incarnations that sent them.

    Args:
      upstreams: records backoffs and leaving upstreams.
      limits: records rate limits.
      count: increments a counter by name.
      log: writes the decision log.
      wall_clock: returns seconds since the epoch, to be compared with start times.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        limits: RateLimitBook,
        count: Callable[[str], None],
        log: Callable[..., None],
        wall_clock: Callable[[], float],
    ) -> None:
        self._upstreams = upstreams
        self._limits = limits
        self._count = count
        self._log = log
        self._wall_clock = wall_clock
        self._retained = RetainedNotices()

    def apply(self, instance: str, notice: UpstreamNotice, origin: NoticeOrigin) -> None:
        """Apply the notice in an upstream's response.

        Args:
          instance: the incarnation that the request addressed; a newer one may have responded.
          notice: the parsed headers.
          origin: the response that carried them.
        """
        if notice.anonymous:
            return
        if notice.malformed:
            self._count("malformed.notice")
        addressed = self._upstreams.row_of(instance)
        if addressed is None:
            self._apply_to(instance, notice, origin)
        else:
            self._apply_to_sender(addressed, notice, origin)
        if notice.backoff:
            self._apply_backoff(instance, notice.backoff)

    def on_listed(self, upstream: Upstream) -> None:
        """Apply what an incarnation told before its first row came."""
        limit = self._retained.limit_of(upstream)
        if limit is not None:
            self._record_limit(upstream.instance, limit.notice, limit.origin)
        shutdown = self._retained.shutdown_of(upstream)
        if shutdown is None or self._upstreams.is_leaving(upstream):
            return
        self._record_shutdown(upstream.instance, shutdown.identifies(upstream), before_row=True)

    def _apply_to_sender(
        self, addressed: Upstream, notice: UpstreamNotice, origin: NoticeOrigin
    ) -> None:
        """Apply a notice to its sender: the listed or the addressed incarnation.

        It is also retained, in case neither is the sender and its row is still to come.
        """
        latest_start = self._latest_start(origin)
        retained = RetainedNotice(notice, addressed, origin, latest_start, trio.current_time())
        listed = self._upstreams.by_name(addressed.name)
        if listed is not None and retained.is_from(listed):
            self._apply_to(listed.instance, notice, origin, retained.identifies(listed))
        elif retained.may_be_from_addressed:
            self._apply_to(addressed.instance, notice, origin)
        self._retained.put(retained)

    def _latest_start(self, origin: NoticeOrigin) -> float:
        """Return the latest start time that the sender may have, milliseconds since the epoch."""
        if origin.start is not None:
            return origin.start
        connection_age = trio.current_time() - origin.connected_at
        return (self._wall_clock() - connection_age) * 1000

    def _apply_to(
        self, instance: str, notice: UpstreamNotice, origin: NoticeOrigin, is_certain: bool = True
    ) -> None:
        self._record_limit(instance, notice, origin)
        if notice.leaving:
            self._record_shutdown(instance, is_certain)

    def _record_shutdown(self, instance: str, is_certain: bool, **details: object) -> None:
        """Record a shutdown, for a limited time if it is uncertain which incarnation sent it."""
        table = self._upstreams
        is_new = table.note_leaving(instance) if is_certain else table.presume_leaving(instance)
        if is_new:
            self._count("upstream.leaving")
            self._log("upstream-leaving", instance=instance, **details)

    def _record_limit(self, instance: str, notice: UpstreamNotice, origin: NoticeOrigin) -> None:
        if notice.rate_limit is not None or not notice.malformed:
            self._limits.record(instance, notice.rate_limit, origin.sent_at, origin.is_control)
        if self._limits.rate_of(instance) is not None:
            self._count("limited.question" if origin.is_control else "limited.request")

    def _apply_backoff(self, instance: str, seconds: float) -> None:
        self._upstreams.note_backoff(instance, seconds)
        self._count("upstream.backoff")
        self._log("upstream-backoff", instance=instance, seconds=round(seconds, 3))
