"""Gossip between the processes of a site: a few digests per second, as datagrams.

Load pattern: the traffic of one process must not grow with the number of processes. Each round
therefore sends to a fixed number of members, and each digest holds a limited number of members.
"""

from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from random import Random
from typing import TypeVar

import trio

from deckcourse.peers.crash import MAX_CRASHES_PER_DIGEST, Crash
from deckcourse.peers.datagrams import Datagrams
from deckcourse.peers.followers import followers
from deckcourse.peers.issuer_messages import ISSUER_PREFIX
from deckcourse.peers.loss_notice import LOSS_PREFIX
from deckcourse.peers.member import Digest, Member, decode_digest, encode_digest
from deckcourse.peers.reach_messages import REACH_PREFIX
from deckcourse.peers.roster import Roster
from deckcourse.peers.store_reports import STORE_REPORT_PREFIX

__all__ = ["PeerGossip"]

_Item = TypeVar("_Item")

# Interval between rounds, seconds; jittered by up to a tenth.
ROUND_INTERVAL_SECONDS = 1.0
# Digests sent to members of the own domain in each round; enough for each heartbeat to reach every
# process before the member's TTL expires.
DOMAIN_PEERS_PER_ROUND = 3
# Every this many rounds, one digest goes to a member of another domain or to a seed, which rejoins
# the domains after a partition. It is sent less often because traffic between domains costs more.
ROUNDS_PER_OUTSIDE_DIGEST = 3
# Members in one digest: 18 of 70 bytes each fit in one packet.
MEMBERS_PER_DIGEST = 18
# Members that get a crash at once: all of a small site. The others read it from the store.
MAX_CRASH_RECIPIENTS = 32
# A process that knows fewer other members of its domain than this asks all seeds in each round.
MIN_DOMAIN_PEERS = 2


