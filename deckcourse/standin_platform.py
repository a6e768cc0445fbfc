"""Stand-ins for the platform's services, with their faults as switches."""

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

LARGEST_BODY = 16 * 1024 * 1024
FAULT_PATH = "/standin/fault"


class _Faults:
    """The switches that the stand-ins share."""

    def __init__(self) -> None:
        self.out = False
        self.delay = 0.0

    async def pass_through(self) -> bool:
        """Wait out the delay; return whether the service is there."""
        if self.delay > 0:
            await trio.sleep(self.delay)
        return not self.out


class FaultyTable(_Faults):
    """A table service that can be out, slow, or lose the reply of a transaction."""

    def __init__(self, table: TableService) -> None:
        super().__init__()
        self._table = table
        self._lose: list[Callable[[Write], bool]] = []
        self._hold: list[Callable[[Write], bool]] = []
        self._held: list[Sequence[Write]] = []

    def lose_reply(self, of: Callable[[Write], bool]) -> None:
        """Do the next transaction with such a write, but lose its reply."""
        self._lose.append(of)

    def hold(self, of: Callable[[Write], bool]) -> None:
        """Keep the next transaction with such a write on its way; it gets no reply."""
        self._hold.append(of)

    async def let_arrive(self) -> None:
        """Do the transactions that were kept on their way, as if they arrived now."""
        for writes in self._held:
            await self._table.transact(writes)
        self._held.clear()

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row | None, ...], TableFailure]:
        """Return the rows of `keys`, None for each that is absent."""
        if not await self.pass_through():
            return Failure(TableFailure.UNAVAILABLE)
        return await self._table.read(keys)

    async def transact(self, writes: Sequence[Write]) -> Result[Committed | Conflict, TableFailure]:
        """Do all writes or none."""
        if not await self.pass_through():
            return Failure(TableFailure.UNAVAILABLE)
        for held in self._hold:
            if any(held(write) for write in writes):
                self._hold.remove(held)
                self._held.append(writes)
                await trio.sleep_forever()
        result = await self._table.transact(writes)
        for lost in self._lose:
            if any(lost(write) for write in writes):
                self._lose.remove(lost)
                return Failure(TableFailure.UNKNOWN)
        return result


class FaultyObjectStore(_Faults):
    """An object store that can be out or slow."""

    def __init__(self, store: ObjectStore) -> None:
        super().__init__()
        self._store = store

    async def get(self, name: str) -> Result[bytes | None, ObjectFailure]:
        """Return the object, None where it's absent."""
        if not await self.pass_through():
            return Failure(ObjectFailure.UNAVAILABLE)
        return await self._store.get(name)

    async def put(self, name: str, value: bytes) -> Result[None, ObjectFailure]:
        """Write the object."""
        if not await self.pass_through():
            return Failure(ObjectFailure.UNAVAILABLE)
        return await self._store.put(name, value)


class FaultyInstanceList(_Faults):
    """An instance list that lags by `lag` seconds, and can be out or slow."""

    def __init__(self, instances: InstanceList, lag: float = 0.0) -> None:
        super().__init__()
        self._instances = instances
        self.lag = lag
        self._seen: list[tuple[float, tuple[ListedInstance, ...]]] = []

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        """Return the list as it was `lag` seconds ago."""
        if not await self.pass_through():
            return Failure(ListFailure.UNAVAILABLE)
        newest = (await self._instances.instances()).unwrap()
        now = trio.current_time()
        if not self._seen or self._seen[-1][1] != newest:
            self._seen.append((now, newest))
        while len(self._seen) > 1 and self._seen[1][0] <= now - self.lag:
            self._seen.pop(0)
        return Success(self._seen[0][1])


class PlatformApp:
    """The platform's services behind one HTTP listener.

    `POST /standin/fault` sets the switches: `{"out": true}`, `{"delay": 0.5}`,
    `{"lose": "claim/"}` loses the reply of the next transaction with such a key,
    `{"list": [...]}` replaces the instance list.
    """

    def __init__(self, instances: Sequence[ListedInstance], lag: float = 0.0) -> None:
        self.memory_table = MemoryTable()
        self.memory_list = MemoryInstanceList()
        for each in instances:
            self.memory_list.put(each)
        self.table = FaultyTable(self.memory_table)
        self.objects = FaultyObjectStore(MemoryObjectStore())
        self.list = FaultyInstanceList(self.memory_list, lag)
        self._routes: dict[str, Callable[[Request, bytes], Awaitable[None]]] = {
            READ_PATH: self._read,
            TRANSACT_PATH: self._transact,
            LIST_PATH: self._list,
            FAULT_PATH: self._fault,
        }

    async def __call__(self, request: Request) -> None:
        """Answer one request."""
        body = await read_body(request, LARGEST_BODY)
        if isinstance(body, BodyTooLarge):
            await send_whole(request, 413, b"")
        elif request.path in self._routes:
            await self._routes[request.path](request, body)
        elif request.path.startswith(OBJECTS_PREFIX):
            await self._object(request, request.path.removeprefix(OBJECTS_PREFIX), body)
        else:
            await send_whole(request, 404, b"")

    async def _read(self, request: Request, body: bytes) -> None:
        wanted = msgspec.json.decode(body, type=ReadRequest)
        match await self.table.read(wanted.keys):
            case Success(rows):
                await send_json(request, 200, ReadReply(rows))
            case Failure(failure):
                await self._send_failure(request, failure)

    async def _transact(self, request: Request, body: bytes) -> None:
        wanted = msgspec.json.decode(body, type=TransactRequest)
        match await self.table.transact(wanted.writes):
            case Success(Committed(versions)):
                await send_json(request, 200, TransactReply(versions))
            case Success(Conflict(keys)):
                await send_json(request, 200, TransactReply((), keys))
            case Failure(failure):
                await self._send_failure(request, failure)

    async def _send_failure(self, request: Request, failure: TableFailure) -> None:
        await send_whole(request, 503 if failure == TableFailure.UNAVAILABLE else 500, b"")

    async def _list(self, request: Request, body: bytes) -> None:
        match await self.list.instances():
            case Success(instances):
                await send_json(request, 200, instances)
            case _:
                await send_whole(request, 503, b"")

    async def _object(self, request: Request, name: str, body: bytes) -> None:
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

    async def _fault(self, request: Request, body: bytes) -> None:
        fault = msgspec.json.decode(body)
        for service in (self.table, self.objects, self.list):
            service.out = fault.get("out", service.out)
            service.delay = fault.get("delay", service.delay)
        if "lose" in fault:
            prefix = fault["lose"]
            self.table.lose_reply(lambda write: write.key.startswith(prefix))
        for each in msgspec.convert(fault.get("list", []), tuple[ListedInstance, ...]):
            self.memory_list.put(each)
        await send_json(request, 200, {})
