"""Keeps a model whole: compares the layers held with the plan and orders the missing ones.

Every process runs a healer. The author of the last plan acts immediately; the others wait in turn,
so that usually one process writes the next plan. Processes that saw a failure wait less.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Self

import trio

from deckcourse.decisions.interruptions import NO_DEMAND, PlacementDemand
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.hosts import Assignment, Group, LayerHost, domains_of, groups_of
from deckcourse.layers.layouts import target_of
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.orders import Orderer, OrderResult, OrderSender
from deckcourse.layers.placement import plan_group
from deckcourse.layers.plan_book import ClaimLost, PlanBook, PlanRecord, PlanWon

__all__ = ["Healer"]

# Interval of checks of the upstreams, seconds.
CHECK_INTERVAL_SECONDS = 0.06
# The interval is at least this long for each host, seconds: a check takes time in proportion.
CHECK_INTERVAL_SECONDS_PER_HOST = 0.0001
# The author of the last plan acts immediately; each other process waits this long for itself and
# for each process whose turn is before its own, seconds. Otherwise most would write each plan.
TURN_SECONDS = 0.15
# The same for a process that saw the failure on its own connections, seconds.
WITNESS_TURN_SECONDS = 0.03
# Maximum wait, to which up to a third is added at random, seconds: all processes whose turn is
# earlier may be lost, and a plan reaches all processes within a tenth of it.
MAX_WAIT_SECONDS = 1.5
# Rows arrive during the first seconds after the start; the first placement waits until none has
# arrived for this long, seconds.
SETTLING_SECONDS = 1.2
# How long after its claim began a plan's orders may be sent, seconds: a process that was paused in
# between sends none.
ORDER_TIMEOUT_SECONDS = 1.5
# An upstream that is busy with an order rejects the next one, and one that didn't answer may still
# carry its order out: neither gets orders for this long, seconds.
BUSY_COOLDOWN_SECONDS = 0.6
# Cooldown of an upstream that drops accepted orders, seconds.
UNRELIABLE_COOLDOWN_SECONDS = 10.0
# After a plan, layers are dropped only after this long, seconds: one change at a time, and gaps
# first.
IMPROVEMENT_COOLDOWN_SECONDS = 1.0
# Maximum lag of a row behind its upstream, seconds.
MAX_ROW_LAG_SECONDS = 1.2
# An upstream that rejected an order is dropping layers until its longest stream ends: a plan that
# only improves waits this long, seconds.
CONFLICT_COOLDOWN_SECONDS = 3.0
# How long an upstream that answers a peer isn't planned for as lost, seconds.
REFUTED_SECONDS = 1.0
# Maximum duration of a usual stream, seconds: layers that an upstream drops are released by then.
MAX_STREAM_SECONDS = 2.5


@dataclass(frozen=True)
class _Pending:
    """An ordered range, pending until the deadline or until the row shows it.

    With `busy`, it is the range of an upstream that accepts no order before the deadline.
    `load_seconds` is how long its load takes alone, 0 if none is in progress; `slowdown` is the
    factor by which concurrent loads make it longer, which the deadline contains.
    """

    first: int
    end: int
    deadline: float
    busy: bool = False
    load_seconds: float = 0.0
    slowdown: float = 1.0

    def slowed_to(self, slowdown: float) -> Self:
        """Return the same with a deadline for a larger slowdown."""
        if slowdown <= self.slowdown or not self.load_seconds:
            return self
        added_seconds = self.load_seconds * (slowdown - self.slowdown)
        return replace(self, deadline=self.deadline + added_seconds, slowdown=slowdown)

    def loaded_at(self, now: float) -> Self:
        """Return the same after its load: layers that it drops are released soon."""
        return replace(
            self, deadline=min(self.deadline, now + MAX_STREAM_SECONDS), load_seconds=0.0
        )


@dataclass(frozen=True)
class _PlanInput:
    """The arguments of `plan_group` for a group."""

    model: ModelSpec
    group: Group
    pending: Mapping[str, tuple[int, int]]
    settled: bool
    rested: bool
    demand: PlacementDemand


async def _always_in_contact() -> bool:
    return True


async def _reached_by_none(instances: Iterable[str]) -> frozenset[str]:
    return frozenset()


class Healer:
    """One process's part in the placement of one model.

    Args:
      service: the service whose upstreams hold the model's layers.
      upstreams: the upstreams that this process knows.
      book: the plans in force.
      orderer: sends orders to upstreams.
      random: the random number generator for waits.
      log: writes decision log entries.
      turn: returns the number of processes whose turn to plan for a group is earlier.
      demand: returns the demand on a group, for which its memory is divided.
      has_contact: returns whether this process reaches any upstream of the service; one that
        doesn't can give no orders.
      reached_by_peers: returns those of some upstreams that answer another process.
    """

    def __init__(
        self,
        service: str,
        upstreams: UpstreamTable,
        book: PlanBook,
        orderer: Orderer,
        random: Random,
        log: Callable[..., None],
        turn: Callable[[Group], int] = lambda group: 0,
        demand: Callable[[Group], PlacementDemand] = lambda group: NO_DEMAND,
        has_contact: Callable[[], Awaitable[bool]] = _always_in_contact,
        reached_by_peers: Callable[[Iterable[str]], Awaitable[frozenset[str]]] = _reached_by_none,
    ) -> None:
        self._service = service
        self._upstreams = upstreams
        self._book = book
        self._sender = OrderSender(upstreams, orderer)
        self._random = random
        self._log = log
        self._processes_ahead = turn
        self._demand = demand
        self._has_contact = has_contact
        self._reached_by_peers = reached_by_peers
        # Until when suspected upstreams that answer a peer aren't planned for as lost.
        self._refuted_until: dict[str, float] = {}
        self._pending: dict[str, _Pending] = {}
        self._needed_since: dict[str, float] = {}
        self._wait_jitter: dict[str, float] = {}
        self._host_names: frozenset[str] = frozenset()
        self._settled_at = 0.0
        self._failed_domains: set[str] = set()
        self._improve_after: dict[str, float] = {}
        # The groups, with the upstreams' change count, the model and the refuted losses that they
        # were computed for.
        self._cached_groups: tuple[int, ModelSpec, frozenset[str], tuple[Group, ...]] | None = None
        # The last inputs with which a group needed no orders: they aren't planned for again.
        self._satisfied_inputs: dict[str, _PlanInput] = {}

    def record_failure(self, domain: str) -> None:
        """Record that this process itself saw an upstream of a failure domain fail.

        It is forgotten once a plan is made for the domain. Otherwise, after some losses most
        processes would act before their turn and most claims would be lost.
        """
        self._failed_domains.add(domain)

    async def run(self, model: Callable[[], ModelSpec | None], allowed: Callable[[], bool]) -> None:
        """Check and send orders until cancelled, but only while `allowed` returns true."""
        while True:
            spec = model()
            if spec is not None and allowed():
                await self._check(spec)
            hosts = len(self._host_names)
            await trio.sleep(max(CHECK_INTERVAL_SECONDS, CHECK_INTERVAL_SECONDS_PER_HOST * hosts))

    async def _check(self, model: ModelSpec) -> None:
        now = trio.current_time()
        self._drop_finished_orders(now)
        for group in self._groups(model, now):
            await self._plan(model, group, now)

    def _groups(self, model: ModelSpec, now: float) -> tuple[Group, ...]:
        """Return the groups of the upstreams, computed again only after a change."""
        changes = self._upstreams.change_count
        self._refuted_until = {
            name: until for name, until in self._refuted_until.items() if until > now
        }
        refuted = frozenset(self._refuted_until)
        if self._cached_groups is None or self._cached_groups[:3] != (changes, model, refuted):
            hosts = [
                each if each.leaving or each.instance not in refuted else _as_usable(each)
                for each in self._upstreams.layer_hosts(self._service)
            ]
            self._update_hosts(hosts, now)
            self._cached_groups = changes, model, refuted, groups_of(model, hosts)
        return self._cached_groups[3]

    def _fits_in_memory(self, model: ModelSpec, assignment: Assignment) -> bool:
        """Return whether the held and the ordered layers together fit into the upstream's memory.

        The planner ensures it; an order that exceeds the memory would crash the upstream.
        """
        row = self._upstreams.get(assignment.instance)
        if row is None:
            return False
        layers_held = set(range(assignment.first, assignment.end))
        if not assignment.at_once:
            layers_held |= set(range(row.first, row.end))
        if len(layers_held) <= model.max_layers(row.kind):
            return True
        self._log(
            "order-withheld",
            instance=assignment.instance,
            first=assignment.first,
            end=assignment.end,
            held=f"{row.first}-{row.end}",
        )
        return False

    def _update_hosts(self, hosts: Sequence[LayerHost], now: float) -> None:
        names = frozenset(each.instance for each in hosts)
        if names != self._host_names:
            self._host_names = names
            self._sender.keep_only(names)
            self._settled_at = now + SETTLING_SECONDS

    def _drop_finished_orders(self, now: float) -> None:
        for instance, pending in list(self._pending.items()):
            row = self._upstreams.get(instance)
            holds_range = row is not None and (row.first, row.end) == (pending.first, pending.end)
            if (holds_range and not pending.busy) or row is None or now >= pending.deadline:
                del self._pending[instance]
            elif holds_range and pending.load_seconds:
                self._pending[instance] = pending.loaded_at(now)

    async def _plan(self, model: ModelSpec, group: Group, now: float) -> None:
        pending = {name: (each.first, each.end) for name, each in self._pending.items()}
        rested = now >= self._improve_after.get(group.name, 0.0)
        demand = self._demand(group)
        plan_input = _PlanInput(model, group, pending, self._upstreams.is_settled, rested, demand)
        if plan_input == self._satisfied_inputs.get(group.name):
            self._needed_since.pop(group.name, None)
            return
        # A plan is searched for only in this process's turn: usually another process has made it
        # by then.
        since = self._needed_since.setdefault(group.name, now)
        if all(each.is_empty for each in group.hosts):
            # Turns start once rows stop arriving: otherwise all would be over at that moment.
            since = max(since, self._settled_at)
        if now < since + self._wait_seconds(group):
            return
        planned = plan_group(model, group, pending, plan_input.settled, rested, demand)
        assignments = tuple(each for each in planned if self._fits_in_memory(model, each))
        if not assignments:
            self._satisfied_inputs[group.name] = plan_input
        elif await self._is_justified(group):
            await self._claim(model, group, assignments, demand)

    async def _is_justified(self, group: Group) -> bool:
        """Return whether the losses that a plan makes up for aren't seen by this process alone."""
        if not await self._has_contact():
            return False
        domains = domains_of(group.name)
        suspected = [
            each.instance
            for each in self._upstreams.layer_hosts(self._service)
            if each.domain in domains
            and not (each.usable or each.leaving)
            and each.instance not in self._refuted_until
        ]
        reached = await self._reached_by_peers(suspected) if suspected else frozenset()
        until = trio.current_time() + REFUTED_SECONDS
        self._refuted_until |= dict.fromkeys(reached, until)
        if reached:
            self._log("losses-refuted", group=group.name, instances=sorted(reached))
        return not reached

    def _wait_seconds(self, group: Group) -> float:
        """Return how long this process waits for others to plan, with jitter drawn once a need."""
        record = self._book.last_plan(group.name)
        if record is not None and record.author == self._book.author:
            return 0.0
        base = TURN_SECONDS
        if self._failed_domains & domains_of(group.name):
            base = WITNESS_TURN_SECONDS
        jitter = self._wait_jitter.setdefault(group.name, self._random.random())
        turn_seconds = base * (1 + self._processes_ahead(group))
        return min(turn_seconds, MAX_WAIT_SECONDS) * (1.0 + jitter / 3.0)

    async def _claim(
        self,
        model: ModelSpec,
        group: Group,
        assignments: tuple[Assignment, ...],
        demand: PlacementDemand,
    ) -> None:
        deadline = trio.current_time() + ORDER_TIMEOUT_SECONDS
        self._record_planned(group.name)
        with trio.move_on_at(deadline):
            match await self._book.claim(group.name, model.name, assignments):
                case PlanWon(record):
                    self._log("plan", **_log_fields(group, record), **_target(model, group, demand))
                    self._mark_pending(model, record)
                    if OrderResult.CONFLICT in await self._order_all(group, record, deadline):
                        improve_after = trio.current_time() + CONFLICT_COOLDOWN_SECONDS
                        self._improve_after[group.name] = improve_after
                case ClaimLost(record):
                    self._log("plan-lost", group=group.name, author=record and record.author)
                    if record is not None:
                        self._mark_pending(model, record)
                case _:
                    self._log("plan-unanswered", group=group.name)

    def on_plan(self, group: str, model: ModelSpec, record: PlanRecord) -> None:
        """Mark the orders of a plan that another process just made as pending."""
        self._record_planned(group)
        self._mark_pending(model, record)

    def _record_planned(self, group: str) -> None:
        """Record that a plan for the group's need exists or is being written."""
        self._needed_since.pop(group, None)
        self._wait_jitter.pop(group, None)
        self._failed_domains -= domains_of(group)
        self._improve_after[group] = trio.current_time() + IMPROVEMENT_COOLDOWN_SECONDS

    def _mark_pending(self, model: ModelSpec, record: PlanRecord) -> None:
        """Mark a plan's orders as pending, for as long as they may take.

        The loads of all groups slow each other down, those of earlier plans included.
        """
        now = trio.current_time()
        for each in record.assignments:
            row = self._upstreams.get(each.instance)
            if row is None:
                continue
            held, ordered = set(range(row.first, row.end)), set(range(each.first, each.end))
            seconds = model.load_seconds * len(ordered - held) / model.layers
            # An upstream that drops layers accepts no order until the streams on them end.
            busy = bool(held - ordered) and not each.at_once
            deadline = now + seconds + (MAX_STREAM_SECONDS if busy else MAX_ROW_LAG_SECONDS)
            self._pending[each.instance] = _Pending(each.first, each.end, deadline, busy, seconds)
        loads = sum(each.load_seconds > 0.0 for each in self._pending.values())
        slowdown = loads / max(1, model.parallel_loads)
        self._pending = {name: each.slowed_to(slowdown) for name, each in self._pending.items()}

    async def _order_all(
        self, group: Group, record: PlanRecord, deadline: float
    ) -> set[OrderResult]:
        """Send all orders of a plan concurrently and return their results."""
        expected = {each.instance: _expected_range(each) for each in group.hosts}
        results: set[OrderResult] = set()
        async with trio.open_nursery() as nursery:
            for each in record.assignments:
                expected_range = expected[each.instance]
                nursery.start_soon(self._order, each, expected_range, deadline, results)
        return results

    async def _order(
        self,
        assignment: Assignment,
        expected_range: tuple[int, int],
        deadline: float,
        results: set[OrderResult],
    ) -> None:
        row = self._upstreams.get(assignment.instance)
        if row is None:
            return
        outcome = await self._sender.send(row, assignment, expected_range, deadline)
        result = outcome.result
        results.add(result)
        if self._upstreams.get(row.instance) is None:
            self._pending.pop(row.instance, None)
        elif result is OrderResult.OUTDATED:
            # Plan with the reported range until the row has had time to catch up.
            stale_until = trio.current_time() + MAX_ROW_LAG_SECONDS
            self._pending[row.instance] = _Pending(*outcome.report.held, stale_until)
        elif result is OrderResult.UNRELIABLE:
            # Plan with the row's range, so that other upstreams are assigned the layers.
            unreliable_until = trio.current_time() + UNRELIABLE_COOLDOWN_SECONDS
            self._pending[row.instance] = _Pending(row.first, row.end, unreliable_until, True)
        elif result in (OrderResult.CONFLICT, OrderResult.UNANSWERED):
            busy_until = trio.current_time() + BUSY_COOLDOWN_SECONDS
            self._pending[row.instance] = _Pending(row.first, row.end, busy_until, True)
        elif result not in (OrderResult.ACCEPTED, OrderResult.HELD):
            self._pending.pop(assignment.instance, None)
        self._log(
            "order",
            instance=assignment.instance,
            address=row.address,
            first=assignment.first,
            end=assignment.end,
            at_once=assignment.at_once,
            reason=assignment.reason,
            result=str(result),
        )


def _as_usable(host: LayerHost) -> LayerHost:
    return replace(host, usable=True, serving=True)


def _expected_range(host: LayerHost) -> tuple[int, int]:
    return (0, 0) if host.is_empty else (host.first, host.end)


def _log_fields(group: Group, record: PlanRecord) -> dict[str, object]:
    return {
        "group": group.name,
        "number": record.number,
        "copies": group.copies,
        "assignments": [
            f"{each.instance} {each.first}-{each.end} ({each.reason})"
            for each in record.assignments
        ],
    }


def _target(model: ModelSpec, group: Group, demand: PlacementDemand) -> dict[str, object]:
    """Return the log fields of the division of memory that a plan was made for, if any."""
    target = target_of(model, group, demand)
    if target is None:
        return {}
    return {
        "streams": round(target.streams, 1),
        "wanted_copies": target.copies,
        "fill": round(target.fill, 3),
        "healing_fill": round(target.healing_fill, 3),
    }
