"""Steps for the soak's judges of single rules, over records made by hand."""

from dataclasses import dataclass, replace

from behave import then, when

from soak.arrivals import Arrival
from soak.calls import Call, Ending
from soak.contact import Contact
from soak.deadline_judge import DeadlineJudge
from soak.desired_history import DesiredHistory
from soak.disturbances import Disturbances, PlannedKind, PlannedWork, Span
from soak.gone_judge import GoneJudge, departures
from soak.key_judge import KeyJudge
from soak.lost_judge import RequestHistory
from soak.reader import AnswerReader
from soak.run_judge import Run, RunJudge
from soak.sent_request import SentRequest, parse_request
from soak.stop_judge import StopObservation, find_still_ready
from soak.timeout_judge import TimeoutJudge

ADDRESS = "127.0.0.1:1"
ENTRIES = {ADDRESS: "e0", "127.0.0.1:2": "e1"}
SENT_AT = 100.0
DEADLINE_SECONDS = 6.0
PATIENCE_SECONDS = 8.0
TIMEOUT_SECONDS = 5.0
ENDINGS = {"whole": Ending.ANSWERED, "left": Ending.DISCONNECTED, "late": Ending.UNFINISHED}
HEADERS = {"x-model": "m", "x-token-usage": "1,2", "x-prompt-prefix": "a:1,b:2"}


@dataclass(frozen=True)
class State:
    """A desired state, as far as it is judged."""

    keys: tuple[str, ...] = ("a", "b")
    timeout_seconds: float = TIMEOUT_SECONDS
    services: tuple[str, ...] = ("crm", "erp")
    account: str = "acme"

    def account_of(self, key):
        return self.account if key in self.keys else ""

    def services_of(self, path):
        return self.services if path == "once" else ()

    def timeout_of(self, path):
        return self.timeout_seconds


def make_contact(disturbed=""):
    disturbances = Disturbances()
    name, _, at = disturbed.rpartition(" ")
    if name:
        disturbances.unplanned.append(Span(name, float(at), float(at)))
    return Contact(disturbances, {})


def held_up(row):
    return lambda runner, begin, end: runner == row["held"]


def make_answer(status):
    answer = AnswerReader()
    answer.status = status
    return answer


def make_calls(count, **fields):
    call = Call("", "once", "a", SENT_AT, entry=ADDRESS, whole_sent_at=SENT_AT)
    return [replace(call, request_id=f"r{each}", **fields) for each in range(count)]


def write_request(target="/once/x?q=2", method="POST", body="body", **headers):
    lines = [f"{name}: {value}" for name, value in {**HEADERS, **headers}.items()]
    return "\r\n".join([f"{method} {target} HTTP/1.1", *lines, "", body]).encode()


@when("a request to route once is sent and a runner records a run")
def record_runs(context):
    context.verdicts = []
    sent = Call("r1", "once", "a", SENT_AT, request=parse_request(write_request()))
    history = DesiredHistory([(50.0, State())])
    for row in context.table:
        name, _, value = row["changed"].partition(" ")
        run = Run("r1", "crm", "acme", parse_request(write_request()))
        if name in ("request_id", "service", "account"):
            run = replace(run, **{name: value})
        elif name:
            run = replace(run, received=parse_request(write_request(**{name: value})))
        found = RunJudge([sent], history).find_violations([run])
        context.verdicts.append((row["case"], found, row["verdict"]))


@then("the soak's judge of runs gives each verdict")
def check_runs(context):
    wrong = [
        (case, found)
        for case, found, verdict in context.verdicts
        if bool(found) != bool(verdict) or verdict not in "".join(found)
    ]
    assert not wrong, wrong
    record = parse_request(write_request()).to_record()
    assert SentRequest(**record) == parse_request(write_request())


def make_arrivals(calls, text):
    return [
        Arrival(call.request_id, "pa", float(at), None if ms == "none" else int(ms))
        for call in calls
        for at, ms in (each.split() for each in text.split(", "))
    ]


def find_long_deadlines(calls, found, row):
    contact = make_contact(row.get("disturbed", ""))
    judge = DeadlineJudge(calls, ENTRIES, DEADLINE_SECONDS, contact, held_up(row))
    return judge.find_violations(found)[1:]


@when("requests with a deadline of 6 s are sent at 100 s, and reach a runner")
def record_arrivals(context):
    context.reported = []
    for row in context.table:
        calls = make_calls(int(row["count"]))
        found = find_long_deadlines(calls, make_arrivals(calls, row["arrivals"]), row)
        context.reported.append((row["case"], found, int(row["reported"])))


@then("the soak's judge of deadlines reports as many as told")
@then("the soak's judge of timeouts reports as many as told")
@then("the soak's judge of keys reports as many as told")
@then("the soak's judge of callers that leave reports as many lines as told")
def check_reported(context):
    wrong = [each for each in context.reported if len(each[1]) != each[2]]
    assert not wrong, wrong


