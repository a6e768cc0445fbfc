"""What must hold at the end of every scenario, judged from the stand-ins' own records."""

from collections import Counter

from world import DEPTH, ONCE_SERVICE, World

from deckcourse.outcomes import Answered, NotRun

FORCE_SECONDS = 5.0


def whole_answers(world: World) -> list[str]:
    """Every answered caller got the whole answer, and nobody ever got a wrong token."""
    wrong = []
    for asked in world.asked.values():
        for number, (one, received) in enumerate(zip(asked.tries, asked.received, strict=False)):
            expected = asked.expected
            if tuple(received) != expected[: len(received)]:
                wrong.append(f"{asked.name} try {number}: wrong tokens after {len(received)}")
            if isinstance(one.outcome, Answered) and len(received) != len(expected):
                wrong.append(f"{asked.name}: answered with {len(received)} of {len(expected)}")
    return wrong


def layers_once(world: World) -> list[str]:
    """No engine ran a position twice, and every layer of an answered position ran."""
    wrong = []
    runs = [run for engine in world.site.every_engine for run in engine.runs]
    incarnations = {id(engine): engine for engine in world.site.every_engine}
    for engine in incarnations.values():
        keys = Counter((run.request, run.position) for run in engine.runs)
        wrong += [f"{engine.spec.name} ran {key} twice" for key, count in keys.items() if count > 1]
    wrong += _doubled_without_fault(world, runs)
    for asked in world.asked.values():
        if asked.tries and isinstance(asked.outcome, Answered):
            wrong += _uncovered(asked, runs)
    return wrong


def _doubled_without_fault(world: World, runs) -> list[str]:
    """A layer ran for a position on two engines only where the first was lost to a fault."""
    by_layer: dict[tuple[str, int, int], list[str]] = {}
    for run in runs:
        by_layer.setdefault((run.request, run.position, run.first), []).append(run.engine)
    return [
        f"{key} ran on {engines}, none of them at fault"
        for key, engines in by_layer.items()
        if len(engines) > 1
        and len([name for name in engines if name not in world.faulted | world.suspects]) > 1
    ]


def _uncovered(asked, runs) -> list[str]:
    request = asked.requests[-1]
    positions = len(asked.prompt.split()) + asked.tokens - 1
    seen: dict[int, set[int]] = {}
    for run in runs:
        if run.request == request:
            seen.setdefault(run.position, set()).update(range(run.first, run.end))
    every = set(range(DEPTH))
    return [
        f"{request} position {position}: {every - seen.get(position, set())} did not run"
        for position in range(positions)
        if seen.get(position, set()) != every
    ]


def not_run(world: World) -> list[str]:
    """What a caller was told was not run, was not run, then or later."""
    wrong = []
    for asked in world.asked.values():
        for request, one in zip(asked.requests, asked.tries, strict=False):
            if isinstance(one.outcome, NotRun) and world.layer_runs(request):
                wrong.append(f"{request} was told {one.outcome.reason}, and it ran")
    for called in world.called.values():
        told = [isinstance(one.outcome, NotRun) for one in called.tries]
        if told and all(told) and world.service_runs(called.name):
            wrong.append(f"{called.name} was told not run, and it ran")
    return wrong


def at_most_once(world: World) -> list[str]:
    """A call that may not be repeated ran at most once; an answered one ran once."""
    wrong = []
    for called in world.called.values():
        if called.service != ONCE_SERVICE:
            continue
        runs = len(world.service_runs(called.name))
        if runs > 1:
            wrong.append(f"{called.name} ran {runs} times")
        if called.tries and isinstance(called.outcome, Answered) and runs != 1:
            wrong.append(f"{called.name} was answered and ran {runs} times")
    return wrong


def versions_rise(world: World) -> list[str]:
    """No process ever goes back to an older configuration."""
    wrong = []
    for incarnation, seen in world.versions.items():
        versions = [version for _, version in seen]
        if versions != sorted(versions):
            wrong.append(f"{incarnation} went back: {versions}")
    return wrong


def accepted_in_force(world: World) -> list[str]:
    """What was accepted is in force in every process that could hear of it, within seconds."""
    wrong = []
    for version, at in world.accepted:
        for incarnation, every in world.versions.items():
            name = incarnation.partition("/")[0]
            if name in world.faulted:
                continue
            # An entry that isn't ready serves nobody.
            seen = world.ready.get(incarnation, []) if name.startswith("entry") else every
            later = [each for when, each in seen if when > at + FORCE_SECONDS]
            if later and min(later) < version:
                wrong.append(f"{incarnation} was still below version {version}")
    return wrong


def orders_fenced(world: World) -> list[str]:
    """No upstream carried out an order after one with a newer fence."""
    wrong = []
    for engine in world.site.every_engine:
        fences = [order.fence for order in engine.orders]
        if engine.spec.checks_fence and fences != sorted(fences):
            wrong.append(f"{engine.spec.name} took orders out of sequence: {fences}")
    return wrong


def orders_by_epoch(world: World) -> list[str]:
    """Even where an upstream checks no fence, no older epoch's order follows a newer one's."""
    wrong = []
    for engine in world.site.every_engine:
        epochs = [order.fence.epoch for order in engine.orders]
        if epochs != sorted(epochs):
            wrong.append(f"{engine.spec.name} took orders of epochs {epochs}")
    return wrong


def one_holder(world: World) -> list[str]:
    """No two controllers hold the lease, with time for an order, at the same moment."""
    return [f"at {at} {names} held the lease" for at, names in world.two_holders]


ALL = (
    one_holder,
    whole_answers,
    layers_once,
    not_run,
    at_most_once,
    versions_rise,
    accepted_in_force,
    orders_fenced,
    orders_by_epoch,
)


def broken(world: World) -> list[str]:
    """Return everything that does not hold."""
    return [wrong for check in ALL for wrong in check(world)]
