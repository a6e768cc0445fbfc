"""Notices of upstreams, retained for incarnations whose rows aren't known yet.

An upstream may restart under its id, and the response of the new incarnation may come before its
row. The row must then not clear what that response told.
"""

from dataclasses import dataclass

from deckcourse.gateway.bounded import put_bounded
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstream_notice import NoticeOrigin, UpstreamNotice

__all__ = ["RetainedNotice", "RetainedNotices"]

# Bound on the notices that are retained.
MAX_NOTICES = 10_000


@dataclass(frozen=True)
class RetainedNotice:
    """A notice, the incarnation that its request addressed and the response that carried it.

    Its sender is the newest incarnation that started no later than `latest_start`, in milliseconds
    since the epoch. `read_at` is when the response was read, on trio's clock.
    """

    notice: UpstreamNotice
    addressed: Upstream
    origin: NoticeOrigin
    latest_start: float
    read_at: float

    @property
    def source(self) -> tuple[str, str]:
        """What all incarnations have in common that may have sent the notice."""
        return _source(self.addressed)

    @property
    def may_be_from_addressed(self) -> bool:
        """Whether no start time tells that another incarnation than the addressed one sent it."""
        starts = self.origin.start, self.addressed.start
        return None in starts or starts[0] == starts[1]

    def is_from(self, listed: Upstream) -> bool:
        """Return whether the listed incarnation of the upstream sent the notice."""
        if listed.start is None or _source(listed) != self.source:
            return False
        return listed.start <= self.latest_start

    def ends_limit_of(self, earlier: "RetainedNotice") -> bool:
        """Return whether the rate limit in an earlier response has ended; see `RateLimitBook`."""
        if self.notice.rate_limit is not None or self.notice.malformed:
            return False
        if self.origin.is_control and not earlier.origin.is_control:
            return False
        return self.origin.sent_at >= earlier.read_at

    def identifies(self, sender: Upstream) -> bool:
        """Return whether the sender is known without a comparison of two machines' clocks."""
        return self.origin.start is not None or self.addressed.instance == sender.instance


class RetainedNotices:
    """The last announced shutdown and the last rate limit of each upstream's name and address."""

    def __init__(self) -> None:
        self._shutdowns: dict[tuple[str, str], RetainedNotice] = {}
        self._limits: dict[tuple[str, str], RetainedNotice] = {}

    def put(self, retained: RetainedNotice) -> None:
        """Retain a notice if it announces a shutdown or names a rate limit, or end that limit."""
        if retained.notice.leaving:
            _put_newest(self._shutdowns, retained)
        if retained.notice.rate_limit is not None:
            _put_newest(self._limits, retained)
        else:
            self._end_limit(retained)

    def _end_limit(self, response: RetainedNotice) -> None:
        limit = self._limits.get(response.source)
        if limit is not None and response.ends_limit_of(limit):
            del self._limits[response.source]

    def shutdown_of(self, listed: Upstream) -> RetainedNotice | None:
        """Return the shutdown that a newly listed incarnation announced, if any."""
        return _from(self._shutdowns, listed)

    def limit_of(self, listed: Upstream) -> RetainedNotice | None:
        """Return the last rate limit in the responses of a newly listed incarnation, if any."""
        return _from(self._limits, listed)


def _source(upstream: Upstream) -> tuple[str, str]:
    return upstream.name, upstream.address


def _put_newest(notices: dict[tuple[str, str], RetainedNotice], retained: RetainedNotice) -> None:
    known = notices.get(retained.source)
    if known is None or retained.latest_start >= known.latest_start:
        put_bounded(notices, retained.source, retained, MAX_NOTICES)


def _from(
    notices: dict[tuple[str, str], RetainedNotice], listed: Upstream
) -> RetainedNotice | None:
    retained = notices.get(_source(listed))
    return retained if retained is not None and retained.is_from(listed) else None
