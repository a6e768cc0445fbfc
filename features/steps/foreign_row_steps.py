"""Steps about invalid rows that others than the upstreams wrote.

They guard against these failures:

- A row with deeply nested lists in an unused field made each reading of the table fail:

    RecursionError: maximum recursion depth exceeded while deserializing an object

- A row with an unknown state counted as leaving.
- A row of an unconfigured service took over the address of a valid one.
- The layers 0-1000000000 of a row were counted one by one.
- After a malformed row, the previous content of the row stayed in use.
"""

import json
from functools import partial

import trio
from behave import given, then, when
from connection_world import reproducible
from foreign_rows import (
    NAMED,
    bad_row,
    check_rows,
    generated_pages,
    generated_rows,
    good_row,
    reading,
)
from gateway_story import two_chains
from gateway_world import GatewayWorld, default_config
from hypothesis import given as hypothesis_given
from returns.result import Failure, Success

from deckcourse.platform.rows import PlatformRows
from deckcourse.table import Row

KEYS = {
    "of no text": "",
    "with a line end": "i-1\r\nX-Other: 1",
    "with a space": "i 1",
    "with other letters": "i-é",
    "of 201 letters": "i" * 201,
}
REQUESTS = 12


class Connections:
    """Records the gateway's connections to upstreams and which of them are open."""

    def __init__(self, site):
        self.site = site
        self.opened = []
        site.dial = self.dial

    async def dial(self, address):
        transport = await self.site.network.dial(address)
        entry = [address, True]
        self.opened.append(entry)
        close = transport.close

        def close_once():
            entry[1] = False
            close()

        transport.close = close_once
        return transport

    def open_at(self, address):
        return sum(is_open for at, is_open in self.opened if at == address)


@given("two plain upstreams that work")
def two_plain(context):
    context.site = GatewayWorld()
    context.site.add("one", "crm")
    context.site.add("two", "crm")
    context.site.connections = Connections(context.site)


async def ask_all(site, count=REQUESTS, route="again"):
    """Send `count` requests at once; return the upstreams that executed them."""
    before = len(site.runs)

    async def ask_one(number):
        reply = await site.ask(route, name=f"r{before}-{number}")
        assert reply.status == 200, (reply, site.lines[-5:])

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(ask_one, number)
    return {each.instance for each in site.runs[before:]}


# Log event kinds for an invalid row, and for one whose service is not configured yet.
KINDS = ("malformed", "unnamed")


def lines_of(site, key):
    """Return the log entries about one row."""
    return [fields for kind, fields in site.lines if kind in KINDS and fields.get("key") == key]


def counted(site):
    return sum(site.counters.counts.get(f"{kind}.upstream", 0) for kind in KINDS)


@when("the row of one becomes one {what}")
def row_becomes(context, what):
    async def story(site):
        assert await ask_all(site) == {"one", "two"}
        invalid = bad_row(site.runners["two"].row(), what)
        site.kept_before = site.connections.open_at("two:1")
        counts = []
        for _ in range(3):
            site.store.put_bytes("servers", "two", invalid)
            await trio.sleep(0.5)
            counts.append(counted(site))
        site.after = await ask_all(site)
        site.counts = counts
        site.kept = site.connections.open_at("two:1")
        site.logged = lines_of(site, "two")
        site.store.put("servers", "two", site.runners["two"].row())
        await trio.sleep(0.5)
        site.after_repair = await ask_all(site)

    context.site.play(story)


@then("no new request goes there, its kept connections are closed, and requests are served")
def out_of_use(context):
    assert context.site.after == {"one"}, context.site.after
    assert context.site.kept_before > 0 and context.site.kept == 0, context.site.kept


@then("that is logged once, with its key, however often the row is read, and counted each time")
def logged_once(context):
    assert len(context.site.logged) == 1, context.site.logged
    assert context.site.logged[0]["what"]
    assert context.site.counts == [1, 2, 3], context.site.counts


