"""Steps about logs and counters."""

import json
import socket

import eliot
import trio
from behave import then, when

from deckcourse import trial
from deckcourse.counters import StatsdCounters
from deckcourse.errors import CommandError
from deckcourse.porcelain import Operator, status
from deckcourse.site import Site, SitePlan


@when("a request with a prompt is served by a small site")
def small_site(context):
    lines: list[dict] = []
    actions: list[str] = []
    eliot.add_destinations(lines.append)
    try:
        trio.run(_run, context, actions)
    finally:
        eliot.remove_destination(lines.append)
    context.lines, context.actions = lines, actions


async def _run(context, actions: list[str]) -> None:
    site = Site(SitePlan())
    async with trio.open_nursery() as nursery:
        await nursery.start(site.run)
        for engine in site.engines.values():
            _watch(engine, actions)
        await trial.show_trial(site, lambda text: None)
        try:
            await status(Operator(site.controller_address, "wrong"))
        except CommandError as error:
            context.refusal = str(error)
        nursery.cancel_scope.cancel()


def _watch(engine, actions: list[str]) -> None:
    stream = engine.stream

    def watched(start):
        actions.append(start.action)
        return stream(start)

    engine.stream = watched


@then("the id of its log action is the one that was sent to the upstream")
def same_action(context):
    (started,) = [
        line
        for line in context.lines
        if line["action_type"] == "deckcourse:completion" and line["action_status"] == "started"
    ]
    ids = {action.partition("@")[0] for action in context.actions}
    assert ids == {started["task_uuid"]}, (ids, started)


@then("no log line contains the prompt or the key")
def nothing_secret(context):
    text = json.dumps(context.lines)
    assert context.lines
    assert trial.PROMPT not in text and trial.KEY not in text


@then("its operator was refused with a wrong token")
def refused(context):
    assert "Authorization: Bearer TOKEN" in context.refusal, context.refusal


@then("a refusal is sent as one packet to the statsd daemon")
def statsd(context):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as daemon:
        daemon.bind(("127.0.0.1", 0))
        daemon.settimeout(5)
        StatsdCounters(*daemon.getsockname()).count("refused.overloaded")
        assert daemon.recv(1000) == b"deckcourse.refused.overloaded:1|c"
