"""Reports of processes that the store did not answer, so that the others need not ask it too.

Load pattern: the store is unavailable to a whole failure domain of hundreds of processes, none of
which is confirmed by its source any more. Each would read the store itself, again and again, and
all at once when it returns. If more processes than may be lost at once report that it does not
answer, one of them is sound, and it is the store that is unavailable.
"""

from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec
import trio
from msgspec import Meta

from deckcourse.peers.member import MAX_TEXT_LENGTH

__all__ = ["REPORT_TTL_SECONDS", "STORE_REPORT_PREFIX", "StoreReports"]

# In msgpack this is false, while a digest is an array.
STORE_REPORT_PREFIX = b"\xc2"
# Reports count for this long, seconds.
REPORT_TTL_SECONDS = 1.0
# Largest number of reports kept, far more than are needed.
MAX_REPORTS = 64

_Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Text)


class StoreReports:
    """The reports that one process sends and has received.

    Args:
      name: the name of this process.
      send: sends a datagram to the other members of the failure domain.
      max_lost: returns how many machines may be lost at once.
      clock: monotonic clock, seconds.
      count: increments a counter by name.
    """

    def __init__(
        self,
        name: str,
        send: Callable[[bytes], Awaitable[None]],
        max_lost: Callable[[], int],
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self._name = name
        self._send = send
        self._max_lost = max_lost
        self._clock = clock
        self._count = count
        self._reported_at: dict[str, float] = {}
        self._has_failed = trio.Event()

    @property
    def is_store_unavailable(self) -> bool:
        """Whether more processes than may be lost at once got no answer from the store lately."""
        return len(self._recent()) > self._max_lost()

    def _recent(self) -> dict[str, float]:
        oldest = self._clock() - REPORT_TTL_SECONDS
        return {name: at for name, at in self._reported_at.items() if at >= oldest}

    def note_unanswered(self, name: str) -> None:
        """Record that the store did not answer a process, which may be this one."""
        reports = self._recent()
        if name in reports or len(reports) < MAX_REPORTS:
            self._reported_at = {**reports, name: self._clock()}

    def publish(self) -> None:
        """Report to the other processes that the store did not answer this one."""
        self.note_unanswered(self._name)
        self._has_failed.set()

    def note_datagram(self, data: bytes) -> None:
        """Record the report of another process."""
        try:
            self.note_unanswered(_decoder.decode(data[len(STORE_REPORT_PREFIX) :]))
        except msgspec.MsgspecError:
            self._count("malformed.store-report")

    async def run(self) -> None:
        """Send the reports of this process until cancelled."""
        while True:
            await self._has_failed.wait()
            self._has_failed = trio.Event()
            self._count("store.reported-unavailable")
            await self._send(STORE_REPORT_PREFIX + _encoder.encode(self._name))
