"""Steps about malformed frames, digests, reports and plans.

A peer may send any bytes. These failures are guarded against:

- Nested lists after the last field of a frame, a request or a digest stopped the task that read it:

      RecursionError: maximum recursion depth exceeded while deserializing an object

- An infinite time made a replica of the configuration count as fresh forever.
- A digest whose address had no port stopped the gossip with ValueError.
- A source of malformed frames was used again after three seconds, and no counter showed it.
"""

import zlib
from dataclasses import dataclass
from random import Random

import msgspec
import trio
from behave import then, when
from connection_world import reproducible, virtually
from foreign_rows import NESTING_DEPTH
from hypothesis import given as hypothesis_given
from hypothesis import strategies
from peer_world import SETTLE_SECONDS

from deckcourse.gateway.desired import CallerBounds
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.load_watch import LoadWatch
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.memory import MemoryNetwork
from deckcourse.http1.pool import ConnectionPool
from deckcourse.layers.healer import Healer
from deckcourse.layers.hosts import Assignment
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.plan_book import PLAN_TABLE, PlanBook, PlanRecord, PlanWon
from deckcourse.peers.followers import followers
from deckcourse.peers.frames import (
    ChangesRequest,
    Frame,
    FrameReader,
    MalformedFrameError,
    decode_request,
    encode_frame,
    encode_request,
)
from deckcourse.peers.knowledge import SharedState, Subscriber
from deckcourse.peers.loads import LoadBoard, LoadRow
from deckcourse.peers.member import Digest, Member, decode_digest, encode_digest
from deckcourse.peers.replica import TableUpdate
from deckcourse.peers.roster import Roster
from deckcourse.platform.runners import RunnerControl
from deckcourse.table import MemoryTable, Row, Write

MIB = 1024 * 1024
TABLES = ("op", "servers")
VALID_UPDATE = TableUpdate("servers", None, 5, (("a", b"row a", 4), ("b", b"row b", 5)))
VALID_FRAME = Frame((VALID_UPDATE,), {"servers": (5, 0.5)}, None, (LoadRow("a", 1, 2, 0.5, 0.2),))
# Encoded by hand: five fields, then a sixth that frames do not have.
NESTED_TAIL = b"\x96\x90\x80\xc0\x90\xc2" + b"\x91" * NESTING_DEPTH + b"\xc0"


def framed(body, kind=b"\x00"):
    return (len(body) + 1).to_bytes(4) + kind + body


def packed(*fields):
    return framed(msgspec.msgpack.encode(fields))


def compressed(body):
    return framed(zlib.compress(body), b"\x01")


def half_compressed():
    return framed(zlib.compress(b"\x92\x90\x80")[:-6], b"\x01")


def surplus_compressed():
    return framed(zlib.compress(b"\x92\x90\x80") + b"?", b"\x01")


def million_rows():
    row = msgspec.msgpack.encode(("", None, 1))
    rows = b"\xdd" + (1_000_000).to_bytes(4) + row * 1_000_000
    return compressed(b"\x92\x91\x94\xa7servers\xc0\x01" + rows + b"\x80")


MALFORMED_FRAMES = {
    "a frame of no bytes": b"\x00\x00\x00\x00",
    "a frame of 4 GiB": b"\xff\xff\xff\xff\x00",
    "a frame of an unknown kind": framed(encode_frame(VALID_FRAME)[5:], b"\x02"),
    "bytes that aren't packed": framed(b"\xc1\xc1\xc1"),
    "nested lists": framed(b"\x91" * NESTING_DEPTH),
    "nested lists behind a good frame": framed(NESTED_TAIL),
    "a text that is no text": framed(b"\x92\x91\x93\xa1\xff\xc0\x05\x80"),
    "a version that is a text": packed([["servers", None, "5", []]], {}),
    "a version that is negative": packed([["servers", None, -5, []]], {}),
    "a moment that is no number": packed([], {"servers": [5, float("nan")]}),
    "a moment without end": packed([], {"servers": [5, float("inf")]}),
    "a load that is no number": packed([], {}, None, [["a", 1, 2, float("nan"), 0.1]]),
    "a load that is negative": packed([], {}, None, [["a", -1, 2, 0.5, 0.1]]),
    "a compressed frame that is cut": half_compressed(),
    "a compressed frame with bytes behind it": surplus_compressed(),
    "a compressed frame of 64 MiB of zeros": compressed(bytes(64 * MIB)),
    "a frame of a million small rows": million_rows(),
}  # fmt: skip


