"""Stores the crashes of upstreams and the suspect requests in the platform's store.

Processes restart, and some can't reach each other, so that evidence that all of them need, also
those that start later, is stored. Each pair of crash and suspect request has a row of its own, so
that all processes that write it write the same value.
"""

from collections.abc import Callable, Sequence

import msgspec
import trio
from returns.result import Success

from deckcourse.gateway.crash_evidence import CrashEvidence
from deckcourse.gateway.part_evidence import PartEvidence
from deckcourse.peers.crash import Crash
from deckcourse.table import Committed, Row, TableService, Write

__all__ = ["CRASH_TABLE", "CrashBook"]

CRASH_TABLE = "crashes"
# Rows written in one transaction, below the limit of the store.
MAX_WRITES_PER_TRANSACTION = 50
# Bound on pending writes; further crashes are published to peers only.
MAX_PENDING_ROWS = 4096
# Bound on the rows in the table; beyond it the oldest are removed.
MAX_ROWS = 4096
# Backoff while the store is unavailable, seconds; doubled up to the maximum.
MIN_RETRY_BACKOFF_SECONDS = 0.1
MAX_RETRY_BACKOFF_SECONDS = 1.6

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Crash)


class CrashBook:
    """Reads and writes the crash table for one process.

    Args:
      table: the store.
      evidence: receives the crashes in the rows.
      parts: receives those of parts of prompts.
      may_prune: returns whether this process removes rows that are no longer needed.
      count: increments a counter by name.
    """

    def __init__(
        self,
        table: TableService,
        evidence: CrashEvidence,
        parts: PartEvidence,
        may_prune: Callable[[], bool],
        count: Callable[[str], None],
    ) -> None:
        self._table = table
        self._evidence = evidence
        self._parts = parts
        self._may_prune = may_prune
        self._count = count
        # The rows in the table, the oldest first.
        self._rows: dict[str, Crash] = {}
        # Rows to write by key, None to delete the row.
        self._pending: dict[str, Crash | None] = {}
        self._pending_added = trio.Event()

    def write(self, crash: Crash) -> None:
        """Schedule the write of a crash; returns at once."""
        key = _key(crash)
        if key not in self._rows:
            self._schedule(key, crash)

    def remove(self, identity: str) -> None:
        """Schedule the removal of all rows of a request; returns at once."""
        pending = [each for each in self._pending if each.startswith(identity)]
        for key in pending:
            del self._pending[key]
        # A write that is in progress may still succeed, so its row is deleted as well.
        for key in [*pending, *(each for each in self._rows if each.startswith(identity))]:
            self._schedule(key, None)

    def prune(self) -> None:
        """Schedule the removal of rows of forgotten requests, if this process may prune."""
        if self._may_prune():
            suspects = {*self._evidence.identities, *self._parts.identities}
            for crash in [each for each in self._rows.values() if each.identity not in suspects]:
                self._schedule(_key(crash), None)

    def _schedule(self, key: str, crash: Crash | None) -> None:
        if len(self._pending) < MAX_PENDING_ROWS:
            self._pending[key] = crash
            self._pending_added.set()

    async def run(self) -> None:
        """Write the scheduled rows until cancelled."""
        backoff = MIN_RETRY_BACKOFF_SECONDS
        while True:
            if not self._pending:
                self._pending_added = trio.Event()
                await self._pending_added.wait()
            if await self._write_batch():
                backoff = MIN_RETRY_BACKOFF_SECONDS
            else:
                await trio.sleep(backoff)
                backoff = min(2 * backoff, MAX_RETRY_BACKOFF_SECONDS)

    async def _write_batch(self) -> bool:
        """Write a batch of rows; return whether the store committed it."""
        for key in [each for each in self._pending if self._is_written(each)]:
            del self._pending[key]
        batch = dict(list(self._pending.items())[:MAX_WRITES_PER_TRANSACTION])
        if not batch:
            return True
        match await self._table.transact([_write(*each) for each in batch.items()]):
            case Success(Committed()):
                for each in batch.items():
                    self._on_committed(*each)
                return True
        return False

    def _on_committed(self, key: str, crash: Crash | None) -> None:
        if crash is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = crash
        if key in self._pending and self._pending[key] == crash:
            del self._pending[key]

    def _is_written(self, key: str) -> bool:
        """Return whether another process has written this row already."""
        return self._pending[key] is not None and key in self._rows

    def apply_snapshot(self, rows: Sequence[Row]) -> None:
        """Apply a snapshot of the table."""
        values = {row.key.partition("/")[2]: row.value for row in rows}
        for key in [each for each in self._rows if each not in values]:
            self._apply_removal(key)
        for key, value in values.items():
            self.apply_row(key, value, 0)

    def apply_row(self, key: str, value: bytes | None, version: int) -> None:
        """Apply one changed row, without a value if it was deleted."""
        if value is None:
            self._apply_removal(key)
            return
        crash = _decode(key, value)
        if crash is None:
            self._count("malformed.crash")
            return
        self._rows[key] = crash
        evidence = self._evidence_of(crash)
        if evidence.succeeded_recently(crash.identity):
            self._schedule(key, None)
            return
        evidence.record(crash)
        if len(self._rows) > MAX_ROWS and self._may_prune():
            self._schedule(next(iter(self._rows)), None)

    def _apply_removal(self, key: str) -> None:
        """Apply a deletion: the request succeeded or was released at another process."""
        crash = self._rows.pop(key, None)
        if crash is not None:
            self._evidence_of(crash).clear(crash.identity)

    def _evidence_of(self, crash: Crash) -> CrashEvidence | PartEvidence:
        return self._parts if crash.is_part else self._evidence


def _key(crash: Crash) -> str:
    return f"{crash.identity}.{crash.instance}"


def _write(key: str, crash: Crash | None) -> Write:
    return Write(f"{CRASH_TABLE}/{key}", None if crash is None else _encoder.encode(crash))


def _decode(key: str, value: bytes) -> Crash | None:
    """Return the crash in a row, None if malformed: any client of the store may write rows."""
    try:
        crash = _decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return crash if _key(crash) == key else None
