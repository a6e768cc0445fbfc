"""Steps about processes that are partitioned from upstreams."""

import json
import socket

import trio
from behave import given, then, when
from crash_world import ROW_REMOVAL_DELAY_SECONDS, CrashingRunner
from gateway_story import expected_events
from partition_world import Cut, PartitionWorld

from deckcourse.http1.pool import ConnectionPool
from deckcourse.http1.transport import dial_tcp
from deckcourse.peers.handover_message import (
    HANDOVER_PATH,
    HandedRequest,
    encode_handed_request,
)

# Interval between two requests of each route, seconds.
REQUEST_INTERVAL_SECONDS = 0.1
# Time after the start of a partition from which its processes must serve as the others do.
CONTACT_SECONDS = 3.0
# Times of the partition after the start of the traffic, seconds.
CUT_AT_SECONDS = 2.0
MENDED_AT_SECONDS = 9.0
END_SECONDS = 14.0
# Connections of a process that are open when its partition begins.
OPEN_CONNECTIONS = 30
# Longer than a scenario: no request ends at its timeout before.
LONG_TIMEOUT_MS = 6000
# Requests that earn at least one retry.
EARNING_REQUESTS = 10


@given("{count:d} gateway processes in two failure domains")
def several_processes(context, count):
    context.site = PartitionWorld(count)
    context.requests = []
    context.routes = ("stream", "again", "once")


async def send_regularly(context, site, route):
    """Send requests of a route to all processes in turn."""
    until, number = trio.current_time() + END_SECONDS, 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            process = site.processes[number % len(site.processes)]
            name = f"{route}-{number}"
            nursery.start_soon(send, context, site, process, route, name)
            number += 1
            await trio.sleep(REQUEST_INTERVAL_SECONDS)


async def send(context, site, process, route, name):
    began = trio.current_time()
    got = await site.ask_at(process, route, name, name.encode())
    context.requests.append((began, process.name, route, name, got))


def play(context, cut):
    async def story(site):
        context.started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for route in context.routes:
                nursery.start_soon(send_regularly, context, site, route)
            await trio.sleep(CUT_AT_SECONDS)
            cut(site)
            await trio.sleep(CONTACT_SECONDS)
            context.handed_over_early = [received_by(each) for each in site.processes]
            await trio.sleep(MENDED_AT_SECONDS - CUT_AT_SECONDS - CONTACT_SECONDS)
            context.handed_over_late = [received_by(each) for each in site.processes]
            site.mend()

    context.site.play(story)


@when("{names} are partitioned from all upstreams: {how}")
def partitioned(context, names, how):
    context.cut_off = names.replace(" and ", " ").split()
    play(context, lambda site: site.cut(context.cut_off, Cut(how)))


@when("{names} are partitioned from the upstreams of {service}: {how}")
def partitioned_from_service(context, names, service, how):
    context.cut_off = names.replace(" and ", " ").split()
    play(context, lambda site: site.cut(context.cut_off, Cut(how), service=service))


@when("{names} are partitioned from the upstreams in domain {domain}: {how}")
def partitioned_from_domain(context, names, domain, how):
    context.cut_off = names.replace(" and ", " ").split()
    play(context, lambda site: site.cut(context.cut_off, Cut(how), domain=domain))


def is_served(context, route, name, got):
    if got.status != 200 or not got.whole:
        return False
    is_stream = route in ("stream", "fragile")
    return not is_stream or got.body == expected_events(context.site, name, context.site.events)


def shares(context, route, since, until):
    """Return the requests and the served ones at partitioned processes and at the others."""
    counts = {True: [0, 0], False: [0, 0]}
    for began, process, each, name, got in context.requests:
        if each == route and since <= began - context.started_at < until:
            count = counts[process in context.cut_off]
            count[0] += 1
            count[1] += is_served(context, route, name, got)
    return counts