@then("{what} of a peer are no frame")
def frame_is_rejected(context, what):
    reader = FrameReader()
    received = []
    try:
        received += reader.feed(encode_frame(VALID_FRAME))
        received += reader.feed(MALFORMED_FRAMES[what])
    except MalformedFrameError as error:
        assert len(str(error)) <= 200, str(error)
        assert received == [VALID_FRAME]
        return
    raise AssertionError(received)


@when("they have settled and one that follows sends malformed frames to those that ask it")
def sends_malformed(context):
    malformed = MALFORMED_FRAMES["nested lists behind a good frame"]

    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        sources = [
            each.peers.feed.source for each in world.live_processes if each.peers.feed.source
        ]
        source = max(sources, key=sources.count)
        subscribers = [each for each in world.live_processes if each.peers.feed.source == source]
        address = next(each.address for each in world.live_processes if each.name == source)
        world.corrupted[address] = b"%x\r\n%s\r\n" % (len(malformed), malformed)
        await trio.sleep(0.5)
        context.counts = [each.counts["malformed.frame"] for each in subscribers]
        world.store.put("servers", "after", {"n": 1})
        context.elapsed = await world.until(
            lambda: all("after" in each.rows for each in world.live_processes), 20.0
        )

    context.world.play(story)


@then("its hearers count that and know of a change that follows within {seconds:g} seconds")
def subscribers_recover(context, seconds):
    assert context.counts and set(context.counts) == {1}, context.counts
    assert context.elapsed is not None and context.elapsed <= seconds, context.elapsed


@then("a question with nested lists behind its last field is none")
def request_is_rejected(context):
    assert decode_request(b"\x92\xa1a\x80") == ChangesRequest("a", {})
    assert decode_request(b"\x93\xa1a\x80" + b"\x91" * NESTING_DEPTH + b"\xc0") is None


@then("what a process tells of loads and moments that it holds is always a frame")
def always_a_frame(context):
    async def work():
        shared_state = SharedState(TABLES, lambda moment: None)
        # Received from a peer that sent no times.
        shared_state.merge(Frame((VALID_UPDATE,), {}), trio.current_time())
        for running, share in ((-1, 0.5), (10**9, 0.5), (1, float("nan")), (1, -0.5), (2, 0.5)):
            shared_state.loads.record(LoadRow(f"{running} {share}", running, 0, share, 0.0))
        return shared_state.next_frame(Subscriber(trio.current_time(), {}))

    frame = virtually(work)
    (received,) = FrameReader().feed(encode_frame(frame))
    assert received == frame and [each.instance for each in received.loads] == ["2 0.5"], received


@then("a frame that tells of tomorrow makes nothing known for later than now")
def nothing_later(context):
    @dataclass
    class Recovery:
        returned: float = 0.0

    async def work():
        await trio.sleep(100.0)
        noted = Recovery()
        shared_state = SharedState(TABLES, lambda at: setattr(noted, "returned", at))
        late = 86_400.0
        frame = Frame((VALID_UPDATE,), {"servers": (5, late)}, late,
                      (LoadRow("a", 1, 2, 0.5, late),))  # fmt: skip
        shared_state.merge(frame, trio.current_time() - 5.0)
        now = trio.current_time()
        load = shared_state.loads.get("a")
        return shared_state.latest_as_of <= now, noted.returned <= now, load.at <= now

    assert virtually(work) == (True, True, True)


def malformed_digests():
    own = ("x", 1, "a-0:1", "a", 1.0, 1, False)
    encode = msgspec.msgpack.encode
    yield from (b"", b"\xc1", b"\x91" * 10_000, encode((own,))[:-3], encode(3))
    yield b"\x94" + encode(own) + b"\x90\xc2" + b"\x91" * 50_000 + b"\xc0"
    for address in ("", "nowhere", "a:", "a:b", "a:99999", "a:-1", "\x00:1", "é" * 70 + ":1"):
        yield encode((("x" + address, 1, address, "a", 1.0, 1, False), [], True))
    for weight in (float("nan"), float("inf"), -1.0, 0.0):
        yield encode((("w", 1, "w:1", "a", weight, 1, False), [], True))
    yield encode((("b", 2**63, "b:1", "a", 1.0, 2**63, False), [], True))
    many = [(f"m{number}", 1, "m:1", "a", 1.0, 1, False) for number in range(2500)]
    for part in range(4):
        renamed = [(f"{part}{each[0]}", *each[1:]) for each in many]
        yield encode((own, renamed, False))


