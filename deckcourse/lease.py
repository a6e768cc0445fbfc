"""A lease: a row in the table service, with an epoch that rises with each holder.

No clock of another machine is trusted. The holder counts its deadline from before it sent the
renewal; another process takes the lease only after it saw the same renewal for a whole term on
its own clock, and a term on top that covers the longest order under way.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio
from returns.result import Failure, Result, Success

from deckcourse.table import ABSENT, Committed, Row, TableFailure, TableService, Write

__all__ = ["CONTROLLER_LEASE", "Lease", "LeaseRecord", "LeaseTerms"]

LEASE_KEY = "lease/controller"
TERM_SECONDS = 6.0
RENEWALS_PER_TERM = 3
CALL_SECONDS = 1.0
# An order's call ends this long before the lease does, and a successor waits this long more.
ORDER_MARGIN_SECONDS = 2.0


@dataclass(frozen=True)
class LeaseRecord:
    """The row: who holds the lease, under which epoch, and its count of renewals.

    `attachment` is data of the holder for its successors.
    """

    holder: str
    epoch: int
    renewal: int
    attachment: bytes = b""


@dataclass(frozen=True)
class LeaseTerms:
    """The row of a lease and its times in seconds.

    Attributes:
      key: its row.
      term: validity of a renewal.
      margin: safety margin; the holder stops this long before the end, a successor waits this
        much longer.
    """

    key: str
    term: float
    margin: float


CONTROLLER_LEASE = LeaseTerms(LEASE_KEY, TERM_SECONDS, ORDER_MARGIN_SECONDS)


class Lease:
    """One process's view of a lease; `run` seeks and renews it.

    Args:
      table: the table service.
      holder: the name of this start of the process.
      terms: the lease.
      attachment: returns the data to store in the row.
    """

    def __init__(
        self,
        table: TableService,
        holder: str,
        terms: LeaseTerms = CONTROLLER_LEASE,
        attachment: Callable[[], bytes] = bytes,
    ) -> None:
        self._table = table
        self._holder = holder
        self._terms = terms
        self._attachment = attachment
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
        return self._deadline - self._terms.margin

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
            await self.seek()
            await trio.sleep(self.renewal_pause)

    @property
    def renewal_pause(self) -> float:
        """The time between two renewals, seconds."""
        return self._terms.term / RENEWALS_PER_TERM

    async def seek(self) -> None:
        """Renew the lease, or take it if it is free."""
        with trio.move_on_after(CALL_SECONDS):
            await self._round()

    async def look(self) -> Result[LeaseRecord | None, TableFailure]:
        """Read the lease without taking it; None if there is no row."""
        with trio.move_on_after(CALL_SECONDS):
            found = await self._table.read([self._terms.key])
            return found.map(lambda rows: None if rows[0] is None else _decode(rows[0]))
        return Failure(TableFailure.UNKNOWN)

    async def release(self) -> None:
        """Release the lease if held; a successor needn't wait."""
        if trio.current_time() >= self._deadline:
            return
        self._deadline = float("-inf")
        with trio.move_on_after(CALL_SECONDS):
            match await self._table.read([self._terms.key]):
                case Success((row,)) if row is not None:
                    await self._write_released(row)

    async def _write_released(self, row: Row) -> None:
        record = _decode(row)
        if record is None or record.holder != self._holder:
            return
        free = LeaseRecord("", record.epoch, record.renewal + 1, record.attachment)
        await self._table.transact([Write(row.key, msgspec.json.encode(free), row.version)])

    async def _round(self) -> None:
        asked_at = trio.current_time()
        match await self._table.read([self._terms.key]):
            case Success((row,)):
                await self._on_row(row, asked_at)

    async def _on_row(self, row: Row | None, asked_at: float) -> None:
        record = None if row is None else _decode(row)
        if record is not None and record.holder == self._holder:
            # Also where an own write's reply was lost: the row says that it took effect.
            await self._write(row, record.epoch, record.renewal + 1, asked_at)
            return
        if record != self._seen:
            self._seen = record
            self._free_at = asked_at + self._terms.term + self._terms.margin
        if record is None or not record.holder or asked_at >= self._free_at:
            epoch = 1 if record is None else record.epoch + 1
            await self._write(row, epoch, 0, asked_at)

    async def _write(self, row: Row | None, epoch: int, renewal: int, asked_at: float) -> None:
        record = LeaseRecord(self._holder, epoch, renewal, self._attachment())
        expected = ABSENT if row is None else row.version
        write = Write(self._terms.key, msgspec.json.encode(record), expected)
        match await self._table.transact([write]):
            case Success(Committed()):
                self._hold(record, asked_at)

    def _hold(self, record: LeaseRecord, asked_at: float) -> None:
        if record.epoch != self._epoch:
            self._epoch = record.epoch
            self._sequence = 0
        self._seen = record
        self._deadline = asked_at + self._terms.term


def _decode(row: Row) -> LeaseRecord | None:
    """Return the record in a row, None if malformed."""
    try:
        return msgspec.json.decode(row.value, type=LeaseRecord)
    except (msgspec.MsgspecError, RecursionError):
        return None
