"""Checks that routes added later are served about as often as the first ones, in calm times.

The requests on the first routes are those that were sent while callers used the added ones.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from soak.call_judge import CallJudge
from soak.calls import Call

__all__ = ["AddedRoutesJudge"]

# What the platform allows: with so many requests on added routes, no smaller ratio of their served
# share to that of the first routes.
MIN_REQUESTS = 20
MIN_SERVED_RATIO = 1 / 4


@dataclass
class AddedRoutesJudge(CallJudge):
    """The first routes are those of the first state of the history.

    `is_calm` tells whether nothing was disturbed from a time to another.
    """

    is_calm: Callable[[float, float], bool]

    def __post_init__(self) -> None:
        judged = [
            each
            for each in self.calls
            if each.entry in self.entries
            and self._is_proper(each)
            and self.is_calm(each.sent_at, self._end(each))
            and self.contact.is_in_touch(self.entries[each.entry], each.sent_at, self._end(each))
        ]
        self.added = [each for each in judged if not self._is_first(each)]
        # Others were sent while the site was in another condition, such as its start.
        begin = min((each.sent_at for each in self.added), default=0.0)
        end = max((each.sent_at for each in self.added), default=0.0)
        self._first = [
            each for each in judged if self._is_first(each) and begin <= each.sent_at <= end
        ]

    def find_violations(self) -> list[str]:
        """Return a violation if added routes are served far less often than the first ones."""
        served, first_served = _count_served(self.added), _count_served(self._first)
        if len(self.added) < MIN_REQUESTS or not self._first:
            return []
        if served / len(self.added) >= MIN_SERVED_RATIO * first_served / len(self._first):
            return []
        return [
            f"{served} of {len(self.added)} requests on added routes were served,"
            f" {first_served} of {len(self._first)} on the first ones"
        ]

    def _is_first(self, call: Call) -> bool:
        return bool(self.history.versions[0][1].services_of(call.path))

    def _is_proper(self, call: Call) -> bool:
        """Return whether all states in force allow a call, which its caller didn't give up."""
        is_allowed = self.history.allows(call.key, call.path, call.sent_at, self._end(call))
        return is_allowed and not call.has_disconnected

    @staticmethod
    def _end(call: Call) -> float:
        return call.sent_at + call.duration_seconds


def _count_served(calls: Iterable[Call]) -> int:
    return sum(each.is_served for each in calls)
