"""The controllers' lease: a row in the table service, with an epoch that rises with each holder.

No clock of another machine is trusted. The holder counts its deadline from before it sent the
renewal; another process takes the lease only after it saw the same renewal for a whole term on
its own clock, and a term on top that covers the longest order under way.
"""

from dataclasses import dataclass

import msgspec
import trio
from returns.result import Success

from deckcourse.table import ABSENT, Committed, Row, TableService, Write

__all__ = ["Lease", "LeaseRecord"]

LEASE_KEY = "lease/controller"
TERM_SECONDS = 6.0
RENEWALS_PER_TERM = 3
CALL_SECONDS = 1.0
# An order's call ends this long before the lease does, and a successor waits this long more.
ORDER_MARGIN_SECONDS = 2.0


@dataclass(frozen=True)
class LeaseRecord:
    """The row: who holds the lease, under which epoch, and its count of renewals."""

    holder: str
    epoch: int
    renewal: int


class Lease:
    """One process's view of the lease; `run` seeks and renews it."""

    def __init__(self, table: TableService, holder: str) -> None:
        self._table = table
        self._holder = holder
        self._epoch = 0
        self._deadline = float("-inf")
        self._seen: LeaseRecord | None = None
        self._free_at = float("inf")
        self._sequence = 0
        self._changed = trio.Event()

    @property
    def epoch(self) -> int:
        """The epoch of the lease that this process last held."""
        return self._epoch

    @property
    def seen(self) -> LeaseRecord | None:
        """The row as last read."""
        return self._seen

    @property
    def order_deadline(self) -> float:
        """Until when a call that needs the lease may take effect; in the past if not held."""
        return self._deadline - ORDER_MARGIN_SECONDS

    def held(self) -> bool:
        """Return whether the lease is held at this moment with time for an order."""
        return trio.current_time() < self.order_deadline

    def next_sequence(self) -> int:
        """Return a number for the next order of this epoch."""
        self._sequence += 1
        return self._sequence

    async def run(self) -> None:
        """Seek the lease, renew it, seek it again after it lapsed; until cancelled."""
        while True:
            with trio.move_on_after(CALL_SECONDS):
                await self._round()
            await trio.sleep(TERM_SECONDS / RENEWALS_PER_TERM)

    async def _round(self) -> None:
        asked_at = trio.current_time()
        match await self._table.read([LEASE_KEY]):
            case Success((row,)):
                await self._on_row(row, asked_at)

    async def _on_row(self, row: Row | None, asked_at: float) -> None:
        record = None if row is None else msgspec.json.decode(row.value, type=LeaseRecord)
        if record is not None and record.holder == self._holder:
            # Also where an own write's reply was lost: the row says that it took effect.
            await self._write(row, record.epoch, record.renewal + 1, asked_at)
            return
        if record != self._seen:
            self._seen = record
            self._free_at = asked_at + TERM_SECONDS + ORDER_MARGIN_SECONDS
        if record is None or asked_at >= self._free_at:
            epoch = 1 if record is None else record.epoch + 1
            await self._write(row, epoch, 0, asked_at)

    async def _write(self, row: Row | None, epoch: int, renewal: int, asked_at: float) -> None:
        record = LeaseRecord(self._holder, epoch, renewal)
        expected = ABSENT if row is None else row.version
        write = Write(LEASE_KEY, msgspec.json.encode(record), expected)
        match await self._table.transact([write]):
            case Success(Committed()):
                self._hold(record, asked_at)

    def _hold(self, record: LeaseRecord, asked_at: float) -> None:
        if record.epoch != self._epoch:
            self._epoch = record.epoch
            self._sequence = 0
        self._seen = record
        self._deadline = asked_at + TERM_SECONDS
