"""Steps about lost upstreams of which processes tell each other."""

import errno
import socket
from collections import Counter

import trio
from behave import given, then, when
from loss_world import LossWorld, NoticeWorld

from deckcourse.decisions.loss_reports import Evidence
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.loss_notices import evidence_of
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.http1.transport import dial_tcp
from deckcourse.peers.followers import followers
from deckcourse.peers.loss_notice import LOSS_PREFIX
from deckcourse.rendezvous import ranked
from deckcourse.settings import LoadSettings

RESULTS = {"dead": ProbeResult.DEAD, "silent": ProbeResult.SILENT, "alive": ProbeResult.ALIVE}
LOST = ("a0", "a1", "a2", "a3")


@given("{count:d} complete processes with {settings}")
def complete_processes(context, count, settings):
    context.site = LossWorld(count, **dict.fromkeys(settings.split(", "), True))


@when("four hosts of a failure domain end, under {rate:d} requests a second")
def hosts_end(context, rate):
    async def story(site):
        await trio.sleep(12.0)  # Until the processes know each other.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.keep_asking, "stream", rate, 3.0)
            await trio.sleep(1.0)
            site.end_a_copy()
            await trio.sleep(0.1)
            context.avoiding = len(site.avoiding("x1"))
        context.pauses = sorted(each.max_pause for _, each in site.got)

    context.site.play(story)


@then("at most {most:d} attempts are refused for it")
def few_refused(context, most):
    assert context.site.refusals <= most, context.site.refusals


@then("no stream pauses for more than {most:d} ms")
def short_pauses(context, most):
    assert context.pauses[-1] * 1000 <= most, context.pauses[-9:]


@then("every process avoids a lost host after 0.1 seconds")
def all_avoid(context):
    assert context.avoiding == len(context.site.processes), context.avoiding


@when("an upstream closes its idle connections, {then} and no caller asks")
def closes_idle(context, then):
    async def story(site):
        await trio.sleep(12.0)
        members = site.processes[0].node.peers.roster.live()
        first = next(
            each for each in site.processes if each.name == followers(members, "x")[0].name
        )
        if "killed" in then:
            first.kill()
            site.processes.remove(first)
            await trio.sleep(6.0)  # Less than until the others count it as dead.
        context.watched = site.connects["x1:1"]
        if "refuses" in then:
            site.network.kill("x1:1")
        else:
            site.network.reset("x1:1")
        await trio.sleep(0.05)
        context.avoiding = len(site.avoiding("x1"))
        context.watched = site.counted("connection-watch.opened")

    context.site.play(story)


@then("{share} processes avoid it 0.05 seconds later")
def share_avoids(context, share):
    expected = 0 if share == "no" else len(context.site.processes)
    assert context.avoiding == expected, context.avoiding


@then("connections are watched: {watched}")
def are_watched(context, watched):
    assert (context.watched > 0) == (watched == "yes"), context.watched
    assert watched == "yes" or not context.site.counted("loss-notice.sent")


@when("the settings are switched off and on again around the end of an upstream")
def switched(context):
    async def story(site):
        on, off = site.load, LoadSettings()
        await trio.sleep(12.0)
        context.seen = []
        for settings in (off, on):
            site.load = settings
            await trio.sleep(1.0)
            context.seen.append(
                sum(each.node._connection_watch.connection_count > 0 for each in site.processes)
            )
            if settings is off:
                continue
            site.network.kill("x1:1")
            await trio.sleep(0.05)
            context.seen.append(len(site.avoiding("x1")))
            site.load = off
            context.seen.append(len(site.avoiding("x1")))

    context.site.play(story)


@then("it was avoided only while they were on")
def only_while_on(context):
    assert context.seen == [0, 3, 9, 0], context.seen


@given("{count:d} processes that share notices")
def sharing_processes(context, count):
    context.site = NoticeWorld(count)


@when("all of them report 4 upstreams within 50 ms that are {result}")
def all_report(context, result):
    async def report(process, evidence):
        await trio.sleep(context.site.random.uniform(0.0, 0.05))
        for each in LOST:
            process.losses.report(each, evidence)

    async def story(site):
        site.answers = dict.fromkeys(LOST, RESULTS[result])
        evidence = Evidence.SILENT if result == "silent" else Evidence.REFUSED
        begun = trio.current_time()
        for each in site.processes:
            site.nursery.start_soon(report, each, evidence)
        await trio.sleep(0.3)
        context.probes = Counter(name for at, _, name in site.probes)
        context.avoiding = [len(site.avoiding(each)) for each in LOST]
        await trio.sleep(3.0)
        context.begun = begun

    context.site.play(story)


