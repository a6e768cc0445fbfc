"""Changes of the configuration while a request waits at a certain place, on a virtual clock."""

from contextlib import contextmanager
from unittest.mock import patch

import trio
from bound_world import BoundPartitionWorld
from gateway_world import LAYERS, GatewayWorld, default_config

from deckcourse.gateway.crash_watch import CrashWatch, _Trial
from deckcourse.gateway.desired import CallerBounds
from deckcourse.gateway.rate_gate import RateGate
from deckcourse.gateway.retry_allowance import RetryAllowance
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.settings import LoadSettings

ROUTE_TIMEOUT_MS = 2000
# A request is sent, then the configuration changes, then it goes on.
CHANGE_AFTER_SECONDS = 0.2
RELEASE_AFTER_SECONDS = 0.6
EARNED = 40


def base_config(version=1, **changes):
    """Return a desired state with replacements for both services, and timeouts of some seconds."""
    config = default_config(version)
    for route in config["routes"]:
        route["timeoutMs"] = ROUTE_TIMEOUT_MS
    engine = config["services"][0]["engine"]
    config["services"] += [{"name": "llm2", "maxConns": 100, "engine": engine}, {"name": "crm2"}]
    config["tenants"].append({"name": "other", "apiKeys": ["another-key"], "priority": 3})
    return {**config, **changes}


def with_routes(**fields):
    """Return the next desired state, in which each route has other values for some fields."""
    config = base_config(2)
    return {**config, "routes": [{**each, **fields} for each in config["routes"]]}


def without_services():
    config = with_routes()
    config["services"] = [each for each in config["services"] if each["name"].endswith("2")]
    config["routes"] = []
    return config


def with_replaced_services():
    config = with_routes()
    for route in config["routes"]:
        route["service"] += "2"
    config["services"] = [each for each in config["services"] if each["name"].endswith("2")]
    return config


def with_weights():
    config = with_routes()
    for route in config["routes"]:
        name = route.pop("service")
        route["backends"] = [
            {"service": name, "weight": 0},
            {"service": f"{name}2", "weight": 100},
        ]
    return config


def with_key_revoked():
    config = base_config(2)
    config["tenants"][0]["apiKeys"] = ["a-newer-key"]
    return config


def without_account():
    config = base_config(2)
    del config["tenants"][0]
    return config


def with_limits(**limits):
    config = base_config(2)
    return {**config, "limits": {**config["limits"], **limits}}


CHANGES = {
    "its route is dropped": lambda: base_config(2, routes=[]),
    "its service is dropped": without_services,
    "its service is replaced": with_replaced_services,
    "its service is dropped and its route stays": lambda: base_config(2, services=[]),
    "its key is revoked": with_key_revoked,
    "its account is dropped": without_account,
    "its timeout is shortened": lambda: with_routes(timeoutMs=300),
    "its timeout is lengthened": lambda: with_routes(timeoutMs=4000),
    "its caller may be idle for less long": lambda: with_limits(idleTimeoutMs=100),
    "the weights of its route move": with_weights,
    "its route allows one upstream": lambda: with_routes(maxAttempts=1),
    "its limits are lower than its size": lambda: with_limits(maxBodyBytes=1, maxHeaderBytes=64),
}


class ChangeWorld(GatewayWorld):
    """One process, and upstreams of each service and of the one that may replace it."""

    def __init__(self):
        super().__init__()
        self.config = base_config()
        add_upstreams(self)

    async def send(self, route, name):
        return await self.ask(route, name=name)

    def contexts(self):
        return [self.node.gateway.context]


class PartitionedChangeWorld(BoundPartitionWorld):
    """Three processes of which g0 reaches no upstream."""

    def __init__(self):
        super().__init__(2, 2)
        self.config = base_config()
        self.events = 20
        add_upstreams(self)

    async def send(self, route, name):
        return await self.ask_at(self.processes[0], route, name)

    def contexts(self):
        return [each.node.gateway.context for each in self.processes]


def add_upstreams(site):
    for number, domain in enumerate("xy"):
        for service in ("llm", "llm2"):
            runner = site.add(f"{service}-{number}", service, domain, 0, LAYERS)
            runner.accepts_orders = False
        for service in ("crm", "crm2"):
            site.add(f"{service}-{number}", service, domain)
    for runner in site.runners.values():
        # Unlike the processes' own limits, they don't change.
        runner.slots, runner.server_limits = 96, CallerBounds


