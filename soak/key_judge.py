"""Checks who is refused for a key, and who is served with a key that no state in force has.

Entries in touch know a desired state within the time for a change: later than that none of them may
run a request with a key that was taken away, or refuse one for a key that was added. Whatever the
keys, proper requests may get a few refusals other than those for load.
"""

from collections.abc import Collection, Iterable, Mapping

from soak.calls import Call
from soak.contact import Contact
from soak.desired_history import DesiredHistory

__all__ = ["KeyJudge"]

# The statuses that refuse a request as not allowed, and those among 3xx and 4xx that don't deny it.
NOT_ALLOWED_STATUSES = (401, 403, 404)
NO_DENIAL_STATUSES = (408, 421, 429)
DENIAL_STATUSES = range(300, 500)
# What the platform allows: so many denials by entries in touch, with this share of all requests,
# and so many by others of what every desired state of the seed allows.
MAX_DENIALS = 5
MAX_DENIED_SHARE = 1 / 500
MAX_DENIALS_OUT_OF_TOUCH = 10


class KeyJudge:
    """Checks the calls of a seed once it has finished; all of them are proper but for their keys.

    Args:
      calls: all requests of callers.
      entries: the name of each entry by its address.
      history: the desired states of the site.
      contact: tells which entries were in touch.
    """

    def __init__(
        self,
        calls: Iterable[Call],
        entries: Mapping[str, str],
        history: DesiredHistory,
        contact: Contact,
    ) -> None:
        self._calls = [each for each in calls if each.entry in entries]
        self._entries = entries
        self._history = history
        self._contact = contact

    def find_violations(self, run_ids: Collection[str]) -> list[str]:
        """Return the violations; `run_ids` are the requests that a runner has run."""
        return self._find_stale(run_ids) + self._find_denied()

    def _find_stale(self, run_ids: Collection[str]) -> list[str]:
        """Return the requests that entries in touch handled as only an older state allows."""
        stale = []
        for call in self._calls:
            begin, end = call.sent_at, self._end(call)
            may_run = self._history.may_be_valid(call.key, begin, end)
            is_refused = call.status in NOT_ALLOWED_STATUSES
            if call.request_id in run_ids and not may_run and self._is_in_touch(call):
                stale.append(f"{call.description} ran with {call.key}, which was taken away")
            elif is_refused and self._was_added(call) and self._is_in_touch(call):
                stale.append(f"{call.description} got {call.status} with {call.key}, which is new")
        return stale

    def _was_added(self, call: Call) -> bool:
        """Return whether an entry in touch has to know a key that an older state didn't have."""
        is_valid = self._history.is_valid(call.key, call.sent_at, self._end(call))
        return is_valid and self._history.was_added(call.key)

    def _find_denied(self) -> list[str]:
        denied = [
            each
            for each in self._calls
            if each.status in DENIAL_STATUSES
            and each.status not in NO_DENIAL_STATUSES
            and self._history.is_valid(each.key, each.sent_at, self._end(each))
        ]
        in_touch = [each for each in denied if self._is_in_touch(each)]
        elsewhere = [
            each
            for each in denied
            if each not in in_touch
            and each.status in NOT_ALLOWED_STATUSES
            and self._history.is_always_valid(each.key)
        ]
        violations = []
        if len(in_touch) > MAX_DENIALS + MAX_DENIED_SHARE * len(self._calls):
            violations += [f"{each.description} got {each.status}" for each in in_touch]
        if len(elsewhere) > MAX_DENIALS_OUT_OF_TOUCH:
            violations += [
                f"{each.description} got {each.status}, out of touch" for each in elsewhere
            ]
        return violations

    def _is_in_touch(self, call: Call) -> bool:
        entry = self._entries[call.entry]
        return self._contact.is_in_touch(entry, call.sent_at, self._end(call))

    @staticmethod
    def _end(call: Call) -> float:
        return call.sent_at + call.duration_seconds
