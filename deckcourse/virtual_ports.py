"""The ports of a process in a virtual site: in memory, over its links, with its steps named."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass

import msgspec
import trio
from returns.result import Failure, Result

from deckcourse.claims import CLAIM_PREFIX, ClaimState
from deckcourse.configuration_store import HEAD_KEY
from deckcourse.engine import (
    Engine,
    EngineFailure,
    EngineLoad,
    FinishFrame,
    Frame,
    Hop,
    Lost,
    Order,
    OrderReply,
    Refused,
    StreamLostError,
    StreamStart,
    Unreachable,
)
from deckcourse.instance_list import ListedInstance, ListFailure
from deckcourse.lease import LEASE_KEY
from deckcourse.object_store import ObjectFailure, ObjectStore
from deckcourse.peer_link import Exchange
from deckcourse.plain_service import PlainService, ServiceCall, ServiceReply
from deckcourse.plans import PLAN_PREFIX, PlanState
from deckcourse.standin_stage import StandinStage, StepCall, StepMissing, StepReply
from deckcourse.table import Committed, Conflict, Row, TableFailure, TableService, Write
from deckcourse.virtual_links import Gate, Links, Step, Steps

__all__ = [
    "PLATFORM",
    "Crossing",
    "VirtualEngine",
    "VirtualList",
    "VirtualObjects",
    "VirtualPeerLink",
    "VirtualService",
    "VirtualStage",
    "VirtualTable",
]

PLATFORM = "platform"
MID_STREAM_INDEX = 5
PEER_SECONDS = 1.0
PLATFORM_SECONDS = 1.5


CLAIM_STEPS = {ClaimState.CLAIMED: Step.CLAIM, ClaimState.DONE: Step.RECORD_RESULT}
PLAN_STEPS = {PlanState.PROPOSED: Step.PLAN, PlanState.CONFIRMED: Step.CONFIRM}


@dataclass(frozen=True)
class Crossing:
    """How one process reaches the others: its name, its pause, the links and the steps."""

    source: str
    gate: Gate
    links: Links
    steps: Steps

    async def connect(self, target: str) -> bool:
        """Open a connection."""
        await self.gate.wait_open()
        opened = await self.links.connect(self.source, target)
        await self.gate.wait_open()
        return opened

    async def back(self, target: str) -> None:
        """Carry a reply back."""
        await self.links.cross(target, self.source)
        await self.gate.wait_open()

    def reach(self, step: Step) -> None:
        """Note a step."""
        self.steps.reach(step, self.source)

    def loses(self, step: Step | None) -> bool:
        """Return whether the reply of a step that took effect is to get lost."""
        return self.steps.take_loss(step)


def _step_of(write: Write) -> Step | None:
    """Return the step that a write belongs to, if any."""
    value = write.value or b""
    if write.key.startswith(CLAIM_PREFIX):
        return CLAIM_STEPS.get(_state(value))
    if write.key == LEASE_KEY:
        return Step.LEASE_RENEW
    if write.key.startswith(PLAN_PREFIX):
        return PLAN_STEPS.get(_state(value))
    return None


def _state(value: bytes) -> str:
    return msgspec.json.decode(value)["state"]


class VirtualTable:
    """The table service as one process reaches it."""

    def __init__(self, crossing: Crossing, table: TableService) -> None:
        self._crossing = crossing
        self._table = table

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row | None, ...], TableFailure]:
        """Return the rows of `keys`, None for each that is absent."""
        with trio.move_on_after(PLATFORM_SECONDS):
            if not await self._crossing.connect(PLATFORM):
                return Failure(TableFailure.UNAVAILABLE)
            result = await self._table.read(keys)
            await self._crossing.back(PLATFORM)
            return result
        return Failure(TableFailure.UNKNOWN)

    async def transact(self, writes: Sequence[Write]) -> Result[Committed | Conflict, TableFailure]:
        """Do all writes or none."""
        steps = sorted({_step_of(write) for write in writes} - {None})
        for step in steps:
            self._crossing.reach(step)
        with trio.move_on_after(PLATFORM_SECONDS):
            if not await self._crossing.connect(PLATFORM):
                return Failure(TableFailure.UNAVAILABLE)
            result = await self._table.transact(writes)
            if any(write.key == HEAD_KEY for write in writes):
                self._crossing.reach(Step.CONFIG_ACCEPT)
                steps.append(Step.CONFIG_ACCEPT)
            await self._crossing.back(PLATFORM)
            if any(self._crossing.loses(step) for step in steps):
                return Failure(TableFailure.UNKNOWN)
            return result
        return Failure(TableFailure.UNKNOWN)


class VirtualObjects:
    """The object store as one process reaches it."""

    def __init__(self, crossing: Crossing, store: ObjectStore) -> None:
        self._crossing = crossing
        self._store = store

    async def get(self, name: str) -> Result[bytes | None, ObjectFailure]:
        """Return the object, None where it's absent."""
        if not await self._crossing.connect(PLATFORM):
            return Failure(ObjectFailure.UNAVAILABLE)
        return await self._store.get(name)

    async def put(self, name: str, value: bytes) -> Result[None, ObjectFailure]:
        """Write the object."""
        if not await self._crossing.connect(PLATFORM):
            return Failure(ObjectFailure.UNAVAILABLE)
        return await self._store.put(name, value)


