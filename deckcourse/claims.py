"""At most once: a row in the table service is claimed before a call that may not be repeated.

The row is inserted if absent, in a transaction that many requests share, and whoever inserted
it is the only one that ever dispatches. Its result is put into it, so that a repeat at any
instance gets the recorded answer. A claim that was given up before the dispatch is released, so
that the caller's repeat can run.
"""

from base64 import b64decode, b64encode
from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import sha256

import msgspec
import trio
from returns.result import Failure, Success

from deckcourse.background import Background
from deckcourse.counters import Counters
from deckcourse.reasons import RetryReason
from deckcourse.table import ABSENT, Committed, Conflict, Row, TableFailure, TableService, Write

__all__ = [
    "CLAIM_PREFIX",
    "Claim",
    "ClaimBusy",
    "ClaimGranted",
    "ClaimMismatch",
    "ClaimRecorded",
    "ClaimUnavailable",
    "ClaimState",
    "Claims",
    "RecordedReply",
    "request_digest",
]

CLAIM_PREFIX = "claim/"
# A transaction of the platform takes at most this many writes.
WRITES_PER_TRANSACTION = 100
CALL_SECONDS = 2.0
READ_TRIES = 3
# A recorded result is written again until this much time has gone by.
RECORD_SECONDS = 60.0
FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 5.0


class ClaimState(StrEnum):
    """How far a claimed request has come."""

    CLAIMED = "claimed"
    DONE = "done"
    # Given up before any dispatch; the next claim of the key may take the row over.
    RELEASED = "released"


@dataclass(frozen=True)
class RecordedReply:
    """A plain service's reply as it is kept, the body in base 64."""

    status: int
    content_type: str
    body: str

    @classmethod
    def of(cls, status: int, content_type: str, body: bytes) -> "RecordedReply":
        """Return the record of a reply."""
        return cls(status, content_type, b64encode(body).decode())

    @property
    def content(self) -> bytes:
        """The body as it came."""
        return b64decode(self.body)


@dataclass(frozen=True)
class Claim:
    """The claimed row: who dispatches which request; `attempt` is unique to the claim."""

    attempt: str
    holder: str
    digest: str
    state: ClaimState = ClaimState.CLAIMED
    reply: RecordedReply | None = None


@dataclass(frozen=True)
class ClaimGranted:
    """This process, and nobody else, may dispatch the request, once."""

    key: str
    claim: Claim
    version: int


@dataclass(frozen=True)
class ClaimRecorded:
    """The request ran before; this is its answer."""

    reply: RecordedReply


@dataclass(frozen=True)
class ClaimBusy:
    """Somebody else claimed the request; it has no result yet and may never have one."""

    holder: str


@dataclass(frozen=True)
class ClaimMismatch:
    """The key stands for another request."""


@dataclass(frozen=True)
class ClaimUnavailable:
    """The platform can't say; nothing is dispatched."""


ClaimResult = ClaimGranted | ClaimRecorded | ClaimBusy | ClaimMismatch | ClaimUnavailable


def request_digest(*parts: bytes) -> str:
    """Return the digest that tells one request from another under the same key."""
    digest = sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class _Waiting:
    """A claim that waits for the next transaction; `expected` is the row's version before."""

    def __init__(self, key: str, claim: Claim) -> None:
        self.key = key
        self.claim = claim
        self.expected = ABSENT
        self.done = trio.Event()
        self.result: ClaimResult = ClaimUnavailable()

    def settle(self, result: ClaimResult) -> None:
        """Tell whoever waits."""
        self.result = result
        self.done.set()


