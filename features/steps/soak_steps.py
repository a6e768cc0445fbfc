"""Steps about the soak of real processes."""

import re
import subprocess
import sys
from pathlib import Path

from behave import then, when

from soak.calls import Call
from soak.events import event, events

ROOT = Path(__file__).resolve().parent.parent.parent
# Start, faults, calm and stop take some 25 s; a busy machine several times that.
LONGEST_SECONDS = 180
REQUEST = "r1"
HEAD = (
    b"HTTP/1.1 200 \r\nx-request-id: r1\r\nx-response-seal: seal-r1\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


@when("the soak plays seed {seed:d} with faults for {seconds:d} seconds")
def plays(context, seed, seconds):
    play_soak(context, seed, seconds)


@when(
    "the soak plays seed {seed:d} for {seconds:d} seconds with upstreams that ask, and nothing else"
)
def plays_notices(context, seed, seconds):
    play_soak(context, seed, seconds, "--only", "notices")


@when(
    "the soak plays seed {seed:d} for {seconds:d} seconds with requests that end upstreams,"
    " and nothing else"
)
def plays_deadly(context, seed, seconds):
    play_soak(context, seed, seconds, "--only", "deadly")


@then("it judged upstreams that had ended by requests")
def judged_deadly(context):
    judged = re.search(r"(\d+) runners ended by requests", context.soak.stdout)
    assert judged and int(judged[1]) >= 2, context.soak.stdout


def play_soak(context, seed, seconds, *options):
    command = [sys.executable, "-m", "soak", "--seconds", str(seconds), *options, str(seed)]
    context.soak = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=LONGEST_SECONDS, check=False
    )


@then("it tells of no broken promise")
def kept(context):
    assert context.soak.returncode == 0, context.soak.stdout + context.soak.stderr
    assert " 0 broken promises" in context.soak.stdout


@then("it judged times that upstreams had asked for")
def judged(context):
    assert re.search(r"judged: .*\b[1-9]\d* backoffs", context.soak.stdout), context.soak.stdout


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def half(number):
    return event(REQUEST, number)[: len(event(REQUEST, number)) // 2]


def pieces():
    """Return what stands for each name in braces."""
    whole = chunk(event(REQUEST, 2))
    return {
        "head": HEAD,
        "1": chunk(event(REQUEST, 1)),
        "2": whole,
        "3": chunk(event(REQUEST, 3)),
        "half 2": whole[: whole.index(half(2)) + len(half(2))],
        "half 2 as chunk": chunk(half(2)),
        "all": chunk(events(REQUEST)),
        "end": b"0\r\n\r\n",
    }


def bytes_of(text):
    data = text.encode().decode("unicode_escape").encode()
    for name, piece in pieces().items():
        data = data.replace(f"{{{name}}}".encode(), piece)
    return data


def verdict_on(*parts):
    call = Call(REQUEST, "stream", "key", 0.0)
    for part in parts:
        if part and not call.feed(part):
            break
    return call.find_violation() or ("whole" if call.is_complete else "cut")


@when("a caller of the soak gets an answer and then its connection's end")
def gets(context):
    context.answers = [
        (each["answer"], bytes_of(each["bytes"]), each["verdict"]) for each in context.table
    ]


@then("each time the verdict is the one said, at every place at which the bytes may be cut in two")
def verdicts(context):
    for answer, data, verdict in context.answers:
        for at in range(len(data) + 1):
            said = verdict_on(data[:at], data[at:])
            assert verdict in said, (answer, at, said)
