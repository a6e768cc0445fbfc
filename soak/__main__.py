"""Runs seeds of the soak: `python -m soak [--seconds N] [--jobs N] [--only KIND] SEED...`.

Each seed runs in a process of its own; the exit code is 1 if one of them violated a guarantee. The
guarantees are those of docs/PROOFS.md, as callers and runners observe them.
"""

import argparse
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from random import Random

import trio

from soak.admission_judge import AdmissionJudge
from soak.answer_end_faults import PLAIN_SLOTS, AnswerEndFaults
from soak.bound_judge import BoundJudge, find_runs
from soak.budget_judge import BudgetJudge
from soak.call_checks import check_calls, check_fault_calls
from soak.callers import Callers
from soak.calls import Call, Ending
from soak.change_faults import ChangeFaults
from soak.configuration import IDEMPOTENT_ROUTES, MAX_ATTEMPTS, MIN_TIMEOUT_SECONDS
from soak.deadly_faults import CrashFaults, PartCrashFaults
from soak.departure_faults import DepartureFaults
from soak.early_faults import EarlyFaults
from soak.faults import FAULT_KINDS, Faults
from soak.lost_judge import LostJudge, histories
from soak.notice_faults import Interruptions, NoticeFaults
from soak.notice_judge import NoticeJudge
from soak.partition_faults import PartitionFaults
from soak.planned_faults import PlannedFaults
from soak.profiles import PROFILES, USUAL
from soak.rate_faults import RateFaults
from soak.rate_judge import RateJudge
from soak.refusal_faults import RefusalFaults
from soak.rule_judges import RuleJudges
from soak.shortage_faults import ShortageFaults
from soak.silence_faults import SilenceFaults
from soak.silent_runner_faults import SilentRunnerFaults
from soak.site import (
    ENTRY_COUNT,
    REVOCATION_SECONDS,
    STOP_GRACE_SECONDS,
    Site,
)
from soak.state_judges import StateJudges
from soak.stop_judge import find_still_ready, observe_stop
from soak.unending_faults import UnendingFaults
from soak.wave_faults import WaveFaults

# The time from the start of all processes to the first calls and faults.
STARTUP_SECONDS = 5.0
CALLER_COUNT = 12
# The time without faults at the end. The site must have recovered before its last JUDGED_SECONDS.
RECOVERY_SECONDS = 10.0
JUDGED_SECONDS = 4.0
READY_POLL_INTERVAL_SECONDS = 0.15
# Kinds of faults that use random sequences of their own: notices in answers of runners, requests
# that crash their runners, rate limits that runners announce, and phases in which all refuse or
# report that they are full.
NOTICE_KIND = "notices"
CRASH_KIND = "deadly"
RATE_KIND = "rates"
REFUSAL_KIND = "refusals"
SHORTAGE_KIND = "shortage"
PART_KIND = "parts"
# Waves of new connections to one entry, while each entry has a part of a processor.
# In the second kind, some callers keep their connections.
WAVE_KIND = "wave"
KEPT_WAVE_KIND = "kept-wave"
# Plain answers without a length at runners that are full and restart.
ANSWER_END_KIND = "answer-ends"
# Open connections that go silent for good, and runners that leave without a word.
SILENCE_KIND = "silence"
# Partitions last longer than other faults, so that they are judged apart from most of these.
PARTITION_KIND = "partitions"
# Changes, stops and reloads that overlap, beside runners that are silent.
PLANNED_KIND = "planned"
# Answers and bodies without an end, and such answers alone.
UNENDING_KIND = "unending"
UNENDING_ANSWER_KIND = "unending-answers"
# Sound runners that fall silent for about a second and go on.
SILENT_RUNNER_KIND = "silent-runners"
# Callers that leave in the middle of long requests.
DEPARTURE_KIND = "departures"
# Changes under the callers that they concern, in storms between calm times.
CHANGES_KIND = "changes"
# Long bodies at runners that answer before they have read them.
EARLY_KIND = "early-answers"
SEPARATE_KINDS = {
    CHANGES_KIND, DEPARTURE_KIND, EARLY_KIND,
    PART_KIND, PLANNED_KIND, UNENDING_KIND, UNENDING_ANSWER_KIND,
    NOTICE_KIND, CRASH_KIND, RATE_KIND, REFUSAL_KIND, SHORTAGE_KIND, PARTITION_KIND, WAVE_KIND,
    KEPT_WAVE_KIND, ANSWER_END_KIND, SILENCE_KIND, SILENT_RUNNER_KIND,
}  # fmt: skip
# Beside silent runners, the kinds that are no faults.
SILENCE_AND_PLANNED_KINDS = {SILENT_RUNNER_KIND, PLANNED_KIND, CHANGES_KIND}
# The revocation time of sites whose connections go silent.
LONG_REVOCATION_SECONDS = 12.0
# The number of violations that are printed for a seed.
MAX_PRINTED_VIOLATIONS = 10