@then("they serve at least two thirds as often as the others from 3 seconds after the start")
def serve_as_others(context):
    for route in context.routes:
        counts = shares(context, route, CUT_AT_SECONDS + CONTACT_SECONDS, MENDED_AT_SECONDS)
        (asked, served), (others_asked, others_served) = counts[True], counts[False]
        assert asked >= 10 and others_asked >= 10, (route, counts)
        assert served / asked >= 2 / 3 * others_served / others_asked, (route, counts)


@then("all callers are served once the upstreams are reachable again")
def served_afterwards(context):
    for route in context.routes:
        counts = shares(context, route, MENDED_AT_SECONDS + 1.0, END_SECONDS)
        for asked, served in counts.values():
            assert asked >= 10 and served == asked, (route, counts)


@then("no call that must not be repeated is executed twice")
def executed_once(context):
    names = [each.request for each in context.site.runs if each.request.startswith("once-")]
    twice = {each for each in names if names.count(each) > 1}
    assert names and not twice, twice


@then("no request is refused that an upstream executed")
def refused_not_executed(context):
    executed = {each.request for each in context.site.runs}
    refused = {name for *_, name, got in context.requests if got.status in (429, 503)}
    wrong = {each for each in refused & executed if each.startswith("once-")}
    assert not wrong, wrong


class LookalikeRunner(CrashingRunner):
    """A runner whose responses have the header that marks a peer's response."""

    @property
    def response_headers(self):
        return ((b"deckcourse-reply", b"declined"), (b"x-kept", b"1"), *super().response_headers)


@given("responses of upstreams that look like those of a peer")
def lookalikes(context):
    for runner in context.site.runners.values():
        runner.__class__ = LookalikeRunner


@then("each response has the headers and the body that its upstream sent")
def unchanged(context):
    served = [each for each in context.requests if is_served(context, *each[2:])]
    assert len(served) > 300, len(served)
    for _, _, route, name, got in served:
        assert context.site.header(got, "deckcourse-reply") == "declined", got
        assert context.site.header(got, "x-kept") == "1", got
        assert context.site.header(got, "x-response-seal") == f"seal-{name}", got
        if route != "stream":
            assert got.body == f"answer to {name}".encode(), got


def received_by(process):
    return process.node._counters.counts.get("handover.received", 0)


def with_timeouts(config, timeout_ms):
    """Return a desired state with this timeout of all routes."""
    routes = [{**each, "timeoutMs": timeout_ms} for each in config["routes"]]
    return {**config, "routes": routes}


async def until(condition):
    with trio.fail_after(5.0):
        while not condition():
            await trio.sleep(0.01)


@when("a stream and a call of each kind are handed over to g2, which is then {loss}")
def peer_lost(context, loss):
    context.cut_off = ["g0"]

    async def story(site):
        # Earn retries, which an issuer grants only if it is not the lost peer.
        for number in range(EARNING_REQUESTS):
            await site.ask_at(site.processes[0], "stream", f"w{number}", b"w")
        context.started_at = trio.current_time()
        site.events = 60
        for runner in site.runners.values():
            runner.work = 0.6
        site.cut(["g0", "g1"], Cut.SILENT)
        entry, other, peer = site.processes
        for process in (entry, other):
            for service in ("llm", "crm"):
                await process.node._reach.own.confirm_contact(service)
        async with trio.open_nursery() as nursery:
            for route in context.routes:
                nursery.start_soon(send, context, site, entry, route, f"{route}-1")
            await until(lambda: received_by(peer) == len(context.routes))
            await trio.sleep(0.2)
            site.cuts.pop("g1")
            await until(lambda: not other.node._reach.own.is_partitioned("llm"))
            if loss == "killed":
                peer.kill()
            else:
                peer.scope.cancel()
                site.network.silence(peer.peer_address)
                site.medium.open(peer.peer_address)

    context.site.play(story)


def result_of(context, route):
    return next(got for *_, each, _, got in context.requests if each == route)


@then("the stream reached its caller whole, over the peer that was left")
def stream_whole(context):
    got = result_of(context, "stream")
    assert is_served(context, "stream", "stream-1", got), (got, context.site.lines[-20:])
    assert received_by(context.site.processes[1]) >= 1


