"""Checks that requests whose callers have left reach no runner, and that runners stop working.

A caller has left once it has closed its connection before the end, or has given up. From then on an
entry in touch has a moment to cancel the request.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from soak.arrivals import Arrival
from soak.calls import Call, Ending
from soak.contact import Contact
from soak.events import EVENTS_PER_STREAM
from soak.lost_judge import RequestHistory

__all__ = ["Departure", "GoneJudge", "departures"]

# What the platform allows: the time from the close, how many requests may reach runners later, and
# the share of the requests at which runners may be still at work then, if there are more of them.
GRACE_SECONDS = 0.5
MAX_LATE_ARRIVALS = 3
MAX_WORKING = 3
MAX_WORKING_SHARE = 1 / 4
# The routes whose requests may be repeated or are streams, and the shortest time of a run of each.
EVENT_INTERVAL_SECONDS = 0.02
RUN_SECONDS = {
    "stream": EVENTS_PER_STREAM * EVENT_INTERVAL_SECONDS,
    "fragile": EVENTS_PER_STREAM * EVENT_INTERVAL_SECONDS,
    "again": 0.0,
}


@dataclass(frozen=True)
class Departure:
    """A caller that left at a time on trio's clock; its run takes `run_seconds` at least.

    `run_seconds` is None for requests which nobody has to stop.
    """

    request_id: str
    entry: str
    left_at: float
    run_seconds: float | None


def departures(calls: Iterable[Call], entries: Mapping[str, str]) -> list[Departure]:
    """Return the callers that left or gave up after they had sent their whole request."""
    found = []
    for call in calls:
        has_given_up = call.ending is Ending.UNFINISHED
        if call.entry not in entries or call.whole_sent_at == float("inf"):
            continue
        if call.has_disconnected or has_given_up:
            left_at = call.sent_at + call.duration_seconds if has_given_up else call.ended_at
            seconds = RUN_SECONDS.get(call.route)
            if seconds is not None:
                seconds += call.work_seconds
            found.append(Departure(call.request_id, entries[call.entry], left_at, seconds))
    return found


class GoneJudge:
    """Checks the departures of a seed once it has finished.

    Args:
      left: the callers that left.
      requests: what runners did with each request.
      contact: tells which entries were in touch.
      was_held_up: whether a runner read late at some time, given its name, the begin and the end.
    """

    def __init__(
        self,
        left: Iterable[Departure],
        requests: Mapping[str, RequestHistory],
        contact: Contact,
        was_held_up: Callable[[str, float, float], bool],
    ) -> None:
        self._requests = requests
        self._contact = contact
        self._was_held_up = was_held_up
        self._left = [each for each in left if self._counts(each, each.left_at + GRACE_SECONDS)]

    @property
    def judged(self) -> int:
        """The number of requests whose runs would have lasted beyond the time allowed."""
        return len(self._lasting())

    def find_violations(self, found: Iterable[Arrival]) -> list[str]:
        """Return the late arrivals and the runs that went on, as far as they are too many."""
        return self._find_late(found) + self._find_working()

    def _find_late(self, found: Iterable[Arrival]) -> list[str]:
        left = {each.request_id: each for each in self._left}
        late = [
            f"{each.request_id} reached {each.runner} {seconds:.2f} s after its caller had left"
            for each in found
            if each.request_id in left
            and (seconds := each.at - left[each.request_id].left_at) > GRACE_SECONDS
            and self._counts(left[each.request_id], each.at)
        ]
        return late if len(late) > MAX_LATE_ARRIVALS else []

    def _find_working(self) -> list[str]:
        lasting = self._lasting()
        working = [
            each
            for each in lasting
            if self._requests[each.request_id].is_running(each.left_at + GRACE_SECONDS)
        ]
        if len(working) <= max(MAX_WORKING, MAX_WORKING_SHARE * len(lasting)):
            return []
        return [
            f"runners went on with {len(working)} of {len(lasting)} requests of callers gone"
        ] + [
            f"{each.request_id} was run for {self._seconds_after(each):.2f} s after its caller left"
            for each in working
        ]

    def _lasting(self) -> list[Departure]:
        """Return the departures whose runs would have lasted beyond the time allowed."""
        return [
            each
            for each in self._left
            if each.run_seconds is not None
            and any(
                begin <= each.left_at < begin + each.run_seconds - GRACE_SECONDS
                for begin, _ in self._requests.get(each.request_id, RequestHistory()).work
            )
        ]

    def _seconds_after(self, departure: Departure) -> float:
        work = self._requests[departure.request_id].work
        return max(end for _, end in work) - departure.left_at

    def _counts(self, departure: Departure, until: float) -> bool:
        """Return whether the entry was in touch and no runner of the request was held up."""
        runners = self._requests.get(departure.request_id, RequestHistory()).runners
        return self._contact.is_in_touch(
            departure.entry, departure.left_at, until, runners
        ) and not any(self._was_held_up(each, departure.left_at, until) for each in runners)
