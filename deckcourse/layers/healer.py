"""Keeps a model whole: compares what is held with the plan and orders what is missing.

Every process runs one. The author of the last plan acts at once; the others go in turn, so that
usually one of them writes. Whoever sees more, acts sooner.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

import trio

from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.hosts import Assignment, Group, LayerHost, domains_of, groups_of
from deckcourse.layers.model import ModelSpec
from deckcourse.layers.orders import Orderer, OrderResult, OrderSender
from deckcourse.layers.placement import plan_group
from deckcourse.layers.plan_book import ClaimLost, PlanBook, PlanRecord, PlanWon

__all__ = ["Healer"]

# Between two looks at the upstreams while nothing changes, seconds.
LOOK_SECONDS = 0.06
# The same for each host, seconds, where that is longer: a look takes time in proportion to them.
LOOK_SECONDS_PER_HOST = 0.0001
# The author of the last plan acts at once; each other process waits this long for each one whose
# turn is before its own, and for itself, seconds: by chance most would try to write each plan.
OTHERS_WAIT_SECONDS = 0.15
# A process that saw a failure on its own connections need not wait that long, seconds.
WITNESS_WAIT_SECONDS = 0.03
# Nobody waits longer than this and up to a third more by chance, seconds: all whose turn is before
# may be lost, and a plan is told to everybody within a tenth of it.
LONGEST_WAIT_SECONDS = 1.5
# Rows come in over the first seconds after the start; the first placement waits for them to stop
# coming for so long, seconds.
SETTLED_SECONDS = 1.2
# An order may be given this long after its plan was asked for: whoever was paused in between
# gives none, seconds.
ORDER_SECONDS = 1.5
# An upstream that is still busy with an order turns the next one down, and one that gave no answer
# may carry it out all the same; both are left alone for so long, seconds.
BUSY_SECONDS = 0.6
# How long no orders are sent to an upstream that drops accepted orders, seconds.
UNRELIABLE_SECONDS = 10.0
# After a plan, layers are given up only after so long, seconds: one change at a time, and gaps go
# before.
REST_SECONDS = 1.0
# How long a row may lag behind what an upstream did, seconds.
ROW_LAG_SECONDS = 1.2
# An upstream that turned an order down gives layers up until its longest stream is through: a plan
# that only improves waits so long, seconds.
CONFLICT_REST_SECONDS = 3.0
# How long a usual stream takes at the most, seconds: what an upstream gives up is free by then.
GIVING_UP_SECONDS = 2.5


@dataclass(frozen=True)
class _Pending:
    """An ordered range; it counts until its deadline or until the row shows it.

    With `busy`, it is what an upstream holds that takes no order before the deadline.
    """

    first: int
    end: int
    deadline: float
    busy: bool = False


@dataclass(frozen=True)
class _Situation:
    """What a plan for a group follows from; see `plan_group`."""

    model: ModelSpec
    group: Group
    pending: Mapping[str, tuple[int, int]]
    settled: bool
    rested: bool


class Healer:
    """One process's part in the placement of one model.

    Args:
      service: the service whose upstreams hold the model's layers.
      upstreams: what this process knows of them.
      book: the plans in force.
      orderer: gives orders to upstreams.
      random: for the time that is left to other processes.
      log: writes decisions.
      turn: returns how many processes go before this one where a group needs a plan.
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
    ) -> None:
        self._service = service
        self._upstreams = upstreams
        self._book = book
        self._sender = OrderSender(upstreams, orderer)
        self._random = random
        self._log = log
        self._turn = turn
        self._pending: dict[str, _Pending] = {}
        self._wanted_since: dict[str, float] = {}
        self._patience: dict[str, float] = {}
        self._known_hosts: frozenset[str] = frozenset()
        self._settled_at = 0.0
        self._witnessed: set[str] = set()
        self._rested_from: dict[str, float] = {}
        # The groups as of a count of changes, and the model that they are for.
        self._grouped: tuple[int, ModelSpec, tuple[Group, ...]] | None = None
        # The last situation in which there was nothing to do: it isn't searched at each look.
        self._at_rest: dict[str, _Situation] = {}

    def witness(self, domain: str) -> None:
        """Note that this process itself saw an upstream of a failure domain fail.

        It counts until a plan is made for the domain. Did it count on, most processes would go
        before their turn from some losses on, and most claims be lost.
        """
        self._witnessed.add(domain)

    async def run(self, model: Callable[[], ModelSpec | None], allowed: Callable[[], bool]) -> None:
        """Look and order until cancelled; nothing while `allowed` says no."""
        while True:
            spec = model()
            if spec is not None and allowed():
                await self._round(spec)
            hosts = len(self._known_hosts)
            await trio.sleep(max(LOOK_SECONDS, LOOK_SECONDS_PER_HOST * hosts))

    async def _round(self, model: ModelSpec) -> None:
        now = trio.current_time()
        self._drop_done(now)
        for group in self._groups(model, now):
            await self._heal(model, group, now)

    def _groups(self, model: ModelSpec, now: float) -> tuple[Group, ...]:
        """Return the groups of the upstreams, worked out anew only where something changed."""
        changes = self._upstreams.changes
        if self._grouped is None or self._grouped[:2] != (changes, model):
            hosts = self._upstreams.layer_hosts(self._service)
            self._note_settling(hosts, now)
            self._grouped = changes, model, groups_of(model, hosts)
        return self._grouped[2]

    def _fits(self, model: ModelSpec, assignment: Assignment) -> bool:
        """Return whether what is held and what is new fit together into the upstream's memory.

        The planner sees to it; an order beyond it would bring the upstream down.
        """
        row = self._upstreams.get(assignment.instance)
        if row is None:
            return False
        held = set(range(assignment.first, assignment.end))
        if not assignment.at_once:
            held |= set(range(row.first, row.end))
        if len(held) <= model.max_layers(row.kind):
            return True
        self._log(
            "order-withheld",
            instance=assignment.instance,
            first=assignment.first,
            end=assignment.end,
            held=f"{row.first}-{row.end}",
        )
        return False

    def _note_settling(self, hosts: Sequence[LayerHost], now: float) -> None:
        names = frozenset(each.instance for each in hosts)
        if names != self._known_hosts:
            self._known_hosts = names
            self._sender.keep_only(names)
            self._settled_at = now + SETTLED_SECONDS

    def _drop_done(self, now: float) -> None:
        for instance, pending in list(self._pending.items()):
            row = self._upstreams.get(instance)
            held = row is not None and (row.first, row.end) == (pending.first, pending.end)
            if (held and not pending.busy) or row is None or now >= pending.deadline:
                del self._pending[instance]

    async def _heal(self, model: ModelSpec, group: Group, now: float) -> None:
        pending = {name: (each.first, each.end) for name, each in self._pending.items()}
        rested = now >= self._rested_from.get(group.name, 0.0)
        situation = _Situation(model, group, pending, self._upstreams.settled, rested)
        if situation == self._at_rest.get(group.name):
            self._wanted_since.pop(group.name, None)
            return
        # A plan is searched for only when this process's turn has come: usually another one has
        # made it by then.
        since = self._wanted_since.setdefault(group.name, now)
        if all(each.empty for each in group.hosts):
            # Turns begin when rows have stopped coming, or all would come at that moment.
            since = max(since, self._settled_at)
        if now < since + self._wait(group):
            return
        planned = plan_group(model, group, pending, situation.settled, rested)
        assignments = tuple(each for each in planned if self._fits(model, each))
        if assignments:
            await self._claim(model, group, assignments)
        else:
            self._at_rest[group.name] = situation

    def _wait(self, group: Group) -> float:
        """Return how long this process leaves a need to others, drawn once for each need."""
        record = self._book.known(group.name)
        if record is not None and record.author == self._book.author:
            return 0.0
        base = OTHERS_WAIT_SECONDS
        if self._witnessed & domains_of(group.name):
            base = WITNESS_WAIT_SECONDS
        share = self._patience.setdefault(group.name, self._random.random())
        in_turn = base * (1 + self._turn(group))
        return min(in_turn, LONGEST_WAIT_SECONDS) * (1.0 + share / 3.0)

    async def _claim(
        self, model: ModelSpec, group: Group, assignments: tuple[Assignment, ...]
    ) -> None:
        deadline = trio.current_time() + ORDER_SECONDS
        self._note_planned(group.name)
        with trio.move_on_at(deadline):
            match await self._book.claim(group.name, model.name, assignments):
                case PlanWon(record):
                    self._log("plan", **_described(group, record))
                    self._expect(model, record)
                    if OrderResult.CONFLICT in await self._order_all(group, record, deadline):
                        rested_at = trio.current_time() + CONFLICT_REST_SECONDS
                        self._rested_from[group.name] = rested_at
                case ClaimLost(record):
                    self._log("plan-lost", group=group.name, author=record and record.author)
                    if record is not None:
                        self._expect(model, record)
                case _:
                    self._log("plan-unanswered", group=group.name)

    def hear(self, group: str, model: ModelSpec, record: PlanRecord) -> None:
        """Take in a plan that another process just made: what it orders is under way."""
        self._note_planned(group)
        self._expect(model, record)

    def _note_planned(self, group: str) -> None:
        """Note that a group's need is seen to by a plan that is made, or is being made."""
        self._wanted_since.pop(group, None)
        self._patience.pop(group, None)
        self._witnessed -= domains_of(group)
        self._rested_from[group] = trio.current_time() + REST_SECONDS

    def _expect(self, model: ModelSpec, record: PlanRecord) -> None:
        """Count what a plan orders as under way, for as long as it may take."""
        now = trio.current_time()
        count = max(1, len(record.assignments) / max(1, model.parallel_loads))
        for each in record.assignments:
            row = self._upstreams.get(each.instance)
            if row is None:
                continue
            held, wanted = set(range(row.first, row.end)), set(range(each.first, each.end))
            seconds = model.load_seconds * len(wanted - held) / model.layers * count
            # An upstream that gives layers up takes no order until the streams there are through.
            busy = bool(held - wanted) and not each.at_once
            seconds += GIVING_UP_SECONDS if busy else ROW_LAG_SECONDS
            self._pending[each.instance] = _Pending(each.first, each.end, now + seconds, busy)

    async def _order_all(
        self, group: Group, record: PlanRecord, deadline: float
    ) -> set[OrderResult]:
        """Give all orders of a plan at once; return what upstreams answered."""
        expected = {each.instance: _held_range(each) for each in group.hosts}
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
            stale_until = trio.current_time() + ROW_LAG_SECONDS
            self._pending[row.instance] = _Pending(*outcome.report.held, stale_until)
        elif result is OrderResult.UNRELIABLE:
            # Plan with the row's range, so that other upstreams are assigned the layers.
            unreliable_until = trio.current_time() + UNRELIABLE_SECONDS
            self._pending[row.instance] = _Pending(row.first, row.end, unreliable_until, True)
        elif result in (OrderResult.CONFLICT, OrderResult.UNANSWERED):
            busy_until = trio.current_time() + BUSY_SECONDS
            self._pending[row.instance] = _Pending(row.first, row.end, busy_until, True)
        elif result not in (OrderResult.TAKEN, OrderResult.HELD):
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


def _held_range(host: LayerHost) -> tuple[int, int]:
    return (0, 0) if host.empty else (host.first, host.end)


def _described(group: Group, record: PlanRecord) -> dict[str, object]:
    return {
        "group": group.name,
        "number": record.number,
        "copies": group.copies,
        "assignments": [
            f"{each.instance} {each.first}-{each.end} ({each.reason})"
            for each in record.assignments
        ],
    }
