"""Checks by the runners' records whether all entries together kept to the retry budget."""

from bisect import bisect_left
from collections import defaultdict

from soak.calls import Call
from soak.configuration import SECOND_SERVICE
from soak.site import (
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW_SECONDS,
    Site,
)

__all__ = ["SERVICES", "BudgetJudge"]

# The services that each route's requests may go to.
PLAIN_SERVICES = ("crm", SECOND_SERVICE)
SERVICES = {
    "stream": ("llm",), "fragile": ("llm",), "once": PLAIN_SERVICES, "again": PLAIN_SERVICES,
}  # fmt: skip


class BudgetJudge:
    """Checks a seed once it has finished; `Site.judged` counts the retries that were checked.

    Args:
      site: the site whose runners recorded arrivals.
      calls: all requests of callers.
    """

    def __init__(self, site: Site, calls: list[Call]) -> None:
        self._site = site
        self._requests: dict[str, list[float]] = defaultdict(list)
        for each in calls:
            for service in SERVICES[each.route]:
                self._requests[service].append(each.sent_at)
        self._retries = self._find_retries(calls)

    def _find_retries(self, calls: list[Call]) -> dict[str, list[float]]:
        """Return the times of all arrivals beyond the first of each request, by service."""
        offset = self._site.clock_offset
        sent = {each.request_id for each in calls}
        services = {each.spec.instance: each.spec.service for each in self._site.runners}
        arrivals: dict[tuple[str, str], list[float]] = defaultdict(list)
        for each in self._site.records:
            request_id = each.get("arrived") or each.get("misdirected")
            if request_id in sent:
                service = services[each["instance"].partition(".")[0]]
                arrivals[request_id, service].append(each["clock"] + offset)
        retries: dict[str, list[float]] = defaultdict(list)
        for (_, service), times in arrivals.items():
            retries[service] += sorted(times)[1:]
        return retries

    def find_violations(self) -> list[str]:
        """Return the window with the most retries of each service, if they are too many."""
        violations = []
        for service, times in self._retries.items():
            times.sort()
            self._site.judged["retries"] += len(times)
            worst = max(times, key=lambda begin: self._excess(service, begin), default=None)
            if worst is not None and self._excess(service, worst) > 0:
                count = self._count(times, worst)
                violations.append(
                    f"{service} got {count} retries in {RETRY_WINDOW_SECONDS} s,"
                    f" {self._excess(service, worst):.1f} too many"
                )
        return violations

    def _excess(self, service: str, begin: float) -> float:
        """Return by how much the retries in the window from `begin` exceed the budget.

        The requests are those of the window, of the one before or of the one half a window earlier,
        whichever has the most.
        """
        requests = sorted(self._requests[service])
        most = max(
            self._count(requests, begin - shift * RETRY_WINDOW_SECONDS) for shift in (0.0, 0.5, 1.0)
        )
        return self._count(self._retries[service], begin) - RETRY_RATIO * most - RETRY_SLACK

    @staticmethod
    def _count(times: list[float], begin: float) -> int:
        """Return how many of the sorted times lie in the window from `begin`."""
        return bisect_left(times, begin + RETRY_WINDOW_SECONDS) - bisect_left(times, begin)
