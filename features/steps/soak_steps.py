"""Steps for the soak of real processes."""

import re
import subprocess
import sys
from pathlib import Path

from behave import then, when

from soak.calls import Call
from soak.events import event, events

ROOT = Path(__file__).resolve().parent.parent.parent
# Startup, faults, recovery and shutdown take about 25 s; on a busy machine several times that.
SOAK_TIMEOUT_SECONDS = 180
REQUEST_ID = "r1"
# The options of the soak that play only some faults.
OPTIONS = {
    "notices of upstreams": ("--only", "notices"),
    "requests that crash upstreams": ("--only", "deadly"),
    "phases of refusals and restarts": ("--only", "refusals", "--only", "entry"),
    "reports of full runners": ("--only", "shortage"),
    "parts that crash upstreams": ("--only", "parts"),
    "partitions from runners": ("--only", "partitions"),
    "waves of new connections to one of 10 entries": ("--only", "wave", "--entries", "10"),
    "answers without a length": ("--only", "answer-ends"),
    "connections that go silent": ("--only", "silence"),
    "answers without an end": ("--only", "unending-answers"),
    "planned work": ("--only", "planned"),
    "callers that leave": ("--only", "departures"),
    "planned work and silent upstreams": (
        "--only",
        "planned",
        "--only",
        "silent-runners",
        "--attempts",
        "2",
    ),
    "planned work and silent upstreams beside short routes": (
        "--profile",
        "short-calls",
        "--only",
        "planned",
        "--only",
        "silent-runners",
    ),
    "changes under their callers": ("--only", "changes"),
    "pairs of entries in trouble": ("--only", "pairs", "--entries", "8"),
    "long bodies answered early": ("--only", "early-answers"),
    "two drawn kinds": ("--draw", "2"),
    "silent upstreams and 1 attempt": ("--only", "silent-runners", "--attempts", "1"),
    "silent upstreams and 2 attempts": ("--only", "silent-runners", "--attempts", "2"),
}
# What the soak counts of the cases that it checked, and how many it must have found at least.
JUDGED = {
    "backoffs that upstreams had asked for": ("backoffs", 1),
    "upstreams that requests had crashed": ("runners ended by requests", 2),
    "retries": ("retries", 1),
    "refusals for load": ("refusals for load", 1),
    "upstreams that a part had crashed": ("runners ended by a part", 3),
    "calls at partitioned entries": ("calls at partitioned entries", 10),
    "calls in waves": ("calls in waves", 1),
    "plain calls that ran undisturbed": ("plain calls that ran undisturbed", 1),
    "leaves beside silent connections": ("leaves beside silent connections", 1),
    "pairs of entries in trouble": ("pairs of entries in trouble", 4),
    "leaves beside pairs in trouble": ("leaves beside pairs in trouble", 1),
    "calls whose answers had no end": ("calls whose answers had no end", 1),
    "calls around planned work": ("calls around planned work", 100),
    "long runs of callers that had left": ("long runs of callers gone", 10),
    "requests at their upstream bound": ("requests at their upstream bound", 1),
    "silences of sound upstreams": ("silences of sound runners", 3),
    "requests on added routes": ("calm requests on added routes", 20),
    "requests after a newer state was seen": ("requests after a newer state was seen", 20),
    "requests with unknown keys": ("requests with unknown keys", 1),
    "calls far from changes": ("calls far from changes", 50),
    "answers before the body was read": ("answers before the body was read", 5),
    "bodies that were given up": ("such bodies given up", 1),
}
HEAD = (
    b"HTTP/1.1 200 \r\nx-request-id: r1\r\nx-response-seal: seal-r1\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


def run_soak(context, seed, seconds, *options):
    command = [sys.executable, "-m", "soak", "--seconds", str(seconds), *options, str(seed)]
    context.soak = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=SOAK_TIMEOUT_SECONDS, check=False
    )


@when("the soak runs seed {seed:d} with faults for {seconds:d} seconds")
def run_soak_with_faults(context, seed, seconds):
    run_soak(context, seed, seconds)


@when("the soak runs seed {seed:d} for {seconds:d} seconds with {faults} as the only faults")
def run_soak_with_some_faults(context, seed, seconds, faults):
    run_soak(context, seed, seconds, *OPTIONS[faults])


@then("it reports no violation")
def check_no_violation(context):
    assert context.soak.returncode == 0, context.soak.stdout + context.soak.stderr
    assert " 0 broken promises" in context.soak.stdout


@then("it checked {what}")
def check_judged(context, what):
    name, least = JUDGED[what]
    match = re.search(rf"judged: (?:.*[ ,])?(\d+) {name}", context.soak.stdout)
    assert match and int(match[1]) >= least, context.soak.stdout


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def half_event(number):
    return event(REQUEST_ID, number)[: len(event(REQUEST_ID, number)) // 2]


def named_bytes():
    """Return the bytes for each name in braces."""
    second_event = chunk(event(REQUEST_ID, 2))
    return {
        "head": HEAD,
        "1": chunk(event(REQUEST_ID, 1)),
        "2": second_event,
        "3": chunk(event(REQUEST_ID, 3)),
        "half 2": second_event[: second_event.index(half_event(2)) + len(half_event(2))],
        "half 2 as chunk": chunk(half_event(2)),
        "all": chunk(events(REQUEST_ID)),
        "end": b"0\r\n\r\n",
    }


def expand_bytes(text):
    data = text.encode().decode("unicode_escape").encode()
    for name, piece in named_bytes().items():
        data = data.replace(f"{{{name}}}".encode(), piece)
    return data


def find_verdict(*parts):
    call = Call(REQUEST_ID, "stream", "key", 0.0)
    for part in parts:
        if part and not call.feed(part):
            break
    return call.find_violation() or ("whole" if call.is_complete else "cut")


@when("a caller of the soak receives an answer and then its connection is closed")
def receive_answers(context):
    context.answers = [
        (row["answer"], expand_bytes(row["bytes"]), row["verdict"]) for row in context.table
    ]


@then("each verdict is as expected, at every position at which the bytes may be split in two")
def check_verdicts(context):
    for answer, data, verdict in context.answers:
        for position in range(len(data) + 1):
            actual = find_verdict(data[:position], data[position:])
            assert verdict in actual, (answer, position, actual)
