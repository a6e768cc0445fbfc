"""Plays the judges of desired states and of new connections on what a seed has shown."""

from collections.abc import Iterable, Mapping, Sequence

from soak.added_judge import AddedRoutesJudge
from soak.calls import Call
from soak.connection_judge import Attempt, ConnectionJudge
from soak.contact import CONTACT_SECONDS, Contact
from soak.downgrade_judge import DowngradeJudge, ServiceRun
from soak.interruptions import Interruptions
from soak.key_judge import find_revoked
from soak.site import Site
from soak.unknown_key_judge import UnknownKeyJudge

__all__ = ["StateJudges"]

# A request in flight may run this long after the revocation of its key takes effect.
IN_FLIGHT_GRACE_SECONDS = 1.0


class StateJudges:
    """Checks a seed once it has finished; `Site.judged` counts the cases that were checked.

    Args:
      site: the site, with its desired states and what its runners recorded.
      calls: all requests that crash nothing.
      interruptions: when processes were paused or their links were cut.
      offset: the difference from the runners' clock to trio's.
    """

    def __init__(
        self, site: Site, calls: Sequence[Call], interruptions: Interruptions, offset: float
    ) -> None:
        self._site = site
        self._calls = calls
        self._interruptions = interruptions
        self._contact = Contact(site.disturbances, site.entry_started_at)
        self._entries = {each.caller_proxy.address: each.name for each in site.entries}
        self._runs = [
            ServiceRun(each["run"], each["service"], each["time"] + offset)
            for each in site.records
            if "run" in each
        ]
        self._run_ids = {each.request_id for each in self._runs}

    def find_violations(self) -> list[str]:
        """Return what the judges found."""
        return (
            self._find_rare()
            + self._find_older()
            + self._find_unknown()
            + self._find_closed()
            + find_revoked(
                self._calls,
                self._run_ids,
                self._site.desired_history,
                self._site.revocation_seconds + IN_FLIGHT_GRACE_SECONDS,
            )
        )

    def _find_rare(self) -> list[str]:
        judge = AddedRoutesJudge(
            self._calls,
            self._entries,
            self._site.desired_history,
            self._contact,
            self._is_calm,
        )
        self._site.judged["calm requests on added routes"] += len(judge.added)
        return judge.find_violations()

    def _is_calm(self, begin: float, end: float) -> bool:
        """Return whether nothing was disturbed, stopped or paused, at the site's whole."""
        since = begin - CONTACT_SECONDS
        spans = self._site.disturbances
        return not any(
            each.overlaps(since, end)
            for each in (*spans.unplanned, *spans.absences, *spans.slowed, *spans.cuts)
        ) and not any(first < end and last > since for _, first, last in self._interruptions.spans)

    def _find_older(self) -> list[str]:
        judge = DowngradeJudge(
            self._calls,
            self._entries,
            self._site.desired_history,
            self._site.entry_started_at,
            self._site.disturbances.is_slowed,
        )
        violations = judge.find_violations(self._runs)
        self._site.judged["requests after a newer state was seen"] += judge.judged
        return violations

    def _find_unknown(self) -> list[str]:
        judge = UnknownKeyJudge(
            self._calls, self._entries, self._site.desired_history, self._contact
        )
        self._site.judged["requests with unknown keys"] += len(judge.judged)
        return judge.find_violations(self._run_ids)

    def _find_closed(self) -> list[str]:
        attempts = list(_attempts(self._site, self._calls))
        self._site.judged["new connections"] += len(attempts)
        return ConnectionJudge(attempts, self._site.readiness, self._contact).find_violations()


def _attempts(site: Site, calls: Iterable[Call]) -> Iterable[Attempt]:
    """Yield the connections that callers opened; one without a request has a client of its own."""
    callers: Mapping[tuple[str, int], str] = {
        (each.entry, each.port): each.caller for each in calls
    }
    for entry in site.entries:
        for each in entry.caller_proxy.openings:
            client = callers.get((entry.caller_proxy.address, each.port), str(each.port))
            yield Attempt(entry.name, client, each.at, each.is_taken)