@when("foreign datagrams come to each of them")
def foreign_datagrams(context):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        for each in world.live_processes:
            for data in malformed_digests():
                world.medium.deliver("a:9", each.address, data)
                await trio.sleep(0.01)
        await trio.sleep(SETTLE_SECONDS)
        context.known = [each.live_names() for each in world.live_processes]
        context.names = {each.name for each in world.live_processes}

    context.world.play(story)


@then("each process still knows all of its domain, and at most {most:d} others")
def still_known(context, most):
    for known in context.known:
        assert context.names <= known, context.names - known
        assert len(known) <= most + 1, len(known)


VALID_REPORT = (
    b'{"sequence": 7, "running": 1, "queued": 0, "kvUsed": 1, "kvTotal": 2, "pace": 1.5,'
    b' "stalled": []}'
)


def report_with(what):
    if what == "with nested lists beside":
        return (
            VALID_REPORT[:-1] + b', "note": ' + b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH + b"}"
        )
    field, _, value = what.removeprefix("with ").partition(" = ")
    # The last field of a name takes effect.
    return VALID_REPORT[:-1] + f', "{field}": {value}}}'.encode()


async def results_for(report):
    """Return the result of each query that a report answers."""

    async def answer(request, exchange):
        await exchange.respond(200, (), report)

    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery, CallerBounds)
        network.listen("u:1", answer)
        control = RunnerControl(ConnectionPool(lambda what: None, network.dial))
        upstream = Upstream("u", "llm", "u:1", "x")
        loads = LoadWatch(
            control, "x", lambda: [upstream], lambda instance: 0,
            TrafficShare(trio.current_time), LoadBoard(trio.current_time),
            lambda: True, lambda: 0.0,
        )  # fmt: skip
        await loads._query(upstream)
        found = (
            await control.order_count(upstream),
            await control.query_stalled(upstream),
            await control.query_load(upstream),
            (await control.probe(upstream, 0.1)).result,
        )
        nursery.cancel_scope.cancel()
    return found


@then("a report {what} is none, and no question about it raises")
def report_is_rejected(context, what):
    count, stalled, load, pulse = virtually(lambda: results_for(VALID_REPORT))
    assert (count, stalled.pace, load.running, pulse) == (7, 1.5, 1, ProbeResult.ALIVE)
    report = report_with(what.replace("{400 digits}", "9" * 400))
    # An upstream that answers at all is alive.
    assert virtually(lambda: results_for(report)) == (None, None, None, ProbeResult.ALIVE)


MODEL = ModelSpec("m", 8, 100.0)
VALID_PLAN = {"number": 4, "author": "o/1", "model": "m", "assignments": [
    {"instance": "a", "first": 0, "end": 4, "reason": "r", "at_once": False}]}  # fmt: skip


def plan_of(**fields):
    return msgspec.json.encode({**VALID_PLAN, **fields})


def plan_with(**fields):
    return plan_of(assignments=[{**VALID_PLAN["assignments"][0], **fields}])


MALFORMED_PLANS = {
    "nothing": b"",
    "bytes that are no text": b"\xff\x00",
    "nested lists": plan_of()[:-1]
    + b', "note": '
    + b"[" * NESTING_DEPTH
    + b"]" * NESTING_DEPTH
    + b"}",
    "a number that is a text": plan_of(number="4"),
    "a number that is negative": plan_of(number=-4),
    "a number without bound": plan_of()[:-1] + b', "number": ' + b"9" * 40 + b"}",
    "layers that are negative": plan_with(first=-3),
    "an end before its start": plan_with(first=3, end=1),
    "layers without bound": plan_with(end=10**9),
    "two orders to one upstream": plan_of(assignments=2 * VALID_PLAN["assignments"]),
}


def book_with(value):
    """Store a plan row; return what a book makes of it, the result of a claim, and the row."""

    async def work():
        table = MemoryTable()
        book = PlanBook(table, "n/1")
        key = f"{PLAN_TABLE}/x"
        await table.transact([Write(key, value)])
        row = table.rows[key]
        noted = book.merge(row)
        won = await book.claim("x", "m", (Assignment("a", 0, 4, "r"),))
        return noted, won, row

    return virtually(work)


