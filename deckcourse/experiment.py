"""Generated load on a virtual site, its results and an upper bound to compare them with."""

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
    "RequestResult",
    "fleet_specs",
    "generate_arrivals",
    "run_load",
    "run_virtual",
    "serve_model",
    "worth_bound",
]

MODEL = "m"
DEPTH = 16
RUNNER_LAYERS = 4
UNLIMITED_TOKENS_PER_SECOND = 1e9
STARTUP_WAIT_SECONDS = 4.0
LAYER_LOAD_WAIT_SECONDS = 10.0
BATCH_SIZE = 4
DOMAINS = ("hall-a", "hall-b", "hall-c")
# Speeds of six kinds of simulated accelerators, in layers times tokens per second.
ACCELERATOR_RATES = (120.0, 180.0, 240.0, 360.0, 480.0, 720.0)


@dataclass(frozen=True)
class ClientAccount:
    """A client account of an experiment, its share of the demand and the worth of its requests."""

    name: str
    share: float
    worth: float


@dataclass(frozen=True)
class Arrival:
    """One generated request; `offset_seconds` is its arrival time after the start of the load."""

    offset_seconds: float
    account: ClientAccount
    max_tokens: int
    timeout_seconds: float


@dataclass(frozen=True)
class RequestResult:
    """The result of one request; durations are measured from its arrival."""

    arrival: Arrival
    outcome: Outcome | Broken
    duration_seconds: float
    first_token_seconds: float | None
    max_gap_seconds: float

    @property
    def in_time(self) -> bool:
        """Whether the complete answer arrived within the request's timeout."""
        return (
            isinstance(self.outcome, Answered)
            and self.duration_seconds <= self.arrival.timeout_seconds
        )

    @property
    def refused(self) -> bool:
        """Whether the request was refused without being executed."""
        return isinstance(self.outcome, NotRun)


@dataclass(frozen=True)
class Experiment:
    """A virtual site, its client accounts and the requests sent to it."""

    plan: VirtualPlan
    accounts: tuple[ClientAccount, ...]
    arrivals: tuple[Arrival, ...]


def fleet_specs(runners: int, seed: int) -> tuple[EngineSpec, ...]:
    """Return runners of randomly drawn accelerator kinds, spread over three failure domains."""
    random = Random(seed)
    return tuple(
        EngineSpec(
            f"runner-{number:02}",
            "",
            DOMAINS[number % len(DOMAINS)],
            layer_rate=random.choice(ACCELERATOR_RATES),
            layer_room=RUNNER_LAYERS,
            slots=1000,
            batch=BATCH_SIZE,
        )
        for number in range(runners)
    )


def generate_arrivals(
    accounts: Sequence[ClientAccount],
    tokens_per_second: float,
    seconds: float,
    mean_tokens: int,
    timeout_seconds: float,
    seed: int,
) -> tuple[Arrival, ...]:
    """Return Poisson arrivals whose total demand averages `tokens_per_second`."""
    random = Random(seed)
    shares = [account.share for account in accounts]
    rate = tokens_per_second / mean_tokens
    generated: list[Arrival] = []
    offset_seconds = random.expovariate(rate)
    while offset_seconds < seconds:
        account = random.choices(accounts, shares)[0]
        max_tokens = random.randint(mean_tokens // 2, mean_tokens + mean_tokens // 2)
        generated.append(Arrival(offset_seconds, account, max_tokens, timeout_seconds))
        offset_seconds += random.expovariate(rate)
    return tuple(generated)


def worth_bound(load: Sequence[Arrival], flow: float, seconds: float) -> float:
    """Return an upper bound for the total worth of the requests that the hardware can answer.

    It is the fractional knapsack bound: requests with the highest worth per token are served first,
    by a flow that runs for the duration of the load plus the longest request timeout.
    """
    remaining_tokens = flow * (seconds + max(arrival.timeout_seconds for arrival in load))
    worth = 0.0
    for arrival in sorted(load, key=lambda each: -each.account.worth / each.max_tokens):
        served_tokens = min(remaining_tokens, arrival.max_tokens)
        worth += arrival.account.worth * served_tokens / arrival.max_tokens
        remaining_tokens -= served_tokens
    return worth


def run_virtual(main, *args):
    """Run an async function on a virtual clock that skips idle time."""
    return trio.run(main, *args, clock=MockClock(autojump_threshold=0))


async def serve_model(site: VirtualSite, accounts: Sequence[ClientAccount], limit: float) -> float:
    """Create the accounts, place the model on all runners and return its flow."""
    await trio.sleep(STARTUP_WAIT_SECONDS)
    for account in accounts:
        key_hash = sha256(account.name.encode()).hexdigest()
        message = {"kind": "account", "account": account.name, "key_hash": key_hash}
        await site.intend(message | {"tokens_per_second": limit, "worth": account.worth})
    await site.intend({"kind": "serve", "model": MODEL, "depth": DEPTH, "capacity": 1e6})
    await trio.sleep(LAYER_LOAD_WAIT_SECONDS)
    controller = next(iter(site.controllers)).controller
    return controller.capacity(MODEL)


async def run_load(experiment: Experiment) -> tuple[float, list[RequestResult]]:
    """Run an experiment.

    Returns:
      The model's flow in tokens per second and the result of each request.
    """
    site = VirtualSite(experiment.plan)
    results: list[RequestResult] = []
    async with trio.open_nursery() as site_nursery:
        await site_nursery.start(site.run)
        flow = await serve_model(site, experiment.accounts, UNLIMITED_TOKENS_PER_SECOND)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number, arrival in enumerate(experiment.arrivals):
                await trio.sleep_until(started_at + arrival.offset_seconds)
                entry = f"entry-{number % experiment.plan.entries + 1}"
                nursery.start_soon(_send_request, site, entry, f"r{number}", arrival, results)
        site_nursery.cancel_scope.cancel()
    return flow, results


async def _send_request(
    site: VirtualSite, entry: str, name: str, arrival: Arrival, results: list[RequestResult]
) -> None:
    started_at = trio.current_time()
    token_times: list[float] = []

    async def sink(tokens) -> None:
        token_times.extend([trio.current_time()] * len(tokens))

    completion = Completion(
        name,
        arrival.account.name,
        MODEL,
        "p",
        arrival.max_tokens,
        started_at + arrival.timeout_seconds,
    )
    outcome = await site.complete(entry, completion, sink)
    ended_at = trio.current_time()
    gaps = [later - earlier for earlier, later in zip(token_times, token_times[1:], strict=False)]
    first_token_seconds = token_times[0] - started_at if token_times else None
    results.append(
        RequestResult(
            arrival, outcome, ended_at - started_at, first_token_seconds, max(gaps, default=0.0)
        )
    )
