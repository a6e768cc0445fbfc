"""Checks what single calls and the runs of them show, by what their callers saw."""

from collections import Counter
from collections.abc import Sequence

from soak.callers import (
    ANSWER_GRACE_SECONDS,
    DEADLINE_SECONDS,
    NOT_EXECUTED_STATUSES,
    Callers,
)
from soak.calls import Call
from soak.site import Site

__all__ = ["check_calls", "check_fault_calls"]

# Of the calls that are sent once the site must have recovered, this share must be served.
MIN_SERVED_SHARE = 0.9
# A request in flight may be executed this long after the revocation of its key takes effect.
IN_FLIGHT_GRACE_SECONDS = 1.0
# The excess over a call's time limit that is ignored, since the caller's process is busy too.
MEASUREMENT_GRACE_SECONDS = 1.0


def check_calls(site: Site, callers: Callers, checked_from: float) -> list[str]:
    """Return the violations that calls and executions show together."""
    runs = Counter(each["run"] for each in site.records if "run" in each)
    violations = list(callers.violations)
    for call in callers.calls:
        violations += _check_answer(call)
        violations += _check_executions(call, runs[call.request_id])
        revoked_at = callers.revoked.get(call.key)
        violations += _check_key(call, runs[call.request_id], revoked_at, site.revocation_seconds)
        violations += _check_duration(call)
    with_valid_key = [each for each in callers.calls if each.key not in callers.revoked]
    checked = [
        each for each in with_valid_key if each.sent_at > checked_from and not each.has_disconnected
    ]
    served = sum(each.is_served for each in checked)
    if not checked or served < MIN_SERVED_SHARE * len(checked):
        violations.append(f"at the end {served} of {len(checked)} calls were served")
    return violations


def check_fault_calls(site: Site, calls: Sequence[Call]) -> list[str]:
    """Return the violations of the requests that faults sent, by their answers and executions."""
    runs = Counter(each["run"] for each in site.records if "run" in each)
    return [
        violation
        for call in calls
        for violation in _check_answer(call) + _check_executions(call, runs[call.request_id])
    ]


def _check_answer(call: Call) -> list[str]:
    violation = call.find_violation()
    return [violation] if violation else []


def _check_executions(call: Call, runs: int) -> list[str]:
    """Return the violations of a call that may be executed only once."""
    violations = []
    if call.route in ("once", "fragile"):
        if runs > 1:
            violations.append(f"{call.request_id} ({call.route}) was executed {runs} times")
        if call.status in NOT_EXECUTED_STATUSES and runs:
            violations.append(
                f"{call.request_id} ({call.route}) got {call.status} but was executed"
            )
    return violations


def _check_key(
    call: Call, runs: int, revoked_at: float | None, revocation_seconds: float
) -> list[str]:
    """Return a violation if a call was executed too long after its key was revoked."""
    grace_seconds = revocation_seconds + IN_FLIGHT_GRACE_SECONDS
    if revoked_at is None or not runs or call.sent_at <= revoked_at + grace_seconds:
        return []
    return [
        f"{call.request_id} was executed with a key revoked"
        f" {call.sent_at - revoked_at:.1f} s before"
    ]


def _check_duration(call: Call) -> list[str]:
    if call.duration_seconds <= DEADLINE_SECONDS + ANSWER_GRACE_SECONDS + MEASUREMENT_GRACE_SECONDS:
        return []
    return [f"{call.request_id} took {call.duration_seconds:.1f} s"]