@then("it is used again as soon as its row is good")
def used_again(context):
    assert context.site.after_repair == {"one", "two"}, context.site.after_repair


@given("two chains of upstreams with a stream in flight")
def chains_with_stream(context):
    two_chains(context)
    context.site.events = 60


@when("the row of its {part} upstream becomes invalid")
def turns_bad(context, part):
    async def story(site):
        async def first():
            site.got = await site.ask()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(first)
            await trio.sleep(0.3)
            at = site.paths_of("r1")[part == "second"][0]
            site.invalid = site.by_address(at).instance
            row = bad_row(site.runners[site.invalid].row(), 'with state = "unknown"')
            site.store.put_bytes("servers", site.invalid, row)
        await site.ask(name="r2")

    site = context.site
    site.paths_of = lambda name: next(
        each.paths[name] for each in site.runners.values() if name in each.paths
    )
    site.play(story)


@then("that stream completes on the same chain, and the next one takes the other chain")
def stream_whole(context):
    site = context.site
    assert (site.got.status, site.got.whole) == (200, True), site.got
    assert [each.request for each in site.runs] == ["r1", "r2"], site.runs
    runs = {each.request: each for each in site.runs}
    assert [number for number, _ in runs["r1"].events] == list(range(1, site.events + 1))
    address = site.runners[site.invalid].address
    assert address in {at for at, _, _ in runs["r1"].events[-1][1]}, runs["r1"].events[-1]
    assert address not in {at for at, _, _ in runs["r2"].events[0][1]}, runs["r2"].events[0]


@when("the store recovers after an outage, and the rows of both are invalid")
def back_and_bad(context):
    async def story(site):
        site.store.away = True
        await trio.sleep(8.0)
        site.store.away = False
        for name in ("one", "two"):
            site.store.put_bytes("servers", name, b"?")
        await trio.sleep(1.0)
        before = len(site.runs)
        site.got = await site.ask("again")
        site.after = len(site.runs) - before

    context.site.play(story)


@then("no request goes to either")
def to_neither(context):
    assert context.site.after == 0 and context.site.got.status == 503, context.site.got
    assert [kind for kind, _ in context.site.lines if kind == "store-regained"]


@then("a runner's row {what} is valid")
def row_is_good(context, what):
    field, is_set, value = what.removeprefix("with ").partition(" = ")
    row = good_row("10.0.0.1:80")
    if is_set:
        row[field] = json.loads(value)
    else:
        del row[what.removeprefix("without ")]
    upstream = PlatformRows().upstream("i", json.dumps(row).encode()).unwrap()
    held = row.get("layers")
    held = held[0] if isinstance(held, list) and held else held or {}
    assert (upstream.first, upstream.end) == (
        held.get("rangeStart", 0),
        held.get("targetVersion", 0),
    )
    assert upstream.leaving is (row["state"] == "draining")


@then("a row with the address {address} is {verdict}")
def address_is(context, address, verdict):
    value = json.dumps({**good_row("10.0.0.1:80"), "address": address}).encode()
    found = PlatformRows().upstream("i", value)
    assert isinstance(found, Success if verdict == "good" else Failure), found


@then("a valid row becomes invalid under a key {what}")
def key_is(context, what):
    value = json.dumps(good_row("10.0.0.1:80")).encode()
    assert isinstance(PlatformRows().upstream("i-1", value), Success)
    assert isinstance(PlatformRows().upstream(KEYS[what], value), Failure)


@when("a row {what} claims the address of one by {way}")
def claims_address(context, what, way):
    async def story(site):
        good = {**site.runners["one"].row()}
        words, _, after = what.partition(" and soon ")
        bad = json.dumps(good).encode() if after else bad_row(good, words)
        if way == "a snapshot":
            site.store.forget_history()
        site.store.put_bytes("servers", "foreign", bad)
        await trio.sleep(0.5)
        if after:
            site.store.put_bytes("servers", "foreign", None if after == "gone" else b"?")
            await trio.sleep(0.5)
        # Later than lapsed rows may return.
        await trio.sleep(2.5)
        site.after = await ask_all(site)

    context.site.play(story)


