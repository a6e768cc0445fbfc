"""Steps about upstreams behind proxies that crash, and what becomes of their rows."""

import trio
from behave import given, then, when
from crash_world import DEADLY
from proxied_crash_world import ProxiedCrashWorld

from deckcourse.gateway.quarantine_view import decode_quarantine


@given(
    "three gateway processes, and upstreams behind proxies that reset connections every"
    " {seconds:g} seconds"
)
def behind_proxies(context, seconds):
    context.site = ProxiedCrashWorld(seconds)
    context.deadly = []
    context.others = []


@given("crashed upstreams restart early under the same id, and their connections stay open")
def restart_early(context):
    context.site.keeps_connections = True


@given("crashed upstreams restart under {ids} id")
def restart_under(context, ids):
    context.site.takes_new_ids = {"the same": False, "another": True}[ids]


async def delete_row(site, runner):
    site.store.put("servers", runner.instance, None)


async def delete_row_before_snapshot(site, runner):
    site.store.put("servers", runner.instance, None)
    site.store.forget_history()


async def delete_row_in_outage(site, runner):
    site.store.away = True
    await trio.sleep(1.0)
    site.store.put("servers", runner.instance, None)
    site.store.away = False


async def return_row_after_outage(site, runner):
    await delete_row_in_outage(site, runner)
    await trio.sleep(1.0)
    site.store.put("servers", runner.instance, runner.row())


async def take_address(site, runner):
    site.add("other", "crm", runner.domain).address = runner.address
    site.runners["other"].born = runner.born + 100
    site.runners["other"].start()


async def write_row(site, runner):
    site.store.put("servers", runner.instance, runner.row())


ROW_CHANGES = {
    "is deleted": delete_row,
    "is missing from a snapshot": delete_row_before_snapshot,
    "isn't there after a store outage": delete_row_in_outage,
    "returns late after a store outage": return_row_after_outage,
    "loses its address to the row of another upstream": take_address,
    "is written again": write_row,
}


@when("a request crashes a plain upstream, and 1 second later its row {what}")
def row_changes(context, what):
    async def story(site):
        site.restarts = False
        await site.ask_at(site.processes[0], "once", "d0", DEADLY)
        (crash,) = site.crashes
        await trio.sleep(1.0)
        await ROW_CHANGES[what](site, site.runners[crash.instance])
        await trio.sleep(4.0)
        listed = [decode_quarantine((await site.ask_peer(each))[1]) for each in site.processes]
        context.counts = [sum(each.ends for each in suspects) for suspects in listed]

    context.site.play(story)


@then("the crash is {counted} at each process")
def crash_is_counted(context, counted):
    expected = {"counted": 1, "not counted": 0}[counted]
    assert context.counts == [expected] * 3, context.counts
