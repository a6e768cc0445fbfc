"""Checks that runners get no longer deadlines than what their callers have left.

Counted are requests that entries in touch hand on without a deadline, with one that is longer than
the caller's, or, when they send them again late, with one that ends after both the first one's and
the caller's. A few may be: entries read requests some time after callers have sent them.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from soak.arrivals import Arrival
from soak.calls import Call
from soak.contact import Contact

__all__ = ["DeadlineJudge"]

# What the platform allows: the excess of a deadline, the time after which a request counts as sent
# again late, and how many may exceed, in number and as a share of them and those sent again late.
MAX_EXCESS_SECONDS = 0.5
LATE_SECONDS = 0.5
MAX_EXCEEDING = 20
MAX_EXCEEDING_SHARE = 1 / 5


class DeadlineJudge:
    """Checks the arrivals of a seed once it has finished.

    Args:
      calls: all requests of callers.
      entries: the name of each entry by its address.
      deadline_seconds: the deadline that callers send.
      contact: tells which entries were in touch.
      was_held_up: whether a runner read late at some time, given its name, the begin and the end.
    """

    def __init__(
        self,
        calls: Iterable[Call],
        entries: Mapping[str, str],
        deadline_seconds: float,
        contact: Contact,
        was_held_up: Callable[[str, float, float], bool],
    ) -> None:
        self._calls = {each.request_id: each for each in calls if each.entry in entries}
        self._entries = entries
        self._deadline_seconds = deadline_seconds
        self._contact = contact
        self._was_held_up = was_held_up
        self.sent_again_late = 0

    def find_violations(self, found: Iterable[Arrival]) -> list[str]:
        """Return the arrivals whose deadlines were too long, if they are too many."""
        by_request: dict[str, list[Arrival]] = defaultdict(list)
        for each in sorted(found, key=lambda each: each.at):
            if each.request_id in self._calls:
                by_request[each.request_id].append(each)
        exceeding, late = [], set()
        for each in by_request.values():
            late |= {x for x in each if x.at > each[0].at + LATE_SECONDS and self._counts(x)}
            exceeding += [x for x in each if self._exceeds(x, each[0]) and self._counts(x)]
        self.sent_again_late = len(late)
        total = len(late | set(exceeding))
        if len(exceeding) <= MAX_EXCEEDING or len(exceeding) <= MAX_EXCEEDING_SHARE * total:
            return []
        return [f"{len(exceeding)} of {total} deadlines were too long"] + [
            f"{each.request_id} reached {each.runner} with a deadline of {each.deadline_ms} ms,"
            f" {each.at - self._calls[each.request_id].sent_at:.2f} s after it was sent"
            for each in exceeding
        ]

    def _exceeds(self, arrival: Arrival, first: Arrival) -> bool:
        if arrival.deadline_ms is None:
            return True
        seconds = arrival.deadline_ms / 1000
        if seconds > self._deadline_seconds + MAX_EXCESS_SECONDS:
            return True
        if arrival.at <= first.at + LATE_SECONDS or first.deadline_ms is None:
            return False
        callers_end = self._calls[arrival.request_id].sent_at + self._deadline_seconds
        first_end = first.at + first.deadline_ms / 1000
        return arrival.at + seconds > max(callers_end, first_end) + MAX_EXCESS_SECONDS

    def _counts(self, arrival: Arrival) -> bool:
        """Return whether an entry in touch sent a request to a runner that read it at once."""
        entry = self._entries[self._calls[arrival.request_id].entry]
        in_touch = self._contact.is_in_touch(entry, arrival.at, arrival.at, {arrival.runner})
        return in_touch and not self._was_held_up(arrival.runner, arrival.at, arrival.at)
