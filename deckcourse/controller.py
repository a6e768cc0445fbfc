"""The controller: plans for operators, and the orders of the lease's holder that realise them."""

from collections.abc import Callable
from uuid import uuid4

import trio
from returns.result import Failure, Success

from deckcourse.configuration import Change, Placement
from deckcourse.configuration_store import ChangeAccepted
from deckcourse.engine import EngineLoad, Fence, LoadOrder, OrderReply, UnloadOrder
from deckcourse.errors import InvariantError
from deckcourse.flow import LinkRate
from deckcourse.instance_list import InstanceKind, ListedInstance
from deckcourse.intents import intent_from
from deckcourse.lease import Lease
from deckcourse.node import Node
from deckcourse.planner import Fleet, PlanRefused, Runner, heal
from deckcourse.plans import (
    Confirmed,
    ConfirmResult,
    ConfirmUnknown,
    Plan,
    PlanStore,
    PlatformOut,
)

__all__ = ["Controller"]

ROUND_SECONDS = 0.5
# A placed runner that nobody heard of for this long is replaced.
LOST_AFTER_SECONDS = 4.0
ORDER_SECONDS = 1.5
LOOK_SECONDS = 0.5
# Where more than this part of the placed runners is out of sight at once, nothing is dropped.
MOST_LOST = 0.5
# A confirmation is answered once this many peers have the change, or this much later.
SPREAD_PEERS = 2
SPREAD_SECONDS = 2.0
SPREAD_LOOK_SECONDS = 0.02
# How long a part that is no longer placed must have been without a stream before it's unloaded:
# the time in which a configuration is in force everywhere, and a report's lag.
DRAIN_SECONDS = 6.0


