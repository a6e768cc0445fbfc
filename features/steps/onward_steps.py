"""Steps about moving running streams to other paths; they run over copy a, hosts a0 to a7."""

from collections import Counter, defaultdict
from dataclasses import replace
from functools import partial
from random import Random

import trio
from behave import given, then, when
from gateway_story import ask_while, assert_whole, two_chains
from layer_world import LAYER_MB, model_of
from trio.testing import MockClock

from deckcourse.decisions.onward_choice import move_rank
from deckcourse.gateway.active_stream import ActiveStream
from deckcourse.gateway.dialect import MoveResult, ProbeReply, ProbeResult
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.stalls import PROBE_TIMEOUT_SECONDS, StallMonitor
from deckcourse.gateway.stream_moves import OnwardSpread
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.paths import LayerPath, PathStage
from deckcourse.peers.loads import LoadBoard
from deckcourse.settings import LoadSettings

MODEL = model_of(80, LAYER_MB)
LOST = ("a2", "a3", "a4", "a5")
# The draws of one replay differ from the expected share by up to a quarter.
SEEDS = (1, 2, 3)
REPLIES = {"answers": ProbeResult.ALIVE, "refuses": ProbeResult.DEAD}


def copy_rows(name, kind="l4", domain="x"):
    rows = [Upstream(f"{name}{n}", "s", f"{name}{n}:1", domain, kind=kind) for n in range(8)]
    return [replace(each, first=10 * n, end=10 * n + 10) for n, each in enumerate(rows)]


def rows_of(copies):
    """Return the upstreams of copy a and of further ones, "b l4, c t4 y": kind and domain."""
    return [row for each in ["a", *copies.split(",")] for row in copy_rows(*each.split())]


class SiteControl:
    """The upstreams of a site: `gone` ones miss their stages, probes get `replies`."""

    def __init__(self, rows, gone=(), move_seconds=0.002):
        self.kinds = {each.instance: MODEL.kind_of(each.kind) for each in rows}
        self.gone, self.move_seconds = set(gone), move_seconds
        self.moves, self.sent, self.probed, self.replies = [], [], [], {}
        self.prefill = Counter()

    async def move(self, upstream, request_id, path):
        sent_at = trio.current_time()
        self.sent.append(request_id)
        await trio.sleep(self.move_seconds)
        missing = next((each for each in path.stages if each.instance in self.gone), None)
        self.moves.append((sent_at, request_id, path, missing.instance if missing else ""))
        if missing:
            return MoveResult.STAGE_MISSING, missing.address
        for each in path.stages:
            # Copy a runs what it ran before, so that only other hosts prefill.
            if not each.instance.startswith("a"):
                self.prefill[each.instance] += self.kinds[each.instance].prefill_factor
        return MoveResult.MOVED, ""

    async def query_stalled(self, upstream):
        return None

    async def probe(self, upstream, seconds):
        if seconds == PROBE_TIMEOUT_SECONDS:
            self.probed.append(upstream.instance)
        result = self.replies.get(upstream.instance, ProbeResult.ALIVE)
        await trio.sleep(seconds if result is ProbeResult.SILENT else 0.002)
        return ProbeReply(result, 1.0)


class Process:
    """One process; its streams hold 800 to 1,000 tokens."""

    def __init__(self, number, rows, control, is_on):
        clock, random = trio.current_time, Random(number)
        self.upstreams = UpstreamTable(clock)
        self.upstreams.replace_all(rows)
        self.counts, self.lines, self.streams = Counter(), [], []
        choice = PathChoice(
            "s", f"p{number}", "x", self.upstreams, clock, control, TrafficShare(clock),
            LoadBoard(clock), lambda: False, random,
        )  # fmt: skip
        self.monitor = StallMonitor(
            self.upstreams, control, lambda service: choice, lambda domain: None,
            lambda name: self.counts.update([name]),
            lambda kind, **fields: self.lines.append((kind, fields)),
            OnwardSpread(lambda: is_on, lambda: 1 / 80, random),
        )  # fmt: skip

    def add_stream(self, name):
        stages = [PathStage(a.instance, a.address, a.first, a.end) for a in copy_rows("a")]
        path, now = LayerPath(tuple(stages), "x", 1.0), trio.current_time()
        tokens = Random(name).randint(800, 1000)
        self.streams.append(ActiveStream(name, "s", MODEL, path, now, 0.25, prompt_tokens=tokens))
        self.monitor.add(self.streams[-1])

    def note_events(self):
        for each in self.streams:
            each.note_event(trio.current_time())

    async def lose(self, *names):
        for name in names:
            self.upstreams.suspect(name, 4.0)
        await self.monitor._move_all()


def replay(rows, streams, is_on, seed):
    """Replay a loss of which each of 80 processes learns within 50 ms.

    With spreading it knows one host at first; without, all: three refused moves would be the last.
    """
    control, random, processes = SiteControl(rows, LOST), Random(seed), []

    async def learn(process):
        lost = random.sample(LOST, len(LOST))
        await trio.sleep(random.random() * 0.05)
        await process.lose(*lost[:1] if is_on else lost)

    async def main():
        processes.extend(Process(number, rows, control, is_on) for number in range(80))
        for number in range(streams):
            owner = random.randrange(80)
            processes[owner].add_stream(f"{owner}/{number}")
        async with trio.open_nursery() as nursery:
            for process in processes:
                nursery.start_soon(learn, process)

    play(main)
    return control, processes


