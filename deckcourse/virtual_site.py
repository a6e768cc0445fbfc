"""An emulated site, in memory and on a virtual clock, and the faults that can be injected."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

import trio

from deckcourse.controller import Controller
from deckcourse.counters import MemoryCounters
from deckcourse.entry import Entry, ServiceRequest
from deckcourse.errors import InvariantError
from deckcourse.flow import LinkRate
from deckcourse.gossip import ENTRY_ROLE
from deckcourse.instance_list import InstanceKind, ListedInstance, MemoryInstanceList
from deckcourse.node import CONTROLLER_ROLE, Node, NodeIdentity, Ports
from deckcourse.object_store import MemoryObjectStore
from deckcourse.outcomes import Outcome
from deckcourse.pipeline import Completion, TokenSink
from deckcourse.plans import Confirmed, Plan
from deckcourse.standin_engine import StandinEngine
from deckcourse.standin_platform import FaultyInstanceList, FaultyObjectStore, FaultyTable
from deckcourse.standin_service import StandinService
from deckcourse.standin_stage import EngineSpec
from deckcourse.table import MemoryTable
from deckcourse.virtual_links import Gate, Links, Step, Steps
from deckcourse.virtual_ports import (
    ProcessNetwork,
    VirtualEngine,
    VirtualList,
    VirtualObjects,
    VirtualPeerLink,
    VirtualService,
    VirtualStage,
    VirtualTable,
)

__all__ = ["Broken", "Process", "VirtualPlan", "VirtualSite"]


@dataclass(frozen=True)
class Broken:
    """The caller's result when the entry was killed: its connection broke."""


@dataclass(frozen=True)
class VirtualPlan:
    """The composition of a virtual site."""

    entries: int = 2
    controllers: int = 2
    engines: tuple[EngineSpec, ...] = ()
    services: dict[str, str] = field(default_factory=dict)
    domains: tuple[str, ...] = ("hall-a", "hall-b", "hall-c")
    list_lag: float = 0.0
    link_rate: LinkRate = lambda source, target: 1e6
    new_entry: Callable[[Node], Entry] = Entry
    seed: int = 1


class Process:
    """One process of the system; it can be paused, killed and restarted."""

    def __init__(self, name: str, role: str, domain: str) -> None:
        self.name = name
        self.role = role
        self.domain = domain
        self.gate = Gate()
        self.node: Node | None = None
        self.entry: Entry | None = None
        self.controller: Controller | None = None
        self.dead = trio.Event()

    @property
    def alive(self) -> bool:
        """Whether the process was started and not killed; a paused one is alive."""
        return self.node is not None and not self.dead.is_set()