@then("a plan row that holds {what} is no plan, and the next plan can be written")
def plan_is_rejected(context, what):
    assert isinstance(book_with(plan_of())[0], PlanRecord)
    noted, won, _ = book_with(MALFORMED_PLANS[what])
    assert noted is None, noted
    assert isinstance(won, PlanWon) and won.record.number == 1, won


def mutated(valid):
    """Return a strategy for valid bytes with some replaced, cut off or appended, or random ones."""
    positions = strategies.integers(0, len(valid) - 1)

    def change(pieces, cut, tail):
        data = bytearray(valid)
        for position, byte in pieces:
            data[position] = byte
        return bytes(data[: len(data) - cut]) + tail

    changed = strategies.builds(
        change,
        strategies.lists(strategies.tuples(positions, strategies.integers(0, 255)), max_size=4),
        strategies.integers(0, len(valid)) | strategies.just(0),
        strategies.binary(max_size=8),
    )
    return changed | strategies.binary(max_size=60)


@then("{count:d} generated sets of frames raise nothing, lose no good row and use no bad one")
def any_frames(context, count):
    body = encode_frame(VALID_FRAME)[5:]

    async def check_one(data):
        await trio.sleep(100.0)
        shared_state = SharedState(TABLES, lambda moment: None)
        reader = FrameReader()
        try:
            for frame in reader.feed(encode_frame(VALID_FRAME)):
                shared_state.merge(frame, trio.current_time() - 1.0)
            for frame in reader.feed(framed(data)):
                shared_state.merge(frame, trio.current_time() - 1.0)
        except MalformedFrameError:
            # Every valid frame before the malformed one was merged.
            assert {each.key for each in shared_state.replica("servers").rows} >= {"servers/a"}
        assert shared_state.latest_as_of <= trio.current_time()
        assert all(each.at <= trio.current_time() for each in shared_state.loads.all())

    async def request_one(data):
        shared_state = SharedState(TABLES, lambda moment: None)
        shared_state.merge(VALID_FRAME, trio.current_time())
        request = decode_request(data)
        if request is not None:
            encode_frame(shared_state.next_frame(Subscriber(0.0, dict(request.versions))))

    @reproducible(count)
    @hypothesis_given(mutated(body), mutated(encode_request(ChangesRequest("a", {"servers": 4}))))
    def check(data, request):
        virtually(lambda: check_one(data))
        virtually(lambda: request_one(request))

    check()


@then("{count:d} generated sets of digests raise nothing, lose no good row and use no bad one")
def any_digests(context, count):
    sender = Member("b", 3, "127.0.0.1:70", "x", 2.0, 9)
    valid = encode_digest(Digest(sender, (Member("c", 1, "127.0.0.1:71", "x"),), True))

    @reproducible(count)
    @hypothesis_given(mutated(valid))
    def check(data):
        own = Member("a", 1, "127.0.0.1:69", "x")
        roster = Roster(own, lambda: 5.0)
        roster.merge([sender])
        found = decode_digest(data)
        if found is not None:
            roster.merge((found.sender, *found.members))
        assert {each.name for each in roster.live()} >= {"a", "b"}
        followers(roster.live(), "x")
        encode_digest(Digest(roster.own, roster.select_for_digest("x", 18)))

    check()


@then("{count:d} generated sets of plans raise nothing, lose no good row and use no bad one")
def any_plans(context, count):
    async def note_one(value):
        upstreams = UpstreamTable(trio.current_time)
        upstreams.put(Upstream("a", "llm", "127.0.0.1:1", "x", first=0, end=4))
        book = PlanBook(MemoryTable(), "n/1")
        healer = Healer("llm", upstreams, book, None, Random(1), lambda *_, **__: None)
        record = book.merge(Row(f"{PLAN_TABLE}/x", 3, value))
        assert book.last_plan("x") is None or 0 < book.last_plan("x").number < 2**63
        if record is not None:
            healer.on_plan("x", MODEL, record)

    @reproducible(count)
    @hypothesis_given(mutated(plan_of()))
    def check(value):
        virtually(lambda: note_one(value))

    check()
