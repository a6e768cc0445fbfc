"""Whether entries kept to what runners asked for, by the runners' own records of arrivals."""

import time
from collections import defaultdict

import trio

from soak.calls import Call
from soak.notice_faults import Holds
from soak.notices import FROM, start_name
from soak.site import Site

__all__ = ["NoticeJudge"]

# What was on its way when the answer came may arrive within this time, seconds, and so many
# requests after it: that is what is promised of each process.
ON_ITS_WAY_SECONDS = 0.5
MOST_IN_BACKOFF = 2
# A caller's request that it sent so long after it had a whole answer by which a runner leaves, to
# the same process, seconds.
LEAVING_SECONDS = 0.5
# An answer that met the end of its connection around this time may not have come, seconds.
LOST_BEFORE_SECONDS = 0.1
LOST_AFTER_SECONDS = 0.3
LEAVING = b"server-leaving"


class NoticeJudge:
    """Judges one run, once it is over; `Site.judged` counts what there was to judge.

    Args:
      site: whose runners recorded what came.
      calls: all requests of callers.
      holds: when processes stood still or links were cut, which excuses what was on its way.
    """

    def __init__(self, site: Site, calls: list[Call], holds: Holds) -> None:
        # Records have the clock that all processes share, calls that of trio.
        offset = trio.current_time() - time.monotonic()
        self._site = site
        self._calls = {each.name: each for each in calls}
        self._holds = holds
        self._entries = {entry.front.address: entry.name for entry in site.entries}
        self._records = [
            each | {"at": each["clock"] + offset} for each in site.records if "clock" in each
        ]
        # The requests that reached each runner: when, at which start, and whose.
        self._arrivals: dict[str, list[tuple[float, str, Call]]] = defaultdict(list)
        for each in self._records:
            call = self._calls.get(each.get("arrived", ""))
            if call is not None:
                start = start_name(each["instance"], each["born"])
                self._arrivals[each["instance"]].append((each["at"], start, call))

    def broken(self) -> list[str]:
        """Return what reached runners that had asked for none of it."""
        asked = [each for each in self._records if each.get("asked") in self._calls]
        in_backoff = [wrong for each in asked if (wrong := self._in_backoff(each))]
        return in_backoff + [
            wrong for call in self._calls.values() for wrong in self._after_leaving(call)
        ]

    def _in_backoff(self, asked: dict) -> str:
        """Return what reached a runner in a time that it had asked for, empty for all is well."""
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
        asks = f"{instance} asked {entry} for {asked['seconds']} s"
        return f"{asks} (answer to {call.name}) and got {late}"

    def _after_leaving(self, call: Call) -> list[str]:
        """Return what reached a runner after a call's answer by which it leaves."""
        if not call.served or not call.answer.header(LEAVING):
            return []
        # Whose word it is: the first run may have been lost before anything of it was passed on.
        told_by = call.answer.header(FROM).decode()
        told_at, entry = call.sent_at + call.seconds, self._entries[call.entry]
        self._site.judged["leavings"] += 1
        return [
            f"{told_by} left by its answer to {call.name}, and got {other.name} from {entry}"
            for at, start, other in self._arrivals[told_by.partition("@")[0]]
            if start == told_by
            and other.entry == call.entry
            and other.sent_at > told_at + LEAVING_SECONDS
            and not self._holds.touch(entry, told_at, at)
        ]
