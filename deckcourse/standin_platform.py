"""Simulated platform services with injectable faults."""

from collections.abc import Awaitable, Callable, Sequence

import msgspec
import trio
from returns.result import Failure, Result, Success

from deckcourse.asgi import BodyTooLarge, Request, read_body, send_json, send_whole
from deckcourse.instance_list import (
    InstanceList,
    ListedInstance,
    ListFailure,
    MemoryInstanceList,
)
from deckcourse.instance_list_http import LIST_PATH
from deckcourse.object_store import MemoryObjectStore, ObjectFailure, ObjectStore
from deckcourse.object_store_http import OBJECTS_PREFIX
from deckcourse.table import (
    Committed,
    Conflict,
    MemoryTable,
    Row,
    TableFailure,
    TableService,
    Write,
)
from deckcourse.table_http import (
    READ_PATH,
    TRANSACT_PATH,
    ReadReply,
    ReadRequest,
    TransactReply,
    TransactRequest,
)

__all__ = ["FaultyInstanceList", "FaultyObjectStore", "FaultyTable", "PlatformApp"]

MAX_BODY_BYTES = 16 * 1024 * 1024
FAULT_PATH = "/standin/fault"


class _FaultInjection:
    """The faults that all simulated platform services share: an outage and a delay."""

    def __init__(self) -> None:
        self.out = False
        self.delay = 0.0

    async def check_available(self) -> bool:
        """Wait for the delay; return whether the service is available."""
        if self.delay > 0:
            await trio.sleep(self.delay)
        return not self.out


class FaultyTable(_FaultInjection):
    """A table service with injectable outage, delay, lost replies and delayed transactions."""

    def __init__(self, table: TableService) -> None:
        super().__init__()
        self._table = table
        self._reply_loss_filters: list[Callable[[Write], bool]] = []
        self._hold_filters: list[Callable[[Write], bool]] = []
        self._held_transactions: list[Sequence[Write]] = []

    def lose_reply(self, matches: Callable[[Write], bool]) -> None:
        """Execute the next transaction that has a matching write, but lose its reply."""
        self._reply_loss_filters.append(matches)

    def hold(self, matches: Callable[[Write], bool]) -> None:
        """Hold back the next transaction that has a matching write; it gets no reply."""
        self._hold_filters.append(matches)

    async def let_arrive(self) -> None:
        """Execute the transactions that were held back, as if they arrived now."""
        for writes in self._held_transactions:
            await self._table.transact(writes)
        self._held_transactions.clear()

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row | None, ...], TableFailure]:
        """Return the rows of `keys`, None for each absent row."""
        if not await self.check_available():
            return Failure(TableFailure.UNAVAILABLE)
        return await self._table.read(keys)

    async def transact(self, writes: Sequence[Write]) -> Result[Committed | Conflict, TableFailure]:
        """Execute all writes atomically, or none."""
        if not await self.check_available():
            return Failure(TableFailure.UNAVAILABLE)
        for matches in self._hold_filters:
            if any(matches(write) for write in writes):
                self._hold_filters.remove(matches)
                self._held_transactions.append(writes)
                await trio.sleep_forever()
        result = await self._table.transact(writes)
        for matches in self._reply_loss_filters:
            if any(matches(write) for write in writes):
                self._reply_loss_filters.remove(matches)
                return Failure(TableFailure.UNKNOWN)
        return result


class FaultyObjectStore(_FaultInjection):
    """An object store with injectable outage and delay."""

    def __init__(self, store: ObjectStore) -> None:
        super().__init__()
        self._store = store

    async def get(self, name: str) -> Result[bytes | None, ObjectFailure]:
        """Return the object, None if it doesn't exist."""
        if not await self.check_available():
            return Failure(ObjectFailure.UNAVAILABLE)
        return await self._store.get(name)

    async def put(self, name: str, value: bytes) -> Result[None, ObjectFailure]:
        """Store the object."""
        if not await self.check_available():
            return Failure(ObjectFailure.UNAVAILABLE)
        return await self._store.put(name, value)


