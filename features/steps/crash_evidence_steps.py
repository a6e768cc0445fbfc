"""Steps about which attempts count as evidence that a request crashed an upstream."""

from types import SimpleNamespace

import trio
from behave import given, then, when
from trio.testing import MockClock

from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.crash_watch import AttemptStart, CrashWatch
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.part_evidence import PartEvidence
from deckcourse.gateway.upstream import Upstream

UPSTREAM = Upstream("u", "s", "u:1", "x")
# Time from the start of an attempt to its response, seconds.
RESPONSE_SECONDS = 0.1


class ScriptedCrashCheck:
    """Reports every upstream as silent, and as ended from a given time on."""

    def __init__(self, dead_from):
        self._dead_from = dead_from

    async def probe(self, upstream, has_layers):
        is_dead = trio.current_time() >= self._dead_from
        return ProbeResult.DEAD if is_dead else ProbeResult.SILENT


class NullCrashBook:
    """Stores nothing."""

    def write(self, crash):
        pass

    def remove(self, identity):
        pass

    def tidy(self):
        pass

    async def run(self):
        await trio.sleep_forever()


class NullPeerGossip:
    """Sends nothing to peers."""

    def register_crash_handlers(self, on_crash, crashes, on_cleared):
        pass

    async def publish_crashes(self, crashes):
        pass


def admitted(identity):
    return SimpleNamespace(identity=identity, parts=(), service=SimpleNamespace(model=None))


@given("attempts {runs} at an upstream, each from its start to its break in seconds")
def runs_given(context, runs):
    context.runs = []
    for run in runs.split(", "):
        identity, _, span = run.partition(" ")
        began, _, broke = span.partition("-")
        context.runs.append((identity, float(began), float(broke)))


@given("the upstream answered other requests at {answers} seconds")
def answers_given(context, answers):
    context.answers = [] if answers == "none" else [float(each) for each in answers.split(", ")]


@given("probes find that the upstream has ended from {seconds:g} seconds on")
def dead_from(context, seconds):
    context.dead_from = seconds


@when("the row of the upstream is removed after {seconds:g} seconds")
def remove_row_after(context, seconds):
    async def story():
        evidence = CrashEvidence(trio.current_time)
        watch = CrashWatch(
            evidence,
            PartEvidence(trio.current_time),
            ScriptedCrashCheck(getattr(context, "dead_from", float("inf"))),
            NullCrashBook(),
            NullPeerGossip(),
            lambda name: None,
            lambda *_, **__: None,
        )

        async def run(identity, began, broke):
            await trio.sleep(began)
            start = watch.begin_attempt(admitted(identity), UPSTREAM.instance)
            await trio.sleep(broke - began)
            await watch.record_broken_attempt(admitted(identity), UPSTREAM, start)

        async def answer(at):
            await trio.sleep(at)
            start = AttemptStart(at - RESPONSE_SECONDS)
            watch.record_success(admitted("another"), UPSTREAM.instance, start)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            for each in context.runs:
                nursery.start_soon(run, *each)
            for each in context.answers:
                nursery.start_soon(answer, each)
            await trio.sleep(seconds)
            watch.note_ended(UPSTREAM.instance)
            nursery.cancel_scope.cancel()
        context.ended_under = {each for each, _, _ in context.runs if evidence.crash_count(each)}

    trio.run(story, clock=MockClock(autojump_threshold=0))


@then("the crash is attributed to {identities}")
def ended_under(context, identities):
    assert context.ended_under == set(identities.split(", ")), context.ended_under
