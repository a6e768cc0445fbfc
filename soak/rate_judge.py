"""Checks by the runners' records whether all entries together kept to announced rate limits.

An entry counts as informed once it has forwarded an answer with the limit to a caller: a runner
doesn't know which of its answers arrived, and with a probe timeout of some milliseconds most
arrive too late on a busy machine.
"""

import time
from collections import defaultdict
from dataclasses import dataclass, field

import trio

from soak.calls import Call
from soak.notice_faults import Holds
from soak.notices import INCARNATION_HEADER, incarnation_name
from soak.site import Site

__all__ = ["RateJudge"]

LIMIT = b"server-limit"
WINDOW_SECONDS = 4.0
# The time from the first answer with a limit that a caller receives until the limit must be kept.
CONTACT_SECONDS = 3.0
# The number of requests that may arrive in a window beyond the rate.
SLACK = 3
# The time within which delayed requests arrive after an interruption.
HELD_UP_SECONDS = 0.5
# An entry may not know a limit for this time after its start.
STARTING_SECONDS = 3.0


@dataclass
class _Limited:
    """The limits that one incarnation of a runner announced, and the requests that reached it."""

    place: str
    named: list[tuple[float, float | None]] = field(default_factory=list)
    told: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)


class RateJudge:
    """Checks a seed once it has finished; `Site.judged` counts the cases that were checked.

    Args:
      site: the site whose runners recorded arrivals and announced limits.
      calls: all requests of callers.
      interruptions: when runners were paused or their links were cut.
    """

    def __init__(self, site: Site, calls: list[Call], holds: Holds) -> None:
        offset = trio.current_time() - time.monotonic()
        self._site = site
        self._holds = holds
        self._entries = {entry.front.address: entry.name for entry in site.entries}
        by_name = {each.name: each for each in calls}
        self._starts: dict[str, _Limited] = defaultdict(lambda: _Limited(""))
        for each in site.records:
            if "clock" not in each or "instance" not in each:
                continue
            start = self._starts[incarnation_name(each["instance"], each["born"])]
            start.place = each["instance"].partition(".")[0]
            at = each["clock"] + offset
            if "named" in each:
                start.named.append((at, each["named"]))
            elif "question" in each or self._counts(by_name.get(each.get("arrived", ""))):
                start.arrivals.append(at)

        for call in calls:
            if call.served and call.answer.header(LIMIT):
                told_by = call.answer.header(INCARNATION_HEADER).decode()
                self._starts[told_by].told.append(call.sent_at + call.seconds)

    def _counts(self, call: Call | None) -> bool:
        """Return whether a request came from an entry that has run long enough to know limits."""
        if call is None:
            return False
        starts = self._site.entry_starts[self._entries[call.entry]]
        return not any(0 <= call.sent_at - at < STARTING_SECONDS for at in starts)

    def broken(self) -> list[str]:
        """Return the incarnations that received more requests than they had announced."""
        return [
            wrong for name, each in self._starts.items() if each.named
            for wrong in self._over(name, each)
        ]  # fmt: skip

    def _over(self, name: str, start: _Limited) -> list[str]:
        broken = []
        for named_at, end, rate in _spans(start.named):
            begin = min((at for at in start.told if named_at <= at < end), default=end)
            if end - begin < CONTACT_SECONDS:
                continue
            times = [at for at in start.arrivals if begin + CONTACT_SECONDS <= at <= end]
            self._site.judged["limits"] += 1
            self._site.judged["sendings within limits"] += len(times)
            broken += [
                f"{name} has a limit of {rate:g} a second and received {count} in 4 s at {at:.2f}"
                for at in times
                if (count := sum(at <= each < at + WINDOW_SECONDS for each in times))
                > WINDOW_SECONDS * rate + SLACK
                and not self._held(start.place, at)
            ][:1]
        return broken

    def _held(self, place: str, begin: float) -> bool:
        end = begin + WINDOW_SECONDS
        return self._holds.touch(place, begin - HELD_UP_SECONDS, end)


def _spans(named: list[tuple[float, float | None]]) -> list[tuple[float, float, float]]:
    """Return the announced limits as (begin, end, rate)."""
    spans: list[tuple[float, float, float]] = []
    for at, rate in sorted(named, key=lambda each: each[0]):
        if spans and spans[-1][2] == rate and spans[-1][1] == float("inf"):
            continue
        if spans and spans[-1][1] == float("inf"):
            spans[-1] = spans[-1][0], at, spans[-1][2]
        if rate is not None:
            spans.append((at, float("inf"), rate))
    return spans