def play(main):
    trio._core._run._r.seed(0)
    trio.run(main, clock=MockClock(autojump_threshold=0))


@when("four hosts with replicas in copies {copies} are lost under {streams:d} streams")
def four_lost(context, copies, streams):
    rows = rows_of(copies)
    context.replays = [replay(rows, streams, True, seed) for seed in SEEDS]
    cheapest = [replay(rows, streams, False, seed)[0] for seed in SEEDS]
    context.shares = [
        max(control.prefill.values()) / max(other.prefill.values())
        for (control, _), other in zip(context.replays, cheapest, strict=True)
    ]


@then("the busiest host gets on average {share:g} of the prefill of one cheapest path, or less")
def busiest(context, share):
    assert sum(context.shares) / len(context.shares) <= share, context.shares


@then("every stream was moved, and no move named a host known as gone to its process")
def no_known_gone(context):
    for control, processes in context.replays:
        known = defaultdict(list)
        for sent_at, request, path, missing in sorted(control.moves, key=lambda each: each[0]):
            earlier = known[request.partition("/")[0]]
            gone = {name for at, name in earlier if at < sent_at}
            assert not path.instances & gone, (request, path.instances & gone)
            earlier.append((sent_at + control.move_seconds, missing))
        moved = sum(not each[3] for each in control.moves)
        assert moved == sum(len(each.streams) for each in processes), moved


@given("{count:d} streams of a process beside {copies}; {gone} gone, spreading {state}")
def one_process(context, count, copies, gone, state):
    context.rows, context.count, context.is_on = rows_of(copies), count, state == "on"
    context.control = SiteControl(context.rows, gone.split())


@when("{names} is {how}, its host {reply}, and moves take {seconds:g} seconds")
def loss_is_told(context, names, how, reply, seconds):
    context.control.move_seconds = seconds
    result = REPLIES.get(reply.split()[0], ProbeResult.SILENT)
    context.control.replies = dict.fromkeys(names.split(), result)

    async def tell(process):
        for name in names.split() * (1 + ("again" in reply)):
            if how == "found lost":
                await process.lose(name)
            process.monitor.check_upstream(name, confirmed=how == "confirmed")
            await trio.sleep(0.001)

    async def main():
        context.process = process = Process(1, context.rows, context.control, context.is_on)
        for number in range(context.count):
            process.add_stream(f"r{number}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(process.monitor.run)
            for step in range(56):
                await trio.sleep(0.01)
                if step < 50 or "events" in reply:
                    process.note_events()
                if step == 49:
                    context.at = trio.current_time()
                    nursery.start_soon(tell, process)
            await trio.sleep(5 * seconds)
            nursery.cancel_scope.cancel()

    play(main)


@then("{count:d} moves were accepted and {refused:d} refused, none after {seconds:g} seconds")
def moves_were(context, count, refused, seconds):
    moves = context.control.moves
    outcome = Counter(bool(each[3]) for each in moves)
    assert (outcome[False], outcome[True]) == (count, refused), moves
    assert all(each[0] <= context.at + seconds for each in moves), (context.at, moves)


@then("the probed upstreams are {names}, and {count:d} streams wait for another attempt")
def probed_and_waiting(context, names, count):
    expected = [] if names == "none" else names.split()
    assert sorted(context.control.probed) == sorted(expected), context.control.probed
    lines = [fields for kind, fields in context.process.lines if kind == "first-upstream-lost"]
    assert sum(each["streams"] for each in lines) == count, lines


@then("no path was searched at that moment, and the move's line has its inputs")
def searched_ahead(context):
    assert not context.process.counts["move.searched"], context.process.counts
    line = next(fields for kind, fields in context.process.lines if kind == "move")
    assert line["candidates"] > 1 and line["new_layers"] == 10 and line["predicted_ms"] > 0, line


@then("the moves were sent in the order of the streams' tokens")
def fewest_first(context):
    ordered = sorted(context.process.streams, key=lambda each: each.tokens)
    assert context.control.sent == [each.request_id for each in ordered], context.control.sent


@then("the last path leaves its domain {count:d} times")
def crossings_are(context, count):
    assert context.control.moves[-1][2].crossings == count, context.control.moves[-1]


@then("streams are moved in the order {order}")
def in_order(context, order):
    due = {each[0]: move_rank(*map(float, each.cells[1:])) for each in context.table}
    assert " ".join(sorted(due, key=due.get)) == order, due


@when("a stream of a prompt of 500 tokens loses its second upstream while streams are spread")
def dies_while_spread(context):
    async def lose_second(site):
        site.node._load_settings = lambda: LoadSettings(onward_spread=True)
        (stream,) = site.node.gateway.context.monitor._streams
        context.tokens = stream.tokens
        site.runners["x2"].die()

    two_chains(context)
    context.site.ask = partial(context.site.ask, headers=(("X-Token-Usage", "500,20"),))
    ask_while(context, 5, lose_second)


@then("the caller got every event, and the stream held {tokens:d} tokens")
def whole_and_counted(context, tokens):
    assert_whole(context)
    assert context.tokens == tokens, context.tokens
