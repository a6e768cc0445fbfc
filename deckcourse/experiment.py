"""Load on a virtual site: arrivals, what came of them, and the bound that they are held against."""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import sha256
from random import Random

import trio
from trio.testing import MockClock

from deckcourse.outcomes import Answered, NotRun, Outcome
from deckcourse.pipeline import Completion
from deckcourse.standin_stage import EngineSpec
from deckcourse.virtual_site import Broken, VirtualPlan, VirtualSite

__all__ = [
    "Arrival",
    "ClientAccount",
    "Experiment",
    "Served",
    "arrivals",
    "fleet_specs",
    "run_load",
    "run_virtual",
    "serve_model",
    "worth_bound",
]

MODEL = "m"
DEPTH = 16
ROOM = 4
UNLIMITED = 1e9
START_SECONDS = 4.0
LOAD_SECONDS = 10.0
BATCH = 4
DOMAINS = ("hall-a", "hall-b", "hall-c")
# Six kinds of accelerators, in layers times tokens a second of the stand-ins.
KIND_RATES = (120.0, 180.0, 240.0, 360.0, 480.0, 720.0)


@dataclass(frozen=True)
class ClientAccount:
    """A client account of an experiment: its part of the demand, and its worth."""

    name: str
    part: float
    worth: float


@dataclass(frozen=True)
class Arrival:
    """One request: when it comes (seconds from the start of the load), whose, how long."""

    at: float
    account: ClientAccount
    tokens: int
    patience: float


@dataclass(frozen=True)
class Served:
    """What came of one arrival; `seconds` from its arrival to its end."""

    arrival: Arrival
    outcome: Outcome | Broken
    seconds: float
    first_token: float | None
    longest_gap: float

    @property
    def in_time(self) -> bool:
        """Whether the whole answer came before the caller's patience ended."""
        return isinstance(self.outcome, Answered) and self.seconds <= self.arrival.patience

    @property
    def refused(self) -> bool:
        """Whether the caller was told that it was not run."""
        return isinstance(self.outcome, NotRun)


@dataclass(frozen=True)
class Experiment:
    """A load on a site."""

    plan: VirtualPlan
    accounts: tuple[ClientAccount, ...]
    arrivals: tuple[Arrival, ...]


def fleet_specs(runners: int, seed: int) -> tuple[EngineSpec, ...]:
    """Return runners of all six kinds over three failure domains."""
    random = Random(seed)
    return tuple(
        EngineSpec(
            f"runner-{number:02}",
            "",
            DOMAINS[number % len(DOMAINS)],
            layer_rate=random.choice(KIND_RATES),
            layer_room=ROOM,
            slots=1000,
            batch=BATCH,
        )
        for number in range(runners)
    )


def arrivals(
    accounts: Sequence[ClientAccount],
    tokens_per_second: float,
    seconds: float,
    tokens: int,
    patience: float,
    seed: int,
) -> tuple[Arrival, ...]:
    """Return Poisson arrivals that ask for so many tokens a second together."""
    random = Random(seed)
    parts = [account.part for account in accounts]
    rate = tokens_per_second / tokens
    found: list[Arrival] = []
    at = random.expovariate(rate)
    while at < seconds:
        account = random.choices(accounts, parts)[0]
        length = random.randint(tokens // 2, tokens + tokens // 2)
        found.append(Arrival(at, account, length, patience))
        at += random.expovariate(rate)
    return tuple(found)


def worth_bound(load: Sequence[Arrival], flow: float, seconds: float) -> float:
    """Return the most worth that the hardware could have answered.

    The flow serves the requests of the most worth for each token first, in fractions; it has the
    load's time and the patience after it.
    """
    left = flow * (seconds + max(each.patience for each in load))
    worth = 0.0
    for each in sorted(load, key=lambda one: -one.account.worth / one.tokens):
        served = min(left, each.tokens)
        worth += each.account.worth * served / each.tokens
        left -= served
    return worth


def run_virtual(main, *args):
    """Run an asynchronous function on a virtual clock."""
    return trio.run(main, *args, clock=MockClock(autojump_threshold=0))


async def serve_model(site: VirtualSite, accounts: Sequence[ClientAccount], limit: float) -> float:
    """Let the accounts in and place the model on all runners; return the flow."""
    await trio.sleep(START_SECONDS)
    for account in accounts:
        key_hash = sha256(account.name.encode()).hexdigest()
        message = {"kind": "account", "account": account.name, "key_hash": key_hash}
        await site.intend(message | {"tokens_per_second": limit, "worth": account.worth})
    await site.intend({"kind": "serve", "model": MODEL, "depth": DEPTH, "capacity": 1e6})
    await trio.sleep(LOAD_SECONDS)
    controller = next(iter(site.controllers)).controller
    return controller.capacity(MODEL)


async def run_load(experiment: Experiment) -> tuple[float, list[Served]]:
    """Run an experiment.

    Returns:
      The flow bound in tokens a second, and what came of each arrival.
    """
    site = VirtualSite(experiment.plan)
    served: list[Served] = []
    async with trio.open_nursery() as outer:
        await outer.start(site.run)
        flow = await serve_model(site, experiment.accounts, UNLIMITED)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number, arrival in enumerate(experiment.arrivals):
                await trio.sleep_until(began + arrival.at)
                entry = f"entry-{number % experiment.plan.entries + 1}"
                nursery.start_soon(_serve, site, entry, f"r{number}", arrival, served)
        outer.cancel_scope.cancel()
    return flow, served


async def _serve(
    site: VirtualSite, entry: str, name: str, arrival: Arrival, served: list[Served]
) -> None:
    began = trio.current_time()
    times: list[float] = []

    async def sink(tokens) -> None:
        times.extend([trio.current_time()] * len(tokens))

    completion = Completion(
        name, arrival.account.name, MODEL, "p", arrival.tokens, began + arrival.patience
    )
    outcome = await site.complete(entry, completion, sink)
    ended = trio.current_time()
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    first = times[0] - began if times else None
    served.append(Served(arrival, outcome, ended - began, first, max(gaps, default=0.0)))