@then("the call that must not be repeated isn't reported as not executed")
def honest_about_call(context):
    got = result_of(context, "once")
    assert got.status in (502, 504), got


@when("the caller of a stream that was handed over leaves")
def caller_leaves(context):
    async def story(site):
        site.events = 200
        site.cut(["g0"], Cut.SILENT)
        entry = site.processes[0]
        await entry.node._reach.own.confirm_contact("llm")
        await site.ask_at(entry, "stream", "left", b"left", leave_after=0.5)
        await trio.sleep(0.5)
        context.counts = [len(each.events) for each in site.runs]
        await trio.sleep(1.0)
        context.later_counts = [len(each.events) for each in site.runs]

    context.site.play(story)


@then("no upstream works on its stream half a second later")
def nothing_runs(context):
    assert context.counts and context.counts == context.later_counts, context.later_counts


@then("callers that came 3 seconds after the start were refused within 0.2 seconds")
def refused_at_once(context):
    since, before = CUT_AT_SECONDS + CONTACT_SECONDS, MENDED_AT_SECONDS - 0.05
    late = [
        got for began, *_, got in context.requests if since <= began - context.started_at < before
    ]
    assert len(late) > 50
    for got in late:
        assert got.status == 503 and got.seconds <= 0.2, got


@then("none was handed over from then on")
def none_handed_over(context):
    assert context.handed_over_early == context.handed_over_late, context.handed_over_late


@when("g2 knows an older configuration than g0, which is partitioned from all upstreams")
def older_configuration(context):
    context.cut_off = ["g0"]

    async def story(site):
        site.processes[2].store.cut = True
        site.apart = True
        for each in site.processes:
            each.node.peers.feed.server.stop()
        await trio.sleep(1.5)
        site.store.put("op", "config", {**site.config, "version": 2})
        await trio.sleep(0.5)
        site.apart = False
        site.cut(["g0", "g1"], Cut.RESET)
        for _ in range(10):
            await site.ask_at(site.processes[0], "stream", "r1", b"r1")

    context.site.play(story)


@then("no request was handed over to g2")
def not_to_older(context):
    entry, _, peer = context.site.processes
    assert entry.node._counters.counts.get("handover.asked", 0) > 0
    assert entry.node._desired.version > peer.node._desired.version
    assert not received_by(peer)


async def outdate_peers(site):
    """Let g0 alone learn of a newer configuration, after requests that left connections open."""
    async with trio.open_nursery() as nursery:
        for number in range(OPEN_CONNECTIONS):
            for route in ("stream", "again"):
                ask = site.ask_at, site.processes[0], route, f"w{number}", b"w"
                nursery.start_soon(*ask)
    for each in site.processes[1:]:
        each.store.cut = True
    site.apart = True
    for each in site.processes:
        each.node.peers.feed.server.stop()
    site.store.put("op", "config", {**site.config, "version": 2})
    await trio.sleep(0.5)
    site.apart = False
    await site.ask_at(site.processes[0], "again", "w", b"w")
    assert [each.node._desired.version for each in site.processes] == [2, 1, 1]


async def send_to_first(context, site, seconds):
    until = trio.current_time() + seconds
    number = len(context.requests)
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            for route in context.routes:
                number += 1
                nursery.start_soon(send, context, site, site.processes[0], route, f"n{number}")
            await trio.sleep(REQUEST_INTERVAL_SECONDS)


@when("g0 knows a newer configuration than its peers, and is partitioned from all upstreams: {how}")
def newer_configuration(context, how):
    async def story(site):
        await outdate_peers(site)
        context.judged_from = trio.current_time() + CONTACT_SECONDS
        site.cut(["g0"], Cut(how))
        await send_to_first(context, site, CONTACT_SECONDS + 3.0)

    context.site.config = with_timeouts(context.site.config, LONG_TIMEOUT_MS)
    context.site.play(story)


