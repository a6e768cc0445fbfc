"""Steps for the table of the soak's kinds of trouble, on sites without processes."""

import subprocess
import sys
import tempfile
from itertools import combinations
from pathlib import Path
from random import Random

import trio
from behave import then, when
from dry_site import DrySite, play_dry

from soak.__main__ import make_parser, read_options
from soak.callers import Callers
from soak.draws import ATTEMPTS, ENTRY_COUNTS, draw_options
from soak.events import EVENTS_PER_STREAM
from soak.excuses import excuses_beside
from soak.kinds import KINDS, Play, find_conflict, needs_of
from soak.profiles import PROFILES
from soak.seed_judges import find_violations
from soak.seed_play import Options, make_site

ROOT = Path(__file__).resolve().parent.parent.parent
SEED = 1


def distinct_kinds():
    """Return one name for each way to make trouble, and the most eventful of the usual faults."""
    names = {kind.make: name for name, kind in KINDS.items()}
    return sorted({*names.values(), "runner", "entry", "series", "aimed"})


async def play_pair(names, seconds):
    """Play kinds, and return what is wrong with the processes at the end."""
    options = Options(seconds, names)
    with tempfile.TemporaryDirectory() as folder:
        site = make_site(Path(folder), options, DrySite)
        callers = Callers([], Random(SEED), keys=["key-0", "key-1"])
        async with trio.open_nursery() as nursery:
            site.configure(
                keys=tuple(callers.keys), second_share=0.0 if site.has_second_service else None
            )
            await site.start(nursery)
            callers.entries = [each.caller_proxy.address for each in site.entries]
            callers.ready_entries |= set(callers.entries)
            play = Play(site, callers, SEED, names, lambda text: None)
            troubles = play.make_troubles()
            until = trio.current_time() + seconds
            async with trio.open_nursery() as trouble_nursery:
                for _, each in troubles:
                    trouble_nursery.start_soon(each.run, until)
            nursery.cancel_scope.cancel()
        find_violations(play, troubles, until)
        return site.find_misplaced()


@when("each pair of kinds is played for {seconds:d} seconds on a site without processes")
def play_pairs(context, seconds):
    context.not_played, context.misplaced = [], []
    for names in combinations(distinct_kinds(), 2):
        try:
            found = play_dry(play_pair, names, float(seconds))
        except Exception as error:
            context.not_played.append((names, repr(error)))
        else:
            context.misplaced += [(names, each) for each in found]


@then("every pair was played to its end and judged")
def check_played(context):
    assert not context.not_played, context.not_played


@then("no process was started while it ran, and none was left ended or paused")
def check_processes(context):
    assert not context.misplaced, context.misplaced


@then("the site of each pair of kinds has what both of them need")
def check_needs(context):
    for names in combinations(KINDS, 2):
        with tempfile.TemporaryDirectory() as folder:
            site = make_site(Path(folder), Options(1.0, names), DrySite)
        for each in (KINDS[name].needs for name in names):
            assert site.plain_slots >= each.plain_slots, names
            assert site.revocation_seconds >= each.revocation_seconds, names
            assert site.has_second_service >= each.has_second_service, names
        assert needs_of(names) == needs_of(names[::-1]), names


@then("in each profile a caller of waves waits {seconds:g} s longer than a stream takes")
def check_attempts(context, seconds):
    for name, profile in PROFILES.items():
        with tempfile.TemporaryDirectory() as folder:
            site = make_site(Path(folder), Options(1.0, ("wave",), profile=name), DrySite)
        play = Play(site, Callers([], Random(SEED)), SEED, ("wave",), print)
        ((_, waves),) = play.make_troubles()
        stream_seconds = EVENTS_PER_STREAM * profile.event_interval_seconds
        assert abs(waves.attempt_seconds - stream_seconds - seconds) < 1e-6, name


@when("the command line of the soak is")
def run_command_lines(context):
    context.rejected = []
    for row in context.table:
        command = [sys.executable, "-m", "soak", *row["arguments"].split()]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        context.rejected.append((row["arguments"], row["error"], done))


@then("each is rejected with its error")
def check_rejected(context):
    for arguments, error, done in context.rejected:
        assert done.returncode == 2 and error in done.stderr, (arguments, done.stderr)


@then("beside these kinds a judge plays and excuses")
def check_excuses(context):
    for row in context.table:
        found = excuses_beside(row["judge"], row["kinds"].split(", "))
        names = sorted(each.name.lower() for each in found or ())
        text = "not played" if found is None else ", ".join(names) or "nothing"
        assert text == row["excuses"], (row["kinds"], text)


@when("each of {count:d} seeds draws 2 and 3 kinds")
def draw_plays(context, count):
    given = Options(8.0)
    context.plays = [
        (number, draw_options(seed, number, given)) for seed in range(count) for number in (2, 3)
    ]


@then("each play has so many kinds of different classes, and no conflict")
def check_drawn(context):
    for number, options in context.plays:
        assert len({KINDS[each].make for each in options.only}) == number, options
        assert not find_conflict(options.only, options.entry_count), options


@then("the arguments of each play are read as the same play")
def check_arguments(context):
    for _, options in context.plays:
        assert read_options(make_parser().parse_args([*options.arguments, "1"])) == options, options


@then("all kinds, profiles and numbers of attempts and entries were drawn")
def check_all_drawn(context):
    plays = [options for _, options in context.plays]
    assert {name for each in plays for name in each.only} == set(KINDS)
    assert {each.profile for each in plays} == set(PROFILES)
    assert {each.attempts for each in plays} == set(ATTEMPTS)
    assert {each.entry_count for each in plays} == set(ENTRY_COUNTS)
