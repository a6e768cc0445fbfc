"""Which process issues tokens and retries for all: the holder of a lease in the platform's store.

A successor waits until the lease has expired on every clock, so that two processes never issue at
the same time, under partitions, crashes and suspensions as well. Without a reachable issuer nothing
is issued.
"""

from collections.abc import Awaitable, Callable

import msgspec
import trio
from returns.result import Result

from deckcourse.gateway.issuer_client import IssuerClient
from deckcourse.lease import Lease, LeaseRecord, LeaseTerms
from deckcourse.peers.member import Member
from deckcourse.peers.rate_limit import RateLimit
from deckcourse.peers.roster import Roster
from deckcourse.table import TableFailure, TableService

__all__ = ["IDLE_POLL_INTERVAL_SECONDS", "IssuerRole"]

# Terms in seconds; the margin exceeds the lifetime of a token.
ISSUER_LEASE = LeaseTerms("rate-limits/issuer", term=2.5, margin=0.3)
# Time for which a process seeks the lease after a request, seconds.
SEEK_DURATION_SECONDS = 3.0
# Time after its start in which a process seeks no lease unasked, seconds: it may not know others.
SETTLE_SECONDS = 4.0
# Polling interval while the lease isn't held, seconds.
IDLE_POLL_INTERVAL_SECONDS = 0.5
# Bound on the limits stored in the lease row, which processes read at startup.
MAX_STORED_LIMITS = 256
# Interval at which a request that waits for the lease looks whether it is held, seconds.
WAIT_INTERVAL_SECONDS = 0.005


class _Attachment(msgspec.Struct, frozen=True):
    """What the lease row tells the other processes: who issues, and the rate limits in force."""

    issuer: Member | None = None
    limits: tuple[RateLimit, ...] = ()


# Rows of version 0.1 hold the limits alone.
_decoder = msgspec.json.Decoder(_Attachment | tuple[RateLimit, ...])


class IssuerRole:
    """Holds the lease while there is something to issue.

    Args:
      table: the platform's store.
      author: the name of this incarnation of the process.
      roster: the membership view.
      client: knows the current issuer.
      may_issue: returns whether this process may hold the lease; false during shutdown.
      limits: returns the rate limits in force; while there are any, an issuer is needed.
      count: increments a counter by name.
    """

    def __init__(
        self,
        table: TableService,
        author: str,
        roster: Roster,
        client: IssuerClient,
        may_issue: Callable[[], bool],
        limits: Callable[[], list[RateLimit]],
        count: Callable[[str], None],
    ) -> None:
        self._roster = roster
        self._client = client
        self._may_issue = may_issue
        self._limits = limits
        self._count = count
        self._lease = Lease(table, author, ISSUER_LEASE, self._encode_attachment)
        self._seek_until = float("-inf")
        self._seek_started = trio.Event()
        self._settled_at = float("inf")

    @property
    def is_held(self) -> bool:
        """Whether this process holds the lease."""
        return self._lease.held()

    @property
    def is_issuer(self) -> bool:
        """Whether this process holds the lease and isn't shutting down."""
        return self._lease.held() and self._may_issue()

    @property
    def epoch(self) -> int:
        """The epoch of the lease that this process last held; the first holder's is 1."""
        return self._lease.epoch

    @property
    def knows_other(self) -> bool:
        """Whether another process is known as the issuer."""
        return self._knows_any and self._client.issuer.name != self._roster.own.name

    @property
    def _knows_any(self) -> bool:
        issuer = self._client.issuer
        return issuer is not None and not issuer.leaving

    async def read_limits(self) -> Result[tuple[RateLimit, ...], TableFailure]:
        """Read the rate limits in the lease row, none if there is no row or it is malformed."""
        found = await self._lease.look()
        return found.map(lambda record: self._decode_attachment(record).limits)

    def _encode_attachment(self) -> bytes:
        limits = tuple(self._limits()[:MAX_STORED_LIMITS])
        return msgspec.json.encode(_Attachment(self._roster.own, limits))

    def _decode_attachment(self, record: LeaseRecord | None) -> _Attachment:
        if record is None or not record.attachment:
            return _Attachment()
        try:
            decoded = _decoder.decode(record.attachment)
        except (msgspec.MsgspecError, RecursionError):
            self._count("malformed.stored-limits")
            return _Attachment()
        return decoded if isinstance(decoded, _Attachment) else _Attachment(None, decoded)

    def seek(self) -> None:
        """Seek or keep the lease from now on for some time, if this process may issue."""
        if not self._may_issue():
            return
        if trio.current_time() >= self._seek_until:
            self._seek_started.set()
        self._seek_until = trio.current_time() + SEEK_DURATION_SECONDS

    async def wait_until_held(self, seconds: float) -> bool:
        """Seek the lease and wait for it; return whether it is held.

        Args:
          seconds: how long to wait, unless another holder is found before.
        """
        self.seek()
        with trio.move_on_after(seconds):
            while not self.is_issuer and not self.knows_other:
                await trio.sleep(WAIT_INTERVAL_SECONDS)
        return self.is_issuer

    async def run(self, on_round: Callable[[], Awaitable[None]]) -> None:
        """Maintain the lease while it is needed, until cancelled.

        Args:
          on_round: called after each renewal, and at intervals while the lease isn't held.
        """
        self._settled_at = trio.current_time() + SETTLE_SECONDS
        while True:
            if not self._may_issue():
                await self._lease.release()
            elif self._is_seeking():
                await self._lease.seek()
                self._note_holder()
            await on_round()
            await self._wait_for_next_round()

    def _is_seeking(self) -> bool:
        if trio.current_time() < self._seek_until:
            return True
        if self._limits() and (self._lease.held() or self._client.should_issue):
            return True
        # Without an issuer the first request would have to wait until a former lease has expired.
        is_settled = trio.current_time() >= self._settled_at
        return is_settled and self._client.should_issue and not self._knows_any

    def _note_holder(self) -> None:
        """Record the lease holder as the issuer."""
        if self._lease.held():
            self._client.note_holder(self._roster.own.name)
            return
        record = self._lease.seen
        holder = record.holder.partition("/")[0] if record is not None else ""
        if not holder or holder == self._roster.own.name:
            return
        issuer = self._decode_attachment(record).issuer
        if issuer is not None and issuer.name == holder:
            self._client.note_issuer(issuer)
        else:
            self._client.note_holder(holder)

    async def _wait_for_next_round(self) -> None:
        """Wait for the next renewal or the next attempt to get the lease."""
        if self._lease.held() and self._is_seeking():
            await trio.sleep(self._lease.renewal_pause)
            return
        with trio.move_on_after(IDLE_POLL_INTERVAL_SECONDS):
            if trio.current_time() < self._seek_until:
                await trio.sleep_forever()
            self._seek_started = trio.Event()
            await self._seek_started.wait()