async def _watch_entries(site: Site, callers: Callers) -> None:
    """Poll the entries for readiness, and record unexpected exits."""
    while True:
        for entry in site.entries:
            code = entry.process.poll()
            if code is not None and not entry.is_stopping:
                site.violations.append(f"{entry.name} exited unexpectedly with code {code}")
                entry.is_stopping = True
            ready = await site.ask_ready(entry)
            site.readiness.add(entry.name, trio.current_time(), ready)
            (callers.ready_entries.add if ready else callers.ready_entries.discard)(
                entry.caller_proxy.address
            )
        await trio.sleep(READY_POLL_INTERVAL_SECONDS)


def _exited_runners(site: Site) -> list[str]:
    """Return the stand-in runners that exited by themselves, which invalidates the result."""
    codes = {each.spec.instance: each.process.poll() for each in site.runners}
    return [
        f"stand-in {name} exited, code {code}" for name, code in codes.items() if code is not None
    ]


async def _run_site(
    site: Site, seed: int, seconds: float, only: Sequence[str], fault_log: list[str]
) -> list[str]:
    random = Random(seed)
    callers = Callers([], random, keys=["key-0", "key-1"])
    async with trio.open_nursery() as nursery:
        site.configure(
            keys=tuple(callers.keys),
            has_health_path=bool(site.plain_slots),
            second_share=0.0 if site.has_second_service else None,
        )
        await site.start(nursery)
        callers.entries = [each.caller_proxy.address for each in site.entries]
        nursery.start_soon(_watch_entries, site, callers)
        await trio.sleep(STARTUP_SECONDS)
        began_at = trio.current_time()
        interruptions = Interruptions()

        def log_fault(text: str) -> None:
            fault_log.append(f"{trio.current_time() - began_at:6.2f} {text}")

        faults = Faults(
            site,
            callers,
            random,
            log_fault,
            interruptions,
            [each for each in only if each not in SEPARATE_KINDS],
        )
        # These use random sequences of their own, so that the other faults of a seed don't change.
        notice_faults = NoticeFaults(site, Random(f"notices of {seed}"), log_fault, interruptions)
        crash_faults = CrashFaults(
            site, callers, Random(f"deadly of {seed}"), log_fault, interruptions
        )
        refusal_faults = RefusalFaults(site, Random(f"refusals of {seed}"), log_fault)
        rate_faults = RateFaults(site, Random(f"rates of {seed}"), log_fault)
        shortage_faults = ShortageFaults(site, Random(f"shortage of {seed}"), log_fault)
        part_faults = PartCrashFaults(
            site, callers, Random(f"parts of {seed}"), log_fault, interruptions
        )
        partition_faults = PartitionFaults(
            site, Random(f"partitions of {seed}"), log_fault, interruptions
        )
        answer_end_faults = AnswerEndFaults(
            site, callers, Random(f"answer ends of {seed}"), log_fault, interruptions
        )
        silence_faults = SilenceFaults(site, Random(f"silence of {seed}"), log_fault, interruptions)
        planned_faults = PlannedFaults(
            site,
            callers,
            Random(f"planned of {seed}"),
            log_fault,
            interruptions,
            has_changes=CHANGES_KIND not in only,
        )
        unending_faults = UnendingFaults(
            site, callers, Random(f"unending of {seed}"), log_fault, UNENDING_KIND in only
        )
        silent_runner_faults = SilentRunnerFaults(
            site, callers, Random(f"silent runners of {seed}"), log_fault, interruptions
        )
        wave_faults = WaveFaults(
            site, callers, Random(f"waves of {seed}"), log_fault, KEPT_WAVE_KIND in only
        )
        departure_faults = DepartureFaults(
            site, callers, Random(f"departures of {seed}"), log_fault
        )
        change_faults = ChangeFaults(site, callers, Random(f"changes of {seed}"), log_fault)
        early_faults = EarlyFaults(site, callers, Random(f"early answers of {seed}"), log_fault)
        nursery.start_soon(crash_faults.restart_crashed)
        async with trio.open_nursery() as load_nursery:
            load_nursery.start_soon(callers.run, CALLER_COUNT)
            async with trio.open_nursery() as fault_nursery:
                if not only or set(only) - SEPARATE_KINDS:
                    fault_nursery.start_soon(faults.run, began_at + seconds)
                if not only or NOTICE_KIND in only:
                    fault_nursery.start_soon(notice_faults.run, began_at + seconds)
                if not only or RATE_KIND in only:
                    fault_nursery.start_soon(rate_faults.run, began_at + seconds)
                if not only or REFUSAL_KIND in only:
                    fault_nursery.start_soon(refusal_faults.run, began_at + seconds)
                if not only or SHORTAGE_KIND in only:
                    fault_nursery.start_soon(shortage_faults.run, began_at + seconds)
                if PART_KIND in only:
                    fault_nursery.start_soon(part_faults.run, began_at + seconds)
                if PARTITION_KIND in only:
                    fault_nursery.start_soon(partition_faults.run, began_at + seconds)
                if ANSWER_END_KIND in only:
                    fault_nursery.start_soon(answer_end_faults.run, began_at + seconds)
                if SILENCE_KIND in only:
                    fault_nursery.start_soon(silence_faults.run, began_at + seconds)
                if UNENDING_KIND in only or UNENDING_ANSWER_KIND in only:
                    fault_nursery.start_soon(unending_faults.run, began_at + seconds)
                if SILENT_RUNNER_KIND in only:
                    fault_nursery.start_soon(silent_runner_faults.run, began_at + seconds)
                if DEPARTURE_KIND in only:
                    fault_nursery.start_soon(departure_faults.run, began_at + seconds)
                if CHANGES_KIND in only:
                    fault_nursery.start_soon(change_faults.run, began_at + seconds)
                if EARLY_KIND in only:
                    fault_nursery.start_soon(early_faults.run, began_at + seconds)
                if PLANNED_KIND in only:
                    fault_nursery.start_soon(planned_faults.run, began_at + seconds)
                if WAVE_KIND in only or KEPT_WAVE_KIND in only:
                    fault_nursery.start_soon(wave_faults.run, began_at + seconds)
                if not only or CRASH_KIND in only:
                    fault_nursery.start_soon(crash_faults.run, began_at + seconds)
            await trio.sleep(RECOVERY_SECONDS)
            callers.stop()
        checked_from = trio.current_time() - JUDGED_SECONDS
        stopped_at = trio.current_time()
        ready_before = frozenset(
            each.name for each in site.entries if each.caller_proxy.address in callers.ready_entries
        )
        for entry in site.entries:
            entry.is_stopping = True
            entry.process.terminate()
        seen_stop = await observe_stop(site, ready_before)
        site.violations += find_still_ready(seen_stop)
        await trio.sleep_until(stopped_at + STOP_GRACE_SECONDS)
        running_entries = [each.name for each in site.entries if each.process.poll() is None]
        if running_entries:
            site.violations.append(
                f"{running_entries} still running {STOP_GRACE_SECONDS} s after SIGTERM"
            )
        site.violations += _exited_runners(site)
        nursery.cancel_scope.cancel()
    _mark_refused(site, [*callers.calls, *change_faults.calls])
    _mark_passed_on(site, [*callers.calls, *change_faults.calls])
    violations = (
        NoticeJudge(site, callers.calls, interruptions).find_violations()
        + crash_faults.find_violations()
        + part_faults.find_violations()
    )
    violations += RateJudge(site, callers.calls, interruptions).find_violations()
    violations += AdmissionJudge(site, callers.calls).find_violations()
    violations += partition_faults.find_violations(callers.calls)
    violations += wave_faults.find_violations()
    violations += answer_end_faults.find_violations(callers.calls)
    violations += silence_faults.find_violations(callers.calls)
    violations += unending_faults.find_violations(callers.calls)
    violations += BudgetJudge(site, [*callers.calls, *change_faults.calls]).find_violations()
    site_calls = [*callers.calls, *change_faults.calls]
    _set_limits(site, site_calls)
    lost_judge = _make_lost_judge(site, site_calls)
    if SILENT_RUNNER_KIND in only and set(only) <= SILENCE_AND_PLANNED_KINDS:
        violations += silent_runner_faults.find_violations(
            callers.calls, lost_judge.was_last_of_grace
        )
    violations += _find_lost(site, lost_judge)
    violations += _find_over_bound(site, site_calls)
    violations += early_faults.find_violations()
    proper_calls = [*site_calls, *wave_faults.calls, *departure_faults.calls, *early_faults.calls]
    offset = trio.current_time() - time.monotonic()
    violations += StateJudges(site, proper_calls, interruptions, offset).find_violations()
    crash_calls = [*crash_faults.calls, *part_faults.calls]
    all_calls = [*proper_calls, *crash_calls]
    violations += RuleJudges(site, all_calls, proper_calls, interruptions).find_violations()
    violations += check_fault_calls(site, all_calls[len(callers.calls) :])
    return site.violations + violations + check_calls(site, callers, faults, checked_from)


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


