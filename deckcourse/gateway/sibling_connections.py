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
from typing import TypeVar
from weakref import WeakKeyDictionary, WeakSet

import trio

from deckcourse.background import Background
from deckcourse.http1.client import UpstreamConnection
from deckcourse.http1.message import ConnectionLostError
from deckcourse.http1.pool import ConnectionPool

__all__ = ["SiblingConnections"]

_Value = TypeVar("_Value")

# How long a sibling must stay open after the end of an answer: the closes of a process that exits
# arrive together, but a packet that is lost is sent again after 0.2 s.
SETTLE_SECONDS = 0.25
CHECK_INTERVAL_SECONDS = 0.01
# What a process that exits has sent arrives within this time of its closes, on a loaded machine
# too, seconds. Bytes that come on a sibling later show that the process goes on.
TRANSIT_SECONDS = 0.03
# A wait that ends later than this much shows a pause of this process.
MIN_PAUSE_SECONDS = 0.03
# A sibling that was quiet for longer is no evidence: an open connection may have gone silent, so
# that the close of the other end can't arrive.
MAX_SILENCE_SECONDS = 2.0
# Siblings that are compared with a connection, the newest ones first.
MAX_SIBLINGS = 8
# How long an upstream counts as sending answers without a length after one of them.
UNFRAMED_TTL_SECONDS = 10.0
# Bound on the addresses that are remembered for that, and as those of upstreams that send lengths.
MAX_ADDRESSES = 1024


class SiblingConnections:
    """Knows which open connections of this process lead to the same process of an upstream.

    While the answers of an upstream have no length, each of them ends its connection. Another
    connection is therefore opened beside each request, which the next request uses. An upstream
    that can't be asked whether it is there gets a witness as well, a connection without requests,
    until one of its answers has a length: a process that is late may read the ends of all others in
    one turn.

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
        # The addresses whose latest answer had a length, in the order of these answers.
        self._framed: dict[str, None] = {}
        # By address; none while it is being opened.
        self._witnesses: dict[str, UpstreamConnection | None] = {}

    async def run(self) -> None:
        """Open spare connections until cancelled."""
        await self._background.run()

    def note_request(self, connection: UpstreamConnection, can_be_asked: bool = True) -> None:
        """Prepare for an answer without a length, if the upstream may send one.

        Args:
          connection: the connection that the request is about to be sent on.
          can_be_asked: whether the upstream also tells in another way that it is still there;
            otherwise its answers may have no length until one has had a length.
        """
        address = connection.address
        is_unframed = self._unframed_until.get(address, 0.0) > trio.current_time()
        has_witness = not can_be_asked and address not in self._framed
        if is_unframed or has_witness:
            self._compare(connection)
        if is_unframed:
            self._background.start(self._open_spare, address)
        if has_witness:
            self._require_witness(address)

    def note_framed_answer(self, connection: UpstreamConnection) -> None:
        """Record that an answer that has begun tells where it ends."""
        _put_bounded(self._framed, connection.address, None)
        witness = self._witnesses.pop(connection.address, None)
        if witness is not None:
            witness.abort()

    def _require_witness(self, address: str) -> None:
        """Open a witness unless there is one; close those whose other end is closed."""
        for other, each in list(self._witnesses.items()):
            if each is not None and not each.is_open:
                each.abort()
                del self._witnesses[other]
        if address not in self._witnesses and len(self._witnesses) < MAX_ADDRESSES:
            self._witnesses[address] = None
            self._background.start(self._open_witness, address)

    async def _open_witness(self, address: str) -> None:
        witness = None
        try:
            witness = await self._pool.open(address)
        except ConnectionLostError:
            self._count("sibling.failed")
        finally:
            if witness is None:
                self._witnesses.pop(address, None)
        if witness is not None:
            self._count("sibling.opened")
            self._witnesses[address] = witness
            for each in self._pool.connections(address):
                self._compare(each)

    def note_unframed_answer(self, connection: UpstreamConnection) -> None:
        """Record that an answer that has begun has no length."""
        now = trio.current_time()
        self._framed.pop(connection.address, None)
        _put_bounded(self._unframed_until, connection.address, now + UNFRAMED_TTL_SECONDS)
        self._compare(connection)
        if not self._siblings.get(connection) and connection.is_open:
            self._background.start(self._open_spare, connection.address)

    def _compare(self, connection: UpstreamConnection) -> None:
        """Record the connections that are open at the same moment as this one."""
        if not connection.is_open:
            return
        others = [each for each in self._pool.connections(connection.address) if each.is_open]
        witness = self._witnesses.get(connection.address)
        witnesses = [witness] if witness is not None and witness.is_open else []
        for other in others[: MAX_SIBLINGS + 1] + witnesses:
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

    async def outlive(
        self,
        connection: UpstreamConnection,
        max_silence_seconds: float = MAX_SILENCE_SECONDS,
    ) -> bool:
        """Return whether the process at the other end of a connection runs after its close.

        False if no other connection shows it.

        Args:
          connection: the connection, which the other end has closed.
          max_silence_seconds: siblings that were quiet for longer don't count.
        """
        closed_at = trio.current_time()
        siblings = [
            each
            for each in self._siblings.get(connection, ())
            if each.is_open and each.heard_at >= closed_at - max_silence_seconds
        ]
        settled_at = closed_at + SETTLE_SECONDS
        # When each sibling had nothing unread: what comes on it later was sent after the close.
        quiet_at: dict[UpstreamConnection, float] = {}
        while any(each.is_open for each in siblings):
            checked_at = trio.current_time()
            if checked_at >= settled_at:
                return True
            still_open = [each for each in siblings if each.is_open]
            if checked_at >= closed_at + TRANSIT_SECONDS:
                for each in still_open:
                    if each.is_quiet():
                        quiet_at.setdefault(each, checked_at)
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            if any(each.heard_at > at for each, at in quiet_at.items()):
                return True
            if trio.current_time() > checked_at + CHECK_INTERVAL_SECONDS + MIN_PAUSE_SECONDS:
                settled_at = trio.current_time() + SETTLE_SECONDS
        return False


def _put_bounded(entries: dict[str, _Value], key: str, value: _Value) -> None:
    """Put an entry last, and drop the first ones beyond `MAX_ADDRESSES`."""
    entries.pop(key, None)
    while len(entries) >= MAX_ADDRESSES:
        del entries[next(iter(entries))]
    entries[key] = value
