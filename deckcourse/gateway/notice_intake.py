"""Takes in what upstreams ask for in their answers, to whatever question they gave them."""

from collections.abc import Callable

from deckcourse.gateway.upstream_notice import NOTHING_ASKED, UpstreamNotice
from deckcourse.gateway.upstreams import UpstreamTable

__all__ = ["NoticeIntake"]


class NoticeIntake:
    """Hears every upstream.

    Args:
      upstreams: where it is noted.
      count: counts by name.
      log: writes decisions.
    """

    def __init__(
        self, upstreams: UpstreamTable, count: Callable[[str], None], log: Callable[..., None]
    ) -> None:
        self._upstreams = upstreams
        self._count = count
        self._log = log

    def hear(self, instance: str, notice: UpstreamNotice) -> None:
        """Take in what an upstream asks for in an answer of its own."""
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