class PeerGossip:
    """The gossip of one process.

    Args:
      roster: the membership view of this process.
      datagrams: sends and receives the messages.
      seeds: returns addresses of processes that may be running.
      random: chooses the recipients.
      count: increments a counter by name.
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
        self._recent_crashes: Callable[[], Sequence[Crash]] = tuple
        self._on_cleared: Callable[[str], None] = lambda identity: None
        self._on_issuer_message: Callable[[bytes], Awaitable[None]] | None = None
        self._on_digest_request: Callable[[str], Awaitable[None]] | None = None
        self._on_loss_message: Callable[[bytes], None] | None = None
        self._on_reach_message: Callable[[bytes], Awaitable[None]] | None = None
        self._on_store_report: Callable[[bytes], None] | None = None
        self._on_round: Callable[[], None] = lambda: None
        self._changed: Callable[[], Mapping[str, int]] = dict
        self._on_changed: Callable[[Mapping[str, int]], None] = lambda changed: None

    def register_change_handlers(
        self,
        changed: Callable[[], Mapping[str, int]],
        on_changed: Callable[[Mapping[str, int]], None],
    ) -> None:
        """Register the handlers of reports on the newest changes in the store.

        Args:
          changed: returns the version of the newest change of each table, if this process reads the
            store.
          on_changed: called with what another process that reads the store reports.
        """
        self._changed = changed
        self._on_changed = on_changed

    def register_crash_handlers(
        self,
        on_crash: Callable[[Crash], None],
        recent: Callable[[], Sequence[Crash]],
        on_cleared: Callable[[str], None],
    ) -> None:
        """Register the handlers of crashes.

        Args:
          on_crash: called with each crash that another process reports.
          recent: returns the crashes that are still valid, latest last; sent in reply to digests
            that want a reply.
          on_cleared: called with each part of prompts that another process clears.
        """
        self._on_crash = on_crash
        self._recent_crashes = recent
        self._on_cleared = on_cleared

    def register_issuer_handlers(
        self,
        handler: Callable[[bytes], Awaitable[None]],
        on_digest_request: Callable[[str], Awaitable[None]],
    ) -> None:
        """Register the handlers of datagrams to and from the issuer.

        Args:
          handler: called with each datagram.
          on_digest_request: called with the address of each process that requests a digest.
        """
        self._on_issuer_message = handler
        self._on_digest_request = on_digest_request

    def register_loss_handler(self, handler: Callable[[bytes], None]) -> None:
        """Register the handler of datagrams about lost upstreams."""
        self._on_loss_message = handler

    def register_reach_handler(self, handler: Callable[[bytes], Awaitable[None]]) -> None:
        """Register the handler of datagrams about which services a process reaches."""
        self._on_reach_message = handler

    def register_store_report_handler(self, handler: Callable[[bytes], None]) -> None:
        """Register the handler of datagrams which tell that the store did not answer a process."""
        self._on_store_report = handler

    def register_round_handler(self, handler: Callable[[], None]) -> None:
        """Register a handler that is called in each round."""
        self._on_round = handler

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram to a member."""
        await self._datagrams.send(address, data)

    async def broadcast(self, data: bytes) -> None:
        """Send a datagram to every other live member."""
        own = self._roster.own
        for member in self._roster.live():
            if member.name != own.name:
                await self._datagrams.send(member.address, data)

    async def send_to_domain(self, data: bytes) -> None:
        """Send a datagram to every other live member of the own domain."""
        for member in self._domain_peers():
            await self._datagrams.send(member.address, data)

    async def run(self) -> None:
        """Send and receive digests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_datagrams)
            while True:
                await self._round()
                await trio.sleep(ROUND_INTERVAL_SECONDS * self._random.uniform(0.9, 1.1))

    async def announce_leaving(self) -> None:
        """Announce to the members of the own domain that this process is leaving."""
        self._roster.mark_leaving()
        for member in self._domain_peers():
            await self._send_digest(member.address, member.domain)

    async def publish_crashes(self, crashes: Sequence[Crash]) -> None:
        """Send crashes to other members at once."""
        own = self._roster.own
        for each in _batches(crashes):
            await self._send_to_sample(encode_digest(Digest(own, (), False, each)))

    async def publish_cleared(self, identities: Sequence[str]) -> None:
        """Tell other members at once that requests with some parts of prompts succeeded."""
        own = self._roster.own
        for each in _batches(identities):
            await self._send_to_sample(encode_digest(Digest(own, (), False, (), each)))

    async def _send_to_sample(self, digest: bytes) -> None:
        own = self._roster.own
        others = [each for each in self._roster.live() if each.name != own.name]
        for member in self._random.sample(others, min(MAX_CRASH_RECIPIENTS, len(others))):
            await self._datagrams.send(member.address, digest)

    async def _round(self) -> None:
        self._roster.advance_heartbeat()
        self._on_round()
        domain_peers = self._domain_peers()
        for member in self._round_recipients(domain_peers):
            await self._send_digest(member.address, member.domain)
        is_isolated = len(domain_peers) < MIN_DOMAIN_PEERS
        if is_isolated or self._rounds % ROUNDS_PER_OUTSIDE_DIGEST == 0:
            await self._send_outside_domain(is_isolated)
        self._rounds += 1

    def _round_recipients(self, domain_peers: list[Member]) -> list[Member]:
        """Return the members of the own domain that get a digest in this round.

        A process that reads the store sends one to the other followers, so that one of them whose
        read stands still learns of newer changes.
        """
        recipients = self._random.sample(
            domain_peers, min(DOMAIN_PEERS_PER_ROUND, len(domain_peers))
        )
        if not self._changed():
            return recipients
        own = self._roster.own
        domain_followers = followers((*domain_peers, own), own.domain)
        first = [each for each in domain_followers if each.name != own.name]
        others = [each for each in recipients if each not in first]
        return (first + others)[:DOMAIN_PEERS_PER_ROUND]

    def _domain_peers(self) -> list[Member]:
        own = self._roster.own
        members = self._roster.live()
        return [each for each in members if each.domain == own.domain and each.name != own.name]

    async def _send_outside_domain(self, is_isolated: bool) -> None:
        """Send a digest to a member of another domain or a seed; ask all seeds if isolated."""
        own = self._roster.own
        seeds = [each for each in self._seeds() if each != own.address]
        if is_isolated:
            for seed in seeds:
                await self._send_digest(seed, own.domain, wants_reply=True)
            return
        outside = [each for each in self._roster.live() if each.domain != own.domain]
        if outside:
            member = self._random.choice(outside)
            await self._send_digest(member.address, member.domain)
        elif seeds:
            await self._send_digest(self._random.choice(seeds), own.domain, wants_reply=True)

    async def _send_digest(
        self, address: str, domain: str, wants_reply: bool = False, crashes: tuple[Crash, ...] = ()
    ) -> None:
        members = self._roster.select_for_digest(domain, MEMBERS_PER_DIGEST)
        changed = dict(self._changed())
        digest = Digest(self._roster.own, members, wants_reply, crashes, (), changed)
        await self._datagrams.send(address, encode_digest(digest))

    async def _receive_datagrams(self) -> None:
        while True:
            data = await self._datagrams.receive()
            if self._on_issuer_message is not None and data.startswith(ISSUER_PREFIX):
                await self._on_issuer_message(data)
                continue
            if self._on_loss_message is not None and data.startswith(LOSS_PREFIX):
                self._on_loss_message(data)
                continue
            if self._on_reach_message is not None and data.startswith(REACH_PREFIX):
                await self._on_reach_message(data)
                continue
            if self._on_store_report is not None and data.startswith(STORE_REPORT_PREFIX):
                self._on_store_report(data)
                continue
            digest = decode_digest(data)
            if digest is None:
                self._count("malformed.digest")
                continue
            self._roster.merge((digest.sender, *digest.members))
            for crash in digest.crashes:
                self._on_crash(crash)
            for identity in digest.cleared:
                self._on_cleared(identity)
            if digest.changed:
                self._on_changed(digest.changed)
            if digest.wants_reply:
                sender = digest.sender
                crashes = tuple(self._recent_crashes())[-MAX_CRASHES_PER_DIGEST:]
                await self._send_digest(sender.address, sender.domain, crashes=crashes)
                if self._on_digest_request is not None:
                    await self._on_digest_request(sender.address)


def _batches(items: Sequence[_Item]) -> Iterator[tuple[_Item, ...]]:
    """Yield items in groups that fit in one digest."""
    for start in range(0, len(items), MAX_CRASHES_PER_DIGEST):
        yield tuple(items[start : start + MAX_CRASHES_PER_DIGEST])
