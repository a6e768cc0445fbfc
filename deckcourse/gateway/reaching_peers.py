"""Finds peers that reach the upstreams of a service, for the requests of a process that doesn't.

Nothing is sent while upstreams can be reached. A process without upstreams asks a limited number of
peers and remembers their replies for a short time, however many requests it has.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random

import trio

from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.member import Member
from deckcourse.peers.peer_sample import sample_peers
from deckcourse.peers.reach_messages import (
    ReachQuery,
    ReachReply,
    encode_reach_message,
)
from deckcourse.peers.roster import Roster

__all__ = ["PeerReach", "ReachingPeers"]

# Peers that are asked at once, so that the messages of one process don't grow with their number.
MAX_ASKED = 10
# How long the replies of one round are used, seconds: a peer may be partitioned at any time.
REPLY_TTL_SECONDS = 0.5
# Shortest interval between two rounds if no peer takes a request, seconds.
MIN_ROUND_INTERVAL_SECONDS = 0.1
# How long a round may take, seconds: a live peer replies within 3 ms.
ROUND_TIMEOUT_SECONDS = 0.06
# A peer that an upstream answered within this time reaches it, seconds. Others may not know yet
# that they don't, and are asked for service only if there is none.
RECENT_CONTACT_SECONDS = 1.0
# The service in a query that only asks for a sign of life.
NO_SERVICE = "-"
# Requests in hand that a peer in another failure domain counts as having in addition.
REMOTE_PENALTY = 4
# Timeout of each of the queries that a silent peer gets, seconds.
SIGN_OF_LIFE_TIMEOUTS_SECONDS = (0.1, 0.2)
# How long a peer that failed is avoided, seconds.
FAILED_PEER_SECONDS = 1.0


@dataclass(frozen=True)
class PeerReach:
    """What a peer tells of a service: whether it takes requests, and its last contact."""

    accepts: bool
    contact_age: float = 0.0
    requests: int = 0


@dataclass
class _Round:
    """The replies to one round of queries about a service; `asked_at` is on trio's clock."""

    number: int
    asked: dict[str, Member]
    asked_at: float
    replies: dict[str, ReachReply] = field(default_factory=dict)
    finished: trio.Event = field(default_factory=trio.Event)


