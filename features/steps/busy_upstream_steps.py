"""Steps for the timeout of queries and orders while answers are late."""

import trio
from behave import given, then, when
from gateway_runner import EVENT_SECONDS
from gateway_story import ask_while, two_chains

from deckcourse.decisions.answer_times import AnswerTimes

NOW = 100.0


@given("two chains of runners that answer queries and orders after {seconds:g} seconds")
def chains_with_control_delay(context, seconds):
    two_chains(context)
    for runner in context.site.runners.values():
        runner.control_delay = seconds


@given("a stream that has run for 3 seconds")
def stream_has_run(context):
    context.warm_up_seconds = 3.0


async def stall_streams(site, seconds):
    site.runners["x2"].blocks_streams = True
    await trio.sleep(seconds)
    site.runners["x2"].blocks_streams = False


async def drop_traffic(site):
    site.runners["x2"].dead = True
    site.network.silence(site.runners["x2"].address)


async def crash(site):
    site.runners["x2"].die()


CHANGES = {
    "holds streams up for 0.3 s": lambda site: stall_streams(site, 0.3),
    "goes dark": drop_traffic,
    "dies": crash,
}


@when("the second upstream of the path {change}")
def second_upstream_changes(context, change):
    # The stream has to continue after the change.
    events = round(context.warm_up_seconds / EVENT_SECONDS)
    context.site.events = events + 20
    ask_while(context, events, CHANGES[change])


@then("the second upstream of the path was {result}")
def second_upstream_was(context, result):
    probes = [fields for decision, fields in context.site.lines if decision == "pulse"]
    names = {each["instance"].partition("@")[0] for each in probes}
    assert ("x2" in names) == (result == "suspected"), probes


def parse_answer_times(text):
    """Return the answer times, seconds, of a text such as "15 x 3, 1 x 400" (count x ms)."""
    groups = [] if text == "none" else [each.split(" x ") for each in text.split(", ")]
    return [int(ms) / 1000 for count, ms in groups for _ in range(int(count))]


@given("answers from distinct upstreams that took {answers} ms, received {age:g} seconds ago")
def answers_received(context, answers, age):
    context.answer_times = AnswerTimes()
    context.last_answer_seconds = 0.0
    for number, seconds in enumerate(parse_answer_times(answers)):
        context.answer_times.record(f"u{number}", seconds, NOW - age)
        context.last_answer_seconds, context.last_upstream = seconds, f"u{number}"


@given("{count:d} more answers from the last upstream that took as long")
def answers_repeated(context, count):
    for _ in range(count):
        context.answer_times.record(context.last_upstream, context.last_answer_seconds, NOW)


@given("{count:d} more upstreams that timed out after {ms:d} ms")
def upstreams_timed_out(context, count, ms):
    for number in range(count):
        context.answer_times.record_timeout(f"silent{number}", ms / 1000, NOW)


@then("the answer timeout for a base of {base:d} ms is {timeout:d} ms")
def timeout_is(context, base, timeout):
    actual = context.answer_times.timeout(base / 1000, NOW)
    assert abs(actual - timeout / 1000) < 1e-9, actual
