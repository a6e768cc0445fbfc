"""One scenario's world: a virtual site, its callers and operators, on a virtual clock."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from hashlib import sha256

import trio
import trio._core._run
from trio.testing import MockClock

from deckcourse.entry import ServiceRequest
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown
from deckcourse.pipeline import Completion
from deckcourse.plans import Confirmed, Plan
from deckcourse.standin_model import expected_tokens
from deckcourse.standin_stage import EngineSpec
from deckcourse.virtual_site import Broken, VirtualPlan, VirtualSite

# Tasks are scheduled in the same order on every run.
trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True

MODEL = "m"
DEPTH = 12
ACCOUNT = "tenants"
SERVICE = "records"
ONCE_SERVICE = "vans"
DEADLINE_SECONDS = 30.0
CLIENT_TRIES = 4
SETTLE_SECONDS = 45.0


def engine_specs(count: int, rate: float = 400.0, checks_fence: bool = True) -> tuple:
    domains = ("hall-a", "hall-b", "hall-c")
    return tuple(
        EngineSpec(
            f"runner-{number}",
            "",
            domains[number % 3],
            layer_rate=rate,
            layer_room=4,
            checks_fence=checks_fence,
        )
        for number in range(1, count + 1)
    )


@dataclass
class Try:
    """One try of a caller: at which entry, when it began and ended, and what came."""

    entry: str
    began: float
    ended: float
    outcome: Outcome | Broken


@dataclass
class Asked:
    """A caller's completion with all its tries."""

    name: str
    prompt: str
    tokens: int
    tries: list[Try] = field(default_factory=list)
    requests: list[str] = field(default_factory=list)
    received: list[list[int]] = field(default_factory=list)
    times: list[list[float]] = field(default_factory=list)

    @property
    def outcome(self) -> Outcome | Broken:
        return self.tries[-1].outcome

    @property
    def expected(self) -> tuple[int, ...]:
        return expected_tokens(DEPTH, self.prompt, self.tokens)


@dataclass
class Called:
    """A caller's call to a plain service with all its tries."""

    name: str
    key: str
    service: str
    tries: list[Try] = field(default_factory=list)

    @property
    def outcome(self) -> Outcome | Broken:
        return self.tries[-1].outcome


