"""Steps about explaining a request afterwards."""

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


@then("its {count:d} decisions come in order and the outage before them is named")
def in_order(context, count):
    found = context.explanation
    assert [each.kind for each in found.decisions] == ["try-failed", "unknown", "refused"]
    assert len(found.decisions) == count
    assert [(each.node, each.kind) for each in found.surroundings] == [("m1", "store-lost")]


@then("lines that are none, and other requests' lines, are left out")
def others_left_out(context):
    assert "r2" not in str(context.explanation) and not context.explanation.missing


@then("it says that no line names the request")
def says_none(context):
    assert not context.explanation.decisions
    assert "no line names the request r9" in context.explanation.missing[0]


@when("a caller's request fails since {what}")
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


@then("the explanation of it names {cause}")
def names_cause(context, cause):
    found = explain("r1", context.log_lines)
    told = " ".join(str(each) for each in (*found.surroundings, *found.decisions))
    assert found.decisions and cause in told, told
