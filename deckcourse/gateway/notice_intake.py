"""Applies what upstreams ask for in their answers, to whatever question they gave them."""

from collections.abc import Callable

from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.upstream_notice import NOTHING_ASKED, UpstreamNotice
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["NoticeIntake"]


class NoticeIntake:
    """Applies the notices in upstreams' answers to what this process knows of them.

    Args:
      upstreams: where pauses and leaving are noted.
      limits: where rate limits are noted.
      count: counts by name.
      log: writes decisions.
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
        self, instance: str, notice: UpstreamNotice, sent_at: float, is_question: bool = False
    ) -> None:
        """Take in what an upstream asks for in an answer of its own.

        Args:
          instance: the upstream.
          notice: what its answer says.
          sent_at: when the request was sent that it answers, on the process's clock.
          is_question: whether that was a question or an order, no caller's request.
        """
        if notice.anonymous:
            return
        if notice.rate_limit is not None or not notice.malformed:
            self._limits.record(instance, notice.rate_limit, sent_at, is_question)
        if self._limits.rate_of(instance) is not None:
            self._count("limited.question" if is_question else "limited.request")
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