def slow_upstreams(site):
    for runner in site.runners.values():
        runner.work = RELEASE_AFTER_SECONDS


def silence_upstreams(site):
    for runner in site.runners.values():
        runner.held_until = runner.silent_until = trio.current_time() + RELEASE_AFTER_SECONDS


def lengthen_streams(site):
    site.events = 60


async def partition(site):
    """Partition g0, whose requests then go to a peer."""
    site.events = 60
    slow_upstreams(site)
    await site.partition_entry()


async def partition_from_newer(site):
    """Partition g0, and cut its peers off from changes."""
    await partition(site)
    for process in site.processes[1:]:
        process.store.cut = True
    site.apart = True


async def fill(site):
    """Let the process learn that no upstream has room for a stream."""
    for runner in site.runners.values():
        runner.slots = runner.running = 1
    await site.ask(name="warm")
    await trio.sleep(2.0)


def make_room(site):
    for runner in site.runners.values():
        runner.running = 0
        runner.behaviour = ""


def refuse(site):
    for runner in site.runners.values():
        runner.behaviour = "full"


def put_on_trial(site):
    """Let each upstream run a suspect request."""
    for context in site.contexts():
        for name in site.runners:
            context.crashes._trials[name] = _Trial({"another request"})


def end_trials(site):
    for context in site.contexts():
        for trial in context.crashes._trials.values():
            trial.finished.set()
        context.crashes._trials.clear()


@contextmanager
def admission(site):
    """Admit streams by rank, in the only process of its site."""
    site.load = LoadSettings(admission=True)
    site.config["routes"][1]["priority"] = 2
    with patch.object(TrafficShare, "share", 1.0):
        yield


@contextmanager
def no_retries(site):
    """Grant no retry until the requests go on."""
    spend = RetryAllowance._spend

    def spend_late(self, reserve_share):
        return trio.current_time() >= site.released_at and spend(self, reserve_share)

    with admission(site), patch.object(RetryAllowance, "_spend", spend_late):
        yield


@contextmanager
def late_tokens(site):
    acquire = RateGate.acquire

    async def acquire_late(self, instance):
        await trio.sleep(RELEASE_AFTER_SECONDS)
        return await acquire(self, instance)

    with patch.object(RateGate, "acquire", acquire_late):
        yield


@contextmanager
def suspects(site):
    with patch.object(CrashWatch, "crash_count", lambda self, admitted: 1):
        yield


@contextmanager
def nothing(site):
    yield


def keep(site):
    """Change nothing."""


# By place: what is patched, what is done before the request, and what lets it go on.
PLACES = {
    "the answer of an upstream": (nothing, slow_upstreams, keep),
    "the first event": (nothing, silence_upstreams, keep),
    "the next event": (nothing, lengthen_streams, keep),
    "a place in the queue": (admission, fill, make_room),
    "a retry": (no_retries, refuse, make_room),
    "a rate token": (late_tokens, keep, keep),
    "the trial of a suspect": (suspects, put_on_trial, end_trials),
    "the answer of a peer": (nothing, partition, keep),
    "the next event of a peer": (nothing, partition, keep),
    "peers that know an older version": (nothing, partition_from_newer, keep),
}


def play_change(site, place, route, change):
    """Play one request that waits at a place beside a change; return what its caller got."""
    patches, prepare, release = PLACES[place]
    got = []

    async def story(site):
        site.released_at = float("inf")
        for context in site.contexts():
            for _ in range(EARNED):
                context.budget("llm").earn()
                context.budget("crm").earn()
        if (waiting := prepare(site)) is not None:
            await waiting
        async with trio.open_nursery() as nursery:

            async def send():
                got.append(await site.send(route, "r1"))

            if place == "peers that know an older version":
                site.store.put("op", "config", CHANGES[change]())
                await trio.sleep(CHANGE_AFTER_SECONDS)
                nursery.start_soon(send)
                return
            nursery.start_soon(send)
            await trio.sleep(CHANGE_AFTER_SECONDS)
            site.is_waiting = not got
            site.store.put("op", "config", CHANGES[change]())
            await trio.sleep(RELEASE_AFTER_SECONDS - CHANGE_AFTER_SECONDS)
            site.released_at = trio.current_time()
            release(site)

    site.is_waiting = True
    with patches(site):
        site.play(story)
    return got[0]


__all__ = ["CHANGES", "ChangeWorld", "PartitionedChangeWorld", "play_change"]
