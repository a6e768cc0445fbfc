"""Steps about lost upstreams of which processes tell each other."""

import errno

import trio
from behave import given, then, when
from loss_world import LossWorld, NoticeWorld

from deckcourse.decisions.loss_reports import Evidence
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.loss_notices import evidence_of
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.peers.followers import followers
from deckcourse.peers.loss_notice import LOSS_PREFIX
from deckcourse.rendezvous import ranked
from deckcourse.settings import LoadSettings

RESULTS = {"dead": ProbeResult.DEAD, "silent": ProbeResult.SILENT, "alive": ProbeResult.ALIVE}
CAUSES = {
    "a refused connection": ConnectionRefusedError(),
    "a timeout": trio.TooSlowError(),
    "a lack of descriptors": OSError(errno.EMFILE, ""),
}
MALFORMED = "malformed.loss-notice"


@given("{count:d} complete processes with {settings}")
def complete_processes(context, count, settings):
    context.site = LossWorld(count, **dict.fromkeys(settings.split(", "), True))


@given("{count:d} processes that share notices")
def sharing_processes(context, count):
    context.site = NoticeWorld(count)


@when("four hosts of a failure domain end, under {rate:d} requests a second")
def hosts_end(context, rate):
    async def story(site):
        await trio.sleep(12.0)  # Until the processes know each other.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.keep_asking, "stream", rate, 3.0)
            await trio.sleep(1.0)
            site.end_a_copy()
            await trio.sleep(0.1)
            context.avoiding = [site.avoiding("x1")]
        context.pauses = sorted(each.max_pause for _, each in site.got)

    context.site.play(story)


@when("an upstream closes its idle connections, {then} and no caller asks")
def closes_idle(context, then):
    async def story(site):
        await trio.sleep(12.0)
        first = followers(site.processes[0].node.peers.roster.live(), "x")[0].name
        if "killed" in then:
            killed = next(each for each in site.processes if each.name == first)
            killed.kill()
            site.processes.remove(killed)
            await trio.sleep(6.0)  # Less than until the others count it as dead.
        context.watching = site.watching()
        (site.network.kill if "refuses" in then else site.network.reset)("x1:1")
        await trio.sleep(0.05)
        context.avoiding = [site.avoiding("x1")]

    context.site.play(story)


@when("the settings are switched off and on again around the end of an upstream")
def switched(context):
    async def story(site):
        on = site.load
        await trio.sleep(12.0)
        context.seen = []
        for settings in (LoadSettings(), on):
            site.load = settings
            await trio.sleep(1.0)
            context.seen.append(site.watching())
        site.network.kill("x1:1")
        await trio.sleep(0.05)
        context.seen.append(site.avoiding("x1"))
        site.load = LoadSettings()
        context.seen.append(site.avoiding("x1"))

    context.site.play(story)


@when("{who} of them report {count:d} {result} upstreams within {ms:d} ms")
def all_report(context, who, count, result, ms):
    evidence = Evidence.SILENT if result == "silent" else Evidence.REFUSED
    lost = [f"{'abc'[number // 4]}{number % 4}" for number in range(count)]

    async def report(process, name):
        await trio.sleep(context.site.random.uniform(0.0, ms / 1000))
        process.losses.report(name, evidence)

    async def story(site):
        site.answers = dict.fromkeys(lost, RESULTS[result])
        for each in site.processes if who == "all" else site.processes[:1]:
            for name in lost:
                site.nursery.start_soon(report, each, name)
        await trio.sleep(0.25 + ms / 1000)
        context.probes = dict(site.probes)
        context.avoiding = [site.avoiding(each) for each in lost]
        await trio.sleep(3.0)

    context.site.play(story)


async def start_fault(site, what):
    """Begin what a scenario names."""
    process = site.processes[0]
    state = next((each for each in ("dead", "silent") if f"{each} upstream" in what), "alive")
    site.answers["a0"] = RESULTS[state]
    evidence = Evidence.SILENT if what.endswith("is silent") else Evidence.REFUSED
    site.lost = 1 / 3 if "third" in what else 0.0
    if "killed" in what:
        names = [each.name for each in followers(process.roster.live(), "a")]
        verifier = ranked("a0", dict.fromkeys(names, 1.0))[0]
        killed = next(each for each in site.processes if each.name == verifier)
        process = next(each for each in site.processes if each.name not in names)
        killed.kill()
        site.processes.remove(killed)
    if "malformed" in what:
        for data in (b"", b"\xff", b"\x95\xa1l", b"\x94\xa1l\xa1x\xa1y\x91\x92\xa2a0\x63"):
            await process.gossip.broadcast(LOSS_PREFIX + data)
    elif "cut-off" in what:
        # Its own check would hold the reports back.
        process.losses._is_believed = lambda *_: True
        for each in site.upstreams:
            process.losses.report(each.instance, evidence)
        site.processes.remove(process)
    else:
        process.losses.report("a0", evidence)


@when("it happens that {what}")
def something_happens(context, what):
    async def story(site):
        await start_fault(site, what)
        context.shares = []
        for seconds in (0.008, 0.092, 0.4):
            await trio.sleep(seconds)
            context.shares.append(max(site.avoiding(each.instance) for each in site.upstreams))
        tables = [each.upstreams for each in site.processes]
        context.hosts = [host for each in tables for host in each.layer_hosts("llm")]

    context.site.play(story)


@then("it is avoided by {first} processes after 8 ms, {second} after 100 and {third} after 500")
def avoided_at(context, **shares):
    every = len(context.site.processes)
    least = {"no": 0, "some": 1, "most": every // 2, "all": every}
    for share, count in zip(shares.values(), context.shares, strict=True):
        assert least[share] <= count <= (0 if share == "no" else every), context.shares


@then("{share} processes avoid what was lost")
def share_avoids(context, share):
    every = len(context.site.processes)
    least = {"no": 0, "some": 1, "all": every}[share]
    most = 0 if share == "no" else every
    assert all(least <= each <= most for each in context.avoiding), context.avoiding


@then("it was avoided only while they were on")
def only_while_on(context):
    assert context.seen == [0, 3, 9, 0], context.seen


@then("after a loss at most {most:d} {what}")
def bounded(context, most, what):
    site = context.site
    measured = {
        "attempts are refused for it": lambda: site.refusals,
        "ms pass between two events": lambda: context.pauses[-1] * 1000,
        "bytes are sent by a process in a second": lambda: site.most_bytes_in_a_second(),
        "probes reach an upstream meanwhile": lambda: max(context.probes.values()),
    }[what]()
    assert measured <= most, measured


@then("connections are watched: {watched}")
def are_watched(context, watched):
    assert (context.watching > 0) == (watched == "yes"), context.watching


@then("it counts as held and usable everywhere, and {count:d} malformed datagrams are counted")
def still_held(context, count):
    assert all(each.serving and each.usable for each in context.hosts)
    counted = {each.counters.counts.get(MALFORMED, 0) for each in context.site.processes[1:]}
    assert counted == {count}, counted


@then("a failure to connect is evidence of {evidence} if its cause is {cause}")
def evidence_of_failure(context, evidence, cause):
    failure = ConnectionLostError(FailureKind.UNSENT, "")
    failure.__cause__ = CAUSES[cause]
    found = evidence_of(failure)
    assert (found.label if found else "nothing") == evidence, found
