"""Asks peers whether upstreams that don't answer this process answer them.

A process that is partitioned from an upstream can't tell that from a loss; the peers that it can
reach can. What they say decides about plans and about the attribution of crashes.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import trio

from deckcourse.gateway.dialect import ProbeResult, StreamControl
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.peer_sample import sample_peers
from deckcourse.peers.reach_messages import (
    MAX_INSTANCES,
    ContactQuery,
    ContactReply,
    encode_reach_message,
)
from deckcourse.peers.roster import Roster

__all__ = ["PeerProbes"]

# Peers that are asked at once.
MAX_ASKED = 8
# Timeout of a peer's probes, seconds: a live upstream answers within 3 ms.
PROBE_TIMEOUT_SECONDS = 0.04
# How long this process waits for replies, seconds.
REPLY_TIMEOUT_SECONDS = 0.08
# How long the result of a probe answers further queries, seconds.
RESULT_TTL_SECONDS = 0.1
# Probes for peers at the same time.
MAX_PROBES = 64


@dataclass
class _Round:
    """The replies to one query; `missing` counts the peers that haven't replied."""

    asked: frozenset[str]
    missing: int
    reached: set[str] = field(default_factory=set)
    finished: trio.Event = field(default_factory=trio.Event)


@dataclass
class _Probe:
    """A probe for peers, in progress or done; `until` is the end of its validity."""

    until: float = float("inf")
    is_alive: bool = False
    done: trio.Event = field(default_factory=trio.Event)


class PeerProbes:
    """Queries to peers about single upstreams, and the replies to theirs.

    Args:
      roster: the membership view.
      gossip: sends datagrams.
      upstreams: the upstreams that this process knows.
      control: probes upstreams.
      has_layers: returns whether the upstreams of a service accept queries.
      random: chooses the peers that are asked.
      count: increments the counter of a name.
    """

    def __init__(
        self,
        roster: Roster,
        gossip: PeerGossip,
        upstreams: UpstreamTable,
        control: StreamControl,
        has_layers: Callable[[str], bool],
        random: Random,
        count: Callable[[str], None],
    ) -> None:
        self._roster = roster
        self._gossip = gossip
        self._upstreams = upstreams
        self._control = control
        self._has_layers = has_layers
        self._random = random
        self._count = count
        self._number = 0
        self._rounds: dict[int, _Round] = {}
        self._probes: dict[str, _Probe] = {}

    async def reached_by_peers(self, instances: Iterable[str]) -> frozenset[str]:
        """Return those of some upstreams that answer a peer, none if no peer can be reached."""
        asked_about = tuple(sorted(instances))[:MAX_INSTANCES]
        peers = sample_peers(self._roster, self._random, MAX_ASKED)
        if not asked_about or not peers:
            return frozenset()
        self._number += 1
        current = _Round(frozenset(each.name for each in peers), len(peers))
        self._rounds[self._number] = current
        query = ContactQuery(self._number, self._roster.own.name, asked_about)
        data = encode_reach_message(query)
        self._count("contact.asked")
        try:
            for each in peers:
                await self._gossip.send(each.address, data)
            with trio.move_on_after(REPLY_TIMEOUT_SECONDS):
                await current.finished.wait()
        finally:
            del self._rounds[query.number]
        return frozenset(current.reached) & frozenset(asked_about)

    async def on_query(self, query: ContactQuery) -> None:
        """Probe the upstreams that a peer asks about, and reply."""
        # The address comes from the membership view: a query must not direct replies elsewhere.
        sender = self._roster.live_member(query.sender)
        if sender is None or sender.name == self._roster.own.name:
            return
        reached: set[str] = set()

        async def probe(upstream: Upstream) -> None:
            if await self._is_alive(upstream):
                reached.add(upstream.instance)

        async with trio.open_nursery() as nursery:
            for instance in query.instances:
                upstream = self._upstreams.get(instance)
                if upstream is not None:
                    nursery.start_soon(probe, upstream)
        reply = ContactReply(query.number, self._roster.own.name, tuple(sorted(reached)))
        await self._gossip.send(sender.address, encode_reach_message(reply))

    async def _is_alive(self, upstream: Upstream) -> bool:
        now = trio.current_time()
        self._probes = {name: each for name, each in self._probes.items() if each.until > now}
        probe = self._probes.get(upstream.instance)
        if probe is not None:
            await probe.done.wait()
            return probe.is_alive
        if len(self._probes) >= MAX_PROBES:
            self._count("contact.bounded")
            return False
        probe = self._probes[upstream.instance] = _Probe()
        try:
            probe.is_alive = await self._send_probe(upstream) is ProbeResult.ALIVE
        finally:
            probe.until = trio.current_time() + RESULT_TTL_SECONDS
            probe.done.set()
        return probe.is_alive

    async def _send_probe(self, upstream: Upstream) -> ProbeResult:
        # The tokens of a rate limited upstream are for callers' requests and for orders.
        is_limited = self._upstreams.throttles.is_limited(upstream.instance)
        if self._has_layers(upstream.service) and not is_limited:
            return (await self._control.probe(upstream, PROBE_TIMEOUT_SECONDS)).result
        return await self._control.probe_connection(upstream, PROBE_TIMEOUT_SECONDS)

    def on_reply(self, reply: ContactReply) -> None:
        """Record the reply of a peer."""
        current = self._rounds.get(reply.number)
        if current is None or reply.sender not in current.asked:
            return
        current.reached |= set(reply.instances)
        current.missing -= 1
        if current.missing <= 0:
            current.finished.set()