class Claims:
    """The claims of one entry; `run` must be running for any to be granted."""

    def __init__(
        self, table: TableService, holder: str, counters: Counters, background: Background
    ) -> None:
        self._table = table
        self._background = background
        self._holder = holder
        self._counters = counters
        self._send, self._receive = trio.open_memory_channel[_Waiting](float("inf"))

    async def run(self) -> None:
        """Commit the waiting claims, all that are there in one transaction."""
        async for first in self._receive:
            await self._commit(self._gather(first))

    def _gather(self, first: _Waiting) -> list[_Waiting]:
        """Take what waits already, one for each key; a second of a key waits for the next."""
        group = [first]
        again: list[_Waiting] = []
        while len(group) < WRITES_PER_TRANSACTION:
            try:
                waiting = self._receive.receive_nowait()
            except trio.WouldBlock:
                break
            same = any(each.key == waiting.key for each in group)
            (again if same else group).append(waiting)
        for waiting in again:
            self._send.send_nowait(waiting)
        return group

    async def claim(self, account: str, key: str, attempt: str, digest: str) -> ClaimResult:
        """Claim a request.

        Args:
          account: the client account.
          key: the caller's idempotency key, or a unique one where it gave none.
          attempt: unique to this call; tells an own claim whose reply was lost from others.
          digest: see `request_digest`.
        """
        row_key = f"{CLAIM_PREFIX}{account}/{key}"
        waiting = _Waiting(row_key, Claim(attempt, self._holder, digest))
        self._send.send_nowait(waiting)
        try:
            await waiting.done.wait()
        except trio.Cancelled:
            self._abandon(waiting)
            raise
        return waiting.result

    def _abandon(self, waiting: _Waiting) -> None:
        """The caller is gone while its claim may be under way: release it when it's there."""
        self._background.start(self._release_when_known, waiting)

    async def _release_when_known(self, waiting: _Waiting) -> None:
        await waiting.done.wait()
        match waiting.result:
            case ClaimGranted() as granted:
                await self.release(granted.key, granted.claim)
            case ClaimUnavailable():
                await self.release(waiting.key, waiting.claim)

    async def _commit(self, group: list[_Waiting]) -> None:
        while group:
            writes = [
                Write(each.key, msgspec.json.encode(each.claim), each.expected) for each in group
            ]
            result = Failure(TableFailure.UNKNOWN)
            with trio.move_on_after(CALL_SECONDS):
                result = await self._table.transact(writes)
            group = await self._settle_commit(group, result)

    async def _settle_commit(self, group: list[_Waiting], result) -> list[_Waiting]:
        """Settle what can be settled; return the claims that need another transaction."""
        match result:
            case Success(Committed(versions)):
                for waiting, version in zip(group, versions, strict=True):
                    waiting.settle(ClaimGranted(waiting.key, waiting.claim, version))
                return []
            case Success(Conflict(keys)):
                again = [each for each in group if each.key not in keys]
                taken = [each for each in group if each.key in keys]
                return again + await self._settle_by_reading(taken)
            case Failure(TableFailure.UNKNOWN):
                self._counters.count(f"retry.{RetryReason.REPLY_LOST}")
                for waiting in await self._settle_by_reading(group):
                    self._give_up(waiting)
            case _:
                for waiting in group:
                    waiting.settle(ClaimUnavailable())
        return []

    async def _settle_by_reading(self, group: list[_Waiting]) -> list[_Waiting]:
        """Settle claims by the rows as they stand; return those whose row is free to take."""
        rows = await self._read([each.key for each in group])
        if rows is None:
            for waiting in group:
                self._give_up(waiting)
            return []
        free: list[_Waiting] = []
        for waiting, row in zip(group, rows, strict=True):
            result = _result_of(waiting, row)
            if result is None:
                waiting.expected = ABSENT if row is None else row.version
                free.append(waiting)
            else:
                waiting.settle(result)
        return free

    def _give_up(self, waiting: _Waiting) -> None:
        """Settle a claim that nobody can vouch for.

        Its write may be there or still arrive. This attempt never dispatches, so the row must
        not stand in the way of the caller's repeat.
        """
        waiting.settle(ClaimUnavailable())
        self._background.start(self.release, waiting.key, waiting.claim)

    async def _read(self, keys: list[str]) -> tuple[Row | None, ...] | None:
        for _ in range(READ_TRIES):
            with trio.move_on_after(CALL_SECONDS):
                match await self._table.read(keys):
                    case Success(rows):
                        return rows
            await trio.sleep(FIRST_PAUSE_SECONDS)
        return None

    async def release(self, key: str, claim: Claim) -> None:
        """Free the row of a claim that was never dispatched and never will be.

        The row is marked, not deleted: a write of the claim that still arrives then fails.
        """
        await self._write_until_settled(key, claim, replace(claim, state=ClaimState.RELEASED))

    async def record(self, granted: ClaimGranted, reply: RecordedReply) -> bool:
        """Put the result into the claimed row, again until it's there.

        Returns:
          Whether it's there; after an outage that outlasts all tries a repeat is told that the
          outcome is unknown.
        """
        value = replace(granted.claim, state=ClaimState.DONE, reply=reply)
        return await self._write_until_settled(granted.key, granted.claim, value)

    async def _write_until_settled(self, key: str, claim: Claim, value: Claim) -> bool:
        """Write `value` over the row of `claim`, or where there is none; spare other rows."""
        give_up_at = trio.current_time() + RECORD_SECONDS
        pause = FIRST_PAUSE_SECONDS
        while trio.current_time() < give_up_at:
            rows = await self._read([key])
            if rows is not None:
                known = None if rows[0] is None else _decode(rows[0])
                if known == value:
                    return True
                if known is not None and known.attempt != claim.attempt:
                    return False
                if await self._write(key, rows[0], value):
                    return True
            await trio.sleep(pause)
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)
        return False

    async def _write(self, key: str, row: Row | None, value: Claim) -> bool:
        expected = ABSENT if row is None else row.version
        with trio.move_on_after(CALL_SECONDS):
            write = Write(key, msgspec.json.encode(value), expected)
            match await self._table.transact([write]):
                case Success(Committed()):
                    return True
        return False


def _result_of(waiting: _Waiting, row: Row | None) -> ClaimResult | None:
    """Return what the row says to a claim, None where the row is free to take."""
    if row is None:
        return None
    claim = _decode(row)
    if claim.attempt == waiting.claim.attempt:
        return ClaimGranted(row.key, claim, row.version)
    if claim.state == ClaimState.RELEASED:
        return None
    if claim.digest != waiting.claim.digest:
        return ClaimMismatch()
    if claim.reply is not None:
        return ClaimRecorded(claim.reply)
    return ClaimBusy(claim.holder)


def _decode(row: Row) -> Claim:
    return msgspec.json.decode(row.value, type=Claim)
