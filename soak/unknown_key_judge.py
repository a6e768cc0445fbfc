"""Checks that requests with keys that no desired state ever held run nowhere and are refused."""

from collections.abc import Collection
from dataclasses import dataclass

from soak.call_judge import CallJudge
from soak.calls import Call

__all__ = ["UnknownKeyJudge"]

UNKNOWN_KEY_STATUS = 401
UNKNOWN_ROUTE_STATUS = 404
# Refusals for another reason: too much load, or no desired state known yet.
REFUSAL_STATUSES = (408, 429, 503)


@dataclass
class UnknownKeyJudge(CallJudge):
    """Judges the calls whose keys no state of the history holds."""

    def __post_init__(self) -> None:
        states = [state for _, state in self.history.versions]
        unknown = {
            key
            for key in {each.key for each in self.calls}
            if not any(state.account_of(key) for state in states)
        }
        self.judged = [each for each in self.calls if each.key in unknown]

    def find_violations(self, run_ids: Collection[str]) -> list[str]:
        """Return what ran or got another answer; `run_ids` are the requests that have run."""
        violations = []
        for call in self.judged:
            if call.request_id in run_ids:
                violations.append(f"{call.description} ran with {call.key}, which was never valid")
            elif call.is_complete and self._is_wrong(call):
                violations.append(f"{call.description} got {call.status} with an unknown key")
        return violations

    def _is_wrong(self, call: Call) -> bool:
        """Return whether an entry in touch answered neither as for the key nor for the route."""
        end = call.sent_at + call.duration_seconds
        states = self.history.in_force(call.sent_at, end)
        may_lack_route = not all(each.services_of(call.path) for each in states)
        allowed = (UNKNOWN_KEY_STATUS, *REFUSAL_STATUSES)
        if call.status in allowed or (call.status == UNKNOWN_ROUTE_STATUS and may_lack_route):
            return False
        entry = self.entries.get(call.entry)
        return entry is not None and self.contact.is_in_touch(entry, call.sent_at, end)
