"""Steps for the soak's judges of desired states and new connections, on records made by hand."""

from dataclasses import dataclass, field, replace

from behave import then, when

from soak.added_judge import AddedRoutesJudge
from soak.calls import Call, Ending
from soak.connection_judge import Attempt, ConnectionJudge, Readiness
from soak.contact import Contact
from soak.desired_history import DesiredHistory
from soak.disturbances import Disturbances, Span
from soak.downgrade_judge import DowngradeJudge, ServiceRun
from soak.early_runner import BodyCheck, early_body
from soak.key_judge import KeyJudge, find_revoked
from soak.reader import AnswerReader
from soak.run_judge import Run, RunJudge
from soak.sent_request import parse_request
from soak.unknown_key_judge import UnknownKeyJudge

ADDRESS, OTHER_ADDRESS = "127.0.0.1:1", "127.0.0.1:2"
ENTRIES = {ADDRESS: "e0", OTHER_ADDRESS: "e1"}
SENT_AT = 100.0
CALL_SECONDS = 0.05
CALL_COUNT = 10
REVOCATION_SECONDS = 4.0
REQUEST = b"POST /once/x HTTP/1.1\r\nhost: h\r\n\r\nbody"
BODY_BYTES = 40
RETRY_SECONDS = 0.4
POLL_SECONDS = 0.5
CASE = "case"


@dataclass(frozen=True)
class State:
    """A desired state, as far as it is judged: accounts by key and services by path."""

    accounts: dict[str, str] = field(default_factory=dict)
    services: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def account_of(self, key):
        return self.accounts.get(key, "")

    def services_of(self, path):
        return self.services.get(path, ())

    def timeout_of(self, path):
        return 5.0


def parse_state(words):
    pairs = [word.split(":") for word in words]
    routes = {name: tuple(value.split("+")) for name, value in pairs if name == "once"}
    return State({name: value for name, value in pairs if name != "once"}, routes)


def parse_history(text):
    history = DesiredHistory()
    for each in text.split(", "):
        at, *words = each.split()
        history.add(float(at), parse_state(words))
    return history


def make_contact(disturbed):
    disturbances = Disturbances()
    name, _, at = disturbed.rpartition(" ")
    if name:
        disturbances.unplanned.append(Span(name, float(at), float(at)))
    return Contact(disturbances, {})


def make_call(name="r1", sent_at=SENT_AT, status=200, **fields):
    answer = AnswerReader()
    answer.status, answer.is_complete = status, bool(status)
    call = Call(name, "once", "a", sent_at, entry=ADDRESS, whole_sent_at=sent_at, answer=answer)
    return replace(call, duration_seconds=CALL_SECONDS, ending=Ending.ANSWERED, **fields)


def report(context, row, found):
    context.reported.append((row[CASE], found, int(row["reported"])))


@then("the soak's judges of keys and routes report as many as told")
@then("the soak's judge of runs reports as many as told")
@then("the soak's judge of added routes reports as many as told")
@then("the soak's judge of downgrades reports as many as told")
@then("the soak's judge of unknown keys reports as many as told")
@then("the soak's judge of connections reports as many as told")
def check_reported(context):
    wrong = [each for each in context.reported if len(each[1]) != each[2]]
    assert not wrong, wrong


@when("the desired state is changed, and 10 requests are sent at 100 s to entry e0")
def change_state(context):
    context.reported = []
    for row in context.table:
        calls = [
            make_call(f"r{each}", key=row["key"], route_name=row["path"], status=int(row["status"]))
            for each in range(CALL_COUNT)
        ]
        services = {each.request_id: (row["service"],) for each in calls if row["service"]}
        history = parse_history(row["states"])
        judge = KeyJudge(calls, ENTRIES, history, make_contact(row["disturbed"]))
        found = judge.find_violations(services)
        found += find_revoked(calls, services, history, REVOCATION_SECONDS)
        report(context, row, found)


@when("a key has passed from one account to another, and a run of a request is sent at 100 s")
def pass_key(context):
    context.reported = []
    for row in context.table:
        call = make_call(request=parse_request(REQUEST))
        run = Run("r1", row["service"], row["account"], parse_request(REQUEST))
        judge = RunJudge([call], parse_history(row["states"]))
        report(context, row, judge.find_violations([run]))


def make_served(prefix, count, served, **fields):
    return [
        make_call(f"{prefix}{each}", status=200 if each < served else 503, **fields)
        for each in range(count)
    ]


