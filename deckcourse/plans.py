"""Plans as operators see them, and the transaction that confirms one."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

import msgspec
from returns.result import Failure, Success

from deckcourse.configuration import Change, Configuration
from deckcourse.configuration_store import ChangeAccepted, ChangeConflict, ConfigurationStore
from deckcourse.intents import Intent, intent_from
from deckcourse.planner import Draft, Fleet, PlanRefused, draft_plan
from deckcourse.table import ABSENT, Committed, Row, TableFailure, TableService, Write

__all__ = [
    "Confirmed",
    "NoSuchPlan",
    "Plan",
    "PlanConflict",
    "PlanState",
    "PlanStore",
    "PlatformOut",
    "ConfirmUnknown",
]

PLAN_PREFIX = "plan/"
CONFIRM_TRIES = 5


class PlanState(StrEnum):
    """How far a plan has come."""

    PROPOSED = "proposed"
    CONFIRMED = "confirmed"


@dataclass(frozen=True)
class Plan:
    """A plan: what an operator stated, what would change, and the version it was made on."""

    name: str
    base: int
    intent: dict[str, Any]
    steps: tuple[str, ...]
    capacity_before: float
    capacity_lowest: float
    capacity_after: float
    warnings: tuple[str, ...]
    change: Change
    state: PlanState = PlanState.PROPOSED
    version: int = 0
    # What it cuts of requests in flight: new parts are loaded first and old ones run dry.
    cuts: int = 0


@dataclass(frozen=True)
class Confirmed:
    """The plan is accepted under this version, now or by an earlier confirmation."""

    version: int
    change: Change


@dataclass(frozen=True)
class PlanConflict:
    """Another plan was accepted first; `fresh` is the intent planned anew, None if it can't be."""

    message: str
    fresh: Plan | None


@dataclass(frozen=True)
class NoSuchPlan:
    """No plan has this name."""


@dataclass(frozen=True)
class PlatformOut:
    """The table service is out; nothing was changed."""


@dataclass(frozen=True)
class ConfirmUnknown:
    """The reply was lost, or nobody has the change yet; confirming again by name settles it."""


ConfirmResult = Confirmed | PlanConflict | NoSuchPlan | PlatformOut | ConfirmUnknown


class PlanStore:
    """Keeps plans in the table service and confirms them."""

    def __init__(self, table: TableService, configurations: ConfigurationStore) -> None:
        self._table = table
        self._configurations = configurations

    async def propose(
        self, name: str, configuration: Configuration, fleet: Fleet, intent: Intent, message: dict
    ) -> Plan | PlanRefused | PlatformOut:
        """Plan an intent and keep the plan."""
        draft = draft_plan(configuration, fleet, intent)
        if isinstance(draft, PlanRefused):
            return draft
        plan = _plan(name, configuration.version, draft, message)
        match await self._table.transact([Write(_key(name), msgspec.json.encode(plan), ABSENT)]):
            case Success(Committed()):
                return plan
        stored = await self.get(name)
        return stored if isinstance(stored, Plan) else PlatformOut()

    async def get(self, name: str) -> Plan | NoSuchPlan | PlatformOut:
        """Return a plan by name."""
        match await self._table.read([_key(name)]):
            case Success((None,)):
                return NoSuchPlan()
            case Success((row,)):
                return _decode(row)
        return PlatformOut()

    async def confirm(
        self, name: str, known: Configuration, fleet: Fleet, fresh_name: str
    ) -> ConfirmResult:
        """Accept a plan in one transaction that checks the version that it was made on.

        A plan made on an older version is planned anew; it's accepted only if that gives the
        very same steps, since these are what the operator read.

        Args:
          name: the plan's.
          known: a configuration to read on from.
          fleet: what a new planning would work on.
          fresh_name: the name of the plan that a conflict offers instead.
        """
        uncertain = False
        for _ in range(CONFIRM_TRIES):
            result = await self._try_confirm(name, known, fleet, fresh_name)
            if isinstance(result, PlatformOut) and uncertain:
                return ConfirmUnknown()
            if result is not None:
                return result
            uncertain = True
        return ConfirmUnknown()

    async def _try_confirm(
        self, name: str, known: Configuration, fleet: Fleet, fresh_name: str
    ) -> ConfirmResult | None:
        rows = await self._table.read([_key(name)])
        if not isinstance(rows, Success):
            return PlatformOut()
        (row,) = rows.unwrap()
        if row is None:
            return NoSuchPlan()
        plan = _decode(row)
        if plan.state == PlanState.CONFIRMED:
            return Confirmed(plan.version, plan.change)
        newest = await self._configurations.catch_up(known)
        if not isinstance(newest, Success):
            return PlatformOut()
        configuration = newest.unwrap()
        if configuration.version != plan.base:
            plan = await self._replanned(plan, configuration, fleet, fresh_name)
        if isinstance(plan, PlanConflict):
            return plan
        return await self._commit(row, plan)

    async def _replanned(
        self, plan: Plan, configuration: Configuration, fleet: Fleet, fresh_name: str
    ) -> Plan | PlanConflict:
        message = f"version {configuration.version} was accepted since version {plan.base}"
        intent = intent_from(plan.intent).unwrap()
        draft = draft_plan(configuration, fleet, intent)
        if isinstance(draft, PlanRefused):
            return PlanConflict(f"{message}; {draft.message}", None)
        if draft.steps == plan.steps and draft.warnings == plan.warnings:
            return _plan(plan.name, configuration.version, draft, plan.intent)
        fresh = await self.propose(fresh_name, configuration, fleet, intent, plan.intent)
        return PlanConflict(message, fresh if isinstance(fresh, Plan) else None)

    async def _commit(self, row: Row, plan: Plan) -> ConfirmResult | None:
        version = plan.base + 1
        confirmed = replace(plan, state=PlanState.CONFIRMED, version=version)
        write = Write(row.key, msgspec.json.encode(confirmed), row.version)
        match await self._configurations.commit(plan.change, (write,)):
            case Success(ChangeAccepted()):
                return Confirmed(version, plan.change)
            case Failure(TableFailure.UNAVAILABLE):
                return PlatformOut()
            case Success(ChangeConflict()) | Failure(TableFailure.UNKNOWN):
                # Another was first, or the reply was lost: the plan's row tells which.
                return None
        return ConfirmUnknown()


def _plan(name: str, base: int, draft: Draft, message: dict[str, Any]) -> Plan:
    return Plan(
        name=name,
        base=base,
        intent=message,
        steps=draft.steps,
        capacity_before=draft.capacity_before,
        capacity_lowest=draft.capacity_lowest,
        capacity_after=draft.capacity_after,
        warnings=draft.warnings,
        change=replace(draft.change, plan=name),
    )


def _key(name: str) -> str:
    return f"{PLAN_PREFIX}{name}"


def _decode(row: Row) -> Plan:
    return msgspec.json.decode(row.value, type=Plan)
