"""A whole small site as tasks of one process on loopback: for `deckcourse try` and tests."""

from dataclasses import dataclass, field
from functools import partial
from random import Random
from socket import AF_INET, SOCK_STREAM, socket

import trio

from deckcourse.asgi import serve
from deckcourse.controller import Controller
from deckcourse.controller_server import run_controller
from deckcourse.counters import MemoryCounters
from deckcourse.entry import Entry
from deckcourse.entry_app import CallerLimits
from deckcourse.entry_server import EntryServer
from deckcourse.gossip import ENTRY_ROLE
from deckcourse.http_client import kept_pool
from deckcourse.http_ports import http_ports
from deckcourse.instance_list import InstanceKind, ListedInstance
from deckcourse.node import CONTROLLER_ROLE, Node, NodeIdentity
from deckcourse.standin_engine import StandinEngine
from deckcourse.standin_engine_http import EngineApp, HttpStage, ServiceApp
from deckcourse.standin_platform import PlatformApp
from deckcourse.standin_service import StandinService
from deckcourse.standin_stage import EngineSpec

__all__ = ["Site", "SitePlan", "free_address"]

SERVICE_NAME = "records"


def free_address() -> str:
    """Return a loopback IP:port that nobody listens on at this moment."""
    with socket(AF_INET, SOCK_STREAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@dataclass(frozen=True)
class SitePlan:
    """How large a site is."""

    runners: int = 7
    services: int = 1
    domains: tuple[str, ...] = ("hall-a", "hall-b", "hall-c")
    layer_rate: float = 400.0
    layer_room: int = 4
    token: str = "operator"
    seed: int = 1


@dataclass
class Site:
    """The running parts; `run` fills it and keeps it going."""

    plan: SitePlan = field(default_factory=SitePlan)
    engines: dict[str, StandinEngine] = field(default_factory=dict)
    services: dict[str, StandinService] = field(default_factory=dict)
    entry: Entry | None = None
    controller: Controller | None = None
    platform: PlatformApp | None = None
    entry_address: str = ""
    controller_address: str = ""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Start every part, then keep them running until cancelled."""
        never = trio.Event()
        async with trio.open_nursery() as nursery:
            listed = [
                *[await self._start_engine(number, nursery) for number in self._numbers()],
                *[await self._start_service(number, nursery) for number in self._service_numbers()],
            ]
            peers = (free_address(), free_address())
            router = ListedInstance(
                "router-1", 1, InstanceKind.ROUTER, "", self.plan.domains[0], peer_addresses=peers
            )
            self.platform = PlatformApp([*listed, router])
            platform = await nursery.start(serve, self.platform, "127.0.0.1:0", never)
            await self._start_entry(platform, peers[0], nursery)
            await self._start_controller(platform, peers[1], nursery)
            task_status.started()

    def _numbers(self) -> range:
        return range(1, self.plan.runners + 1)

    def _service_numbers(self) -> range:
        return range(1, self.plan.services + 1)

    async def _start_engine(self, number: int, nursery: trio.Nursery) -> ListedInstance:
        name = f"runner-{number}"
        domain = self.plan.domains[number % len(self.plan.domains)]
        spec = EngineSpec(
            name, "", domain, layer_rate=self.plan.layer_rate, layer_room=self.plan.layer_room
        )
        engine = StandinEngine(spec, partial(HttpStage, kept_pool()))
        address = await nursery.start(serve, EngineApp(engine), "127.0.0.1:0", trio.Event())
        self.engines[name] = engine
        return ListedInstance(name, 1, InstanceKind.RUNNER, address, domain)

    async def _start_service(self, number: int, nursery: trio.Nursery) -> ListedInstance:
        name = f"{SERVICE_NAME}-{number}"
        service = StandinService(name)
        address = await nursery.start(serve, ServiceApp(service), "127.0.0.1:0", trio.Event())
        self.services[name] = service
        domain = self.plan.domains[number % len(self.plan.domains)]
        return ListedInstance(name, 1, InstanceKind.SERVICE, address, domain, service=SERVICE_NAME)

    def _node(self, role: str, platform: str, peer_address: str) -> Node:
        identity = NodeIdentity.start(f"router-1-{role}", role, self.plan.domains[0], peer_address)
        random = Random(self.plan.seed)
        return Node(identity, http_ports(platform), MemoryCounters(), random)

    async def _start_entry(self, platform: str, peer: str, nursery: trio.Nursery) -> None:
        self.entry = Entry(self._node(ENTRY_ROLE, platform, peer))
        server = EntryServer(self.entry, CallerLimits(), "127.0.0.1:0", 0.0, 10.0)
        self.entry_address = await nursery.start(server.run)

    async def _start_controller(self, platform: str, peer: str, nursery: trio.Nursery) -> None:
        node = self._node(CONTROLLER_ROLE, platform, peer)
        self.controller = Controller(node, lambda source, target: 1e6)
        stop = trio.Event()
        self.controller_address = await nursery.start(
            run_controller, self.controller, self.plan.token, "127.0.0.1:0", stop
        )
