"""The in-memory ports of a process in a virtual site, over simulated links and named steps."""

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
    "ProcessNetwork",
    "VirtualEngine",
    "VirtualList",
    "VirtualObjects",
    "VirtualPeerLink",
    "VirtualService",
    "VirtualStage",
    "VirtualTable",
]

PLATFORM = "platform"
MID_STREAM_TOKEN_INDEX = 5
PEER_TIMEOUT_SECONDS = 1.0
PLATFORM_TIMEOUT_SECONDS = 1.5


CLAIM_STATE_STEPS = {ClaimState.CLAIMED: Step.CLAIM, ClaimState.DONE: Step.RECORD_RESULT}
PLAN_STATE_STEPS = {PlanState.PROPOSED: Step.PLAN, PlanState.CONFIRMED: Step.CONFIRM}


@dataclass(frozen=True)
class ProcessNetwork:
    """One process's access to the simulated network, with its pauses and its named steps."""

    source: str
    gate: Gate
    links: Links
    steps: Steps

    async def connect(self, target: str) -> bool:
        """Open a connection; return whether it opened before the connect timeout."""
        await self.gate.wait_open()
        opened = await self.links.connect(self.source, target)
        await self.gate.wait_open()
        return opened

    async def receive_reply(self, target: str) -> None:
        """Wait until a reply from `target` is delivered."""
        await self.links.cross(target, self.source)
        await self.gate.wait_open()

    def reach(self, step: Step) -> None:
        """Record that this process reached a step."""
        self.steps.reach(step, self.source)

    def consume_reply_loss(self, step: Step | None) -> bool:
        """Return whether the reply of a step that took effect must be lost."""
        return self.steps.consume_reply_loss(step)


def _write_step(write: Write) -> Step | None:
    """Return the step that a write belongs to, if any."""
    value = write.value or b""
    if write.key.startswith(CLAIM_PREFIX):
        return CLAIM_STATE_STEPS.get(_state(value))
    if write.key == LEASE_KEY:
        return Step.LEASE_RENEW
    if write.key.startswith(PLAN_PREFIX):
        return PLAN_STATE_STEPS.get(_state(value))
    return None


def _state(value: bytes) -> str:
    return msgspec.json.decode(value)["state"]


class VirtualTable:
    """One process's connection to the table service."""

    def __init__(self, network: ProcessNetwork, table: TableService) -> None:
        self._network = network
        self._table = table

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row | None, ...], TableFailure]:
        """Return the rows of `keys`, None for each absent row."""
        with trio.move_on_after(PLATFORM_TIMEOUT_SECONDS):
            if not await self._network.connect(PLATFORM):
                return Failure(TableFailure.UNAVAILABLE)
            result = await self._table.read(keys)
            await self._network.receive_reply(PLATFORM)
            return result
        return Failure(TableFailure.UNKNOWN)

    async def transact(self, writes: Sequence[Write]) -> Result[Committed | Conflict, TableFailure]:
        """Execute all writes atomically, or none."""
        steps = sorted({_write_step(write) for write in writes} - {None})
        for step in steps:
            self._network.reach(step)
        with trio.move_on_after(PLATFORM_TIMEOUT_SECONDS):
            if not await self._network.connect(PLATFORM):
                return Failure(TableFailure.UNAVAILABLE)
            result = await self._table.transact(writes)
            if any(write.key == HEAD_KEY for write in writes):
                self._network.reach(Step.CONFIG_ACCEPT)
                steps.append(Step.CONFIG_ACCEPT)
            await self._network.receive_reply(PLATFORM)
            if any(self._network.consume_reply_loss(step) for step in steps):
                return Failure(TableFailure.UNKNOWN)
            return result
        return Failure(TableFailure.UNKNOWN)


class VirtualObjects:
    """One process's connection to the object store."""

    def __init__(self, network: ProcessNetwork, store: ObjectStore) -> None:
        self._network = network
        self._store = store

    async def get(self, name: str) -> Result[bytes | None, ObjectFailure]:
        """Return the object, None if it doesn't exist."""
        if not await self._network.connect(PLATFORM):
            return Failure(ObjectFailure.UNAVAILABLE)
        return await self._store.get(name)

    async def put(self, name: str, value: bytes) -> Result[None, ObjectFailure]:
        """Store the object."""
        if not await self._network.connect(PLATFORM):
            return Failure(ObjectFailure.UNAVAILABLE)
        return await self._store.put(name, value)


class VirtualList:
    """One process's connection to the instance list."""

    def __init__(self, network: ProcessNetwork, instances) -> None:
        self._network = network
        self._instances = instances

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        """Return all instances of the list."""
        if not await self._network.connect(PLATFORM):
            return Failure(ListFailure.UNAVAILABLE)
        result = await self._instances.instances()
        await self._network.receive_reply(PLATFORM)
        return result


