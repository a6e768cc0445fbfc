"""Steps about crash evidence: how it is reported, stored, listed and released."""

import json

import trio
from behave import then, when
from crash_world import DEADLY
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from deckcourse.decisions.quarantine import quarantine_seconds
from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.quarantine_view import decode_quarantine
from deckcourse.peers.crash import Crash

ONE, OTHER = "1" * 32, "2" * 32
NESTED = b"[" * 5000 + b"]" * 5000
ROWS = {
    "is no JSON": (f"{ONE}.i-1", b"?"),
    "names another request": (f"{ONE}.i-1", json.dumps([OTHER, "i-1"]).encode()),
    "has a name too long": (f"{ONE}.{'i' * 200}", json.dumps([ONE, "i" * 200]).encode()),
    "is nested too deep": (f"{ONE}.i-1", NESTED),
}


async def listed_at(site, process):
    return decode_quarantine((await site.ask_peer(process))[1])


@when("a crashing request is quarantined, its fault is fixed, and an operator releases it")
def released(context):
    async def story(site):
        for number in range(3):
            await site.ask_at(site.processes[number], "stream", f"d{number}", DEADLY)
            await trio.sleep(0.5)
        context.listed = [await listed_at(site, each) for each in site.processes]
        site.cured = True
        await trio.sleep(5.0)
        identity = context.listed[0][0].identity.encode()
        status, _ = await site.ask_peer(site.processes[0], b"DELETE", b"/quarantine?" + identity)
        assert status == 200
        await trio.sleep(1.0)
        context.after = [
            await site.ask_at(each, "stream", f"a{number}", DEADLY)
            for number, each in enumerate(site.processes)
        ]

    context.site.play(story)


@then("every process listed it with 2 crashes before")
def was_listed(context):
    for views in context.listed:
        assert [(each.ends, len(each.instances)) for each in views] == [(2, 2)], views
        assert views[0].refused_seconds > 0


@then("it is served at every process within 1 second after")
def served_after(context):
    assert [each.status for each in context.after] == [200] * 3, context.after


@when("a crashing request is sent to all processes at once, every second for {seconds:d} seconds")
def comes_to_all(context, seconds):
    async def story(site):
        async with trio.open_nursery() as nursery:
            for second in range(seconds):
                for number, process in enumerate([*site.processes, *site.processes]):
                    # The first two alone confirm it as suspect; later ones are sent all at once.
                    if second >= 2 or number == 0:
                        name = f"d{second}-{number}"
                        nursery.start_soon(site.ask_at, process, "stream", name, DEADLY)
                await trio.sleep(1.0)

    context.site.play(story, 400.0)


@then("it crashed {count:d} upstreams")
def ended_exactly(context, count):
    ends = [round(each.at, 2) for each in context.site.ends_under(DEADLY)]
    assert len(ends) == count, ends


@then("a request is quarantined for this time")
def refused_for(context):
    for row in context.table:
        guarded = row["others convicted"] == "yes"
        seconds = quarantine_seconds(int(row["ends"]), int(row["suspects"]), guarded)
        assert seconds == float(row["seconds"].replace("forever", "inf")), (row, seconds)


CRASHES = strategies.lists(
    strategies.builds(
        Crash,
        strategies.sampled_from([ONE, OTHER]),
        strategies.sampled_from(["i-1", "i-2", "i-3", "i-4"]),
        strategies.integers(0, 3),
    ),
    max_size=8,
)


def counted(crashes):
    evidence = CrashEvidence(lambda: 5.0)
    for each in crashes:
        evidence.record(each)
    return {
        each: (evidence.crash_count(each), set(evidence.crashed_instances(each)))
        for each in (ONE, OTHER)
    }


@then("crashes reported in any order, any number of times, give the same count")
def order_is_nothing(context):
    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @hypothesis_given(CRASHES, strategies.randoms())
    def check(crashes, random):
        shuffled = [*crashes, *random.choices(crashes, k=3)] if crashes else []
        random.shuffle(shuffled)
        assert counted(crashes) == counted(shuffled)

    check()


@then("a request that succeeds is cleared, and late reports about it are ignored")
def cleared(context):
    now = [100.0]
    evidence = CrashEvidence(lambda: now[0])
    for number in range(3):
        evidence.record(Crash(ONE, f"i-{number}", number))
    assert evidence.quarantined_until(ONE) is not None
    assert evidence.record_success(ONE) and evidence.quarantined_until(ONE) is None
    assert evidence.was_just_cleared(ONE) and not evidence.was_just_cleared(OTHER)
    now[0] = 105.0
    assert not evidence.was_just_cleared(ONE)
    assert evidence.succeeded_recently(ONE) and not evidence.succeeded_recently(OTHER)
    now[0] = 111.0
    assert not evidence.succeeded_recently(ONE)


@then("crashes reported with the count known at the start of the attempt give these counts")
def chain_counts(context):
    for row in context.table:
        evidence = CrashEvidence(lambda: 5.0)
        for report in row["told"].split(", "):
            instance, known_ends = report.split()
            evidence.record(Crash(ONE, instance, int(known_ends)))
        assert evidence.crash_count(ONE) == int(row["ends"]), (row, evidence.crash_count(ONE))


@when("a row of the crash table {what}")
def bad_row(context, what):
    async def story(site):
        key, value = ROWS[what]
        site.store.put_bytes("crashes", key, value)
        await trio.sleep(1.0)
        context.listed = [await listed_at(site, each) for each in site.processes]
        context.counts = [each.counters.counts for each in site.processes]
        context.after = [
            await site.ask_at(each, "stream", f"a{number}")
            for number, each in enumerate(site.processes)
        ]

    context.site.play(story)


@then("no process records a crash, and all keep serving callers")
def nothing_ended(context):
    assert context.listed == [(), (), ()]
    for counts in context.counts:
        assert counts["malformed.crash"] >= 1 and not counts.get("fault"), counts
    assert [each.status for each in context.after] == [200] * 3, context.after