class Controller:
    """Plans and confirms for operators; orders upstreams while it holds the lease."""

    def __init__(
        self, node: Node, link_rate: LinkRate, new_name: Callable[[], str] = lambda: uuid4().hex[:8]
    ) -> None:
        self._node = node
        self._link_rate = link_rate
        self._new_name = new_name
        self._plans = PlanStore(node.ports.table, node.store)
        self._lease = Lease(node.ports.table, node.identity.incarnation)
        self._missing: dict[str, float] = {}
        self._unwanted: dict[str, float] = {}

    @property
    def node(self) -> Node:
        """The node behind the controller."""
        return self._node

    @property
    def lease(self) -> Lease:
        """This process's view of the lease."""
        return self._lease

    def capacity(self, model: str) -> float:
        """Return the flow in tokens a second that a model's placements can carry now."""
        return self._fleet().capacity(self._node.holder.configuration, model)

    async def run(self) -> None:
        """Follow the system, seek the lease, and carry out what is confirmed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._node.run)
            nursery.start_soon(self._lease.run)
            nursery.start_soon(self._carry_out)

    async def propose(self, message: dict) -> Plan | PlanRefused | PlatformOut:
        """Plan an operator's intent, given as its message."""
        match intent_from(message):
            case Failure(wrong):
                return PlanRefused(wrong)
            case Success(intent):
                name = self._new_name()
                newest = await self._newest()
                if newest is None:
                    return PlatformOut()
                return await self._plans.propose(name, newest, self._fleet(), intent, message)
        raise InvariantError("an intent was neither right nor wrong")

    async def plan(self, name: str):
        """Return a plan by name."""
        return await self._plans.get(name)

    async def confirm(self, name: str) -> ConfirmResult:
        """Accept a plan; once accepted it's spread to the peers at once."""
        configuration = self._node.holder.configuration
        result = await self._plans.confirm(name, configuration, self._fleet(), self._new_name())
        if isinstance(result, Confirmed) and not await self._is_in_force(result.change):
            return ConfirmUnknown()
        return result

    async def _is_in_force(self, change: Change) -> bool:
        """Spread an accepted change; return whether it's sure to come into force in time.

        It is once peers have it, or while the platform, where they look for it, can be read.
        """
        await self._spread(change)
        with trio.move_on_after(SPREAD_SECONDS):
            while not self._peers_have(change.version):
                await trio.sleep(SPREAD_LOOK_SECONDS)
            return True
        return isinstance(await self._node.store.head(), Success)

    def _peers_have(self, version: int) -> bool:
        live = self._node.gossip.live.values()
        having = sum(digest.version >= version for digest in live)
        return having >= min(SPREAD_PEERS, len(live))

    async def _spread(self, change: Change) -> None:
        self._node.holder.apply(change)
        if self._node.holder.version < change.version:
            await self._newest()

    async def _newest(self):
        match await self._node.store.catch_up(self._node.holder.configuration):
            case Success(newest):
                self._node.holder.replace(newest)
                return self._node.holder.configuration
        return None

    def _fleet(self) -> Fleet:
        now = trio.current_time()
        listed = {each.name: each for each in self._node.membership.listed(InstanceKind.RUNNER)}
        runners = {
            name: _runner(listed[name], report.load)
            for name, report in self._node.membership.reports.items()
            if name in listed
            and report.deadline >= now
            and not self._node.membership.is_leaving(name, report.load.incarnation)
        }
        return Fleet(runners, self._link_rate)

    async def _carry_out(self) -> None:
        while True:
            if self._lease.held() and self._node.holder.confirmed:
                await self._heal()
                await self._order_all()
            await trio.sleep(ROUND_SECONDS)

    async def _heal(self) -> None:
        await self._look_for_missing()
        fleet = self._fleet()
        gone = self._gone(fleet)
        if self._is_blind(gone):
            self._node.counters.count("heal.held")
            return
        change = heal(self._node.holder.configuration, fleet, gone)
        if change is None:
            return
        match await self._node.store.commit(change):
            case Success(ChangeAccepted()):
                self._node.counters.count("healed")
                await self._spread(change)
            case _:
                # Another change came first, or nobody knows: the table's state decides.
                await self._newest()
        await self._node.store.write_snapshot(self._node.holder.configuration)

    async def _look_for_missing(self) -> None:
        """Ask placed runners that nobody reported lately: the reporters may be gone, not they."""
        fleet = self._fleet()
        placements = self._node.holder.configuration.placements
        missing = [place for name, place in placements.items() if name not in fleet.runners]
        with trio.move_on_after(LOOK_SECONDS):
            async with trio.open_nursery() as nursery:
                for place in missing:
                    nursery.start_soon(self._look_for, place)

    async def _look_for(self, place: Placement) -> None:
        load = await self._node.ports.engine(place.instance, place.address).load()
        if isinstance(load, EngineLoad):
            self._node.membership.see_load(load, trio.current_time())

    def _is_blind(self, gone: frozenset[str]) -> bool:
        """Return whether so many are out of sight that this process is more likely cut off."""
        lost = sum(name not in self._fleet().runners for name in gone)
        return lost > MOST_LOST * len(self._node.holder.configuration.placements)

    def _gone(self, fleet: Fleet) -> frozenset[str]:
        """Return the placed instances to drop: lost for long, or leaving with no stream left."""
        now = trio.current_time()
        gone: set[str] = set()
        placements = self._node.holder.configuration.placements
        for name, place in placements.items():
            runner = fleet.runners.get(name)
            if runner is not None and runner.incarnation == place.incarnation:
                self._missing.pop(name, None)
                if self._is_retired(place) and self._is_drained(name, runner.streams):
                    gone.add(name)
                continue
            since = self._missing.setdefault(name, now)
            if now - since >= LOST_AFTER_SECONDS and not self._still_serves(place):
                gone.add(name)
        for name in self._missing.keys() - placements.keys():
            del self._missing[name]
        return frozenset(gone)

    def _is_retired(self, place: Placement) -> bool:
        return self._node.holder.configuration.is_retired(place.instance, place.incarnation)

    def _still_serves(self, place: Placement) -> bool:
        """Return whether a leaving upstream still has streams."""
        report = self._node.membership.report_of(place.instance)
        if report is None or report.deadline < trio.current_time():
            return False
        return report.load.incarnation == place.incarnation and report.load.streams > 0

    async def _order_all(self) -> None:
        """Bring each runner to what is placed on it."""
        listed = {each.name: each for each in self._node.membership.listed(InstanceKind.RUNNER)}
        async with trio.open_nursery() as nursery:
            for name, report in self._node.membership.reports.items():
                if name in listed and report.deadline >= trio.current_time():
                    nursery.start_soon(self._bring_to_plan, listed[name], report.load)

    async def _bring_to_plan(self, listed: ListedInstance, load: EngineLoad) -> None:
        place = self._node.holder.configuration.placements.get(listed.name)
        if place is not None and place.incarnation != load.incarnation:
            return
        wanted = ("", 0, 0) if place is None else (place.model, place.first, place.end)
        if wanted == (load.model, load.first, load.end):
            if place is None or not self._is_retired(place):
                self._unwanted.pop(listed.name, None)
            return
        if load.model and not self._is_drained(listed.name, load.streams):
            return
        engine = self._node.ports.engine(listed.name, listed.address)
        if not load.checks_fence:
            # Nobody stops an old order here: read the state again, under the lease, first.
            load = await engine.load()
            if not isinstance(load, EngineLoad) or (load.model and load.streams > 0):
                return
        await self._order(engine, place, load)

    def _is_drained(self, name: str, streams: int) -> bool:
        """Return whether what a runner holds and should not can go: unused for long enough.

        Until every entry has the configuration in force, one may still send it a stream, and a
        report of no streams may be older than the last of them.
        """
        now = trio.current_time()
        if streams > 0:
            self._unwanted[name] = now
        since = self._unwanted.setdefault(name, now)
        return now - since >= DRAIN_SECONDS

    async def _order(self, engine, place: Placement | None, load: EngineLoad) -> None:
        fence = Fence(self._lease.epoch, self._lease.next_sequence())
        if place is None:
            order = UnloadOrder(fence)
        else:
            order = LoadOrder(fence, place.model, place.first, place.end)
        deadline = min(self._lease.order_deadline, trio.current_time() + ORDER_SECONDS)
        if trio.current_time() >= deadline:
            return
        with trio.move_on_at(deadline):
            match await engine.order(order):
                case OrderReply(True, after):
                    self._node.counters.count("order.done")
                    self._node.membership.see_load(after, trio.current_time())
                case OrderReply(False):
                    self._node.counters.count("order.fenced")
                case _:
                    # Done or not, the next report of the upstream's state tells.
                    self._node.counters.count("order.lost")


def _runner(listed: ListedInstance, load: EngineLoad) -> Runner:
    return Runner(
        listed.name,
        load.incarnation,
        listed.address,
        listed.domain,
        load.layer_rate,
        load.layer_room,
        load.streams,
    )