@when("requests are sent on the first routes and on routes that were added at 60 s")
def send_on_routes(context):
    context.reported = []
    for row in context.table:
        first = State({"a": "acme"}, {"once": ("crm",)})
        added = replace(first, services={"once": ("crm",), "once-1": ("crm",)})
        history = DesiredHistory([(50.0, first), (60.0, added)])
        sent_at = float(row["sent"])
        calls = make_served("f", int(row["first"]), int(row["served"]), sent_at=sent_at)
        calls += make_served(
            "a",
            int(row["added"]),
            int(row["added served"]),
            sent_at=sent_at,
            route_name="once-1",
        )
        is_calm = row["calm"] == "yes"
        contact = make_contact(row["disturbed"])
        judge = AddedRoutesJudge(
            calls, ENTRIES, history, contact, lambda begin, end, is_calm=is_calm: is_calm
        )
        report(context, row, judge.find_violations())


def make_handling(number, text):
    """Return a call and the service that ran it, if any."""
    at, how = text.split()
    how, _, entry = how.partition("@")
    call = make_call(
        f"r{number}",
        sent_at=float(at),
        entry=OTHER_ADDRESS if entry else ADDRESS,
        key={"new": "b", "401": "b", "never": "x"}.get(how, "a"),
        status=401 if how in ("401", "never") else 200,
    )
    return call, {"401": "", "never": "", "new": "erp"}.get(how, how)


@when("route once leads to crm from 50 s, to erp from 90 s and to crm again from 95 s")
def move_route(context):
    context.reported = []
    history = parse_history("50 a:acme once:crm, 90 a:acme b:acme once:erp, 95 a:acme once:crm")
    for row in context.table:
        handled = [
            make_handling(number, text) for number, text in enumerate(row["handled"].split(", "))
        ]
        is_slowed = row["slowed"] == "yes"
        judge = DowngradeJudge(
            [call for call, _ in handled],
            ENTRIES,
            history,
            {"e0": [40.0, *map(float, row["starts"].split())], "e1": [40.0]},
            lambda name, begin, end, is_slowed=is_slowed: is_slowed,
        )
        runs = [
            ServiceRun(call.request_id, service, call.sent_at + 0.01)
            for call, service in handled
            if service
        ]
        report(context, row, judge.find_violations(runs))


@when("a request is sent at 100 s with a key, and a and b are valid from 50 s on")
def use_key(context):
    context.reported = []
    history = parse_history("50 a:acme b:acme once:crm")
    for row in context.table:
        call = make_call(key=row["key"], route_name=row["path"], status=int(row["status"]))
        judge = UnknownKeyJudge([call], ENTRIES, history, make_contact(row["disturbed"]))
        run_ids = {call.request_id} if row["runs"] == "yes" else set()
        report(context, row, judge.find_violations(run_ids))


def make_readiness(until, not_ready):
    """Return answers of an entry that is ready but for one or two questions."""
    since, _, how = not_ready.partition(" ")
    # One that is unborn answers from 100.5 s on.
    count = {"two misses": 2, "unborn": 11}.get(how, 1)
    readiness = Readiness()
    at = 95.0
    while at <= until:
        is_ready = not since or not 0 <= at - float(since) < count * POLL_SECONDS
        readiness.add("e0", at, is_ready or (None if how else False))
        at += POLL_SECONDS
    return readiness


@when("clients try to connect to entry e0 from 100 s on, one each 0.4 s")
def try_to_connect(context):
    context.reported = []
    for row in context.table:
        count, _, is_repeated = row["clients"].partition(" ")
        taken = {int(each) for each in row["taken"].split()}
        names = [f"c{each}" for each in range(int(count))] * (2 if is_repeated else 1)
        attempts = [
            Attempt("e0", name, SENT_AT + number * RETRY_SECONDS, number + 1 in taken)
            for number, name in enumerate(names)
        ]
        readiness = make_readiness(float(row["until"]), row["not ready"])
        judge = ConnectionJudge(attempts, readiness, make_contact(row["disturbed"]))
        report(context, row, judge.find_violations())


@when("a runner reads a body of 40 bytes that it has answered")
def read_body(context):
    body = early_body("r1", BODY_BYTES)
    context.checks = []
    for row in context.table:
        check = BodyCheck(body)
        for piece in row["received"].split():
            begin, is_range, end = piece.partition("-")
            check.feed(body[int(begin) : int(end)] if is_range else piece.encode())
        context.checks.append((row[CASE], check.wrong_at, row["wrong at"]))


@then("the soak finds the first wrong byte of each")
def check_bodies(context):
    wrong = [
        each for each in context.checks if str(each[1] if each[1] is not None else "") != each[2]
    ]
    assert not wrong, wrong
