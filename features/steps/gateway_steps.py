"""Steps for the gateway as a whole, with in-memory stand-ins of runners and store."""

import trio
from behave import given, then, when
from gateway_runner import EVENT_SECONDS
from gateway_story import assert_whole, expected_events, refuse_orders, two_chains
from gateway_world import KEY, LAYERS, GatewayWorld, default_config


@given("two chains of runners")
def chains(context):
    two_chains(context)


@given("two chains of runners and no configuration")
def chains_unconfigured(context):
    two_chains(context)
    context.site.config = None


@given("two chains of runners, the first of which fails within its 5th event")
def chains_breaking(context):
    two_chains(context)
    context.site.runners["x1"].behaviour = "breaks"


@given("two chains of runners whose first upstreams {first} and {second}")
def chains_failing(context, first, second):
    two_chains(context)
    context.site.runners["x1"].behaviour = first
    context.site.runners["y1"].behaviour = second


@when("a caller asks for a stream")
def asks(context):
    async def story(site):
        context.got = await site.ask()

    context.site.play(story)


@when("a caller asks for a fragile stream")
def asks_fragile(context):
    async def story(site):
        context.got = await site.ask("fragile")

    context.site.play(story)


@when("a caller asks for a stream with forged headers")
def asks_forged(context):
    forged = [
        ("X-Tenant", "other"),
        ("Path", "z:1=0-8"),
        ("X-Expected-Instance", "z"),
        ("Priority", "0"),
        ("X-Not-Executed", "1"),
        ("X-Own", "kept"),
    ]

    async def story(site):
        context.got = await site.ask(headers=forged, body=b'{"a": 1}')

    context.site.play(story)


@then("the runner received the request as it was sent, with the account and without the key")
def saw_request(context):
    (run,) = context.site.runs
    assert run.target == "/stream/a%2Fb?q=%41" and run.body == b'{"a": 1}'
    headers = run.headers
    assert headers["x-tenant"] == "acme" and headers["x-expected-instance"] == "x1"
    assert headers["path"] == "x1:1=0-4,x2:1=4-8" and headers["x-own"] == "kept"
    assert headers["priority"] == "3" and "x-not-executed" not in headers
    assert KEY not in str(headers)
    assert 19000 < int(headers["x-deadline-ms"]) <= 20000


@then("the caller got every event once and the runner's seal")
def whole_with_seal(context):
    assert_whole(context)
    assert context.site.header(context.got, "x-response-seal") == "seal-r1"


@then("the caller got every event once")
def whole(context):
    assert_whole(context)


@then("the caller got {count:d} events and no end")
def cut_off(context, count):
    assert not context.got.whole
    assert context.got.body == expected_events(context.site, "r1", count), context.got.body


@then("every event passed each layer once")
def layers_once(context):
    for run in context.site.runs:
        for _, path in run.events:
            at = 0
            for _, first, end in path:
                assert first == at
                at = end
            assert at == LAYERS


@then("streams run in domain x, and in domain y once x has lost a layer")
def own_domain_first(context):
    refuse_orders(context)

    async def story(site):
        await site.ask(name="r1")
        site.store.put("servers", "x2", None)
        await trio.sleep(0.3)
        await site.ask(name="r2")

    context.site.play(story)
    assert [each.instance for each in context.site.runs] == ["x1", "y1"], context.site.runs


@given("plain upstreams that {first} and {second}")
def plain_upstreams(context, first, second):
    context.site = GatewayWorld()
    for name, behaviour in (("p1", first), ("p2", second)):
        runner = context.site.add(name, "crm")
        runner.behaviour = behaviour
        if behaviour == "sleep":
            runner.work = 5.0


@when("a caller calls {route}")
def calls(context, route):
    async def story(site):
        context.got = await site.ask(route)

    context.site.play(story)


@then("the caller gets {status:d} and {runs:d} executions are recorded")
def got_status(context, status, runs):
    got = context.got
    assert got.status == status and got.whole, (got, context.site.lines)
    assert len(context.site.runs) == runs, context.site.runs
    if status == 504:
        assert 0.9 < got.seconds < 1.2, got.seconds
    if status == 503:
        assert 0 < float(context.site.header(got, "retry-after")) <= 1
    sealed = bool(context.site.header(got, "x-response-seal"))
    assert sealed == (status in (200, 500))


@when("a caller asks with {case}")
def asks_with(context, case):
    async def story(site):
        if case == "an unknown key":
            context.got = await site.ask(key="nobody's")
        elif case == "no such route":
            context.got = await site.ask("nowhere")
        else:
            context.got = await site.ask(body=b"x" * 70000)

    context.site.play(story)


@then("the caller gets {status:d} at once")
def refused(context, status):
    assert context.got.status == status and context.got.seconds < 0.1, context.got
    assert not context.site.runs