@then("both upstreams are used")
def both_used(context):
    assert context.site.after == {"one", "two"}, context.site.after


@when("a third upstream has a service that is added to the desired state later")
def named_later(context):
    async def story(site):
        site.add("three", "later").start()
        await trio.sleep(0.5)
        site.before = await ask_all(site)
        config = default_config(2)
        config["services"].append({"name": "later"})
        config["routes"].append({**config["routes"][-1], "name": "new", "pathPrefix": "/new/",
                                 "service": "later"})  # fmt: skip
        site.store.put("op", "config", config)
        await trio.sleep(0.5)
        site.after = await ask_all(site, 3, "new")
        site.others = await ask_all(site)

    context.site.play(story)


@then("it gets no request for another service, and is used once its service is configured")
def used_for_its_own(context):
    site = context.site
    assert site.before == site.others == {"one", "two"}, (site.before, site.others)
    assert site.after == {"three"}


@when("a row of an unconfigured service exists before the first desired state")
def unnamed_before(context):
    context.site.config = None
    context.site.add("three", "nowhere")

    async def story(site):
        await trio.sleep(0.5)
        site.before = lines_of(site, "three")
        for version in (1, 2):
            site.store.put("op", "config", default_config(version))
            await trio.sleep(0.5)
        site.logged = lines_of(site, "three")
        site.counted = counted(site)
        site.used = await ask_all(site)

    context.site.play(story)


@then("it is logged once, and not before the first desired state")
def logged_once_after_state(context):
    site = context.site
    assert not site.before and len(site.logged) == 1, (site.before, site.logged)
    assert "nowhere" in site.logged[0]["what"]
    assert site.counted == 2 and site.used == {"one", "two"}, (site.counted, site.used)


@when("{count:d} rows with long keys and invalid values are written")
def many_bad(context, count):
    async def story(site):
        for number in range(count):
            site.store.put("servers", f"{number:04}" + "k" * 190, {"state": "s" * 5000})
        await trio.sleep(1.0)
        site.store.forget_history()
        site.store.put("servers", "last", {"state": 3})
        await trio.sleep(1.0)
        site.served = await ask_all(site)

    context.site.play(story)
    context.count = count


@then(
    "at most {lines:d} log lines of at most {length:d} characters report them, and each is counted"
)
def few_lines(context, lines, length):
    logged = [fields for kind, fields in context.site.lines if kind in KINDS]
    assert 0 < len(logged) <= lines, len(logged)
    assert max(len(json.dumps(each)) for each in logged) <= length
    assert counted(context.site) >= context.count, counted(context.site)


@then("requests are served")
def served(context):
    assert context.site.served == {"one", "two"}


GOOD_ROWS = ({"tlsKey": "a", "ver": 7, "value": "YQ=="}, {"tlsKey": "z", "ver": 9, "value": "eg=="})
BAD_STORED = {
    "that is a number": 3,
    "that is null": None,
    "without its key": {"ver": 8, "value": "eA=="},
    "whose key is a number": {"tlsKey": 3, "ver": 8, "value": "eA=="},
    "whose key is no text": {"tlsKey": "?", "ver": 8, "value": "eA=="},
    "whose version is a text": {"tlsKey": "m", "ver": "8", "value": "eA=="},
    "whose version is missing": {"tlsKey": "m", "value": "eA=="},
    "whose version is negative": {"tlsKey": "m", "ver": -8, "value": "eA=="},
    "whose value is a number": {"tlsKey": "m", "ver": 8, "value": 4},
    "whose value is missing": {"tlsKey": "m", "ver": 8},
    "whose value isn't base64": {"tlsKey": "m", "ver": 8, "value": "!eA=="},
    "whose value is not ASCII": {"tlsKey": "m", "ver": 8, "value": "é"},
    "whose value is cut": {"tlsKey": "m", "ver": 8, "value": "eA"},
    "whose removal is a text": {"tlsKey": "m", "ver": 8, "value": "eA==", "gone": "yes"},
}


