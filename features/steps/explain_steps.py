"""Steps about explaining a request from the logs."""

import json

import trio
from behave import given, then, when
from gateway_world import default_config

from deckcourse.explain import explain


def line(node, at, decision, /, **fields):
    return json.dumps({"node": node, "at": at, "message_type": decision, **fields})


@given("logs of two machines whose clocks differ by {seconds:g} seconds")
def two_logs(context, seconds):
    context.log_lines = [
        "not a line of ours {",
        "{}",
        "m2 12.0 " + line("m2", 12.0, "refused", request="r1", reason="no-route"),
        line("m1", 10.5, "try-failed", request="r1", what="reset"),
        line("m1", 9.0, "store-lost", age=1.2),
        line("m1", 10.6, "unknown", request="r1", reason="upstream-lost"),
        line("m1", 10.6, "refused", request="r2", reason="no-route"),
        line("m3", 9.0, "store-lost", age=1.2),
    ]


@when("the request {name} is explained")
def explained(context, name):
    context.explanation = explain(name, context.log_lines)


@then("its {count:d} decisions are returned in order, with the outage before them")
def in_order(context, count):
    explanation = context.explanation
    assert [each.kind for each in explanation.decisions] == ["try-failed", "unknown", "refused"]
    assert len(explanation.decisions) == count
    assert [(each.node, each.kind) for each in explanation.surroundings] == [("m1", "store-lost")]


@then("malformed lines and other requests' lines are omitted")
def others_left_out(context):
    assert "r2" not in str(context.explanation) and not context.explanation.missing


@then("it says that no line names the request")
def says_none(context):
    assert not context.explanation.decisions
    assert "no line names the request r9" in context.explanation.missing[0]


@when("a caller's request fails because {what}")
def fails(context, what):
    async def story(site):
        if what == "every upstream is gone":
            for name in site.runners:
                site.store.put("servers", name, None)
        elif what == "its key was taken away":
            site.store.put("op", "config", default_config(2, tenants=[{"name": "acme"}]))
        elif what == "the store is away":
            site.store.away = True
            await trio.sleep(5)
        else:
            for runner in site.runners.values():
                runner.behaviour = "breaks"
        await trio.sleep(0.3)
        await site.ask()

    context.site.play(story)
    context.log_lines = [
        line("n", float(number), kind, **fields)
        for number, (kind, fields) in enumerate(context.site.lines)
    ]


@then("its explanation contains {cause}")
def names_cause(context, cause):
    explanation = explain("r1", context.log_lines)
    text = " ".join(str(each) for each in (*explanation.surroundings, *explanation.decisions))
    assert explanation.decisions and cause in text, text