class VirtualSite:
    """The engines, services and processes of a site, by name."""

    def __init__(self, plan: VirtualPlan) -> None:
        self.plan = plan
        self.random = Random(plan.seed)
        self.links = Links()
        self.steps = Steps()
        self.memory_table = MemoryTable()
        self.memory_list = MemoryInstanceList()
        self.table = FaultyTable(self.memory_table)
        self.objects = FaultyObjectStore(MemoryObjectStore())
        self.list = FaultyInstanceList(self.memory_list, plan.list_lag)
        self.engines: dict[str, StandinEngine] = {}
        self.past_engines: list[StandinEngine] = []
        self.services: dict[str, StandinService] = {}
        self.processes: dict[str, Process] = {}
        self._nursery: trio.Nursery | None = None
        self._build()

    def _build(self) -> None:
        for spec in self.plan.engines:
            self.add_engine(spec)
        for number, (name, service) in enumerate(self.plan.services.items()):
            self.services[name] = StandinService(name)
            domain = self._domain(number)
            instance = ListedInstance(name, 1, InstanceKind.SERVICE, name, domain, service=service)
            self.memory_list.put(instance)
        for number in range(self.plan.entries):
            self._add_process(f"entry-{number + 1}", ENTRY_ROLE, number)
        for number in range(self.plan.controllers):
            self._add_process(f"controller-{number + 1}", CONTROLLER_ROLE, number)

    def _domain(self, number: int) -> str:
        return self.plan.domains[number % len(self.plan.domains)]

    def _add_process(self, name: str, role: str, number: int) -> None:
        self.processes[name] = Process(name, role, self._domain(number))
        instance = ListedInstance(
            name,
            1,
            InstanceKind.ROUTER,
            name,
            self._domain(number),
            peer_addresses=(_peer_address(name),),
        )
        self.memory_list.put(instance)

    def add_engine(self, spec: EngineSpec) -> StandinEngine:
        """Add an engine, or a new incarnation of one, to the site and to the instance list."""
        if spec.name in self.engines:
            self.past_engines.append(self.engines[spec.name])

        def dial(hop):
            return VirtualStage(self.links, spec.name, hop, lambda: self.engines[hop.instance])

        engine = StandinEngine(replace(spec, address=spec.name), dial)
        self.engines[spec.name] = engine
        self.memory_list.put(
            ListedInstance(spec.name, spec.incarnation, InstanceKind.RUNNER, spec.name, spec.domain)
        )
        return engine

    def restart_engine(self, name: str) -> StandinEngine:
        """Kill an engine and replace it by a new incarnation without loaded layers."""
        spec = self.engines[name].spec
        self.engines[name].kill()
        return self.add_engine(replace(spec, incarnation=spec.incarnation + 1))

    @property
    def every_engine(self) -> list[StandinEngine]:
        """All engines, including earlier incarnations."""
        return [*self.past_engines, *self.engines.values()]

    @property
    def entries(self) -> list[Process]:
        """The entries that are alive."""
        return [each for each in self.processes.values() if each.entry and each.alive]

    @property
    def controllers(self) -> list[Process]:
        """The controllers that are alive."""
        return [each for each in self.processes.values() if each.controller and each.alive]

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run every process until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name in self.processes:
                self.start(name)
            task_status.started()
            await trio.sleep_forever()

    def start(self, name: str) -> None:
        """Start a process, or restart it without its previous state."""
        process = self.processes[name]
        process.gate = Gate()
        process.dead = trio.Event()
        identity = NodeIdentity(
            name,
            process.role,
            process.domain,
            _peer_address(name),
            f"{name}/{self.random.getrandbits(48):x}",
        )
        random = Random(self.random.getrandbits(32))
        process.node = Node(identity, self._ports(process), MemoryCounters(), random)
        if process.role == ENTRY_ROLE:
            process.entry = self.plan.new_entry(process.node)
            self._nursery.start_soon(self._run_process, process, process.entry.run)
        else:
            process.controller = Controller(
                process.node, self.plan.link_rate, self._random_plan_name
            )
            self._nursery.start_soon(self._run_process, process, process.controller.run)

    def _random_plan_name(self) -> str:
        return f"{self.random.getrandbits(32):08x}"

    async def _run_process(self, process: Process, run: Callable[[], Awaitable[None]]) -> None:
        dead = process.dead
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await dead.wait()
            nursery.cancel_scope.cancel()

    def kill(self, name: str) -> None:
        """Kill a process, an engine or a service, also while it's paused."""
        if name in self.engines:
            self.engines[name].kill()
            return
        if name in self.services:
            self.services[name].kill()
            return
        process = self.processes[name]
        process.dead.set()
        process.gate.kill()

    def freeze(self, name: str) -> None:
        """Pause a process, an engine or a service."""
        if name in self.processes:
            self.processes[name].gate.close()
        else:
            (self.engines.get(name) or self.services[name]).freeze()

    def thaw(self, name: str) -> None:
        """Resume a paused process, engine or service."""
        if name in self.processes:
            self.processes[name].gate.open()
        else:
            (self.engines.get(name) or self.services[name]).thaw()

    def platform_out(self, out: bool) -> None:
        """Start or end an outage of the platform's services."""
        for service in (self.table, self.objects, self.list):
            service.out = out

    def platform_delay(self, seconds: float) -> None:
        """Set the response delay of the platform's services."""
        for service in (self.table, self.objects, self.list):
            service.delay = seconds

    def _ports(self, process: Process) -> Ports:
        network = ProcessNetwork(process.name, process.gate, self.links, self.steps)
        return Ports(
            table=VirtualTable(network, self.table),
            objects=VirtualObjects(network, self.objects),
            instance_list=VirtualList(network, self.list),
            engine=lambda instance, address: VirtualEngine(
                network, instance, lambda: self.engines[instance]
            ),
            service=lambda upstream, fresh: VirtualService(
                network, upstream.name, self.services[upstream.name]
            ),
            peer=lambda address: VirtualPeerLink(
                network, _peer_name(address), lambda: self._peer_handler(_peer_name(address))
            ),
        )

    def _peer_handler(self, name: str):
        process = self.processes[name]
        if not process.alive:
            return None

        async def answer(message):
            await process.gate.wait_open()
            return await process.node.gossip.answer(message)

        return answer

    async def complete(
        self, entry: str, completion: Completion, sink: TokenSink
    ) -> Outcome | Broken:
        """Request a completion from an entry."""
        process = self.processes[entry]
        self.steps.reach(Step.ADMIT, entry)

        async def gated_sink(tokens) -> None:
            await process.gate.wait_open()
            await sink(tokens)

        return await self._within(process, lambda: process.entry.complete(completion, gated_sink))

    async def intend(self, message: dict) -> None:
        """Propose a plan for an intent and confirm it, as an operator does.

        Raises:
          InvariantError: the intent was refused or its plan was not confirmed.
        """
        process = next(iter(self.controllers))
        plan = await process.controller.propose(message)
        if not isinstance(plan, Plan):
            raise InvariantError(f"{message}: {plan}")
        result = await process.controller.confirm(plan.name)
        if not isinstance(result, Confirmed):
            raise InvariantError(f"{message}: {result}")

    async def call(self, entry: str, request: ServiceRequest) -> Outcome | Broken:
        """Call a plain service through an entry."""
        process = self.processes[entry]
        return await self._within(process, lambda: process.entry.call(request))

    async def _within(self, process: Process, work: Callable[[], Awaitable]) -> Outcome | Broken:
        if not process.alive:
            return Broken()
        await process.gate.wait_open()
        result: Outcome | Broken = Broken()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_event, process.dead, nursery.cancel_scope)
            outcome = await work()
            await process.gate.wait_open()
            if not process.dead.is_set():
                result = outcome
            nursery.cancel_scope.cancel()
        return result


PEER_ADDRESS_SUFFIX = " peers"


def _peer_address(name: str) -> str:
    return name + PEER_ADDRESS_SUFFIX


def _peer_name(address: str) -> str:
    return address.removesuffix(PEER_ADDRESS_SUFFIX)


async def _cancel_on_event(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