def page(rows, **fields):
    return json.dumps({"rows": rows, "ver": 9, "more": False, **fields}).encode()


@given('a store whose rows are "a", one {what}, and "z"')
def store_with(context, what):
    body = page([GOOD_ROWS[0], BAD_STORED[what], GOOD_ROWS[1]])
    context.pages = lambda target: body.replace(b'"?"', b'"\xff"')


@given("a store of two pages, the first of which ends in a row without a key")
def two_pages(context):
    def answer(target):
        if b"rangeStart" in target:
            assert b"rangeStart=a%00" in target, target
            return page([GOOD_ROWS[1]])
        return page([GOOD_ROWS[0], {"ver": 8}], more=True)

    context.pages = answer


@given("a store whose pages hold only rows without a key")
def no_keys(context):
    context.pages = lambda target: page([{"ver": 8}, 3], more=True)


@when("the table is read, and its changes after version 5")
def read_and_followed(context):
    context.snapshot, context.changes, _ = reading(context.pages)


@when("the table is read")
def only_read(context):
    context.snapshot, _, context.requests = reading(context.pages, follow=False)


@then('both contain the rows "a" and "z", and the feed continues from version 9')
def good_rows_there(context):
    snapshot, changes = context.snapshot.unwrap(), context.changes.unwrap()
    assert Row("t/a", 7, b"a") in snapshot.rows and Row("t/z", 9, b"z") in snapshot.rows, snapshot
    assert ("a", b"a", 7) in changes.rows and ("z", b"z", 9) in changes.rows, changes
    assert snapshot.version == changes.version == 9


@then("the malformed row has {outcome}")
def bad_row_has(context, outcome):
    changed = [each for each in context.changes.unwrap().rows if each[0] not in "az"]
    stored = [each for each in context.snapshot.unwrap().rows if each.key not in ("t/a", "t/z")]
    if outcome == "no key":
        assert not changed and not stored, (changed, stored)
    else:
        assert [(key, value) for key, value, _ in changed] == [("m", b"")], changed
        assert [(each.key, each.value) for each in stored] == [("t/m", b"")], stored


@then("the snapshot contains the rows of both pages")
def both_pages(context):
    assert [each.key for each in context.snapshot.unwrap().rows] == ["t/a", "t/z"]


@then("reading fails after at most {count:d} requests")
def reading_fails(context, count):
    assert isinstance(context.snapshot, Failure) and context.requests <= count


@then("{count:d} generated sets of rows raise nothing, lose no good row and use no bad one")
def any_rows(context, count):
    @reproducible(count)
    @hypothesis_given(generated_rows())
    def check(steps):
        check_rows(steps)

    check()


@then("{count:d} generated sets of pages raise nothing, lose no good row and use no bad one")
def any_pages(context, count):
    @reproducible(count)
    @hypothesis_given(generated_pages())
    def check(case):
        good, rows = case
        snapshot, changes, _ = reading(partial(lambda body, target: body, page(rows)))
        keys = {each.key for each in snapshot.unwrap().rows if each.value}
        assert good <= keys, (good, keys)
        assert good <= {f"t/{key}" for key, value, _ in changes.unwrap().rows if value}
        assert changes.unwrap().version == 9

    check()


@then("the upstreams in use match the store after each of these rows")
def holds_after(context):
    rows = [(row["key"], row["address"]) for row in context.table]
    check_rows(
        ("row", key, ((address, NAMED), json.dumps(good_row(address)).encode()))
        for key, address in rows
    )
