"""Steps about the outcomes that an entry gives as it stops."""

from behave import given, then, when
from entry_stop_world import run_stop


@given("a small site whose entry has {seconds:g} s to stop")
def small_site(context, seconds):
    context.longest_stop = seconds


@when("the entry is stopped beside these requests")
def stopped_beside(context):
    context.wanted = {row["request"]: row["gets"] for row in context.table}
    context.got, context.stop_seconds = run_stop(context.longest_stop, context.wanted)


@then("each caller gets what the table says")
def gets(context):
    assert context.got == context.wanted, context.got


@then("the entry ends at most {seconds:g} s after it was stopped")
def ends(context, seconds):
    assert context.stop_seconds <= seconds, context.stop_seconds
