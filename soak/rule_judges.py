"""Plays the judges of single rules on what a site's runners recorded and its callers got."""

import time
from collections import defaultdict
from collections.abc import Sequence

import trio

from soak.arrivals import arrivals
from soak.callers import ANSWER_GRACE_SECONDS, DEADLINE_SECONDS
from soak.calls import Call
from soak.contact import CONTACT_SECONDS, Contact
from soak.deadline_judge import DeadlineJudge
from soak.gone_judge import GoneJudge, departures
from soak.interruptions import Interruptions
from soak.key_judge import KeyJudge
from soak.lost_judge import histories
from soak.run_judge import RunJudge, runs
from soak.site import Site
from soak.timeout_judge import TimeoutJudge

__all__ = ["RuleJudges"]


class RuleJudges:
    """Checks a seed once it has finished; `Site.judged` counts the cases that were checked.

    Args:
      site: the site whose runners recorded arrivals and runs.
      calls: all requests of callers, those of faults included.
      proper_calls: the requests that crash nothing.
      interruptions: when runners were paused or their links were cut.
    """

    def __init__(
        self,
        site: Site,
        calls: Sequence[Call],
        proper_calls: Sequence[Call],
        interruptions: Interruptions,
    ) -> None:
        self._site = site
        self._calls = calls
        self._proper_calls = proper_calls
        self._interruptions = interruptions
        self._contact = Contact(site.disturbances, site.entry_started_at)
        self._entries = {each.caller_proxy.address: each.name for each in site.entries}
        self._offset = trio.current_time() - time.monotonic()
        self._arrivals = arrivals(site.records, self._offset)
        self._runs = runs(site.records)

    def find_violations(self) -> list[str]:
        """Return what the judges found."""
        self._site.judged["runs compared with what was sent"] += len(self._runs)
        return (
            RunJudge(self._calls, self._site.desired_history).find_violations(self._runs)
            + self._find_long_deadlines()
            + self._find_gone()
            + self._find_late_answers()
            + self._find_wrong_keys()
        )

    def _was_held_up(self, runner: str, begin: float, end: float) -> bool:
        """Return whether a runner read late at some time, since it or its link was interrupted."""
        since = begin - CONTACT_SECONDS
        return self._interruptions.overlaps(runner, since, end) or self._interruptions.was_reset(
            runner, since, end
        )

    def _find_long_deadlines(self) -> list[str]:
        judge = DeadlineJudge(
            self._proper_calls, self._entries, DEADLINE_SECONDS, self._contact, self._was_held_up
        )
        violations = judge.find_violations(self._arrivals)
        self._site.judged["requests sent again late"] += judge.sent_again_late
        return violations

    def _find_gone(self) -> list[str]:
        runners = {each.spec.address: each.spec.instance for each in self._site.runners}
        judge = GoneJudge(
            departures(self._proper_calls, self._entries),
            histories(self._site.records, self._offset, runners),
            self._contact,
            self._was_held_up,
        )
        self._site.judged["long runs of callers gone"] += judge.judged
        return judge.find_violations(self._arrivals)

    def _find_late_answers(self) -> list[str]:
        judge = TimeoutJudge(
            self._proper_calls,
            self._entries,
            self._site.desired_history,
            self._contact,
            DEADLINE_SECONDS + ANSWER_GRACE_SECONDS,
        )
        self._site.judged["requests that reached their timeout"] += len(judge.reached)
        return judge.find_violations()

    def _find_wrong_keys(self) -> list[str]:
        judge = KeyJudge(
            self._proper_calls, self._entries, self._site.desired_history, self._contact
        )
        services: dict[str, set[str]] = defaultdict(set)
        for each in self._runs:
            services[each.request_id].add(each.service)
        return judge.find_violations(services)
