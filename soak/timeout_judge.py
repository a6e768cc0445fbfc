"""Checks that requests which reach their timeout get an answer, or an end, soon after it."""

from dataclasses import dataclass

from soak.call_judge import CallJudge
from soak.calls import Call, Ending

__all__ = ["TimeoutJudge"]

# What the platform allows: the time after the timeout, the share of the requests that reach it
# which may have no answer by then, and the share of them where so many have none.
GRACE_SECONDS = 0.5
MAX_UNANSWERED_SHARE = 1 / 2
MIN_MANY_UNANSWERED = 8
MAX_MANY_UNANSWERED_SHARE = 1 / 4


@dataclass
class TimeoutJudge(CallJudge):
    """Callers wait `patience_seconds` for an answer."""

    patience_seconds: float

    def __post_init__(self) -> None:
        self.reached = [
            each for each in self.calls if each.entry in self.entries and self._reached(each)
        ]

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
            f"{each.description} ended {self._overrun(each):.2f} s after its timeout,"
            f" seen up to {each.late_seconds:.2f} s late"
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
        is_judged = end < call.sent_at + self.patience_seconds
        return is_judged and self.contact.is_in_touch(self.entries[call.entry], call.sent_at, end)

    def _timeout(self, call: Call) -> float:
        return self.history.longest_timeout(call.path, call.sent_at, call.whole_sent_at)

    def _overrun(self, call: Call) -> float:
        """Return the time from a request's timeout to its end, in seconds."""
        return call.ended_at - call.whole_sent_at - self._timeout(call)
