"""Checks who is refused or served as no desired state in force says.

Entries in touch know a desired state within the time for a change: later than that none of them may
run a request with a key or on a route that was taken away, or at a service that its route has left,
or refuse one for a key or a route that was added. Proper requests may get a few refusals other than
those for load.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from soak.call_judge import CallJudge
from soak.calls import Call
from soak.desired_history import DesiredHistory

__all__ = ["KeyJudge", "find_revoked"]

# The statuses that refuse a request as not allowed, and those among 3xx and 4xx that don't deny it.
NOT_ALLOWED_STATUSES = (401, 403, 404)
NO_DENIAL_STATUSES = (408, 421, 429)
DENIAL_STATUSES = range(300, 500)
# What the platform allows: so many denials by entries in touch, with this share of all requests,
# and so many by others of what every desired state of the seed allows.
MAX_DENIALS = 5
MAX_DENIED_SHARE = 1 / 500
MAX_DENIALS_OUT_OF_TOUCH = 10


@dataclass
class KeyJudge(CallJudge):
    """All calls are proper but for their keys and routes."""

    def __post_init__(self) -> None:
        self.calls = [each for each in self.calls if each.entry in self.entries]

    def find_violations(self, services: Mapping[str, Collection[str]]) -> list[str]:
        """Return the violations; `services` are those that have run each request, by its id."""
        return self._find_stale(services) + self._find_denied()

    def _find_stale(self, services: Mapping[str, Collection[str]]) -> list[str]:
        """Return the requests that entries in touch handled as only an older state allows."""
        stale = []
        for call in self.calls:
            reason = self._find_old_run(call, services.get(call.request_id, ()))
            if not reason and call.status in NOT_ALLOWED_STATUSES and self._was_added(call):
                reason = f"got {call.status} with {call.key}, which is new or on a new route"
            if reason and self._is_in_touch(call):
                stale.append(f"{call.description} {reason}")
        return stale

    def _find_old_run(self, call: Call, services: Collection[str]) -> str:
        """Return what is wrong with the runs of a request, or an empty text."""
        if not services:
            return ""
        states = self.history.in_force(call.sent_at, self._end(call))
        if not any(each.account_of(call.key) for each in states):
            return f"ran with {call.key}, which was taken away"
        allowed = {name for each in states for name in each.services_of(call.path)}
        wrong = sorted(set(services) - allowed)
        return f"ran at {wrong}, which its route had left" if wrong else ""

    def _was_added(self, call: Call) -> bool:
        """Return whether an entry in touch has to know what an older state didn't have."""
        was_added = self.history.was_added(call.key, call.path, call.sent_at)
        return was_added and self._is_allowed(call)

    def _is_allowed(self, call: Call) -> bool:
        return self.history.allows(call.key, call.path, call.sent_at, self._end(call))

    def _find_denied(self) -> list[str]:
        denied = [
            each
            for each in self.calls
            if each.status in DENIAL_STATUSES
            and each.status not in NO_DENIAL_STATUSES
            and self._is_allowed(each)
        ]
        in_touch = [each for each in denied if self._is_in_touch(each)]
        elsewhere = [
            each
            for each in denied
            if each not in in_touch
            and each.status in NOT_ALLOWED_STATUSES
            and self.history.always_allows(each.key, each.path)
        ]
        violations = []
        if len(in_touch) > MAX_DENIALS + MAX_DENIED_SHARE * len(self.calls):
            violations += [f"{each.description} got {each.status}" for each in in_touch]
        if len(elsewhere) > MAX_DENIALS_OUT_OF_TOUCH:
            violations += [
                f"{each.description} got {each.status}, out of touch" for each in elsewhere
            ]
        return violations

    def _is_in_touch(self, call: Call) -> bool:
        entry = self.entries[call.entry]
        return self.contact.is_in_touch(entry, call.sent_at, self._end(call))

    @staticmethod
    def _end(call: Call) -> float:
        return call.sent_at + call.duration_seconds


def find_revoked(
    calls: Iterable[Call],
    run_ids: Collection[str],
    history: DesiredHistory,
    revocation_seconds: float,
) -> list[str]:
    """Return the requests that ran although their keys had been taken away for too long.

    Whatever is disturbed, no request may run that is sent later than the revocation time.

    Args:
      calls: the requests.
      run_ids: those that have run.
      history: the desired states.
      revocation_seconds: the time in which the loss of a key takes effect, with its tolerance.
    """
    return [
        f"{call.description} ran with {call.key}, which was taken away over"
        f" {revocation_seconds} s before"
        for call in calls
        if call.request_id in run_ids
        and any(each.account_of(call.key) for each in history.until(call.sent_at))
        and not any(
            each.account_of(call.key)
            for each in history.in_force(
                call.sent_at, call.sent_at + call.duration_seconds, revocation_seconds
            )
        )
    ]
