"""Steps for the soak's judge of upstreams and for its silent runners."""

from random import Random
from types import SimpleNamespace

from behave import then, when
from soak_records import make_disturbances

from soak.bound_judge import BoundJudge, find_runs
from soak.calls import Call, Ending
from soak.disturbances import Span
from soak.lost_judge import LostJudge, RequestHistory
from soak.silent_runner_faults import SilentRunnerFaults

ADDRESS = "127.0.0.1:1"
GRACE_SECONDS = 5.0
TIMEOUT_SECONDS = 5.0
SENT_AT = 100.0
# The runners' clock is behind by this much.
CLOCK_OFFSET = 40.0
GIVEN_UP_SECONDS = 8.0
ENDINGS = {"closed": Ending.CLOSED, "reset": Ending.RESET, "left": Ending.DISCONNECTED}


def parse_incarnation(text):
    instance, born = text.split("@")
    return instance, int(born)


def make_record(text):
    *names, incarnation, at = text.split()
    instance, born = parse_incarnation(incarnation)
    name = names[0] if names else "r1"
    return {"run": name, "instance": instance, "born": born, "time": float(at) - CLOCK_OFFSET}


def make_call(name, end):
    ended_at = float("inf") if end == "given up" else float(end)
    duration_seconds = GIVEN_UP_SECONDS if end == "given up" else ended_at - SENT_AT
    return Call(
        name, "stream", "key-0", SENT_AT, ended_at=ended_at, duration_seconds=duration_seconds
    )


def make_judge(calls, runs, ended, cuts, bound):
    records = [{"arrived": "r1"}, *map(make_record, filter(None, runs.split(", ")))]
    ended_at = {
        parse_incarnation(name): float(at)
        for name, at in (each.split() for each in filter(None, ended.split(", ")))
    }
    spans = [
        Span(name, float(begin), float(end))
        for name, begin, end in (each.split() for each in filter(None, cuts.split(", ")))
    ]
    return BoundJudge(calls, find_runs(records, CLOCK_OFFSET), ended_at, spans, {"stream": bound})


def judge_row(row):
    call = make_call("r1", row["call end"])
    bound = int(row["bound"])
    judge = make_judge([call], row["runs"], row["ended"], row["cut"], bound)
    judge.find_violations()
    over, at = (judge.judged[f"requests {each} their upstream bound"] for each in ("over", "at"))
    return str(judge.count(call)), "over" if over else "at" if at else "below"


@when("a call is sent at 100 s, and runners record its runs")
def judge_runs(context):
    context.counts = [
        (row["case"], judge_row(row), (row["count"], row["verdict"])) for row in context.table
    ]


@then("the soak's judge counts the upstreams of each of them as told")
def check_counts(context):
    wrong = [each for each in context.counts if each[1] != each[2]]
    assert not wrong, wrong


@then("the soak reports this many of the requests that ran on too many upstreams")
def check_reported(context):
    for row in context.table:
        names = [f"r{number}" for number in range(int(row["over"]))]
        calls = [make_call(each, "102") for each in (*names, "sound")]
        runs = [f"{each} la{number}.0@1 100.1" for each in names for number in range(3)]
        judge = make_judge(calls, ", ".join((*runs, "sound la0.0@1 100.1")), "", "", 2)
        reported = judge.find_violations()
        assert len(reported) == int(row["reported"]), reported
        assert judge.judged["requests over their upstream bound"] == len(names)


def make_stream(row):
    call = make_call(row["case"], row["ended"])
    call.route = row["route"]
    call.whole_sent_at = SENT_AT
    call.longest_gap_seconds = float(row["gap"])
    call.has_disconnected = row["how"] == "left"
    call.answer.status = int(row["status"])
    call.answer.is_complete = row["how"] == "whole"
    call.ending = ENDINGS.get(row["how"], Ending.ANSWERED)
    call.entry = ADDRESS
    return call


def make_lost_judge(calls, row):
    """Return the judge that knows what the planned work of a row is a reason for."""
    work = [tuple(float(each) for each in row.get("work", "").split())]
    requests = {each.request_id: RequestHistory({"la0"}, [*filter(None, work)]) for each in calls}
    disturbances = make_disturbances(row.get("planned", ""), "")
    return LostJudge(calls, requests, disturbances, {ADDRESS: "e0"}, GRACE_SECONDS, TIMEOUT_SECONDS)


@when("streams that are sent at 100 s end while sound runners are silent")
def end_streams(context):
    context.reported = []
    for row in context.table:
        records = [{"arrived": row["case"]}] if row["arrived"] == "yes" else []
        site = SimpleNamespace(records=records, judged={})
        calls = [make_stream(row)]
        faults = SilentRunnerFaults(site, None, Random(0), print, None)
        judge = make_lost_judge(calls, row)
        reported = faults.find_violations(calls, judge.was_last_of_grace)
        context.reported.append((row["case"], bool(reported), row["verdict"]))


@then("the soak reports those of them that silence ended")
def check_ended(context):
    wrong = [each for each in context.reported if each[1] != (each[2] == "ended")]
    assert not wrong, wrong