def _set_limits(site: Site, calls: list[Call]) -> None:
    """Note the shortest timeout that each call may have had."""
    for call in calls:
        end = call.sent_at + call.duration_seconds
        call.limit_seconds = site.desired_history.shortest_timeout(call.path, call.sent_at, end)


def _make_lost_judge(site: Site, calls: list[Call]) -> LostJudge:
    runners = {each.spec.address: each.spec.instance for each in site.runners}
    return LostJudge(
        calls,
        histories(site.records, trio.current_time() - time.monotonic(), runners),
        site.disturbances,
        {each.caller_proxy.address: each.name for each in site.entries},
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
        find_runs(site.records, trio.current_time() - time.monotonic()),
        site.runner_ended_at,
        site.disturbances.cuts,
        site.configuration.max_attempts,
    )
    violations = judge.find_violations()
    # `update` keeps the counts that are 0.
    site.judged.update(judge.judged)
    (site.folder / "over_bound.log").write_text("\n".join(judge.describe_over()), encoding="utf-8")
    return violations


def run_seed(
    seed: int,
    seconds: float,
    only: Sequence[str] = (),
    entry_count: int = ENTRY_COUNT,
    attempts: int | None = None,
    profile_name: str = USUAL,
) -> int:
    """Run one seed and print its result; return the exit code.

    Args:
      seed: the seed of all random choices.
      seconds: how long faults are injected.
      only: the kinds of faults; all if it is empty.
      entry_count: the number of entries.
      attempts: on how many upstreams a request of the idempotent routes may run, None for the
        usual number.
      profile_name: the name of the site's profile.
    """
    profile = PROFILES[profile_name]
    fault_log: list[str] = []
    with tempfile.TemporaryDirectory() as folder:
        plain_slots = PLAIN_SLOTS if ANSWER_END_KIND in only else 0
        # No bound but the contact time may then end a read on a silent connection.
        is_long = SILENCE_KIND in only
        revocation_seconds = LONG_REVOCATION_SECONDS if is_long else REVOCATION_SECONDS
        has_second_service = bool({PLANNED_KIND, CHANGES_KIND} & set(only))
        site = Site(
            Path(folder),
            entry_count,
            plain_slots,
            revocation_seconds,
            has_second_service,
            profile.event_interval_seconds,
        )
        set_attempts = {} if attempts is None else dict.fromkeys(IDEMPOTENT_ROUTES, attempts)
        site.configuration = replace(
            site.configuration,
            max_attempts={**MAX_ATTEMPTS, **profile.max_attempts, **set_attempts},
            timeout_shares=profile.timeout_shares,
        )
        try:
            violations = trio.run(_run_site, site, seed, seconds, only, fault_log)
        finally:
            site.close()
        if violations:
            findings = Path("soak-findings") / str(seed)
            findings.mkdir(parents=True, exist_ok=True)
            for each in Path(folder).glob("*.log"):
                (findings / each.name).write_bytes(each.read_bytes())
            (findings / "faults.txt").write_text("\n".join(fault_log), encoding="utf-8")
    runs = sum("run" in each for each in site.records)
    print(f"seed {seed}: {len(fault_log)} faults, {runs} runs, {len(violations)} broken promises")
    print(
        "  judged: "
        + (", ".join(f"{count} {name}" for name, count in site.judged.items()) or "nothing")
    )
    for each in violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"  {each}")
    return 1 if violations else 0