@when(
    "g0 knows a newer configuration than its peers for 3 seconds of a partition, then g2 reads it"
)
def configuration_comes_late(context):
    async def story(site):
        await outdate_peers(site)
        site.cut(["g0"], Cut.RESET)
        await send_to_first(context, site, 3.0)
        peer = site.processes[2]
        peer.store.cut = False
        await until(lambda: peer.node._desired.version == 2)
        context.judged_from = trio.current_time()
        await send_to_first(context, site, 2.0)

    context.site.play(story)


def judged(context):
    found = [each for each in context.requests if each[0] >= context.judged_from]
    assert len(found) >= 45, len(found)
    return found


@then("each request that came 3 seconds later was served or refused within {seconds:g} seconds")
def ended_soon(context, seconds):
    for *_, route, name, got in judged(context):
        is_ended = is_served(context, route, name, got) or (
            got.status == 503 and got.seconds <= seconds
        )
        assert is_ended, (route, name, got)


@then("{share} of them were served")
def share_served(context, share):
    found = judged(context)
    served = sum(is_served(context, *each[2:]) for each in found)
    assert served == 0 if share == "none" else served > len(found) / 2, (served, len(found))


@then("each refusal asked its caller to return within a third of its time")
def return_soon(context):
    for *_, got in judged(context):
        if got.status == 503:
            seconds = float(context.site.header(got, "retry-after"))
            assert 0 < seconds <= LONG_TIMEOUT_MS / 1000 / 3, got


@then("each request that came after that was served")
def all_served(context):
    for *_, route, name, got in judged(context):
        assert is_served(context, route, name, got), (route, name, got)


@when("a caller sends what a process hands over, and headers of a peer's response")
def forged_handover(context):
    async def story(site):
        entry = site.processes[0]
        handed = HandedRequest(1, b"POST", b"/stream/x", (), b"{}", 5.0)
        pool = ConnectionPool(lambda what: None, site.network.dial)
        body = encode_handed_request(handed)
        headers = ((b"host", b"h.example"), (b"content-length", str(len(body)).encode()))
        async with pool.borrow(entry.address) as connection:
            reply = await connection.call(b"POST", HANDOVER_PATH, headers, body)
            context.forged = reply.status, await reply.read_body()
        marks = (("deckcourse-reply", "outcome"), ("deckcourse-outcome", "not-run"))
        context.got = await site.ask_at(entry, "stream", "r1", b"r1", headers=marks)
        context.received = [received_by(each) for each in site.processes]

    context.site.play(story)


@then("the entry refuses the first and serves the second as any other request")
def forgery_is_useless(context):
    status, body = context.forged
    assert status == 404 and b"not-found" in body, context.forged
    assert is_served(context, "stream", "r1", context.got), context.got
    assert not any(context.received)


@then("nobody planned")
def nobody_planned(context):
    plans = [each for each in context.site.lines if each[0] == "plan"]
    assert len(context.requests) > 300 and not plans, plans


@then("no request counts as crashing upstreams")
def nothing_blamed(context):
    crashes = [each for each in context.site.lines if each[0] == "crash"]
    refused = [got for *_, got in context.requests if b"ends-upstreams" in got.body]
    assert not crashes and not refused, (crashes, refused)


@when("an upstream ends as g0 and g1 become partitioned: {how}")
def ends_meanwhile(context, how):
    def cut(site):
        site.cut(["g0", "g1"], Cut(how))
        site.runners["y1"].die()
        site.nursery.start_soon(remove_row, site)

    async def remove_row(site):
        await trio.sleep(ROW_REMOVAL_DELAY_SECONDS)
        site.store.put("servers", "y1", None)
        context.removed_at = trio.current_time()

    context.cut_off = ["g0", "g1"]
    context.plans = []
    note = context.site.note

    def note_plan(decision, /, **fields):
        note(decision, **fields)
        if decision == "plan":
            context.plans.append(trio.current_time())

    context.site.note = note_plan
    play(context, cut)


