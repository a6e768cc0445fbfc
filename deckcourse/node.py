"""What an entry and a controller have in common: configuration, membership and peers."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from uuid import uuid4

import trio
from returns.result import Success

from deckcourse.configuration_holder import ConfigurationHolder
from deckcourse.configuration_store import ConfigurationStore
from deckcourse.counters import Counters
from deckcourse.engine import Engine, EngineLoad
from deckcourse.gossip import ENTRY_ROLE, LOADS_PER_DIGEST, Gossip
from deckcourse.instance_list import InstanceKind, InstanceList, ListedInstance
from deckcourse.membership import Membership
from deckcourse.object_store import ObjectStore
from deckcourse.peer_link import Digest, PeerLink, row_of
from deckcourse.plain_service import PlainService
from deckcourse.rendezvous import owner
from deckcourse.table import TableService

__all__ = ["CONTROLLER_ROLE", "Node", "NodeIdentity", "Ports"]

CONTROLLER_ROLE = "controller"
LIST_SECONDS = 1.0
POLL_SECONDS = 1.0
POLL_DEADLINE_SECONDS = 0.8
HEAD_SECONDS = 1.0
PLATFORM_CALL_SECONDS = 2.0
# All nodes together read the head row, and the list, no more often than this a second.
READS_PER_SECOND = 50.0
# While the platform is out, a new node waits this long for peers that know the configuration.
PEER_CONFIRM_SECONDS = 3.0


@dataclass(frozen=True)
class NodeIdentity:
    """Who a process is; `incarnation` is new at each start."""

    name: str
    role: str
    domain: str
    peer_address: str
    incarnation: str

    @classmethod
    def start(cls, name: str, role: str, domain: str, peer_address: str) -> "NodeIdentity":
        """Return the identity of a process that starts now."""
        return cls(name, role, domain, peer_address, f"{name}/{uuid4().hex[:12]}")


@dataclass(frozen=True)
class Ports:
    """The outside systems and the ways to reach them."""

    table: TableService
    objects: ObjectStore
    instance_list: InstanceList
    engine: Callable[[str, str], Engine]
    service: Callable[[ListedInstance, bool], PlainService]
    peer: Callable[[str], PeerLink]


class Node:
    """The shared part of a process of the system."""

    def __init__(
        self,
        identity: NodeIdentity,
        ports: Ports,
        counters: Counters,
        random: Random,
        seeds: Sequence[str] = (),
    ) -> None:
        self.identity = identity
        self.ports = ports
        self.counters = counters
        self.random = random
        self.holder = ConfigurationHolder()
        self.membership = Membership()
        self.store = ConfigurationStore(ports.table, ports.objects)
        self.demand: Callable[[], dict[str, float]] = dict
        self.stopping = False
        self.gossip = Gossip(
            self.digest, self.holder, self.membership, ports.peer, counters, random
        )
        self._seeds = tuple(seeds)
        self._polls: dict[str, trio.CancelScope] = {}
        self._polled: dict[str, EngineLoad] = {}

    def digest(self) -> Digest:
        """Return what this process says of itself."""
        loads = list(self._polled.values())
        if len(loads) > LOADS_PER_DIGEST:
            loads = self.random.sample(loads, LOADS_PER_DIGEST)
        return Digest(
            name=self.identity.name,
            address=self.identity.peer_address,
            incarnation=self.identity.incarnation,
            role=self.identity.role,
            domain=self.identity.domain,
            version=self.holder.version,
            confirmed=self.holder.confirmed,
            stopping=self.stopping,
            leaving=tuple(sorted(self.membership.leaving)),
            demand=self.demand(),
            loads=tuple(row_of(load) for load in loads),
        )

    async def run(self) -> None:
        """Keep configuration, membership and peers up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            self.gossip.set_peers(self._known_peers(()))
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(self._follow_configuration)
            nursery.start_soon(self._follow_list)
            if self.identity.role == ENTRY_ROLE:
                nursery.start_soon(self._poll_owned)

    async def _follow_configuration(self) -> None:
        started = trio.current_time()
        while True:
            with trio.move_on_after(PLATFORM_CALL_SECONDS):
                await self._read_configuration()
            if not self.holder.confirmed:
                self._confirm_by_peers(started)
            await trio.sleep(self._spread(HEAD_SECONDS))

    async def _read_configuration(self) -> None:
        match await self.store.catch_up(self.holder.configuration):
            case Success(newest):
                self._take_in(newest)
                self.holder.confirm()

    def _take_in(self, newest) -> None:
        if newest.version > self.holder.version:
            self.holder.replace(newest)

    def _confirm_by_peers(self, started: float) -> None:
        """Without the platform, the highest version of confirmed peers has to do."""
        versions = [each.version for each in self.gossip.live.values() if each.confirmed]
        waited = trio.current_time() - started >= PEER_CONFIRM_SECONDS
        if versions and waited and self.holder.version >= max(versions):
            self.holder.confirm()

    def _spread(self, shortest: float) -> float:
        """Return the pause between reads that keeps all nodes together within their rate."""
        return max(shortest, (1 + len(self.gossip.live)) / READS_PER_SECOND)

    async def _follow_list(self) -> None:
        while True:
            with trio.move_on_after(PLATFORM_CALL_SECONDS):
                match await self.ports.instance_list.instances():
                    case Success(instances):
                        self.membership.see_list(instances)
                        self.gossip.set_peers(self._known_peers(instances))
            await trio.sleep(self._spread(LIST_SECONDS))

    def _known_peers(self, instances: Sequence[ListedInstance]) -> set[str]:
        routers = (each for each in instances if each.kind == InstanceKind.ROUTER)
        listed = {address for each in routers for address in each.peer_addresses}
        return (listed | set(self._seeds)) - {self.identity.peer_address}

    async def _poll_owned(self) -> None:
        """Poll the runners that rendezvous hashing gives to this entry, one task for each."""
        async with trio.open_nursery() as nursery:
            while True:
                self._match_polls(nursery)
                await trio.sleep(POLL_SECONDS / 4)

    def _match_polls(self, nursery: trio.Nursery) -> None:
        entries = [self.identity.name, *self.gossip.live_entries()]
        wanted = {
            each.name: each
            for each in self.membership.listed(InstanceKind.RUNNER)
            if owner(each.name, entries) == self.identity.name
        }
        for name in self._polls.keys() - wanted.keys():
            self._polls.pop(name).cancel()
            self._polled.pop(name, None)
        for name in wanted.keys() - self._polls.keys():
            self._polls[name] = trio.CancelScope()
            nursery.start_soon(self._poll, wanted[name], self._polls[name])

    async def _poll(self, instance: ListedInstance, scope: trio.CancelScope) -> None:
        engine = self.ports.engine(instance.name, instance.address)
        with scope:
            while True:
                await self._poll_once(engine, instance)
                await trio.sleep(POLL_SECONDS)

    async def _poll_once(self, engine: Engine, instance: ListedInstance) -> None:
        with trio.move_on_after(POLL_DEADLINE_SECONDS):
            load = await engine.load()
            if isinstance(load, EngineLoad):
                self._polled[instance.name] = load
                self.membership.see_load(load, trio.current_time())
                return
        self._polled.pop(instance.name, None)
        self.counters.count("poll.lost")
