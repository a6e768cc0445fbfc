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
HEAD = (
    b"HTTP/1.1 200 \r\nx-request-id: r1\r\nx-response-seal: seal-r1\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


@when("the soak runs seed {seed:d} with faults for {seconds:d} seconds")
def run_soak_with_faults(context, seed, seconds):
    run_soak(context, seed, seconds)


@when(
    "the soak runs seed {seed:d} for {seconds:d} seconds with notices of upstreams"
    " as the only faults"
)
def run_soak_with_notices(context, seed, seconds):
    run_soak(context, seed, seconds, "--only", "notices")


@when(
    "the soak runs seed {seed:d} for {seconds:d} seconds with requests that crash upstreams"
    " as the only faults"
)
def run_soak_with_crashes(context, seed, seconds):
    run_soak(context, seed, seconds, "--only", "deadly")


@when(
    "the soak runs seed {seed:d} for {seconds:d} seconds with reports of full runners"
    " as the only faults"
)
def run_soak_with_shortage(context, seed, seconds):
    run_soak(context, seed, seconds, "--only", "shortage")


@when(
    "the soak runs seed {seed:d} for {seconds:d} seconds with answers without a length"
    " as the only faults"
)
def run_soak_with_answer_ends(context, seed, seconds):
    run_soak(context, seed, seconds, "--only", "answer-ends")


@then("it checked plain calls that ran undisturbed")
def check_plain_calls_judged(context):
    assert re.search(r"\b[1-9]\d* plain calls that ran", context.soak.stdout), context.soak.stdout


@when(
    "the soak runs seed {seed:d} for {seconds:d} seconds with connections that go silent"
    " as the only faults"
)
def run_soak_with_silence(context, seed, seconds):
    run_soak(context, seed, seconds, "--only", "silence")


@then("it checked leaves beside silent connections")
def check_leaves_judged(context):
    assert re.search(r"\b[1-9]\d* leaves beside", context.soak.stdout), context.soak.stdout


@then("it checked refusals for load")
def check_load_refusals_judged(context):
    match = re.search(r"(\d+) refusals for load", context.soak.stdout)
    assert match is not None and int(match.group(1)) > 0, context.soak.stdout


@then("it checked upstreams that requests had crashed")
def check_crashes_judged(context):
    match = re.search(r"(\d+) runners ended by requests", context.soak.stdout)
    assert match and int(match[1]) >= 2, context.soak.stdout


@when(
    "the soak runs seed {seed:d} for {seconds:d} seconds with phases of refusals and restarts"
    " as the only faults"
)
def run_soak_with_refusals(context, seed, seconds):
    run_soak(context, seed, seconds, "--only", "refusals", "--only", "entry")


@then("it checked retries")
def checked_retries(context):
    assert re.search(r"judged: .*\b[1-9]\d* retries", context.soak.stdout), context.soak.stdout


@when(
    "the soak runs seed {seed:d} for {seconds:d} seconds with waves of new connections"
    " to one of {entries:d} entries as the only faults"
)
def run_soak_with_waves(context, seed, seconds, entries):
    run_soak(context, seed, seconds, "--only", "wave", "--entries", str(entries))


@then("it checked calls in waves")
def check_waves_judged(context):
    assert re.search(
        r"judged: .*\b[1-9]\d* calls in waves", context.soak.stdout
    ), context.soak.stdout


def run_soak(context, seed, seconds, *options):
    command = [sys.executable, "-m", "soak", "--seconds", str(seconds), *options, str(seed)]
    context.soak = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=SOAK_TIMEOUT_SECONDS, check=False
    )


@when(
    "the soak runs seed {seed:d} for {seconds:d} seconds with partitions from runners"
    " as the only faults"
)
def run_soak_with_partitions(context, seed, seconds):
    run_soak(context, seed, seconds, "--only", "partitions")


@when(
    "the soak runs seed {seed:d} for {seconds:d} seconds with parts that crash upstreams"
    " as the only faults"
)
def run_soak_with_parts(context, seed, seconds):
    run_soak(context, seed, seconds, "--only", "parts")


@then("it checked upstreams that a part had crashed")
def check_parts_judged(context):
    match = re.search(r"(\d+) runners ended by a part", context.soak.stdout)
    assert match and int(match[1]) >= 3, context.soak.stdout


@then("it checked calls at partitioned entries")
def check_partitions_judged(context):
    match = re.search(r"(\d+) calls at partitioned entries", context.soak.stdout)
    assert match and int(match[1]) >= 10, context.soak.stdout


@then("it reports no violation")
def check_no_violation(context):
    assert context.soak.returncode == 0, context.soak.stdout + context.soak.stderr
    assert " 0 broken promises" in context.soak.stdout


@then("it checked backoffs that upstreams had asked for")
def check_backoffs_judged(context):
    assert re.search(r"judged: .*\b[1-9]\d* backoffs", context.soak.stdout), context.soak.stdout


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