@then("the soak's judge of deadlines reports this many of the requests that are sent again late")
def check_share_of_deadlines(context):
    for row in context.table:
        too_long, in_time = int(row["too long"]), int(row["in time"])
        calls = make_calls(too_long + in_time)
        found = make_arrivals(calls[:too_long], "100.1 5900, 102.1 5900")
        found += make_arrivals(calls[too_long:], "100.1 5900, 102.1 3900")
        reported = find_long_deadlines(calls, found, {"held": ""})
        assert len(reported) == int(row["reported"]), reported


@when("callers of long requests leave at 100 s")
def leave(context):
    context.reported = []
    for row in context.table:
        has_left = row["how"] == "left"
        calls = make_calls(
            int(row["count"]),
            route=row["route"],
            ending=ENDINGS[row["how"]],
            has_disconnected=has_left,
            ended_at=float("inf") if row["how"] == "late" else 100.0,
            sent_at=92.0,
            whole_sent_at=92.0,
            duration_seconds=8.0,
            work_seconds=float(row["takes"]),
        )
        work = [tuple(float(each) for each in row["work"].split())] if row["work"] else []
        requests = {each.request_id: RequestHistory({"pa"}, work) for each in calls}
        judge = GoneJudge(
            departures(calls, ENTRIES), requests, make_contact(row["disturbed"]), held_up(row)
        )
        found = judge.find_violations(make_arrivals(calls, f"{row['arrivals']} 5000"))
        context.reported.append((row["case"], found, int(row["reported"])))


def make_late_calls(row):
    how = row["how"]
    unanswered = make_calls(
        int(row["unanswered"]),
        ending=ENDINGS.get(how, Ending.CLOSED),
        has_disconnected=how == "left",
        whole_sent_at=float("inf") if how == "unsent" else SENT_AT,
        ended_at=float(row["ended"]),
        paused_seconds=0.3 if how == "slow" else 0.0,
    )
    answered = make_calls(int(row["answered"]), ending=Ending.ANSWERED, ended_at=105.1)
    return unanswered + answered


@when("requests are sent at 100 s to a route whose timeout is 5 s")
def time_out(context):
    context.reported = []
    for row in context.table:
        history = DesiredHistory([(50.0, State())])
        for change in filter(None, row["changed"].split(", ")):
            at, seconds = change.split()
            history.add(float(at), State(timeout_seconds=float(seconds)))
        contact = make_contact(row["disturbed"])
        judge = TimeoutJudge(make_late_calls(row), ENTRIES, history, contact, PATIENCE_SECONDS)
        found = judge.find_violations()[1:]
        context.reported.append((row["case"], found, int(row["reported"])))


@when("requests are sent at 100 s, and keys a and b are valid from 50 s on")
def use_keys(context):
    context.reported = []
    for row in context.table:
        history = DesiredHistory([(50.0, State())])
        if row["changed"]:
            at, keys = row["changed"].split()
            history.add(float(at), State(tuple(keys.split(","))))
        calls = make_calls(
            int(row["count"]),
            key=row["key"],
            answer=make_answer(int(row["status"])),
            duration_seconds=0.05,
        )
        judge = KeyJudge(calls, ENTRIES, history, make_contact(row["disturbed"]))
        services = {each.request_id: ("crm",) for each in calls} if row["runs"] == "yes" else {}
        found = judge.find_violations(services)
        context.reported.append((row["case"], found, int(row["reported"])))


@then("the soak counts an entry as in touch from 100 s to 101 s")
def check_contact(context):
    for row in context.table:
        kind, _, name = row["what"].partition(" ")
        disturbances, started_at = Disturbances(), {}
        if kind == "start":
            started_at[name] = [float(row["at"])]
        elif kind in (PlannedKind.STOP, PlannedKind.RELOAD):
            disturbances.planned.append(PlannedWork(PlannedKind(kind), float(row["at"]), name))
        elif kind:
            spans = getattr(disturbances, {"absence": "absences"}.get(kind, kind))
            spans.append(Span(name, float(row["at"]), float(row["at"])))
        actual = Contact(disturbances, started_at).is_in_touch("e0", 100.0, 101.0, {"pa"})
        assert actual == (row["in touch"] == "yes"), row["case"]


@then("the soak judges entries that were stopped together")
def check_stops(context):
    for row in context.table:
        answers = {
            name: [each == "y" for each in text]
            for name, text in (each.split() for each in row["answers"].split(", "))
        }
        before, running = (frozenset(row[each].split()) for each in ("before", "running"))
        found = find_still_ready(StopObservation(before, answers, running))
        names = row["verdict"].split()
        assert len(found) == bool(names), (row["case"], found)
        assert not names or str(names) in found[0], (row["case"], found)
