"""Plays all judges on what a seed has shown once it has finished."""

from collections.abc import Sequence

from soak.admission_judge import AdmissionJudge
from soak.bound_judge import BoundJudge, find_runs
from soak.budget_judge import BudgetJudge
from soak.call_checks import check_calls, check_fault_calls
from soak.calls import Call, Ending
from soak.configuration import MIN_TIMEOUT_SECONDS
from soak.excuses import Excuse, excuses_beside
from soak.kinds import CallGroup, Play, calls_of
from soak.lost_judge import LostJudge, histories
from soak.notice_judge import NoticeJudge
from soak.rate_judge import RateJudge
from soak.rule_judges import RuleJudges
from soak.site import STOP_GRACE_SECONDS, Site
from soak.state_judges import StateJudges
from soak.trouble import Trouble

__all__ = ["find_violations"]


def find_violations(
    play: Play, troubles: Sequence[tuple[str, Trouble]], checked_from: float
) -> list[str]:
    """Return the broken promises of a seed.

    Args:
      play: the seed's site and its callers.
      troubles: the trouble that was made, by a kind of its own.
      checked_from: from when on the site must have recovered, on trio's clock.
    """
    site, calls, interruptions = play.site, play.callers.calls, play.interruptions
    common_calls = [*calls, *calls_of(troubles, CallGroup.COMMON)]
    _mark_refused(site, common_calls)
    _mark_passed_on(site, common_calls)
    _note_lateness(site, common_calls)
    _set_limits(site, common_calls)
    lost_judge = _make_lost_judge(site, common_calls)
    violations = NoticeJudge(site, calls, interruptions).find_violations()
    violations += RateJudge(site, calls, interruptions).find_violations()
    violations += AdmissionJudge(site, calls).find_violations()
    violations += _find_by_kinds(play, troubles, lost_judge)
    violations += BudgetJudge(site, common_calls).find_violations()
    violations += _find_lost(site, lost_judge)
    violations += _find_over_bound(site, common_calls)
    proper_calls = [*common_calls, *calls_of(troubles, CallGroup.APART)]
    crash_calls = calls_of(troubles, CallGroup.CRASH)
    violations += StateJudges(site, proper_calls, interruptions).find_violations()
    violations += RuleJudges(site, proper_calls, interruptions, crash_calls).find_violations()
    violations += check_fault_calls(site, [*proper_calls, *crash_calls][len(calls) :])
    return site.violations + violations + check_calls(site, play.callers, checked_from)


def _find_by_kinds(
    play: Play, troubles: Sequence[tuple[str, Trouble]], lost_judge: LostJudge
) -> list[str]:
    """Return what the judges of single kinds find."""
    violations = []
    for name, trouble in troubles:
        excuses = excuses_beside(name, play.names)
        if excuses == frozenset():
            violations += trouble.find_violations(play.callers.calls)
        elif excuses == {Excuse.LAST_OF_GRACE}:
            violations += trouble.find_violations(play.callers.calls, lost_judge.was_last_of_grace)
    return violations


def _mark_refused(site: Site, calls: list[Call]) -> None:
    """Mark the calls that a proxy ended, since its entry took no connection."""
    refused_at = {each.caller_proxy.address: each.caller_proxy.refused_at for each in site.entries}
    for call in calls:
        at = refused_at.get(call.entry, {}).get(call.port, float("-inf"))
        if call.was_cut and call.sent_at <= at <= call.ended_at:
            call.ending = Ending.REFUSED


def _mark_passed_on(site: Site, calls: list[Call]) -> None:
    """Mark when the proxies passed the calls on that ended without an answer.

    A call that ends so is the last one on its connection.
    """
    passed_on_at = {
        each.caller_proxy.address: each.caller_proxy.passed_on_at for each in site.entries
    }
    for call in calls:
        if call.was_cut and call.entry in passed_on_at:
            at = passed_on_at[call.entry].get(call.port, float("-inf"))
            call.reached_entry_at = at if at >= call.sent_at else float("inf")


def _note_lateness(site: Site, calls: list[Call]) -> None:
    """Note how much sooner each call may have ended than the soak saw it."""
    for call in calls:
        if call.ended_at < float("inf"):
            call.late_seconds = call.ended_at - site.lateness.earliest(call.ended_at)


def _set_limits(site: Site, calls: list[Call]) -> None:
    """Note the shortest timeout that each call may have had."""
    for call in calls:
        end = call.sent_at + call.duration_seconds
        call.limit_seconds = site.desired_history.shortest_timeout(call.path, call.sent_at, end)


def _make_lost_judge(site: Site, calls: list[Call]) -> LostJudge:
    runners = {each.spec.address: each.spec.instance for each in site.runners}
    return LostJudge(
        calls,
        histories(site.records, site.clock_offset, runners),
        site.disturbances,
        site.entry_names,
        STOP_GRACE_SECONDS,
        MIN_TIMEOUT_SECONDS,
    )


def _find_lost(site: Site, judge: LostJudge) -> list[str]:
    """Return the requests whose connections were ended without a complete answer."""
    violations = judge.find_violations()
    site.judged += judge.judged
    (site.folder / "cut_calls.log").write_text("\n".join(judge.describe_cut()), encoding="utf-8")
    return violations


def _find_over_bound(site: Site, calls: list[Call]) -> list[str]:
    """Return the requests that ran on more upstreams than their routes allow, if too many did."""
    judge = BoundJudge(
        calls,
        find_runs(site.records, site.clock_offset),
        site.runner_ended_at,
        site.disturbances.cuts,
        site.configuration.max_attempts,
    )
    violations = judge.find_violations()
    # `update` keeps the counts that are 0.
    site.judged.update(judge.judged)
    (site.folder / "over_bound.log").write_text("\n".join(judge.describe_over()), encoding="utf-8")
    return violations