@then("only others planned, within {seconds:d} seconds of the removal of its row")
def planned_by_other(context, seconds):
    rows = [data for _, table, _, data in context.site.store.log if table == "plans" and data]
    authors = {json.loads(each)["author"] for each in rows}
    assert context.plans and context.plans[0] <= context.removed_at + seconds, context.plans
    assert authors and authors.isdisjoint({"g0/1", "g1/1"}), authors


@when("a first upstream is silent for {seconds:g} seconds and goes on")
def silent_and_goes_on(context, seconds):
    def fall_silent(site):
        runner = site.runners["x1"]
        runner.held_until = runner.silent_until = trio.current_time() + seconds

    context.cut_off = []
    play(context, fall_silent)


@then("every stream reached its caller whole")
def streams_whole(context):
    streams = [each for each in context.requests if each[2] == "stream"]
    lost = [each for each in streams if not is_served(context, *each[2:])]
    assert len(streams) > 100 and not lost, [(each[0], each[3], each[4].status) for each in lost]


@then("connections that a process opens and accepts have no TCP_USER_TIMEOUT")
def no_user_timeout(context):
    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = "127.0.0.1:" + str(listener.socket.getsockname()[1])
        opened = await dial_tcp(address)
        accepted = await listener.accept()
        context.timeouts = [
            each.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            for each in (opened._stream, accepted)
        ]
        opened.close()
        await accepted.aclose()

    trio.run(main)
    assert context.timeouts == [0, 0], context.timeouts


@when("connections of g0 and g1 to the upstreams of {service} are reset while requests run")
def reset_while_running(context, service):
    route = {"llm": "stream", "crm": "again"}[service]

    async def story(site):
        site.runners["px"].work = site.runners["py"].work = 0.3
        site.paused_until = trio.current_time() + 0.3
        async with trio.open_nursery() as nursery:
            for number in range(12):
                process = site.processes[number % 2]
                name = f"{route}-{number}"
                nursery.start_soon(send, context, site, process, route, name)
            await trio.sleep(0.1)
            context.running = len(site.runs)
            site.cut(["g0", "g1"], Cut.RESET, service=service)

    context.site.play(story)


@then("none of them counts as crashing upstreams")
def none_blamed(context):
    assert context.running >= 10, context.running
    nothing_blamed(context)


async def refuse_handover(request, exchange):
    """Answer as a peer does that finds no path for a request it was handed."""
    headers = (
        (b"deckcourse-reply", b"outcome"),
        (b"deckcourse-outcome", b"not-run"),
        (b"deckcourse-reason", b"no-route"),
        (b"retry-after", b"1.00"),
    )
    await exchange.respond(503, headers, b'{"error":"no path","reason":"no-route"}')


@when("a stream has begun at g0, which is partitioned for a second, and peers find no path either")
def peers_find_no_path(context):
    context.cut_off = ["g0"]

    async def story(site):
        entry, *peers = site.processes
        for number in range(EARNING_REQUESTS):
            await site.ask_at(entry, "stream", f"w{number}", b"w")
        site.events = 60
        for each in peers:
            site.network.listen(each.peer_address, refuse_handover)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, context, site, entry, "stream", "stream-1")
            await trio.sleep(0.2)
            site.cut(["g0"], Cut.RESET)
            await trio.sleep(1.0)
            site.mend()

    context.site.play(story)


@then("the stream reached its caller whole")
def stream_reached_caller(context):
    got = result_of(context, "stream")
    assert is_served(context, "stream", "stream-1", got), (got, context.site.lines[-20:])


@when("all upstreams are full and requests keep coming")
def all_full(context):
    def fill(site):
        for runner in site.runners.values():
            runner.behaviour = "full"

    context.cut_off = []
    play(context, fill)


@then("none was handed over")
def nothing_handed_over(context):
    refusals = context.site.refusals
    assert refusals > 50, refusals
    assert not any(received_by(each) for each in context.site.processes)
