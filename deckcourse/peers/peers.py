"""A process's part in what the processes of a site know together, put together from its pieces."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import trio

from deckcourse.change_feed import ChangeFeed
from deckcourse.http1.client import ConnectionPool
from deckcourse.http1.server import Exchange, IncomingRequest
from deckcourse.peers.datagrams import Datagrams
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.knowledge import Knowledge
from deckcourse.peers.loads import LoadBoard
from deckcourse.peers.member import Member
from deckcourse.peers.roster import Roster
from deckcourse.peers.shared_feed import SharedFeed
from deckcourse.peers.view import MEMBERS_PATH, encode_view, view_of

__all__ = ["PeerPorts", "Peers"]


@dataclass(frozen=True)
class PeerPorts:
    """This process as others know it, how it reaches them, and who may be there."""

    own: Member
    datagrams: Datagrams
    seeds: Callable[[], Sequence[str]]


class Peers:
    """The members of the site and the tables that they follow together.

    Args:
      ports: this process, and how it reaches others.
      store: the feed of the store itself.
      tables: what is followed.
      pool: opens connections to others.
      contact_wait: see `SharedFeed`.
      on_returned: told the moment at which the store came back, wherever that was seen.
      random: for choices and pauses that should differ between processes.
      log: writes decisions.
      gauge: sets figures that operators see.
      count: counts by name.
    """

    def __init__(
        self,
        ports: PeerPorts,
        store: ChangeFeed,
        tables: Sequence[str],
        pool: ConnectionPool,
        contact_wait: Callable[[], float],
        on_returned: Callable[[float], None],
        random: Random,
        log: Callable[..., None],
        gauge: Callable[[str, float], None] = lambda name, value: None,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._roster = Roster(ports.own, trio.current_time)
        self._gossip = PeerGossip(self._roster, ports.datagrams, ports.seeds, random, count)
        self._knowledge = Knowledge(tables, on_returned)
        self._feed = SharedFeed(
            store, self._roster, self._knowledge, pool, contact_wait, random, log, gauge, count
        )

    @property
    def feed(self) -> SharedFeed:
        """The tables as this process reads them."""
        return self._feed

    @property
    def loads(self) -> LoadBoard:
        """How much upstreams have to do, by this process's word or others'."""
        return self._knowledge.loads

    @property
    def roster(self) -> Roster:
        """Who is there."""
        return self._roster

    @property
    def gossip(self) -> PeerGossip:
        """The exchange by which processes tell each other of themselves and of crashes."""
        return self._gossip

    async def handle(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer another process, or an operator who asks who is there."""
        if request.target == MEMBERS_PATH:
            kind = (b"content-type", b"application/json")
            await exchange.whole(200, (kind,), encode_view(view_of(self._roster, self._feed)))
            return
        await self._feed.server.handle(request, exchange)

    async def leave(self) -> None:
        """Tell others that this process is about to end, and send away who asks it."""
        await self._gossip.tell_leaving()
        self._feed.server.stop()