@then("the caller gets {status:d} at once, with a retry-after value")
def refused_for_now(context, status):
    refused(context, status)
    assert float(context.site.header(context.got, "retry-after")) > 0


@then(
    "a key is accepted 2 seconds after an outage of the store began, and refused 4.6 "
    "seconds after"
)
def fails_closed(context):
    async def story(site):
        site.store.away = True
        await trio.sleep(2.0)
        assert (await site.ask(name="r1")).status == 200
        await trio.sleep(4.6 - 2.0 - 0.4)
        assert (await site.ask(name="r2")).status == 503
        assert not site.node.ready
        site.store.away = False
        await trio.sleep(1.0)
        got = await site.ask(name="r3")
        assert got.status == 200, (got, site.lines)

    context.site.play(story)
    assert [each.request for each in context.site.runs] == ["r1", "r3"]


@then("after the key is removed a caller gets 401")
def revoked(context):
    async def story(site):
        site.store.put("op", "config", default_config(2, tenants=[{"name": "acme"}]))
        await trio.sleep(0.5)
        assert (await site.ask()).status == 401

    context.site.play(story)


@then("version 1 written after version 3 is not applied")
def never_back(context):
    async def story(site):
        for version, key in ((3, KEY), (1, "other")):
            tenants = [{"name": "acme", "apiKeys": [key]}]
            site.store.put("op", "config", default_config(version, tenants=tenants))
            await trio.sleep(0.5)
        assert (await site.ask()).status == 200

    context.site.play(story)


@when("a caller disconnects in the middle of a stream")
def leaves(context):
    async def story(site):
        await site.ask(leave_after=6 * EVENT_SECONDS)
        await trio.sleep(2.0)

    context.site.play(story)


@then("the execution was cancelled and no other was started")
def cancelled(context):
    (run,) = context.site.runs
    assert run.ended == "cancelled" and len(run.events) < 9, run


@then("a stream runs in the other domain once the first upstream's row says that it is leaving")
def leaving(context):
    refuse_orders(context)

    async def story(site):
        site.store.put("servers", "x1", site.runners["x1"].row("draining"))
        await trio.sleep(0.3)
        await site.ask()

    context.site.play(story)
    assert context.site.runs[0].instance == "y1"


@then("a malformed {what} is counted and streams are served")
def malformed(context, what):
    async def story(site):
        if what == "runner":
            site.store.put("servers", "x9", {"service": 3})
        else:
            site.store.put("op", "config", {"version": 9, "routes": [{"name": "r"}]})
        await trio.sleep(0.5)
        assert (await site.ask()).status == 200
        assert site.counters.counts[
            f"malformed.{'upstream' if what == 'runner' else 'desired-state'}"
        ]

    context.site.play(story)


@given("two chains of runners, each with {slots:d} slots and memory for {count:d} typical requests")
def chains_with_memory(context, slots, count):
    two_chains(context)
    engine = context.site.config["services"][0]["engine"]
    held = LAYERS // 2
    beside_mb = engine["kinds"][0]["mb"] - held * engine["layer_mb"]
    usual_tokens = 770 + 154 / 2
    engine["kvTokenBytes"] = beside_mb * 1e6 / (count * usual_tokens) * LAYERS / held * 0.99
    for runner in context.site.runners.values():
        runner.slots = slots


@when("each first upstream executes {running:d} requests and {queued:d} are queued")
def busy_firsts(context, running, queued):
    for name in ("x1", "y1"):
        context.site.runners[name].running = running
        context.site.runners[name].queued = queued


@given("two chains of runners, the other one {times:d} times slower")
def slower_chain(context, times):
    two_chains(context)
    kinds = context.site.config["services"][0]["engine"]["kinds"]
    slow = {"pace": kinds[0]["pace"] * times, "read_x": kinds[0]["read_x"] * times}
    kinds.append({**kinds[0], **slow, "name": "slow"})
    for name in ("y1", "y2"):
        context.site.runners[name].kind = "slow"


@when(
    "the first upstream of its own domain executes {running:d} requests and {queued:d} are "
    "queued"
)
def busy_first(context, running, queued):
    context.site.runners["x1"].running = running
    context.site.runners["x1"].queued = queued


@then("a stream requested a moment later gets {status:d}")
def asked_after_a_moment(context, status):
    async def story(site):
        await site.ask(name="r1")
        await trio.sleep(0.5)
        context.got = await site.ask(name="r2")

    context.site.play(story)
    got = context.got
    assert got.status == status, (got, context.site.lines)
    if status == 429:
        assert got.seconds < 0.1
        assert 0.5 < float(context.site.header(got, "retry-after")) < 2


@when("a caller sends a deadline of {count:d} digits")
def long_deadline(context, count):
    async def story(site):
        context.got = await site.ask(headers=[("X-Deadline-Ms", "9" * count)])

    context.site.play(story)