class VirtualList:
    """The instance list as one process reaches it."""

    def __init__(self, crossing: Crossing, instances) -> None:
        self._crossing = crossing
        self._instances = instances

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        """Return all lines of the list."""
        if not await self._crossing.connect(PLATFORM):
            return Failure(ListFailure.UNAVAILABLE)
        result = await self._instances.instances()
        await self._crossing.back(PLATFORM)
        return result


class VirtualEngine:
    """An engine as one process reaches it."""

    def __init__(self, crossing: Crossing, target: str, engine: Callable[[], Engine]) -> None:
        self._crossing = crossing
        self._target = target
        self._engine = engine

    @asynccontextmanager
    async def stream(
        self, start: StreamStart
    ) -> AsyncIterator[AsyncIterator[tuple[Frame, ...]] | EngineFailure]:
        """Start or resume a stream."""
        self._crossing.reach(Step.ROUTE)
        if not await self._crossing.connect(self._target):
            yield Unreachable(self._target, "connect timeout")
            return
        async with self._engine().stream(start) as frames:
            await self._crossing.back(self._target)
            if isinstance(frames, Unreachable | Refused | Lost):
                yield frames
            else:
                yield self._carry(frames)

    async def _carry(self, frames) -> AsyncIterator[tuple[Frame, ...]]:
        async with aclosing(frames):
            async for batch in frames:
                for frame in batch:
                    self._reach(_frame_step(frame))
                await self._crossing.back(self._target)
                # As in a real read: a process that woke late meets its deadline here.
                await trio.lowlevel.checkpoint()
                yield batch

    def _reach(self, step: Step | None) -> None:
        if step is None:
            return
        self._crossing.reach(step)
        if self._crossing.loses(step):
            raise StreamLostError(Lost(self._target, "connection reset"))

    async def load(self) -> EngineLoad | EngineFailure:
        """Return the engine's report of itself."""
        if not await self._crossing.connect(self._target):
            return Unreachable(self._target, "connect timeout")
        reply = await self._engine().load()
        await self._crossing.back(self._target)
        return reply

    async def order(self, order: Order) -> OrderReply | EngineFailure:
        """Give a fenced order."""
        self._crossing.reach(Step.ORDER)
        if not await self._crossing.connect(self._target):
            return Unreachable(self._target, "connect timeout")
        reply = await self._engine().order(order)
        self._crossing.reach(Step.ORDER_REPLY)
        await self._crossing.back(self._target)
        if self._crossing.loses(Step.ORDER_REPLY):
            return Lost(self._target, "connection reset")
        return reply

    async def cancel(self, request: str, attempt: int) -> None:
        """Stop a stream for good."""
        if await self._crossing.connect(self._target):
            await self._engine().cancel(request, attempt)


def _frame_step(frame: Frame) -> Step | None:
    if isinstance(frame, FinishFrame):
        return Step.FINISH
    if frame.index == 0:
        return Step.FIRST_TOKEN
    return Step.MID_STREAM if frame.index == MID_STREAM_INDEX else None


class VirtualStage(StandinStage):
    """The next stage of a route, over the link between the two engines."""

    def __init__(
        self, links: Links, source: str, hop: Hop, stage: Callable[[], StandinStage]
    ) -> None:
        self._links = links
        self._source = source
        self._target = hop.instance
        self._stage = stage

    async def step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        """Run this stage's layers, and those of the stages after it."""
        if not await self._links.connect(self._source, self._target):
            return Unreachable(self._target, "connect timeout")
        reply = await self._stage().step(call)
        await self._links.cross(self._target, self._source)
        return reply

    async def finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        """Let go of what this stage, and those after it, hold of a request."""
        if await self._links.connect(self._source, self._target):
            await self._stage().finish(request, attempt, hops)


class VirtualService:
    """A plain service as one process reaches it."""

    def __init__(self, crossing: Crossing, target: str, service: PlainService) -> None:
        self._crossing = crossing
        self._target = target
        self._service = service

    async def call(self, call: ServiceCall) -> ServiceReply | Unreachable | Refused | Lost:
        """Send the call once."""
        self._crossing.reach(Step.CALL)
        if not await self._crossing.connect(self._target):
            return Unreachable(self._target, "connect timeout")
        reply = await self._service.call(call)
        await self._crossing.back(self._target)
        if self._crossing.loses(Step.CALL):
            return Lost(self._target, "connection reset")
        return reply


class VirtualPeerLink:
    """The way from one process to another; `answer` is None while that one is dead."""

    def __init__(self, crossing: Crossing, target: str, answer: Callable[[], Callable | None]):
        self._crossing = crossing
        self._target = target
        self._answer = answer

    async def exchange(self, message: Exchange) -> Exchange | None:
        """Send a message and return the peer's, None where it can't be had in time."""
        if message.changes or message.snapshot is not None:
            self._crossing.reach(Step.CONFIG_SPREAD)
        with trio.move_on_after(PEER_SECONDS):
            if not await self._crossing.connect(self._target):
                return None
            answer = self._answer()
            if answer is None:
                return None
            reply = await answer(message)
            await self._crossing.back(self._target)
            return None if self._crossing.loses(Step.CONFIG_SPREAD) else reply
        return None
