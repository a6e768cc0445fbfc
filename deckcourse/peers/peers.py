"""The peer side of one process: gossip, the shared change feed and the relay, assembled."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

import trio

from deckcourse.change_feed import StoreFeed
from deckcourse.http1.message import IncomingRequest
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http1.server import Exchange
from deckcourse.peers.datagrams import Datagrams
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.knowledge import SharedState
from deckcourse.peers.loads import LoadBoard
from deckcourse.peers.member import Member
from deckcourse.peers.roster import Roster
from deckcourse.peers.shared_feed import SharedFeed
from deckcourse.peers.store_reports import StoreReports
from deckcourse.peers.view import MEMBERS_PATH, encode_view, view_of

__all__ = ["PeerPorts", "Peers"]


@dataclass(frozen=True)
class PeerPorts:
    """This process as a member, its datagrams, and the addresses of seed processes."""

    own: Member
    datagrams: Datagrams
    seeds: Callable[[], Sequence[str]]


class Peers:
    """The membership view and the shared change feed of one process.

    Args:
      ports: this process, and how it reaches others.
      store: the feed of the store itself.
      tables: the names of the tables to follow.
      pool: opens connections to other processes.
      contact_wait: see `SharedFeed`.
      contact: see `SharedFeed`.
      bounds: see `SharedFeed`.
      max_lost: returns how many machines may be lost at once.
      on_store_recovered: called with the time at which the store recovered, whichever process
        observed it.
      random: for choices and delays that should differ between processes.
      log: writes the decision log.
      gauge: sets a gauge by name.
      count: increments a counter by name.
    """

    def __init__(
        self,
        ports: PeerPorts,
        store: StoreFeed,
        tables: Sequence[str],
        pool: ConnectionPool,
        contact_wait: Callable[[], float],
        contact: Callable[[], float],
        bounds: Callable[[], Mapping[str, float]],
        max_lost: Callable[[], int],
        on_store_recovered: Callable[[float], None],
        random: Random,
        log: Callable[..., None],
        gauge: Callable[[str, float], None] = lambda name, value: None,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._roster = Roster(ports.own, trio.current_time)
        self._gossip = PeerGossip(self._roster, ports.datagrams, ports.seeds, random, count)
        self._shared_state = SharedState(tables, on_store_recovered)
        reports = StoreReports(
            ports.own.name, self._gossip.send_to_domain, max_lost, trio.current_time, count
        )
        self._gossip.register_store_report_handler(reports.note_datagram)
        self._feed = SharedFeed(
            store,
            self._roster,
            self._shared_state,
            pool,
            contact_wait,
            contact,
            bounds,
            reports,
            random,
            log,
            gauge,
            count,
        )
        self._gossip.register_change_handlers(
            self._feed.known_changes, self._feed.stalled_reads.note_reported
        )

    @property
    def feed(self) -> SharedFeed:
        """The change feed of this process."""
        return self._feed

    @property
    def loads(self) -> LoadBoard:
        """The loads of upstreams, from own queries and from other processes."""
        return self._shared_state.loads

    @property
    def roster(self) -> Roster:
        """The membership view."""
        return self._roster

    @property
    def gossip(self) -> PeerGossip:
        """The gossip of members and crashes."""
        return self._gossip

    async def handle(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Serve a subscriber, or an operator that requests the membership view."""
        if request.target == MEMBERS_PATH:
            content_type = (b"content-type", b"application/json")
            await exchange.respond(
                200, (content_type,), encode_view(view_of(self._roster, self._feed))
            )
            return
        await self._feed.server.handle(request, exchange)

    async def leave(self) -> None:
        """Announce that this process is leaving, and end the responses to subscribers."""
        await self._gossip.announce_leaving()
        self._feed.server.stop()
