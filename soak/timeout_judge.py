"""Checks that requests which reach their timeout get an answer, or an end, soon after it."""

from collections.abc import Iterable, Mapping

from soak.calls import Call, Ending
from soak.contact import Contact
from soak.desired_history import DesiredHistory

__all__ = ["TimeoutJudge"]

# What the platform allows: the time after the timeout, the share of the requests that reach it
# which may have no answer by then, and the share of them where so many have none.
GRACE_SECONDS = 0.5
MAX_UNANSWERED_SHARE = 1 / 2
MIN_MANY_UNANSWERED = 8
MAX_MANY_UNANSWERED_SHARE = 1 / 4


class TimeoutJudge:
    """Checks the calls of a seed once it has finished.

    Args:
      calls: all requests of callers.
      entries: the name of each entry by its address.
      history: the desired states of the site.
      contact: tells which entries were in touch.
      patience_seconds: how long callers wait for an answer.
    """

    def __init__(
        self,
        calls: Iterable[Call],
        entries: Mapping[str, str],
        history: DesiredHistory,
        contact: Contact,
        patience_seconds: float,
    ) -> None:
        self._entries = entries
        self._history = history
        self._contact = contact
        self._patience_seconds = patience_seconds
        self.reached = [each for each in calls if each.entry in entries and self._reached(each)]

    def find_violations(self) -> list[str]:
        """Return the requests without an answer soon after the timeout, if they are too many."""
        unanswered = [each for each in self.reached if self._overrun(each) > GRACE_SECONDS]
        count, total = len(unanswered), len(self.reached)
        are_too_many = count > MAX_UNANSWERED_SHARE * total or (
            count >= MIN_MANY_UNANSWERED and count > MAX_MANY_UNANSWERED_SHARE * total
        )
        if not are_too_many:
            return []
        return [f"{count} of {total} requests had no answer after their timeout"] + [
            f"{each.description} ended {self._overrun(each):.2f} s after its timeout"
            for each in unanswered
        ]

    def _reached(self, call: Call) -> bool:
        """Return whether a request reached its timeout at an entry in touch.

        Not judged are callers that leave or pause in reading, and timeouts beyond their patience.
        """
        if call.whole_sent_at == float("inf") or call.has_disconnected or call.paused_seconds:
            return False
        if call.ending is Ending.REFUSED or self._overrun(call) < 0:
            return False
        end = call.whole_sent_at + self._timeout(call) + GRACE_SECONDS
        is_judged = end < call.sent_at + self._patience_seconds
        return is_judged and self._contact.is_in_touch(self._entries[call.entry], call.sent_at, end)

    def _timeout(self, call: Call) -> float:
        return self._history.longest_timeout(call.path, call.sent_at, call.whole_sent_at)

    def _overrun(self, call: Call) -> float:
        """Return the time from a request's timeout to its end, in seconds."""
        return call.ended_at - call.whole_sent_at - self._timeout(call)
