"""Checks by the runners' records of arrivals whether entries complied with their notices."""

import time
from collections import defaultdict

import trio

from soak.calls import Call
from soak.notice_faults import Holds
from soak.notices import INCARNATION_HEADER, incarnation_name
from soak.site import Site

__all__ = ["NoticeJudge"]

# Requests in flight when the answer came may arrive within this time, and this many after it: that
# is what each process guarantees.
ON_ITS_WAY_SECONDS = 0.5
MOST_IN_BACKOFF = 2
# A call sent to the same process this long after a complete answer with a leaving notice must not
# reach the runner.
LEAVING_SECONDS = 0.5
# An answer whose connection was reset around this time may not have been received.
LOST_BEFORE_SECONDS = 0.1
LOST_AFTER_SECONDS = 0.3
LEAVING = b"server-leaving"


class NoticeJudge:
    """Checks a seed once it has finished; `Site.judged` counts the cases that were checked.

    Args:
      site: the site whose runners recorded arrivals.
      calls: all requests of callers.
      interruptions: when processes were paused or links were cut, which excuses late arrivals.
    """

    def __init__(self, site: Site, calls: list[Call], holds: Holds) -> None:
        # Records use the monotonic clock that all processes share, calls use trio's clock.
        offset = trio.current_time() - time.monotonic()
        self._site = site
        self._calls = {each.name: each for each in calls}
        self._holds = holds
        self._entries = {entry.front.address: entry.name for entry in site.entries}
        self._records = [
            each | {"at": each["clock"] + offset} for each in site.records if "clock" in each
        ]
        # The requests that reached each runner: the time, the incarnation and the call.
        self._arrivals: dict[str, list[tuple[float, str, Call]]] = defaultdict(list)
        for each in self._records:
            call = self._calls.get(each.get("arrived", ""))
            if call is not None:
                start = incarnation_name(each["instance"], each["born"])
                self._arrivals[each["instance"]].append((each["at"], start, call))

    def broken(self) -> list[str]:
        """Return the requests that reached runners after they had asked for none."""
        asked = [each for each in self._records if each.get("asked") in self._calls]
        in_backoff = [wrong for each in asked if (wrong := self._in_backoff(each))]
        return in_backoff + [
            wrong for call in self._calls.values() for wrong in self._after_leaving(call)
        ]

    def _in_backoff(self, asked: dict) -> str:
        """Return a message if too many requests arrived in a backoff, or an empty text."""
        call, instance = self._calls[asked["asked"]], asked["instance"]
        begin, end = asked["at"], asked["at"] + asked["seconds"]
        place, entry = instance.partition(".")[0], self._entries[call.entry]
        lost = begin - LOST_BEFORE_SECONDS, begin + LOST_AFTER_SECONDS
        stood_still = any(self._holds.touch(each, begin, end) for each in (place, entry))
        if stood_still or self._holds.moment_in(place, *lost):
            return ""
        late = [
            other.name
            for at, _, other in self._arrivals[instance]
            if begin + ON_ITS_WAY_SECONDS < at < end and other.entry == call.entry
        ]
        self._site.judged["backoffs"] += 1
        self._site.judged["arrivals in backoffs"] += len(late)
        if len(late) <= MOST_IN_BACKOFF:
            return ""
        asks = f"{instance} asked {entry} for a backoff of {asked['seconds']} s"
        return f"{asks} (answer to {call.name}) and received {late}"

    def _after_leaving(self, call: Call) -> list[str]:
        """Return the requests that reached a runner after its leaving notice in a call's answer."""
        if not call.served or not call.answer.header(LEAVING):
            return []
        # The answer names its sender, since a first attempt may have failed before its answer was
        # forwarded.
        told_by = call.answer.header(INCARNATION_HEADER).decode()
        told_at, entry = call.sent_at + call.seconds, self._entries[call.entry]
        self._site.judged["leavings"] += 1
        return [
            f"{told_by} is leaving (answer to {call.name}), received {other.name} from {entry}"
            for at, start, other in self._arrivals[told_by.partition("@")[0]]
            if start == told_by
            and other.entry == call.entry
            and other.sent_at > told_at + LEAVING_SECONDS
            and not self._holds.touch(entry, told_at, at)
        ]
