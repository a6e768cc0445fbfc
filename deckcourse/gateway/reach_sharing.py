"""What processes tell each other about the upstreams that they reach, assembled."""

from collections.abc import Callable, Iterable
from random import Random

import trio

from deckcourse.gateway.dialect import StreamControl
from deckcourse.gateway.peer_probes import PeerProbes
from deckcourse.gateway.reachability import Reachability
from deckcourse.gateway.reaching_peers import PeerReach, ReachingPeers
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.reach_messages import (
    ContactQuery,
    ContactReply,
    ReachQuery,
    ReachReply,
    decode_reach_message,
)
from deckcourse.peers.roster import Roster

__all__ = ["ReachSharing"]

# Queries of peers that are answered at the same time; more are dropped.
MAX_QUERIES = 32


class ReachSharing:
    """The upstreams that this process reaches, and those that its peers reach.

    Args:
      roster: the membership view.
      gossip: sends and receives datagrams.
      upstreams: the upstreams that this process knows.
      control: probes upstreams.
      services: returns the services, and whether the upstreams of each accept queries.
      describe: see `ReachingPeers`.
      version: see `ReachingPeers`.
      random: chooses upstreams and peers.
      count: increments the counter of a name.
      gauge: sets a gauge by name.
      log: writes an entry to the decision log.
    """

    def __init__(
        self,
        roster: Roster,
        gossip: PeerGossip,
        upstreams: UpstreamTable,
        control: StreamControl,
        services: Callable[[], dict[str, bool]],
        describe: Callable[[str, int], PeerReach],
        version: Callable[[], int],
        random: Random,
        count: Callable[[str], None],
        gauge: Callable[[str, float], None],
        log: Callable[..., None],
    ) -> None:
        self._count = count
        self._own = Reachability(upstreams, control, services, random, count, gauge, log)
        self._peers = ReachingPeers(
            roster, gossip, describe, version, self._own.is_partitioned, random, count
        )
        self._probes = PeerProbes(
            roster,
            gossip,
            upstreams,
            control,
            lambda service: services().get(service, False),
            random,
            count,
        )
        self._queries, self._received_queries = trio.open_memory_channel[ContactQuery](MAX_QUERIES)
        gossip.register_reach_handler(self._on_datagram)

    @property
    def own(self) -> Reachability:
        """The services whose upstreams this process reaches."""
        return self._own

    @property
    def peers(self) -> ReachingPeers:
        """The peers that take requests of other services."""
        return self._peers

    async def reached_by_peers(self, instances: Iterable[str]) -> frozenset[str]:
        """Return those of some upstreams that answer a peer."""
        return await self._probes.reached_by_peers(instances)

    async def refutes_end(self, upstream: Upstream) -> bool:
        """Return whether an upstream that refuses connections may do so for this process only."""
        if not await self._own.confirm_contact(upstream.service):
            return True
        return bool(await self._probes.reached_by_peers((upstream.instance,)))

    async def run(self) -> None:
        """Observe the own upstreams and reply to peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._own.run)
            async for query in self._received_queries:
                nursery.start_soon(self._probes.on_query, query)

    async def _on_datagram(self, data: bytes) -> None:
        match decode_reach_message(data):
            case ReachQuery() as query:
                await self._peers.on_query(query)
            case ReachReply() as reply:
                self._peers.on_reply(reply)
            case ContactReply() as reply:
                self._probes.on_reply(reply)
            case ContactQuery() as query:
                try:
                    self._queries.send_nowait(query)
                except trio.WouldBlock:
                    self._count("contact.bounded")
            case _:
                self._count("malformed.reach")
