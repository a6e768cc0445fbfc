"""Plays the judges of desired states and of new connections on what a seed has shown."""

from collections.abc import Iterable, Mapping

from soak.added_judge import AddedRoutesJudge
from soak.calls import Call
from soak.connection_judge import Attempt, ConnectionJudge
from soak.contact import CONTACT_SECONDS
from soak.downgrade_judge import DowngradeJudge, ServiceRun
from soak.key_judge import find_revoked
from soak.site import Site
from soak.site_judges import SiteJudges
from soak.unknown_key_judge import UnknownKeyJudge

__all__ = ["StateJudges"]

# A request in flight may run this long after the revocation of its key takes effect.
IN_FLIGHT_GRACE_SECONDS = 1.0


class StateJudges(SiteJudges):
    """Checks desired states and new connections."""

    def __post_init__(self) -> None:
        super().__post_init__()
        offset = self.site.clock_offset
        self._runs = [
            ServiceRun(each["run"], each["service"], each["time"] + offset)
            for each in self.site.records
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
                self.proper_calls,
                self._run_ids,
                self.site.desired_history,
                self.site.revocation_seconds + IN_FLIGHT_GRACE_SECONDS,
            )
        )

    def _find_rare(self) -> list[str]:
        judge = AddedRoutesJudge(
            self.proper_calls,
            self.entries,
            self.site.desired_history,
            self.contact,
            self._is_calm,
        )
        self.site.judged["calm requests on added routes"] += len(judge.added)
        return judge.find_violations()

    def _is_calm(self, begin: float, end: float) -> bool:
        """Return whether nothing was disturbed, stopped or paused, at the site's whole."""
        since = begin - CONTACT_SECONDS
        spans = self.site.disturbances
        return not any(
            each.overlaps(since, end)
            for each in (*spans.unplanned, *spans.absences, *spans.slowed, *spans.cuts)
        ) and not any(first < end and last > since for _, first, last in self.interruptions.spans)

    def _find_older(self) -> list[str]:
        judge = DowngradeJudge(
            self.proper_calls,
            self.entries,
            self.site.desired_history,
            self.site.entry_started_at,
            self.site.disturbances.is_slowed,
        )
        violations = judge.find_violations(self._runs)
        self.site.judged["requests after a newer state was seen"] += judge.judged
        return violations

    def _find_unknown(self) -> list[str]:
        judge = UnknownKeyJudge(
            self.proper_calls, self.entries, self.site.desired_history, self.contact
        )
        self.site.judged["requests with unknown keys"] += len(judge.judged)
        return judge.find_violations(self._run_ids)

    def _find_closed(self) -> list[str]:
        attempts = list(_attempts(self.site, self.proper_calls))
        self.site.judged["new connections"] += len(attempts)
        return ConnectionJudge(attempts, self.site.readiness, self.contact).find_violations()


def _attempts(site: Site, calls: Iterable[Call]) -> Iterable[Attempt]:
    """Yield the connections that callers opened; one without a request has a client of its own."""
    callers: Mapping[tuple[str, int], str] = {
        (each.entry, each.port): each.caller for each in calls
    }
    for entry in site.entries:
        for each in entry.caller_proxy.openings:
            client = callers.get((entry.caller_proxy.address, each.port), str(each.port))
            yield Attempt(entry.name, client, each.at, each.is_taken)
