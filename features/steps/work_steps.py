"""Steps for the cost of decisions, counted in function calls: the same on every machine."""

import sys
from dataclasses import replace
from random import Random

import msgspec
from behave import given, then, when
from layer_world import LAYER_MB, carried_out, model_of

from deckcourse.decisions.path_load import streams_started_at
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.hosts import Assignment, LayerHost, groups_of
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.placement import plan_group
from deckcourse.layers.plan_book import PlanBook, PlanRecord
from deckcourse.peers.loads import LoadBoard, LoadRow
from deckcourse.table import MemoryTable, Row

KINDS = {"big100": 0.1, "v100": 0.5, "l4": 0.4}


def calls_of(work):
    """Return how many function calls `work` makes, including built-in functions."""
    count = 0

    def note(frame, event, argument):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


@given("a domain of {count:d} hosts of three kinds, placed for a model of {layers:d} layers")
def large_domain(context, count, layers):
    context.model = model_of(layers, LAYER_MB, 96)
    context.hosts = [
        LayerHost(f"{kind}-{each:03}", "x", kind)
        for kind, part in KINDS.items()
        for each in range(round(part * count))
    ]
    (context.group,) = groups_of(context.model, context.hosts)
    context.placed = carried_out(context.hosts, plan_group(context.model, context.group))


@when("a first placement is searched for")
def search_placement(context):
    context.calls = calls_of(lambda: plan_group(context.model, context.group))


@when("the paths of the domain are worked out")
def work_out_paths(context):
    context.calls = calls_of(lambda: PathSet(context.model, context.placed).paths_inside("x"))


@when("a plan whose orders are under way is met")
def meet_plan(context):
    pending = {each.instance: (each.first, each.end) for each in context.placed}
    found = []
    context.calls = calls_of(
        lambda: found.append(plan_group(context.model, context.group, pending))
    )
    assert found == [()], found


@when("streams that begin and pass are told apart")
def tell_passing(context):
    paths = PathSet(context.model, context.placed).paths_inside("x")
    context.calls = calls_of(lambda: streams_started_at(paths, lambda name: 20.0))


@given("{count:d} upstreams in {domains:d} domains, looked at once")
def many_upstreams(context, count, domains):
    context.model = model_of(80, LAYER_MB, 96)
    context.listed = UpstreamTable(lambda: 0.0)
    kinds = sorted(KINDS)
    for each in range(count):
        name, kind, domain = f"i-{each}", kinds[each % len(kinds)], "xyz"[each % domains]
        context.listed.put(Upstream(name, "llm", f"{name}:1", domain, kind=kind))
    look(context)


def look(context):
    return groups_of(context.model, context.listed.layer_hosts("llm"))


@when("{count:d} of their rows change and they are looked at again")
def change_and_look(context, count):
    for each in range(count):
        row = context.listed.get(f"i-{each}")
        context.listed.put(replace(row, first=0, end=10))
    context.calls = calls_of(lambda: look(context))
    held = [each for each in context.listed.layer_hosts("llm") if not each.is_empty]
    assert len(held) == count, len(held)


@then("it takes at most {most:d} calls of functions")
def calls_at_most(context, most):
    assert 0 < context.calls <= most, context.calls


@given("a plan of {count:d} orders that another process made")
def told_plan(context, count):
    orders = tuple(Assignment(f"i-{each}", 0, 10, "new") for each in range(count))
    value = msgspec.json.encode(PlanRecord(1, "another", "m", orders))
    context.book = PlanBook(MemoryTable(), "me")
    context.book.merge(Row("plans/x", 1, value))


@when("it is asked for {times:d} times")
def ask_plan(context, times):
    context.records = [context.book.last_plan("x") for _ in range(times)]


@then("it is one and the same record")
def same_record(context):
    assert context.records[0].author == "another"
    assert all(each is context.records[0] for each in context.records)


@given(
    "a process that knows {count:d} placed upstreams of each of {domains:d} domains and their loads"
)
def process_with_loads(context, count, domains):
    large_domain(context, count, 80)
    context.now = 1.0
    listed = UpstreamTable(lambda: context.now)
    board = context.board = LoadBoard(lambda: context.now)
    for domain in "xyz"[:domains]:
        for host in context.placed:
            name = f"{domain}-{host.instance}"
            listed.put(
                Upstream(
                    name,
                    "llm",
                    f"{name}:1",
                    domain,
                    False,
                    6,
                    host.kind,
                    ("m",),
                    host.first,
                    host.end,
                )
            )
            board.record(LoadRow(name, 2, 0, 0.1, 1.0))
    context.choice = PathChoice(
        "llm", "n", "x", listed, lambda: context.now, None, TrafficShare(lambda: context.now),
        board, lambda: False, Random(1),
    )  # fmt: skip


@given("its clock advances at each reading")
def clock_advances(context):
    start = context.now

    def read():
        context.now += 1e-6
        return context.now

    assert context.choice._loads._clock() == start
    context.choice._loads._clock = read


@given("every upstream is full")
def all_full(context):
    for row in context.board.all():
        context.board.record(LoadRow(row.instance, 90, 40, 0.9, row.at + 0.01))


@when("it asks for the second time {question}")
def ask_again(context, question):
    asked = {
        "which path a request takes": lambda: context.choice.choose(context.model),
        "how many requests stand at all firsts": context.choice._loads.total_requests,
    }[question]
    context.choice.choose(context.model)
    asked()
    context.now += 0.1
    context.calls = calls_of(lambda: asked())
