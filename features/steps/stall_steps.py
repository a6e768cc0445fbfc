"""Steps for the stall monitor, with a control that only records which upstreams are probed."""

from types import SimpleNamespace

import trio
from behave import given, then, when
from trio.testing import MockClock

from deckcourse.gateway.active_stream import ActiveStream
from deckcourse.gateway.dialect import ProbeReply, ProbeResult, StallReport
from deckcourse.gateway.stalls import StallMonitor
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.paths import LayerPath, PathStage

EVENT_SECONDS = 0.02


class RecordingControl:
    """A control whose upstreams all answer and report no stall; records the probed ones."""

    def __init__(self):
        self.probed = set()

    async def query_stalled(self, upstream):
        return StallReport({}, 1.0)

    async def probe(self, upstream, seconds):
        self.probed.add(upstream.instance)
        return ProbeReply(ProbeResult.ALIVE, 1.0)


def stream_over(names, number):
    parts = tuple(
        PathStage(name, f"{name}:1", index, index + 1) for index, name in enumerate(names)
    )
    path = LayerPath(parts, "x", 1.0)
    return ActiveStream(
        f"r{number}", "s", ModelSpec("m", len(names), 1.0), path, 0.0, has_events=True
    )


@given("a stalled stream over a, b and c")
def stalled_stream(context):
    context.streams = [stream_over("abc", 1)]


@given("another one over {names} that {state}")
def another_stream(context, names, state):
    context.streams.append(stream_over([each.strip() for each in names.split(",")], 2))
    context.goes_on = state == "goes on"


@when("the streams are monitored for {seconds:g} seconds")
def monitor_streams(context, seconds):
    context.control = RecordingControl()

    async def story():
        upstreams = UpstreamTable(trio.current_time)
        for name in "abcdefg":
            upstreams.put(Upstream(name, "s", f"{name}:1", "x"))
        monitor = StallMonitor(
            upstreams,
            context.control,
            lambda service: None,
            lambda domain: None,
            lambda name: None,
            lambda *_, **__: None,
            losses=SimpleNamespace(avoided=frozenset, report=lambda *_: None),
        )
        for stream in context.streams:
            stream.progress_at = trio.current_time()
            monitor.add(stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run)
            for _ in range(round(seconds / EVENT_SECONDS)):
                await trio.sleep(EVENT_SECONDS)
                if context.goes_on:
                    context.streams[1].note_event(trio.current_time())
            nursery.cancel_scope.cancel()

    trio.run(story, clock=MockClock(autojump_threshold=0))


@then("the probed upstreams are {names}")
def probed_are(context, names):
    expected = set() if names == "none" else {each.strip() for each in names.split(",")}
    assert context.control.probed == expected, context.control.probed