@when("one of them reports 12 dead upstreams within 0.6 seconds")
def one_reports_many(context):
    async def story(site):
        for each in (f"{domain}{number}" for number in range(4) for domain in "abc"):
            site.answers[each] = ProbeResult.DEAD
            site.processes[0].losses.report(each, Evidence.REFUSED)
            await trio.sleep(0.05)
        await trio.sleep(1.0)

    context.site.play(story)


@then("no process sends more than {most:d} bytes in a second")
def bounded_bytes(context, most):
    assert 0 < context.site.most_bytes_in_a_second() <= most


@then("each upstream was probed at most {most:d} times in the first 0.3 seconds")
def few_probes(context, most):
    assert 0 < max(context.probes.values(), default=0) <= most, context.probes


@then("the upstreams are avoided by {share} processes after 0.3 seconds")
def avoided_by(context, share):
    expected = 0 if share == "no" else len(context.site.processes)
    assert context.avoiding == [expected] * len(LOST), context.avoiding


async def start_fault(site, what):
    """Begin what a scenario names; return the upstream that is reported."""
    process, target = site.processes[0], "a0"
    site.answers[target] = next(
        (RESULTS[each] for each in ("dead", "silent") if f"{each} upstream" in what),
        ProbeResult.ALIVE,
    )
    evidence = Evidence.SILENT if what.endswith("is silent") else Evidence.REFUSED
    if "killed" in what:
        names = [each.name for each in followers(process.losses._roster.live(), "a")]
        ranks = ranked(target, dict.fromkeys(names, 1.0))
        first = next(each for each in site.processes if each.name == ranks[0])
        process = next(each for each in site.processes if each.name not in names)
        first.kill()
        site.processes.remove(first)
    if "third" in what:
        site.lost = 1 / 3
    if "malformed" in what:
        for data in (b"", b"\xff", b"\x95\xa1l", b"\x94\xa1l\xa1x\xa1y\x91\x92\xa2a0\x63"):
            for each in site.processes:
                await process.gossip.send(each.address, LOSS_PREFIX + data)
    elif "cut-off" in what:
        # Its own check holds the reports back, so another process's is replaced here.
        process.losses._is_believed = lambda *_: True
        for each in site.upstreams:
            process.losses.report(each.instance, evidence)
        site.processes.remove(process)
    else:
        process.losses.report(target, evidence)


@when("it happens that {what}")
def something(context, what):
    async def story(site):
        await start_fault(site, what)
        context.shares = []
        for seconds in (0.008, 0.092, 0.4):
            await trio.sleep(seconds)
            context.shares.append(max(len(site.avoiding(each.instance)) for each in site.upstreams))
        context.hosts = [
            host for each in site.processes for host in each.upstreams.layer_hosts("llm")
        ]
        context.malformed = sum(
            each.counters.counts.get("malformed.loss-notice", 0) for each in site.processes
        )

    context.site.play(story)


@then("it is avoided by {first} processes after 8 ms, {second} after 100 and {third} after 500")
def avoided_at(context, **named):
    every = len(context.site.processes)
    bounds = {"no": (0, 0), "some": (1, every), "most": (every // 2, every), "all": (every, every)}
    for share, count in zip(named.values(), context.shares, strict=True):
        least, most = bounds[share]
        assert least <= count <= most, context.shares


@then("it still counts as held, and as usable, everywhere")
def still_held(context):
    assert all(each.serving and each.usable for each in context.hosts)


@then("malformed datagrams are counted: {counted}")
def malformed_counted(context, counted):
    assert (context.malformed > 0) == (counted == "yes"), context.malformed


@then("a failure to connect is evidence of {evidence} if {what}")
def evidence_of_failure(context, evidence, what):
    async def connect():
        if what == "the machine refuses":
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                await dial_tcp(f"127.0.0.1:{closed.getsockname()[1]}")
        error = trio.TooSlowError() if "time" in what else OSError(errno.EMFILE, "descriptors")
        raise ConnectionLostError(FailureKind.UNSENT, what) from error

    try:
        trio.run(connect)
    except ConnectionLostError as failure:
        found = evidence_of(failure)
    assert (found.label if found else "nothing") == evidence, found
