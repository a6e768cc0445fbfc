"""The exchange by which processes learn of each other: a few digests each second, by datagram.

Load pattern: what a process sends and receives must not grow with the number of processes, so each
round goes to a fixed number of members, with a fixed number of others told of.
"""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

import trio

from deckcourse.peers.crash import MOST_TOLD, Crash
from deckcourse.peers.datagrams import Datagrams
from deckcourse.peers.member import Digest, Member, decode_digest, encode_digest
from deckcourse.peers.roster import Roster
from deckcourse.peers.token_messages import TOKEN_PREFIX

__all__ = ["PeerGossip"]

# Between two rounds, seconds, and up to a tenth more or less by chance.
ROUND_SECONDS = 1.0
# So many members of the own domain are told in a round; each beat must come around within the
# lifetime of a member.
NEAR_PER_ROUND = 3
# Each so many rounds one member of another domain, or a seed, is told: it links the domains again
# after a partition. Bytes between domains cost more than those within.
FAR_ROUNDS = 3
# Members in one digest: 18 of 70 bytes stay within one packet.
MEMBERS_PER_DIGEST = 18
# Members that are told of a crash at once: all of a small site. Others read it in the store.
MOST_TOLD_AT_ONCE = 32
# A process that knows fewer others than this asks its seeds in each round.
FEW_MEMBERS = 2


class PeerGossip:
    """One process's part in the exchange.

    Args:
      roster: what it knows.
      datagrams: how it is told and tells.
      seeds: addresses of processes that may be there.
      random: chooses whom to tell.
      count: counts by name.
    """

    def __init__(
        self,
        roster: Roster,
        datagrams: Datagrams,
        seeds: Callable[[], Sequence[str]],
        random: Random,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._roster = roster
        self._datagrams = datagrams
        self._seeds = seeds
        self._random = random
        self._count = count
        self._rounds = 0
        self._on_crash: Callable[[Crash], None] = lambda crash: None
        self._known_crashes: Callable[[], Sequence[Crash]] = tuple
        self._on_token_message: Callable[[bytes], Awaitable[None]] | None = None
        self._greet: Callable[[str], Awaitable[None]] | None = None

    def share_crashes(
        self, on_crash: Callable[[Crash], None], known: Callable[[], Sequence[Crash]]
    ) -> None:
        """Have each crash heard that others tell of, and tell who asks of those that are known.

        Args:
          on_crash: told of each.
          known: returns what still counts, the latest at the end.
        """
        self._on_crash = on_crash
        self._known_crashes = known

    def take_token_messages(
        self,
        handler: Callable[[bytes], Awaitable[None]],
        greet: Callable[[str], Awaitable[None]],
    ) -> None:
        """Register the handlers of rate limit datagrams.

        Args:
          handler: called with each datagram.
          greet: called with the address of each process that asks for a digest.
        """
        self._on_token_message = handler
        self._greet = greet

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram to a member."""
        await self._datagrams.send(address, data)

    async def broadcast(self, data: bytes) -> None:
        """Send a datagram to every other member that lives."""
        own = self._roster.own
        for member in self._roster.live():
            if member.name != own.name:
                await self._datagrams.send(member.address, data)

    async def run(self) -> None:
        """Tell and listen until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._listen)
            while True:
                await self._round()
                await trio.sleep(ROUND_SECONDS * self._random.uniform(0.9, 1.1))

    async def tell_leaving(self) -> None:
        """Tell the members of the own domain that this process is about to end."""
        self._roster.leave()
        for member in self._near():
            await self._tell(member.address, member.domain)

    async def tell_crash(self, crash: Crash) -> None:
        """Tell others at once that an upstream ended under a request."""
        own = self._roster.own
        digest = encode_digest(Digest(own, (), False, (crash,)))
        others = [each for each in self._roster.live() if each.name != own.name]
        for member in self._random.sample(others, min(MOST_TOLD_AT_ONCE, len(others))):
            await self._datagrams.send(member.address, digest)

    async def _round(self) -> None:
        self._roster.beat()
        near = self._near()
        for member in self._random.sample(near, min(NEAR_PER_ROUND, len(near))):
            await self._tell(member.address, member.domain)
        lonely = len(near) < FEW_MEMBERS
        if lonely or self._rounds % FAR_ROUNDS == 0:
            await self._tell_far(lonely)
        self._rounds += 1

    def _near(self) -> list[Member]:
        own = self._roster.own
        members = self._roster.live()
        return [each for each in members if each.domain == own.domain and each.name != own.name]

    async def _tell_far(self, lonely: bool) -> None:
        """Tell a member of another domain or a seed; one that knows few asks all its seeds."""
        own = self._roster.own
        seeds = [each for each in self._seeds() if each != own.address]
        if lonely:
            for seed in seeds:
                await self._tell(seed, own.domain, asks=True)
            return
        far = [each for each in self._roster.live() if each.domain != own.domain]
        if far:
            member = self._random.choice(far)
            await self._tell(member.address, member.domain)
        elif seeds:
            await self._tell(self._random.choice(seeds), own.domain, asks=True)

    async def _tell(
        self, address: str, domain: str, asks: bool = False, crashes: tuple[Crash, ...] = ()
    ) -> None:
        members = self._roster.news(domain, MEMBERS_PER_DIGEST)
        digest = Digest(self._roster.own, members, asks, crashes)
        await self._datagrams.send(address, encode_digest(digest))

    async def _listen(self) -> None:
        while True:
            data = await self._datagrams.receive()
            if self._on_token_message is not None and data.startswith(TOKEN_PREFIX):
                await self._on_token_message(data)
                continue
            digest = decode_digest(data)
            if digest is None:
                self._count("malformed.digest")
                continue
            self._roster.take((digest.sender, *digest.members))
            for crash in digest.crashes:
                self._on_crash(crash)
            if digest.asks:
                sender = digest.sender
                crashes = tuple(self._known_crashes())[-MOST_TOLD:]
                await self._tell(sender.address, sender.domain, crashes=crashes)
                if self._greet is not None:
                    await self._greet(sender.address)
