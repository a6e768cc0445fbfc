"""Steps about requests that wait while the configuration changes."""

from collections import Counter

from behave import given, then, when
from change_world import (
    CHANGES,
    ROUTE_TIMEOUT_MS,
    ChangeWorld,
    PartitionedChangeWorld,
    play_change,
)

SITES = {"process": ChangeWorld, "partitioned process": PartitionedChangeWorld}
# How much later than the timeout of its route a request may end, seconds.
LATE_SECONDS = 0.5
OK = 200


@given("a {site} at which requests wait for {place}")
def waiting_place(context, site, place):
    context.new_site, context.place = SITES[site], place


@when("each change of the configuration is applied while requests of {routes} wait")
def changes_applied(context, routes):
    context.results = []
    for route in routes.split(", "):
        for change in CHANGES:
            site = context.new_site()
            got = play_change(site, context.place, route, change)
            applied = [each for kind, each in site.lines if kind == "configuration"]
            assert site.is_waiting, (route, change, got)
            assert any(each["version"] == 2 for each in applied), (change, applied)
            context.results.append((route, change, site, got))


@then("each of them got a whole answer or a refusal in time")
def answered_or_refused(context):
    bad = [
        (route, change, got.status, got.whole, round(got.seconds, 3), site.lines[-4:])
        for route, change, site, got in context.results
        if not got.whole or got.seconds > ROUTE_TIMEOUT_MS / 1000 + LATE_SECONDS
    ]
    assert not bad, "\n".join(map(str, bad))


@then("no request that must not be repeated was executed twice")
def executed_once(context):
    for route, change, site, _ in context.results:
        counts = Counter(each.request for each in site.runs if each.request == "r1")
        repeatable = route in ("again", "stream")
        assert repeatable or counts["r1"] <= 1, (route, change, counts)