class FaultyInstanceList(_FaultInjection):
    """An instance list that is stale by `lag` seconds, with injectable outage and delay."""

    def __init__(self, instances: InstanceList, lag: float = 0.0) -> None:
        super().__init__()
        self._instances = instances
        self.lag = lag
        self._history: list[tuple[float, tuple[ListedInstance, ...]]] = []

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        """Return the list as it was `lag` seconds ago."""
        if not await self.check_available():
            return Failure(ListFailure.UNAVAILABLE)
        newest = (await self._instances.instances()).unwrap()
        now = trio.current_time()
        if not self._history or self._history[-1][1] != newest:
            self._history.append((now, newest))
        while len(self._history) > 1 and self._history[1][0] <= now - self.lag:
            self._history.pop(0)
        return Success(self._history[0][1])


class PlatformApp:
    """The platform's services behind one HTTP listener.

    `POST /standin/fault` injects faults: `{"out": true}` starts an outage, `{"delay": 0.5}` sets
    the delay in seconds, `{"lose": "claim/"}` loses the reply of the next transaction that writes
    a key with this prefix. `{"list": [...]}` replaces the instance list.
    """

    def __init__(self, instances: Sequence[ListedInstance], lag: float = 0.0) -> None:
        self.memory_table = MemoryTable()
        self.memory_list = MemoryInstanceList()
        for instance in instances:
            self.memory_list.put(instance)
        self.table = FaultyTable(self.memory_table)
        self.objects = FaultyObjectStore(MemoryObjectStore())
        self.list = FaultyInstanceList(self.memory_list, lag)
        self._routes: dict[str, Callable[[Request, bytes], Awaitable[None]]] = {
            READ_PATH: self._handle_read,
            TRANSACT_PATH: self._handle_transact,
            LIST_PATH: self._handle_list,
            FAULT_PATH: self._handle_fault,
        }

    async def __call__(self, request: Request) -> None:
        """Handle one HTTP request."""
        body = await read_body(request, MAX_BODY_BYTES)
        if isinstance(body, BodyTooLarge):
            await send_whole(request, 413, b"")
        elif request.path in self._routes:
            await self._routes[request.path](request, body)
        elif request.path.startswith(OBJECTS_PREFIX):
            await self._handle_object(request, request.path.removeprefix(OBJECTS_PREFIX), body)
        else:
            await send_whole(request, 404, b"")

    async def _handle_read(self, request: Request, body: bytes) -> None:
        read = msgspec.json.decode(body, type=ReadRequest)
        match await self.table.read(read.keys):
            case Success(rows):
                await send_json(request, 200, ReadReply(rows))
            case Failure(failure):
                await self._send_failure(request, failure)

    async def _handle_transact(self, request: Request, body: bytes) -> None:
        transaction = msgspec.json.decode(body, type=TransactRequest)
        match await self.table.transact(transaction.writes):
            case Success(Committed(versions)):
                await send_json(request, 200, TransactReply(versions))
            case Success(Conflict(keys)):
                await send_json(request, 200, TransactReply((), keys))
            case Failure(failure):
                await self._send_failure(request, failure)

    async def _send_failure(self, request: Request, failure: TableFailure) -> None:
        await send_whole(request, 503 if failure == TableFailure.UNAVAILABLE else 500, b"")

    async def _handle_list(self, request: Request, body: bytes) -> None:
        match await self.list.instances():
            case Success(instances):
                await send_json(request, 200, instances)
            case _:
                await send_whole(request, 503, b"")

    async def _handle_object(self, request: Request, name: str, body: bytes) -> None:
        if request.method == "PUT":
            stored = await self.objects.put(name, body)
            await send_whole(request, 200 if isinstance(stored, Success) else 503, b"")
            return
        match await self.objects.get(name):
            case Success(None):
                await send_whole(request, 404, b"")
            case Success(value):
                await send_whole(request, 200, value, b"application/octet-stream")
            case _:
                await send_whole(request, 503, b"")

    async def _handle_fault(self, request: Request, body: bytes) -> None:
        fault = msgspec.json.decode(body)
        for service in (self.table, self.objects, self.list):
            service.out = fault.get("out", service.out)
            service.delay = fault.get("delay", service.delay)
        if "lose" in fault:
            prefix = fault["lose"]
            self.table.lose_reply(lambda write: write.key.startswith(prefix))
        for instance in msgspec.convert(fault.get("list", []), tuple[ListedInstance, ...]):
            self.memory_list.put(instance)
        await send_json(request, 200, {})
