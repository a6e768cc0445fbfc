"""Checks by the runners' records whether all entries together kept to announced rate limits.

An entry counts as informed once it has forwarded an answer with the limit to a caller: a runner
doesn't know which of its answers arrived, and with a probe timeout of some milliseconds most
arrive too late on a busy machine.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from soak.calls import Call
from soak.interruptions import Interruptions
from soak.notices import INCARNATION_HEADER, incarnation_name
from soak.site import Site

__all__ = ["RateJudge"]

LIMIT_HEADER = b"server-limit"
WINDOW_SECONDS = 4.0
# The time from the first answer with a limit that a caller receives until the limit must be kept.
LIMIT_GRACE_SECONDS = 3.0
# The number of requests that may arrive in a window beyond the rate.
MAX_EXCESS_REQUESTS = 3
# The time within which delayed requests arrive after an interruption.
INTERRUPTION_GRACE_SECONDS = 0.5
# An entry may not know a limit for this time after its start.
ENTRY_START_GRACE_SECONDS = 3.0


@dataclass
class _IncarnationRecord:
    """The limits that one incarnation of a runner announced, and the requests that reached it."""

    runner: str
    announced_limits: list[tuple[float, float | None]] = field(default_factory=list)
    delivered_at: list[float] = field(default_factory=list)
    arrived_at: list[float] = field(default_factory=list)


class RateJudge:
    """Checks a seed once it has finished; `Site.judged` counts the cases that were checked.

    Args:
      site: the site whose runners recorded arrivals and announced limits.
      calls: all requests of callers.
      interruptions: when runners were paused or their links were cut.
    """

    def __init__(self, site: Site, calls: list[Call], interruptions: Interruptions) -> None:
        offset = site.clock_offset
        self._site = site
        self._interruptions = interruptions
        self._entries = site.entry_names
        by_name = {each.request_id: each for each in calls}
        self._incarnations: dict[str, _IncarnationRecord] = defaultdict(
            lambda: _IncarnationRecord("")
        )
        for each in site.records:
            if "clock" not in each or "instance" not in each:
                continue
            incarnation = self._incarnations[incarnation_name(each["instance"], each["born"])]
            incarnation.runner = each["instance"].partition(".")[0]
            at = each["clock"] + offset
            if "named" in each:
                incarnation.announced_limits.append((at, each["named"]))
            elif "question" in each or self._is_counted(by_name.get(each.get("arrived", ""))):
                incarnation.arrived_at.append(at)

        for call in calls:
            if call.is_served and call.answer.header(LIMIT_HEADER):
                sender = call.answer.header(INCARNATION_HEADER).decode()
                self._incarnations[sender].delivered_at.append(call.sent_at + call.duration_seconds)

    def _is_counted(self, call: Call | None) -> bool:
        """Return whether a request came from an entry that has run long enough to know limits."""
        if call is None:
            return False
        started_at = self._site.entry_started_at[self._entries[call.entry]]
        return not any(0 <= call.sent_at - at < ENTRY_START_GRACE_SECONDS for at in started_at)

    def find_violations(self) -> list[str]:
        """Return the incarnations that received more requests than they had announced."""
        return [
            violation for name, each in self._incarnations.items() if each.announced_limits
            for violation in self._check_limits(name, each)
        ]  # fmt: skip

    def _check_limits(self, name: str, incarnation: _IncarnationRecord) -> list[str]:
        violations = []
        for named_at, end, rate in _limit_spans(incarnation.announced_limits):
            begin = min(
                (at for at in incarnation.delivered_at if named_at <= at < end), default=end
            )
            if end - begin < LIMIT_GRACE_SECONDS:
                continue
            times = [
                at for at in incarnation.arrived_at if begin + LIMIT_GRACE_SECONDS <= at <= end
            ]
            self._site.judged["limits"] += 1
            self._site.judged["sendings within limits"] += len(times)
            violations += [
                f"{name} has a limit of {rate:g} a second and received {count} in 4 s at {at:.2f}"
                for at in times
                if (count := sum(at <= each < at + WINDOW_SECONDS for each in times))
                > WINDOW_SECONDS * rate + MAX_EXCESS_REQUESTS
                and not self._is_interrupted(incarnation.runner, at)
            ][:1]
        return violations

    def _is_interrupted(self, runner: str, begin: float) -> bool:
        end = begin + WINDOW_SECONDS
        return self._interruptions.overlaps(runner, begin - INTERRUPTION_GRACE_SECONDS, end)


def _limit_spans(
    announced_limits: list[tuple[float, float | None]],
) -> list[tuple[float, float, float]]:
    """Return the announced limits as (begin, end, rate)."""
    spans: list[tuple[float, float, float]] = []
    for at, rate in sorted(announced_limits, key=lambda each: each[0]):
        if spans and spans[-1][2] == rate and spans[-1][1] == float("inf"):
            continue
        if spans and spans[-1][1] == float("inf"):
            spans[-1] = spans[-1][0], at, spans[-1][2]
        if rate is not None:
            spans.append((at, float("inf"), rate))
    return spans
