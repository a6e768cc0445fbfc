"""Steps for the soak's judge of requests that end without an answer."""

from behave import then, when
from soak_records import make_disturbances

from soak.calls import Call, Ending
from soak.disturbances import Disturbances
from soak.lateness import Lateness
from soak.lost_judge import Loss, LostJudge, RequestHistory

ENTRIES = {"127.0.0.1:1": "e0", "127.0.0.1:2": "e1"}
ADDRESS = "127.0.0.1:1"
GRACE_SECONDS = 5.0
TIMEOUT_SECONDS = 5.0
ENDINGS = {
    "reset": Ending.RESET,
    "left": Ending.DISCONNECTED,
    "late": Ending.UNFINISHED,
    "whole": Ending.ANSWERED,
}


# When calls reach their entry that a proxy passes on late or never.
REACHED_AT = {"held": 100.2, "held back": float("inf")}


def make_call(name, sent, ended, how, received_bytes):
    return Call(
        name,
        "once",
        "" if how == "keyless" else "key-0",
        sent,
        entry=ADDRESS,
        number_on_connection=1 if how == "first" else 2,
        ending=ENDINGS.get(how, Ending.CLOSED),
        whole_sent_at=float("inf") if how == "unsent" else sent,
        ended_at=float("inf") if how == "late" else ended,
        received_bytes=received_bytes,
        reached_entry_at=REACHED_AT.get(how, sent),
        paused_seconds=0.3 if how == "slow" else 0.0,
        late_seconds=0.15 if how == "seen late" else 0.0,
    )


def find_loss(row):
    call = make_call("r1", float(row["sent"]), float(row["ended"]), row["how"], int(row["bytes"]))
    work = [tuple(float(each) for each in row["work"].split())] if row["work"] else []
    history = RequestHistory(set(row["runners"].split()), work, row["disturbed"] == "break")
    calls, requests = [call], {"r1": history}
    if row["disturbed"] == "often":
        calls.append(make_call("r2", 50.0, 50.3, "closed", 70))
        requests["r2"] = RequestHistory({"pa"}, [(50.1, 52.0)])
    disturbances = make_disturbances(row["planned"], row["disturbed"])
    judge = LostJudge(calls, requests, disturbances, ENTRIES, GRACE_SECONDS, TIMEOUT_SECONDS)
    return next((str(loss) for each, loss in judge.find_losses() if each is call), "")


@when("calls to an entry are sent at 100 s and end without a whole answer")
def find_losses(context):
    context.losses = [(row["case"], find_loss(row), row["loss"]) for row in context.table]


@then("the soak counts each of them as told")
def check_losses(context):
    wrong = [each for each in context.losses if each[1] != each[2]]
    assert not wrong, wrong


@then("the soak reports this many of the calls whose connections were closed unanswered")
def check_reported(context):
    for row in context.table:
        calls = [
            make_call(f"r{each}", 100.0, 100.5, "closed", 0) for each in range(int(row["closed"]))
        ]
        requests = {each.request_id: RequestHistory({"pa"}, [(100.1, 101.0)]) for each in calls}
        judge = LostJudge(calls, requests, Disturbances(), ENTRIES, GRACE_SECONDS, TIMEOUT_SECONDS)
        reported = judge.find_violations()
        assert len(reported) == int(row["reported"]), reported
        assert judge.judged[Loss.CLOSED_UNANSWERED] == len(calls)


@when("the soak was late from 99.7 to 99.97 s, from 100 to 100.2 s and from 100.23 to 100.5 s")
def note_lateness(context):
    lateness = Lateness([(99.7, 99.97), (100.0, 100.2), (100.23, 100.5)])
    context.earliest = [
        (lateness.earliest(float(row["seen at"])), float(row["earliest"])) for row in context.table
    ]


@then("what it saw may have happened no sooner than told")
def check_earliest(context):
    wrong = [each for each in context.earliest if each[0] != each[1]]
    assert not wrong, wrong
