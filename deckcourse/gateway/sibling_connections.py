"""Other connections to the process at the end of a connection, which show whether it still runs.

The system closes all connections of a process that exits. Two connections to one address lead to
the same process if both were open at the same moment: the next process can accept connections there
only once the first one has ended, and its end closes all of its own. So if one of them stays open
after the end of an answer on the other, the process itself has ended that answer.

Load pattern: the answers of an upstream that is full of requests have no length. A query behind
each of them would wait for a place or be refused, and take the place of a request; the state of a
connection costs the upstream nothing.
"""

from collections.abc import Callable
from weakref import WeakKeyDictionary, WeakSet

import trio

from deckcourse.background import Background
from deckcourse.http1.client import UpstreamConnection
from deckcourse.http1.message import ConnectionLostError
from deckcourse.http1.pool import ConnectionPool

__all__ = ["SiblingConnections"]

# How long a sibling must stay open after the end of an answer. What a process that exits has sent,
# and its closes, arrive together, on a loaded machine a little apart. Bytes that come on a sibling
# later show as much as that it is open.
SETTLE_SECONDS = 0.03
CHECK_INTERVAL_SECONDS = 0.01
# The same if another sibling closes meanwhile, or this process was paused: a lost packet with a
# close is sent again after 0.2 s.
MAX_SETTLE_SECONDS = 0.25
# A wait that ends later than this much shows a pause of this process.
MIN_PAUSE_SECONDS = 0.03
# A sibling that was quiet for longer is no evidence: an open connection may have gone silent, so
# that the close of the other end can't arrive.
MAX_SILENCE_SECONDS = 2.0
# Siblings that are compared with a connection, the newest ones first.
MAX_SIBLINGS = 8
# How long an upstream counts as sending answers without a length after one of them.
UNFRAMED_TTL_SECONDS = 10.0
# Bound on the addresses that are remembered for that.
MAX_ADDRESSES = 1024


class SiblingConnections:
    """Knows which open connections of this process lead to the same process of an upstream.

    While the answers of an upstream have no length, each of them ends its connection. Another
    connection is therefore opened beside each request, which the next request uses.

    Args:
      pool: the connections to upstreams.
      count: increments a counter by name.
    """

    def __init__(self, pool: ConnectionPool, count: Callable[[str], None]) -> None:
        self._pool = pool
        self._count = count
        self._background = Background()
        self._siblings: WeakKeyDictionary[UpstreamConnection, WeakSet[UpstreamConnection]] = (
            WeakKeyDictionary()
        )
        # Until when each address counts as sending answers without a length.
        self._unframed_until: dict[str, float] = {}

    async def run(self) -> None:
        """Open spare connections until cancelled."""
        await self._background.run()

    def note_request(self, connection: UpstreamConnection) -> None:
        """Prepare for an answer without a length, if the upstream has sent such ones lately."""
        if self._unframed_until.get(connection.address, 0.0) > trio.current_time():
            self._compare(connection)
            self._background.start(self._open_spare, connection.address)

    def note_unframed_answer(self, connection: UpstreamConnection) -> None:
        """Record that an answer that has begun has no length."""
        now = trio.current_time()
        self._unframed_until.pop(connection.address, None)
        while len(self._unframed_until) >= MAX_ADDRESSES:
            del self._unframed_until[next(iter(self._unframed_until))]
        self._unframed_until[connection.address] = now + UNFRAMED_TTL_SECONDS
        self._compare(connection)
        if not self._siblings.get(connection) and connection.is_open:
            self._background.start(self._open_spare, connection.address)

    def _compare(self, connection: UpstreamConnection) -> None:
        """Record the connections that are open at the same moment as this one."""
        if not connection.is_open:
            return
        others = [each for each in self._pool.connections(connection.address) if each.is_open]
        for other in others[: MAX_SIBLINGS + 1]:
            if other is not connection:
                self._siblings.setdefault(connection, WeakSet()).add(other)
                self._siblings.setdefault(other, WeakSet()).add(connection)

    async def _open_spare(self, address: str) -> None:
        """Open a connection for the next request, unless an idle one has been used lately."""
        if self._pool.has_usable_idle(address, MAX_SILENCE_SECONDS):
            return
        try:
            spare = await self._pool.open(address)
        except ConnectionLostError:
            self._count("sibling.failed")
            return
        self._count("sibling.opened")
        self._pool.add_idle(spare)
        self._compare(spare)

    async def outlive(self, connection: UpstreamConnection, was_paused: bool = False) -> bool:
        """Return whether the process at the other end of a connection runs after its close.

        False if no other connection shows it.

        Args:
          connection: the connection, which the other end has closed.
          was_paused: whether this process was paused when the close arrived, so that others that
            came with it may arrive late.
        """
        closed_at = trio.current_time()
        siblings = [
            each
            for each in self._siblings.get(connection, ())
            if each.is_open and each.heard_at >= closed_at - MAX_SILENCE_SECONDS
        ]
        settled_at = closed_at + (MAX_SETTLE_SECONDS if was_paused else SETTLE_SECONDS)
        # When each sibling had nothing unread: what comes on it later was sent after the close.
        quiet_at: dict[UpstreamConnection, float] = {}
        while any(each.is_open for each in siblings):
            checked_at = trio.current_time()
            if checked_at >= settled_at:
                return True
            still_open = [each for each in siblings if each.is_open]
            if checked_at >= closed_at + SETTLE_SECONDS:
                for each in still_open:
                    if each.is_quiet():
                        quiet_at.setdefault(each, checked_at)
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            if any(each.heard_at > at for each, at in quiet_at.items()):
                return True
            if trio.current_time() > checked_at + CHECK_INTERVAL_SECONDS + MIN_PAUSE_SECONDS:
                settled_at = trio.current_time() + MAX_SETTLE_SECONDS
            elif not all(each.is_open for each in still_open):
                settled_at = max(settled_at, closed_at + MAX_SETTLE_SECONDS)
        return False
