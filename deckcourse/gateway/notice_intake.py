"""Takes in what upstreams ask for in their answers, to whatever question they gave them."""

from collections.abc import Callable

from deckcourse.gateway.upstream_notice import NOTHING_ASKED, UpstreamNotice

__all__ = ["NoticeIntake"]


class NoticeIntake:
    """Hears every upstream.

    Args:
      count: counts by name.
      log: writes decisions.
    """

    def __init__(self, count: Callable[[str], None], log: Callable[..., None]) -> None:
        self._count = count
        self._log = log

    def hear(self, instance: str, notice: UpstreamNotice) -> None:
        """Take in what an upstream asks for in an answer of its own."""
        if notice == NOTHING_ASKED:
            return
        if notice.malformed:
            self._count("malformed.notice")
        if notice.leaving:
            self._log("upstream-leaving", instance=instance)
        if notice.backoff:
            self._count("upstream.backoff")
            seconds = round(notice.backoff, 3)
            self._log("upstream-backoff", instance=instance, seconds=seconds)
