"""Plays the judges of single rules on what a site's runners recorded and its callers got."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from soak.arrivals import arrivals
from soak.callers import ANSWER_GRACE_SECONDS, DEADLINE_SECONDS
from soak.calls import Call
from soak.contact import CONTACT_SECONDS
from soak.deadline_judge import DeadlineJudge
from soak.gone_judge import GoneJudge, departures
from soak.key_judge import KeyJudge
from soak.lost_judge import histories
from soak.run_judge import RunJudge, runs
from soak.site_judges import SiteJudges
from soak.timeout_judge import TimeoutJudge

__all__ = ["RuleJudges"]


@dataclass
class RuleJudges(SiteJudges):
    """Checks `crash_calls` too by the rules without a time bound."""

    crash_calls: Sequence[Call]

    def __post_init__(self) -> None:
        super().__post_init__()
        self._calls = [*self.proper_calls, *self.crash_calls]
        self._offset = self.site.clock_offset
        self._arrivals = arrivals(self.site.records, self._offset)
        self._runs = runs(self.site.records)

    def find_violations(self) -> list[str]:
        """Return what the judges found."""
        self.site.judged["runs compared with what was sent"] += len(self._runs)
        return (
            RunJudge(self._calls, self.site.desired_history).find_violations(self._runs)
            + self._find_long_deadlines()
            + self._find_gone()
            + self._find_late_answers()
            + self._find_wrong_keys()
        )

    def _was_held_up(self, runner: str, begin: float, end: float) -> bool:
        """Return whether a runner read late at some time, since it or its link was interrupted."""
        since = begin - CONTACT_SECONDS
        return self.interruptions.overlaps(runner, since, end) or self.interruptions.was_reset(
            runner, since, end
        )

    def _find_long_deadlines(self) -> list[str]:
        judge = DeadlineJudge(
            self.proper_calls, self.entries, DEADLINE_SECONDS, self.contact, self._was_held_up
        )
        violations = judge.find_violations(self._arrivals)
        self.site.judged["requests sent again late"] += judge.sent_again_late
        return violations

    def _find_gone(self) -> list[str]:
        runners = {each.spec.address: each.spec.instance for each in self.site.runners}
        judge = GoneJudge(
            departures(self.proper_calls, self.entries),
            histories(self.site.records, self._offset, runners),
            self.contact,
            self._was_held_up,
        )
        self.site.judged["long runs of callers gone"] += judge.judged
        return judge.find_violations(self._arrivals)

    def _find_late_answers(self) -> list[str]:
        judge = TimeoutJudge(
            self.proper_calls,
            self.entries,
            self.site.desired_history,
            self.contact,
            DEADLINE_SECONDS + ANSWER_GRACE_SECONDS,
        )
        self.site.judged["requests that reached their timeout"] += len(judge.reached)
        return judge.find_violations()

    def _find_wrong_keys(self) -> list[str]:
        judge = KeyJudge(self.proper_calls, self.entries, self.site.desired_history, self.contact)
        services: dict[str, set[str]] = defaultdict(set)
        for each in self._runs:
            services[each.request_id].add(each.service)
        return judge.find_violations(services)