def main() -> int:
    """Run the seeds of the command line, several at once."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seconds", type=float, default=12.0, help="how long faults are injected")
    parser.add_argument("--jobs", type=int, default=2, help="seeds that run at the same time")
    parser.add_argument(
        "--entries", type=int, default=ENTRY_COUNT, help="number of entry processes"
    )
    parser.add_argument(
        "--only", action="append", default=[], choices=sorted({*FAULT_KINDS, *SEPARATE_KINDS})
    )
    parser.add_argument(
        "--attempts", type=int, help="maxAttempts of the idempotent routes, if not the usual one"
    )
    parser.add_argument("--profile", choices=sorted(PROFILES), default=USUAL, help="kind of site")
    parser.add_argument("seeds", nargs="+", type=int)
    options = parser.parse_args()
    if len(options.seeds) == 1:
        return run_seed(
            options.seeds[0],
            options.seconds,
            options.only,
            options.entries,
            options.attempts,
            options.profile,
        )
    only = [each for kind in options.only for each in ("--only", kind)]
    attempts = ["--attempts", str(options.attempts)] if options.attempts is not None else []

    def run_in_subprocess(seed: int) -> int:
        command = [
            sys.executable,
            "-m",
            "soak",
            "--seconds",
            str(options.seconds),
            "--entries",
            str(options.entries),
            "--profile",
            options.profile,
            *only,
            *attempts,
            str(seed),
        ]
        return subprocess.run(command, check=False).returncode

    with ThreadPoolExecutor(options.jobs) as pool:
        codes = list(pool.map(run_in_subprocess, options.seeds))
    print(f"{codes.count(0)} seeds kept every promise, {len(codes) - codes.count(0)} did not")
    return max(codes)


if __name__ == "__main__":
    sys.exit(main())
