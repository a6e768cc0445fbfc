"""Steps about suspended machines, whose monotonic clock stops while the other clocks continue."""

import http.client
import importlib
import inspect
import signal
import tempfile
import time
from pathlib import Path

import trio
from behave import given, then, when
from gateway_story import two_chains
from gateway_world import Got
from peer_world import SETTLE_SECONDS
from trio.testing import MockClock

from deckcourse.lease import Lease
from deckcourse.table import MemoryTable
from soak.site import Site

SUSPENDED_SECONDS = 6.0
PROGRAMS = (
    "deckcourse.platform.program",
    "deckcourse.entry_daemon",
    "deckcourse.controller_daemon",
)
READY_TIMEOUT_SECONDS = 20.0
# Time for a resumed process to reach the store again; until then it accepts no key.
STORE_CONTACT_SECONDS = 2.0


def counts_suspensions():
    """Return whether the programs' clock includes the time of suspensions."""
    try:
        clock = importlib.import_module("deckcourse.host_clock")
    except ModuleNotFoundError:
        return False
    return clock.CLOCK_ID == time.CLOCK_BOOTTIME


def suspend(clock, seconds=SUSPENDED_SECONDS):
    """Simulate a suspension: the clock advances only if it is one that counts suspensions."""
    if counts_suspensions():
        clock.jump(seconds)


def ask(port, key, name):
    """Send one request to a process; return the status."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {
        "Host": "h.example",
        "X-Request-Id": name,
        "X-Deadline-Ms": "3000",
        "Authorization": f"Token {key}",
    }
    connection.request("POST", "/again/x", b"{}", headers)
    status = connection.getresponse().status
    connection.close()
    return status


async def until(condition):
    with trio.fail_after(READY_TIMEOUT_SECONDS):
        while not await condition():
            await trio.sleep(0.1)


@when("a process and its monotonic clock are stopped for 6 seconds, and a key is revoked")
def process_suspended(context):
    async def play(site):
        async with trio.open_nursery() as nursery:
            site.configure(keys=("key-0", "key-1"))
            await site.start(nursery)
            entry = site.entries[-1]
            assert entry.program == "soak.suspendable"
            await until(lambda: site.ready(entry))
            port = entry.port
            status = 0
            with trio.fail_after(READY_TIMEOUT_SECONDS):
                while status != 200:
                    await trio.sleep(0.3)
                    status = await trio.to_thread.run_sync(ask, port, "key-0", "before")
            for other in site.entries[:-1]:
                other.process.kill()
            entry.process.send_signal(signal.SIGSTOP)
            site.configure(version=2, keys=("key-1",))
            site.store.refuses = True
            entry.store.reset()
            await trio.sleep(SUSPENDED_SECONDS)
            entry.process.send_signal(signal.SIGCONT)
            context.status = await trio.to_thread.run_sync(ask, port, "key-0", "after")
            context.ran = [each for each in site.records if each.get("run") == "after"]
            nursery.cancel_scope.cancel()

    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder))
        try:
            trio.run(play, site)
        finally:
            site.close()


@then("a request with that key isn't served after the process has resumed")
def key_is_gone(context):
    assert context.status == 503 and not context.ran, (context.status, context.ran)


@given("two chains of runners beside a plain one")
def chains_and_plain(context):
    two_chains(context)
    context.site.add("p1", "crm")


async def store_dark(site):
    site.store.away = True
    suspend(site.clock)
    return await site.ask("again", name="r2")


async def runners_backing_off(site):
    runner = site.runners["p1"]
    runner.behaviour, runner.requested_backoffs = "full", ("3",)
    await site.ask("again", name="r1")
    runner.behaviour = ""
    suspend(site.clock)
    await trio.sleep(STORE_CONTACT_SECONDS)
    return await site.ask("again", name="r2")


async def connection_opens(site):
    original_dial = site.dial

    async def dial(address):
        if address == "p1:1":
            await trio.sleep(0.3)
            suspend(site.clock)
        return await original_dial(address)

    site.dial = dial
    site.pool.close_idle("p1:1")
    return await site.ask("again", name="r2", headers=[("x-deadline-ms", "1000")])


async def runner_suspected(site):
    site.node.gateway.context.upstreams.suspect("p1", 4.0)
    suspend(site.clock)
    await trio.sleep(STORE_CONTACT_SECONDS)
    if site.is_suspected("p1"):
        return Got()
    return await site.ask("again", name="r2")


ACTIONS = {
    "the store can't be reached": store_dark,
    "the runners have asked for 3 seconds": runners_backing_off,
    "a connection is opened for a call of 1 second": connection_opens,
    "a runner is suspected for 4 seconds": runner_suspected,
}


@when("the machine is suspended for 6 seconds while {what}")
def suspended_while(context, what):
    async def story(site):
        context.got = await ACTIONS[what](site)

    context.site.play(story)


def sent(context):
    return [each for each in context.site.received_requests if each.request == "r2"]


@then("a request that needs a key isn't sent")
@then("that call isn't sent")
def not_sent(context):
    assert not sent(context) and context.got.status in (503, 504), context.got


@then("the next request is sent")
@then("that runner is used again")
def is_sent(context):
    assert sent(context) and context.got.status == 200, context.got


@when("the machine of one with a source is suspended for 6 seconds with a frame in flight")
def frame_waits(context):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        receiver = next(each for each in world.processes if not each.peers.feed.follows)
        before = receiver.peers.feed.staleness_seconds
        world.store.away = True
        suspend(world.clock)
        context.staleness = receiver.peers.feed.staleness_seconds - before

    context.world.play(story)


@then("its staleness has grown by 6 seconds")
def knows_age(context):
    assert context.staleness >= SUSPENDED_SECONDS, context.staleness


@when("the holder of a lease is suspended for 7 seconds")
def holder_suspended(context):
    async def play():
        lease = Lease(MemoryTable(), "c")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.run)
            await trio.sleep(0.5)
            held_before = lease.held()
            suspend(clock, 7.0)
            context.held = held_before, lease.held()
            nursery.cancel_scope.cancel()

    clock = MockClock(autojump_threshold=0)
    trio.run(play, clock=clock)


@then("it holds no lease until it has acquired a new one")
def not_held(context):
    assert context.held == (True, False), context.held


@then("each program runs on a clock that continues while the monotonic one is stopped")
def programs_clock(context):
    assert counts_suspensions()
    for name in PROGRAMS:
        source = inspect.getsource(importlib.import_module(name))
        assert "trio.run(" not in source and "run_on_host_clock(" in source, name
