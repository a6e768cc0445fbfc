"""Checks that runners ran what callers had sent, for the caller's account, at the route's service.

It checks every run, whatever was disturbed. Where no caller sent a request, its id is reported.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from soak.calls import Call
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
      services: the services that any desired state lets each route's requests go to.
      account: the account that holds the keys of all callers.
    """

    def __init__(
        self, calls: Iterable[Call], services: Mapping[str, Collection[str]], account: str
    ) -> None:
        self._calls = {each.request_id: each for each in calls}
        self._services = services
        self._account = account

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
        if run.account != self._account:
            return f"for the account {run.account!r}"
        if run.service not in self._services[call.route]:
            return f"though its route is {call.route}"
        return ""