class VirtualEngine:
    """One process's connection to an engine."""

    def __init__(self, network: ProcessNetwork, target: str, engine: Callable[[], Engine]) -> None:
        self._network = network
        self._target = target
        self._engine = engine

    @asynccontextmanager
    async def stream(
        self, start: StreamStart
    ) -> AsyncIterator[AsyncIterator[tuple[Frame, ...]] | EngineFailure]:
        """Start or resume a stream."""
        self._network.reach(Step.ROUTE)
        if not await self._network.connect(self._target):
            yield Unreachable(self._target, "connect timeout")
            return
        async with self._engine().stream(start) as frames:
            await self._network.receive_reply(self._target)
            if isinstance(frames, Unreachable | Refused | Lost):
                yield frames
            else:
                yield self._relay_frames(frames)

    async def _relay_frames(self, frames) -> AsyncIterator[tuple[Frame, ...]]:
        async with aclosing(frames):
            async for batch in frames:
                for frame in batch:
                    self._reach_step(_frame_step(frame))
                await self._network.receive_reply(self._target)
                # As in a socket read: after a pause, an expired deadline takes effect here.
                await trio.lowlevel.checkpoint()
                yield batch

    def _reach_step(self, step: Step | None) -> None:
        if step is None:
            return
        self._network.reach(step)
        if self._network.consume_reply_loss(step):
            raise StreamLostError(Lost(self._target, "connection reset"))

    async def load(self) -> EngineLoad | EngineFailure:
        """Return the engine's load report."""
        if not await self._network.connect(self._target):
            return Unreachable(self._target, "connect timeout")
        reply = await self._engine().load()
        await self._network.receive_reply(self._target)
        return reply

    async def order(self, order: Order) -> OrderReply | EngineFailure:
        """Send a fenced order."""
        self._network.reach(Step.ORDER)
        if not await self._network.connect(self._target):
            return Unreachable(self._target, "connect timeout")
        reply = await self._engine().order(order)
        self._network.reach(Step.ORDER_REPLY)
        await self._network.receive_reply(self._target)
        if self._network.consume_reply_loss(Step.ORDER_REPLY):
            return Lost(self._target, "connection reset")
        return reply

    async def cancel(self, request: str, attempt: int) -> None:
        """Cancel a stream."""
        if await self._network.connect(self._target):
            await self._engine().cancel(request, attempt)


def _frame_step(frame: Frame) -> Step | None:
    if isinstance(frame, FinishFrame):
        return Step.FINISH
    if frame.index == 0:
        return Step.FIRST_TOKEN
    return Step.MID_STREAM if frame.index == MID_STREAM_TOKEN_INDEX else None


class VirtualStage(StandinStage):
    """A connection to the next stage of a route, over the link between the two engines."""

    def __init__(
        self, links: Links, source: str, hop: Hop, stage: Callable[[], StandinStage]
    ) -> None:
        self._links = links
        self._source = source
        self._target = hop.instance
        self._stage = stage

    async def step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        """Run the layers of that stage and of the following ones."""
        if not await self._links.connect(self._source, self._target):
            return Unreachable(self._target, "connect timeout")
        reply = await self._stage().step(call)
        await self._links.cross(self._target, self._source)
        return reply

    async def finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        """Release the request's session at that stage and the following ones."""
        if await self._links.connect(self._source, self._target):
            await self._stage().finish(request, attempt, hops)


class VirtualService:
    """One process's connection to a plain service."""

    def __init__(self, network: ProcessNetwork, target: str, service: PlainService) -> None:
        self._network = network
        self._target = target
        self._service = service

    async def call(self, call: ServiceCall) -> ServiceReply | Unreachable | Refused | Lost:
        """Send the call, without retries."""
        self._network.reach(Step.CALL)
        if not await self._network.connect(self._target):
            return Unreachable(self._target, "connect timeout")
        reply = await self._service.call(call)
        await self._network.receive_reply(self._target)
        if self._network.consume_reply_loss(Step.CALL):
            return Lost(self._target, "connection reset")
        return reply


class VirtualPeerLink:
    """A link to a peer; `get_handler` returns the peer's handler, None while the peer is dead."""

    def __init__(
        self, network: ProcessNetwork, target: str, get_handler: Callable[[], Callable | None]
    ):
        self._network = network
        self._target = target
        self._get_handler = get_handler

    async def exchange(self, message: Exchange) -> Exchange | None:
        """Send a message and return the reply, None if there is none before the timeout."""
        if message.changes or message.snapshot is not None:
            self._network.reach(Step.CONFIG_SPREAD)
        with trio.move_on_after(PEER_TIMEOUT_SECONDS):
            if not await self._network.connect(self._target):
                return None
            handler = self._get_handler()
            if handler is None:
                return None
            reply = await handler(message)
            await self._network.receive_reply(self._target)
            return None if self._network.consume_reply_loss(Step.CONFIG_SPREAD) else reply
        return None
