"""Checks that requests with keys that no desired state ever held run nowhere and are refused."""

from collections.abc import Collection, Iterable, Mapping

from soak.calls import Call
from soak.contact import Contact
from soak.desired_history import DesiredHistory

__all__ = ["UnknownKeyJudge"]

UNKNOWN_KEY_STATUS = 401
UNKNOWN_ROUTE_STATUS = 404
# Refusals for another reason: too much load, or no desired state known yet.
REFUSAL_STATUSES = (408, 429, 503)


class UnknownKeyJudge:
    """Checks the calls of a seed once it has finished.

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
        known = {}
        self.judged = []
        for each in calls:
            if each.key not in known:
                known[each.key] = any(state.account_of(each.key) for _, state in history.versions)
            if not known[each.key]:
                self.judged.append(each)
        self._entries = entries
        self._history = history
        self._contact = contact

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
        states = self._history.in_force(call.sent_at, end)
        may_lack_route = not all(each.services_of(call.path) for each in states)
        allowed = (UNKNOWN_KEY_STATUS, *REFUSAL_STATUSES)
        if call.status in allowed or (call.status == UNKNOWN_ROUTE_STATUS and may_lack_route):
            return False
        entry = self._entries.get(call.entry)
        return entry is not None and self._contact.is_in_touch(entry, call.sent_at, end)
