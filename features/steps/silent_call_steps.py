"""Steps about plain calls whose upstreams are silent and go on."""

from collections import Counter

from behave import given, then, when
from silent_call_world import PLAIN, Silent, SilentCallWorld

ROUTES = ("again", "public", "once")
BOUNDS = (1, 2, 3)
MAX_CANCEL_SECONDS = 0.5
BESIDE = {
    "their rows go": SilentCallWorld.lapse_rows,
    "the routes are dropped": SilentCallWorld.change,
    "the process stops": SilentCallWorld.stop,
}


@given("{processes:d} processes, and {count:d} plain upstreams")
def plain_upstreams(context, processes, count):
    context.new_site = lambda bound: SilentCallWorld(processes, count, bound)


@when("{count:d} of them are silent for a second as a {what}, with {retries} retries")
def silent_upstreams(context, count, what, retries):
    play(context, count, what, retries)


@when(
    "{count:d} of them are silent for a second as a {what}, with {retries} retries, while {beside}"
)
def silent_beside(context, count, what, retries, beside):
    play(context, count, what, retries, BESIDE[beside])


def play(context, count, what, retries, beside=None):
    context.results = []
    for route in ROUTES:
        for bound in BOUNDS:
            site = context.new_site(bound)
            site.silent = Silent(what)
            others = [] if beside is None else [lambda site=site: beside(site)]
            got = site.play_calls(route, count, retries == "many", others)
            context.results.append((route, bound, site, got))


@then("all calls were answered, with 1 to 3 upstreams allowed")
def all_answered(context):
    bad = [
        (route, bound, each.status, round(each.seconds, 3), site.lines[-2:])
        for route, bound, site, got in context.results
        for each in got.values()
        if each.status != 200 or not each.whole
    ]
    assert not bad, "\n".join(map(str, bad))


@then("no more upstreams executed them than allowed")
def executed_within_bound(context):
    for route, bound, site, got in context.results:
        allowed = 1 if route == "once" else bound
        used = [site.executed_by(name) for name in got]
        assert all(1 <= len(each) <= allowed for each in used), (route, bound, used)


@when("{count:d} of them are silent for a second as a host, and that of a call for {seconds:g} s")
def first_silent_for_longer(context, count, seconds):
    context.site = site = context.new_site(2)
    site.first_silence, site.calls = seconds, 1
    context.got = site.play_calls("again", count, has_retries=True)["call0"]


@then("the call was answered within {seconds:g} seconds by another upstream")
def answered_elsewhere(context, seconds):
    got, runs = context.got, context.site.runs
    assert got.status == 200 and got.whole and got.seconds <= seconds, (got, context.site.lines)
    assert [each.ended for each in runs] == ["cancelled", "answered"], runs


@then("the first one's run was cancelled within half a second of the answer")
def first_run_cancelled(context):
    site = context.site
    late = site.cancelled_at["call0"] - site.answered_at["call0"]
    assert late <= MAX_CANCEL_SECONDS, late


@when("3 of them are silent for {silence:g} s as a host, with calls that take {work:g} s")
def silent_beside_long_calls(context, silence, work):
    context.site = site = context.new_site(2)
    site.first_silence = silence
    for runner in site.runners.values():
        runner.work = work
    site.play_calls("again", 3, has_retries=True)


@then("the arrivals beyond the first of each call are no more than the retries that were spent")
def arrivals_are_paid(context):
    arrivals = Counter(each.request for each in context.site.received_requests)
    further = sum(arrivals.values()) - len(arrivals)
    assert further <= count_spent(context.site), (further, arrivals, context.site.lines[-20:])


def count_spent(site):
    """Return the retries that all processes spent and did not return."""
    budgets = [each.node.gateway.context.budget(PLAIN) for each in site.processes]
    spent = sum(each.take_tally().retries for each in budgets)
    return spent + sum(each["retries"] for kind, each in site.lines if kind == "retry-budget")


@then("{count:d} retries were spent")
def retries_spent(context, count):
    spent = count_spent(context.site)
    assert spent == count, spent