class World:
    """Collects a scenario's actions, runs them once, and keeps what was seen."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.plan = VirtualPlan(
            engines=engine_specs(8),
            services={"records-1": SERVICE, "records-2": SERVICE, "vans-1": ONCE_SERVICE},
            seed=seed,
        )
        self.capacity = 60.0
        self.limit = 100000.0
        self.actions: list[Callable[[], Awaitable[None]]] = []
        self.asked: dict[str, Asked] = {}
        self.called: dict[str, Called] = {}
        self.plans: dict[str, Plan] = {}
        self.confirmed: dict[str, list] = {}
        self.accepted: list[tuple[int, float]] = []
        self.versions: dict[str, list[tuple[float, int]]] = {}
        self.ready: dict[str, list[tuple[float, int]]] = {}
        self.two_holders: list[tuple[float, list[str]]] = []
        self.signs: dict[str, float] = {}
        self.notes: dict[str, object] = {}
        self.faulted: set[str] = set()
        # Engines that a fault on a link may make the router replace, though they work.
        self.suspects: set[str] = set()
        self.site: VirtualSite | None = None
        self.nursery: trio.Nursery | None = None
        self._ran = False

    def do(self, action: Callable[[], Awaitable[None]]) -> None:
        """Add an action to the scenario."""
        self.actions.append(action)

    def finish(self) -> "World":
        """Run the scenario if it hasn't run yet."""
        if not self._ran:
            self._ran = True
            trio._core._run._r.seed(self.seed)
            trio.run(self._run, clock=MockClock(autojump_threshold=0))
        return self

    async def _run(self) -> None:
        with trio.fail_after(100_000):
            self.site = VirtualSite(self.plan)
            async with trio.open_nursery() as outer:
                await outer.start(self.site.run)
                outer.start_soon(self._watch_versions)
                await self._prepare()
                async with trio.open_nursery() as nursery:
                    self.nursery = nursery
                    for action in self.actions:
                        await action()
                for process in self.site.processes.values():
                    # A paused process would never take notice that it's cancelled.
                    process.gate.open()
                outer.cancel_scope.cancel()

    async def _prepare(self) -> None:
        """Serve the model, the services and the account, by intents like any operator."""
        await trio.sleep(3)
        key_hash = sha256(b"key").hexdigest()
        account = {"kind": "account", "account": ACCOUNT, "key_hash": key_hash}
        await self.intend("account", account | {"tokens_per_second": self.limit})
        await self.intend("records", {"kind": "service", "service": SERVICE, "repeatable": True})
        await self.intend("vans", {"kind": "service", "service": ONCE_SERVICE, "repeatable": False})
        serve = {"kind": "serve", "model": MODEL, "depth": DEPTH, "capacity": self.capacity}
        await self.intend("serve", serve)
        await trio.sleep(7)

    async def _watch_versions(self) -> None:
        while True:
            for process in self.site.processes.values():
                if process.alive and process.gate.is_open:
                    seen = self.versions.setdefault(process.node.identity.incarnation, [])
                    seen.append((trio.current_time(), process.node.holder.version))
                if process.alive and process.entry and process.entry.ready:
                    ready = self.ready.setdefault(process.node.identity.incarnation, [])
                    ready.append((trio.current_time(), process.node.holder.version))
            holding = [each.name for each in self.site.controllers if each.controller.lease.held()]
            if len(holding) > 1:
                self.two_holders.append((trio.current_time(), holding))
            await trio.sleep(0.25)

    def held(self, first: int) -> list:
        """Return the living engines that hold the layers from `first` on, busy ones first."""
        engines = [each for each in self.site.engines.values() if each.held[0] and each.alive]
        engines = [each for each in engines if each.held[1] == first]
        return sorted(engines, key=lambda each: (-each.stream_count, each.spec.name))

    def attempts(self, asked: Asked) -> int:
        """Return how many attempts the last try of a completion took."""
        return max((run.attempt for run in self.layer_runs(asked.requests[-1])), default=0)

    def background(self, *work) -> None:
        """Add an action that goes on while the next ones run."""

        async def start() -> None:
            self.nursery.start_soon(*work)

        self.do(start)

    def pause(self, seconds: float) -> None:
        """Add a wait."""
        self.do(lambda: trio.sleep(seconds))

    def holder(self):
        """Return the controller that holds the lease, or any."""
        holding = [each for each in self.site.controllers if each.controller.lease.held()]
        return (holding or self.site.controllers)[0]

    async def intend(self, name: str, intent: dict, controller: str = "") -> None:
        """State an intent and confirm its plan."""
        await self.propose(name, intent, controller)
        await self.confirm(name, controller)

    async def propose(self, name: str, intent: dict, controller: str = "") -> None:
        for _ in range(CLIENT_TRIES):
            plan = await self._operate(controller, lambda each: each.propose(intent))
            if isinstance(plan, Plan):
                self.plans[name] = plan
                return
            self.notes[f"refused {name}"] = plan
            await trio.sleep(2)

    async def confirm(self, name: str, controller: str = "") -> None:
        """Confirm a plan, again while the operator isn't told what became of it."""
        results = self.confirmed.setdefault(name, [])
        plan = self.plans.get(name)
        for _ in range(CLIENT_TRIES * 3):
            if plan is None:
                return
            result = await self._operate(controller, lambda each: each.confirm(plan.name))
            results.append(result)
            if isinstance(result, Confirmed):
                self.accepted.append((result.version, trio.current_time()))
                return
            if type(result).__name__ in ("PlanConflict", "NoSuchPlan"):
                return
            await trio.sleep(3)

    async def _operate(self, name: str, call):
        """Let an operator's call run at a controller; None where that one dies meanwhile."""
        running = [each for each in self.site.controllers if each.gate.is_open]
        if not running:
            return None
        process = next((each for each in running if each.name == name), running[0])
        with trio.move_on_after(15):
            return await self.site._within(process, lambda: call(process.controller))
        return None

    async def ask(
        self,
        name: str,
        tokens: int = 12,
        entry: str = "entry-1",
        deadline: float = DEADLINE_SECONDS,
        tries: int = CLIENT_TRIES,
        prompt: str = "",
        model: str = MODEL,
    ) -> None:
        """Ask for a completion; again, at another entry, where it's safe and was not answered."""
        asked = self.asked.setdefault(name, Asked(name, prompt or f"prompt of {name}", tokens))
        for number in range(tries):
            outcome = await self._ask_once(asked, self._entry(entry, number), deadline, model)
            if isinstance(outcome, Answered):
                return
            await trio.sleep(getattr(outcome, "retry_after", 1.0))

    def _entry(self, first: str, number: int) -> str:
        names = sorted(name for name in self.site.processes if name.startswith("entry"))
        return names[(names.index(first) + number) % len(names)]

    async def _ask_once(
        self, asked: Asked, entry: str, deadline: float, model: str
    ) -> Outcome | Broken:
        request = f"{asked.name}.{len(asked.tries)}"
        received: list[int] = []
        times: list[float] = []
        asked.requests.append(request)
        asked.received.append(received)
        asked.times.append(times)

        async def sink(tokens) -> None:
            received.extend(token.token for token in tokens)
            times.extend(trio.current_time() for _ in tokens)
            await trio.lowlevel.checkpoint()

        began = trio.current_time()
        completion = Completion(
            request, ACCOUNT, model, asked.prompt, asked.tokens, began + deadline
        )
        outcome: Outcome | Broken = Broken()
        with trio.move_on_at(began + deadline + 5):
            outcome = await self.site.complete(entry, completion, sink)
        asked.tries.append(Try(entry, began, trio.current_time(), outcome))
        return outcome

    async def call(
        self,
        name: str,
        service: str = ONCE_SERVICE,
        key: str = "",
        entry: str = "entry-1",
        deadline: float = 10.0,
        tries: int = CLIENT_TRIES,
        body: str = "",
    ) -> None:
        """Call a service; again with the same key, or without one where it was not run."""
        called = self.called.setdefault(name, Called(name, key, service))
        for number in range(tries):
            outcome = await self._call_once(called, self._entry(entry, number), deadline, body)
            if isinstance(outcome, Answered):
                return
            if not key and not isinstance(outcome, NotRun) and service == ONCE_SERVICE:
                return
            if isinstance(outcome, Unknown) and not outcome.repeatable:
                return
            await trio.sleep(getattr(outcome, "retry_after", 1.0))

    async def _call_once(
        self, called: Called, entry: str, deadline: float, body: str
    ) -> Outcome | Broken:
        began = trio.current_time()
        request = ServiceRequest(
            service=called.service,
            account=ACCOUNT,
            method="POST",
            path=f"/{called.name}",
            body=(body or called.name).encode(),
            content_type="text/plain",
            deadline=began + deadline,
            key=called.key,
        )
        outcome: Outcome | Broken = Broken()
        with trio.move_on_at(began + deadline + 5):
            outcome = await self.site.call(entry, request)
        called.tries.append(Try(entry, began, trio.current_time(), outcome))
        return outcome

    def service_runs(self, name: str) -> list:
        """Return the services' own records of what they ran for a call."""
        runs = [run for service in self.site.services.values() for run in service.runs]
        return [run for run in runs if run.path == f"/{name}"]

    def layer_runs(self, request: str) -> list:
        """Return the engines' own records of what they ran for one try of a completion."""
        runs = [run for engine in self.site.every_engine for run in engine.runs]
        return [run for run in runs if run.request == request]