class ReachingPeers:
    """The peers that take requests of services whose upstreams this process doesn't reach.

    Args:
      roster: the membership view.
      gossip: sends and receives datagrams.
      describe: returns what this process tells of a service, for a process whose desired state has
        the given version.
      version: returns the version of the own desired state.
      is_partitioned: returns whether this process reaches no upstream of a service.
      random: chooses the peers that are asked.
      count: increments the counter of a name.
    """

    def __init__(
        self,
        roster: Roster,
        gossip: PeerGossip,
        describe: Callable[[str, int], PeerReach],
        version: Callable[[], int],
        is_partitioned: Callable[[str], bool],
        random: Random,
        count: Callable[[str], None],
    ) -> None:
        self._is_partitioned = is_partitioned
        self._roster = roster
        self._gossip = gossip
        self._describe = describe
        self._version = version
        self._random = random
        self._count = count
        self._number = 0
        self._rounds: dict[str, _Round] = {}
        self._handed_over: Counter[str] = Counter()
        self._failed_until: dict[str, float] = {}
        self._awaited_replies: dict[int, trio.Event] = {}

    async def choose(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return the peer to hand a request over to, None if there is none.

        Args:
          service: the service that the request is for.
          excluded: the names of peers that the request was handed over to before.
        """
        arrived_at = trio.current_time()
        current = await self._current_round(service)
        best = self._best_reply(current, excluded)
        is_due = trio.current_time() >= current.asked_at + MIN_ROUND_INTERVAL_SECONDS
        # A peer may have become able to take requests since it was asked. A partitioned process
        # has no other way to serve them.
        may_wait = self._is_partitioned(service) and current.asked_at < arrived_at
        if best is None and (is_due or may_wait):
            current = await self._next_round(service, current)
            best = self._best_reply(current, excluded)
        return current.asked[best.sender] if best is not None else None

    async def _current_round(self, service: str) -> _Round:
        current = self._rounds.get(service)
        if current is None or trio.current_time() >= current.asked_at + REPLY_TTL_SECONDS:
            return await self._ask(service)
        await self._wait_for_replies(current)
        return current

    async def _next_round(self, service: str, last: _Round) -> _Round:
        """Ask peers again, as soon as the interval since the last round is over."""
        await trio.sleep_until(last.asked_at + MIN_ROUND_INTERVAL_SECONDS)
        current = self._rounds[service]
        if current is last:
            return await self._ask(service)
        await self._wait_for_replies(current)
        return current

    async def _wait_for_replies(self, current: _Round) -> None:
        if not current.finished.is_set():
            with trio.move_on_at(current.asked_at + ROUND_TIMEOUT_SECONDS):
                await current.finished.wait()

    def _best_reply(self, current: _Round, excluded: frozenset[str]) -> ReachReply | None:
        now = trio.current_time()
        candidates = [
            each
            for name, each in current.replies.items()
            if each.accepts and name not in excluded and self._failed_until.get(name, now) <= now
        ]
        recent = [each for each in candidates if each.contact_age <= RECENT_CONTACT_SECONDS]
        return min(recent or candidates, key=lambda each: self._cost(current, each), default=None)

    def note_failed(self, peer: Member) -> None:
        """Record that a peer could not take a request."""
        now = trio.current_time()
        self._failed_until = {name: at for name, at in self._failed_until.items() if at > now}
        self._failed_until[peer.name] = now + FAILED_PEER_SECONDS

    async def is_alive(self, peer: Member) -> bool:
        """Return whether a peer replies to a query."""
        for seconds in SIGN_OF_LIFE_TIMEOUTS_SECONDS:
            self._number += 1
            replied = self._awaited_replies[self._number] = trio.Event()
            query = ReachQuery(self._number, self._roster.own.name, NO_SERVICE, self._version())
            try:
                await self._gossip.send(peer.address, encode_reach_message(query))
                with trio.move_on_after(seconds):
                    await replied.wait()
                    return True
            finally:
                self._awaited_replies = {
                    number: each
                    for number, each in self._awaited_replies.items()
                    if each is not replied
                }
        return False

    @contextmanager
    def handing_over(self, peer: Member) -> Iterator[None]:
        """Count a request as handed over to a peer while it is served there."""
        self._handed_over[peer.name] += 1
        try:
            yield
        finally:
            self._handed_over[peer.name] -= 1
            if not self._handed_over[peer.name]:
                del self._handed_over[peer.name]

    def _cost(self, current: _Round, reply: ReachReply) -> tuple[float, float]:
        is_remote = current.asked[reply.sender].domain != self._roster.own.domain
        # Its own count may not include yet what this process has just handed over.
        requests = max(reply.requests, self._handed_over[reply.sender])
        return requests + self._handed_over[reply.sender] + REMOTE_PENALTY * is_remote, (
            self._random.random()
        )

    async def _ask(self, service: str) -> _Round:
        self._number += 1
        peers = sample_peers(self._roster, self._random, MAX_ASKED)
        asked = {each.name: each for each in peers}
        current = _Round(self._number, asked, trio.current_time())
        self._rounds[service] = current
        if not peers:
            current.finished.set()
        own = self._roster.own.name
        query = ReachQuery(self._number, own, service, self._version())
        data = encode_reach_message(query)
        self._count("handover.asked")
        for each in peers:
            await self._gossip.send(each.address, data)
        await self._wait_for_replies(current)
        return current

    async def on_query(self, query: ReachQuery) -> None:
        """Reply to the query of a peer."""
        # The address comes from the membership view: a query must not direct replies elsewhere.
        sender = self._roster.live_member(query.sender)
        if sender is None or sender.name == self._roster.own.name:
            return
        reach = self._describe(query.service, query.version)
        name = self._roster.own.name
        reply = ReachReply(query.number, name, reach.accepts, reach.contact_age, reach.requests)
        await self._gossip.send(sender.address, encode_reach_message(reply))

    def on_reply(self, reply: ReachReply) -> None:
        """Record the reply of a peer."""
        if reply.number in self._awaited_replies:
            self._awaited_replies[reply.number].set()
        for current in self._rounds.values():
            if current.number == reply.number and reply.sender in current.asked:
                current.replies[reply.sender] = reply
                if len(current.replies) == len(current.asked):
                    current.finished.set()
