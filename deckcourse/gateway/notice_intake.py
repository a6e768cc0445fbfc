"""Applies the notices in upstream responses to the upstream table and the rate limits."""

from collections.abc import Callable

from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.upstream_notice import NOTHING_ASKED, UpstreamNotice
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["NoticeIntake"]


class NoticeIntake:
    """Applies upstream notices.

    Args:
      upstreams: records backoffs and leaving upstreams.
      limits: records rate limits.
      count: increments a counter by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        limits: RateLimitBook,
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._upstreams = upstreams
        self._limits = limits
        self._count = count
        self._log = log

    def apply(
        self, instance: str, notice: UpstreamNotice, sent_at: float, is_control: bool = False
    ) -> None:
        """Apply the notice in an upstream's response.

        Args:
          instance: the upstream.
          notice: the parsed headers.
          sent_at: when the request was sent, on trio's clock.
          is_control: whether it responds to a query or an order rather than a caller's request.
        """
        if notice.anonymous:
            return
        if notice.rate_limit is not None or not notice.malformed:
            self._limits.record(instance, notice.rate_limit, sent_at, is_control)
        if self._limits.rate_of(instance) is not None:
            self._count("limited.question" if is_control else "limited.request")
        if notice == NOTHING_ASKED:
            return
        if notice.malformed:
            self._count("malformed.notice")
        if notice.leaving and self._upstreams.note_leaving(instance):
            self._count("upstream.leaving")
            self._log("upstream-leaving", instance=instance)
        if notice.backoff:
            self._upstreams.note_backoff(instance, notice.backoff)
            self._count("upstream.backoff")
            seconds = round(notice.backoff, 3)
            self._log("upstream-backoff", instance=instance, seconds=seconds)
