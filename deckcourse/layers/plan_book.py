"""The plans in force, one row for each group of upstreams, written under a condition.

Whoever writes the next version of a row is the one that gives the orders in it. There is no
lease to renew: a process that was paused, cut off or killed has nothing that others must wait
for, and what it still orders late is turned down by the count of orders at each upstream.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Success

from deckcourse.layers.hosts import Assignment
from deckcourse.table import ABSENT, Committed, Row, TableService, Write

__all__ = ["PLAN_TABLE", "ClaimLost", "ClaimUnanswered", "PlanBook", "PlanRecord", "PlanWon"]

PLAN_TABLE = "plans"
KEY_PREFIX = f"{PLAN_TABLE}/"
# Layers that a model has at the most, and orders of a plan: those of a row are gone through one by
# one, whoever wrote it.
MOST_LAYERS = 10_000
MOST_ORDERS = 10_000
# A plan's number rises by one with each; none comes near this.
LARGEST_NUMBER = 2**53


@dataclass(frozen=True)
class PlanRecord:
    """A plan: who decided it, over which group, and what is ordered."""

    number: int
    author: str
    model: str
    assignments: tuple[Assignment, ...]


@dataclass(frozen=True)
class PlanWon:
    """The plan is in force and its author may give its orders."""

    record: PlanRecord


@dataclass(frozen=True)
class ClaimLost:
    """Another process wrote first; its plan, where it can be read."""

    record: PlanRecord | None


@dataclass(frozen=True)
class ClaimUnanswered:
    """The table gave no answer: the plan may be in force, but nobody may act on it."""


class PlanBook:
    """One process's view of the plans."""

    def __init__(self, table: TableService, author: str) -> None:
        self._table = table
        self._author = author
        self._rows: dict[str, Row | None] = {}
        # Each row's plan, decoded once: each look asks for it, and it may hold a thousand orders.
        self._plans: dict[str, PlanRecord | None] = {}

    @property
    def author(self) -> str:
        """Under which name this process writes."""
        return self._author

    def known(self, group: str) -> PlanRecord | None:
        """Return the plan of a group as last seen."""
        return self._plans.get(group)

    def _keep(self, group: str, row: Row | None, plan: PlanRecord | None) -> None:
        self._rows[group] = row
        self._plans[group] = plan

    def note(self, row: Row) -> PlanRecord | None:
        """Take in a group's row that was read elsewhere.

        Returns:
          The plan in it where that is news and another process's.
        """
        group = row.key.removeprefix(KEY_PREFIX)
        known = self._rows.get(group)
        if known is not None and known.version >= row.version:
            return None
        record = _decode(row)
        self._keep(group, row, record)
        return None if record is None or record.author == self._author else record

    async def look(self, group: str) -> PlanRecord | None:
        """Read the plan of a group anew; the last one seen where the table gives no answer."""
        match await self._table.read([KEY_PREFIX + group]):
            case Success((row,)):
                self._keep(group, row, None if row is None else _decode(row))
        return self.known(group)

    async def claim(
        self, group: str, model: str, assignments: tuple[Assignment, ...]
    ) -> PlanWon | ClaimLost | ClaimUnanswered:
        """Write the next plan of a group, if nobody else did since it was last seen."""
        row = self._rows.get(group)
        known = self.known(group)
        number = 1 if known is None else known.number + 1
        record = PlanRecord(number, self._author, model, assignments)
        value = msgspec.json.encode(record)
        expected = ABSENT if row is None else row.version
        match await self._table.transact([Write(KEY_PREFIX + group, value, expected)]):
            case Success(Committed((version,))):
                self._keep(group, Row(KEY_PREFIX + group, version, value), record)
                return PlanWon(record)
            case Success(_):
                return ClaimLost(await self.look(group))
        # Whether it was written isn't known; the next claim must see the row as it is.
        await self.look(group)
        return ClaimUnanswered()


class _Order(msgspec.Struct):
    """An assignment as a row holds it."""

    instance: str
    first: Annotated[int, Meta(ge=0, le=MOST_LAYERS)]
    end: Annotated[int, Meta(ge=0, le=MOST_LAYERS)]
    reason: str
    at_once: bool = False


class _Plan(msgspec.Struct):
    """A plan as a row holds it."""

    number: Annotated[int, Meta(ge=1, le=LARGEST_NUMBER)]
    author: str
    model: str
    assignments: Annotated[list[_Order], Meta(max_length=MOST_ORDERS)]


def _decode(row: Row) -> PlanRecord | None:
    """Return the plan in a row, None where it is none: anybody may have written it."""
    try:
        row.value.decode()
        plan = msgspec.json.decode(row.value, type=_Plan)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    orders = plan.assignments
    if any(each.end < each.first for each in orders):
        return None
    if len({each.instance for each in orders}) < len(orders):
        return None
    ordered = (
        Assignment(each.instance, each.first, each.end, each.reason, each.at_once)
        for each in orders
    )
    return PlanRecord(plan.number, plan.author, plan.model, tuple(ordered))
