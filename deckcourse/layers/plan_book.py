"""The plans in force, one row for each group of upstreams, written conditionally.

The process that writes the next version of a row is the one that sends its orders. There is no
lease to renew, so nothing waits for a process that is paused, partitioned or killed; upstreams
reject its late orders by their order counts.
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
# Maximum layers of a model and orders of a plan: a row's orders are iterated over, and any process
# may have written it.
MAX_LAYERS = 10_000
MAX_ORDERS = 10_000
# Plan numbers increase by one; no real one comes close to this.
MAX_PLAN_NUMBER = 2**53


@dataclass(frozen=True)
class PlanRecord:
    """A plan: its author, its model and its assignments."""

    number: int
    author: str
    model: str
    assignments: tuple[Assignment, ...]


@dataclass(frozen=True)
class PlanWon:
    """The plan is in force and its author may send its orders."""

    record: PlanRecord


@dataclass(frozen=True)
class ClaimLost:
    """Another process wrote first; its plan, if it could be read."""

    record: PlanRecord | None


@dataclass(frozen=True)
class ClaimUnanswered:
    """The table did not answer: the plan may be in force, but no process may act on it."""


class PlanBook:
    """One process's view of the plans.

    Args:
      table: the table that holds the plans.
      author: the name under which this process writes plans.
    """

    def __init__(self, table: TableService, author: str) -> None:
        self._table = table
        self._author = author
        self._rows: dict[str, Row | None] = {}
        # Each row's plan, decoded once: it is read in every check and may hold a thousand orders.
        self._plans: dict[str, PlanRecord | None] = {}

    @property
    def author(self) -> str:
        """The name under which this process writes plans."""
        return self._author

    def last_plan(self, group: str) -> PlanRecord | None:
        """Return the last plan of a group that this process read or wrote."""
        return self._plans.get(group)

    def _store(self, group: str, row: Row | None, plan: PlanRecord | None) -> None:
        self._rows[group] = row
        self._plans[group] = plan

    def merge(self, row: Row) -> PlanRecord | None:
        """Merge a group's row that was read elsewhere.

        Returns:
          The plan in it if it is newer and another process wrote it.
        """
        group = row.key.removeprefix(KEY_PREFIX)
        stored_row = self._rows.get(group)
        if stored_row is not None and stored_row.version >= row.version:
            return None
        record = _decode(row)
        self._store(group, row, record)
        return None if record is None or record.author == self._author else record

    async def refresh(self, group: str) -> PlanRecord | None:
        """Read the plan of a group from the table, or return the last one if there is no answer."""
        match await self._table.read([KEY_PREFIX + group]):
            case Success((row,)):
                self._store(group, row, None if row is None else _decode(row))
        return self.last_plan(group)

    async def claim(
        self, group: str, model: str, assignments: tuple[Assignment, ...]
    ) -> PlanWon | ClaimLost | ClaimUnanswered:
        """Write the next plan of a group unless another process wrote one since the last read."""
        row = self._rows.get(group)
        last_plan = self.last_plan(group)
        number = 1 if last_plan is None else last_plan.number + 1
        record = PlanRecord(number, self._author, model, assignments)
        value = msgspec.json.encode(record)
        expected = ABSENT if row is None else row.version
        match await self._table.transact([Write(KEY_PREFIX + group, value, expected)]):
            case Success(Committed((version,))):
                self._store(group, Row(KEY_PREFIX + group, version, value), record)
                return PlanWon(record)
            case Success(_):
                return ClaimLost(await self.refresh(group))
        # The write may have succeeded: the next claim must be based on the current row.
        await self.refresh(group)
        return ClaimUnanswered()


class _Order(msgspec.Struct):
    """An assignment as stored in a row."""

    instance: str
    first: Annotated[int, Meta(ge=0, le=MAX_LAYERS)]
    end: Annotated[int, Meta(ge=0, le=MAX_LAYERS)]
    reason: str
    at_once: bool = False


class _Plan(msgspec.Struct):
    """A plan as stored in a row."""

    number: Annotated[int, Meta(ge=1, le=MAX_PLAN_NUMBER)]
    author: str
    model: str
    assignments: Annotated[list[_Order], Meta(max_length=MAX_ORDERS)]


def _decode(row: Row) -> PlanRecord | None:
    """Return the plan in a row, None if it is malformed: any process may have written it."""
    try:
        row.value.decode()
        plan = msgspec.json.decode(row.value, type=_Plan)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    stored_orders = plan.assignments
    if any(each.end < each.first for each in stored_orders):
        return None
    if len({each.instance for each in stored_orders}) < len(stored_orders):
        return None
    assignments = (
        Assignment(each.instance, each.first, each.end, each.reason, each.at_once)
        for each in stored_orders
    )
    return PlanRecord(plan.number, plan.author, plan.model, tuple(assignments))
