"""Checks that runners ran what callers had sent, for the caller's account, at the route's service.

It checks every run, whatever was disturbed. Where no caller sent a request, its id is reported. An
account is right if any state until the end of the request lets it hold the key, as is a service.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from soak.calls import Call
from soak.desired_history import DesiredHistory
from soak.sent_request import SentRequest

__all__ = ["Run", "RunJudge", "runs"]


@dataclass(frozen=True)
class Run:
    """A run of a request, with the account and the request that its runner received."""

    request_id: str
    service: str
    account: str
    received: SentRequest


def runs(records: Iterable[Mapping]) -> list[Run]:
    """Return all runs that runners recorded."""
    return [
        Run(each["run"], each["service"], each["account"], SentRequest(**each["received"]))
        for each in records
        if "run" in each
    ]


class RunJudge:
    """Checks the runs of a seed once it has finished.

    Args:
      calls: all requests of callers, those of faults included.
      history: the desired states, which say who holds a key and where requests go.
    """

    def __init__(self, calls: Iterable[Call], history: DesiredHistory) -> None:
        self._calls = {each.request_id: each for each in calls}
        self._history = history

    def find_violations(self, found: Iterable[Run]) -> list[str]:
        """Return the runs that differ from what was sent."""
        return [
            f"{run.request_id!r} ran at {run.service} {reason}"
            for run in found
            if (reason := self._find_reason(run))
        ]

    def _find_reason(self, run: Run) -> str:
        """Return what is wrong with a run, or an empty text."""
        call = self._calls.get(run.request_id)
        if call is None or call.request is None:
            return "though no caller sent it"
        if run.received != call.request:
            return f"as {run.received}, sent as {call.request}"
        states = self._history.until(call.sent_at + call.duration_seconds)
        if run.account not in {each.account_of(call.key) for each in states} - {""}:
            return f"for the account {run.account!r}"
        if not any(run.service in each.services_of(call.path) for each in states):
            return f"though its route is {call.path}"
        return ""
