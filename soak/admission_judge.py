"""Checks that entries refuse no urgent request for load while lesser ones begin there."""

from collections import defaultdict

from soak.calls import Call
from soak.configuration import PRIORITIES
from soak.site import Site

__all__ = ["AdmissionJudge"]

REFUSED_FOR_LOAD = 429
# A lesser request that was sent this long after the urgent one can't have been admitted before it,
# also if the entry's process is busy.
ORDER_GRACE_SECONDS = 0.1


class AdmissionJudge:
    """Checks a seed once it has finished; `Site.judged` counts the urgent refusals.

    Args:
      site: the site whose runners recorded arrivals.
      calls: all requests of callers.
    """

    def __init__(self, site: Site, calls: list[Call]) -> None:
        self._site = site
        self._calls = [each for each in calls if each.route in PRIORITIES]

    def find_violations(self) -> list[str]:
        """Return the urgent requests that were refused while a later, lesser one began."""
        begun_at = self._find_begin_times()
        by_entry: dict[str, list[Call]] = defaultdict(list)
        for each in self._calls:
            if each.request_id in begun_at:
                by_entry[each.entry].append(each)
        violations = []
        for urgent in self._calls:
            if urgent.status != REFUSED_FOR_LOAD or urgent.has_disconnected:
                continue
            self._site.judged["refusals for load"] += 1
            refused_at = urgent.sent_at + urgent.duration_seconds
            violations += [
                f"{urgent.description} was refused for load {refused_at - urgent.sent_at:.2f} s"
                f" after it was sent, {lesser.request_id} began {refused_at - at:.2f} s before that"
                for lesser in by_entry[urgent.entry]
                if PRIORITIES[lesser.route] > PRIORITIES[urgent.route]
                and lesser.sent_at > urgent.sent_at + ORDER_GRACE_SECONDS
                and (at := begun_at[lesser.request_id]) < refused_at
            ]
        return violations

    def _find_begin_times(self) -> dict[str, float]:
        """Return when each request first arrived at a runner, on trio's clock."""
        offset = self._site.clock_offset
        begun_at: dict[str, float] = {}
        for each in self._site.records:
            name = each.get("arrived") or each.get("misdirected")
            if name:
                at = each["clock"] + offset
                begun_at[name] = min(at, begun_at.get(name, at))
        return begun_at
