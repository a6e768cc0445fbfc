"""Gossip among the system's processes: configuration, leaving upstreams, load and demand.

Each round sends a digest to a few peers in a random order, so that what a node sends doesn't
grow with the number of nodes. A new configuration version starts a round at once.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import trio

from deckcourse.configuration_holder import ConfigurationHolder
from deckcourse.counters import Counters
from deckcourse.membership import Membership
from deckcourse.peer_link import Digest, Exchange, PeerLink, load_of

__all__ = ["Gossip", "PeerState"]

ROUND_SECONDS = 0.5
PEERS_PER_ROUND = 3
# A peer that wasn't heard of for this long counts as gone.
PEER_LIFETIME_SECONDS = 5.0
LOADS_PER_DIGEST = 64
ENTRY_ROLE = "entry"


@dataclass(frozen=True)
class PeerState:
    """What a peer last said; it counts as gone after `deadline`."""

    digest: Digest
    deadline: float


class Gossip:
    """The exchanges of one process with its peers."""

    def __init__(
        self,
        own: Callable[[], Digest],
        holder: ConfigurationHolder,
        membership: Membership,
        link: Callable[[str], PeerLink],
        counters: Counters,
        random: Random,
    ) -> None:
        self._own = own
        self._holder = holder
        self._membership = membership
        self._link = link
        self._counters = counters
        self._random = random
        self._states: dict[str, PeerState] = {}
        self._peers: frozenset[str] = frozenset()
        self._wakes: dict[str, trio.Event] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._turns: list[str] = []

    @property
    def live(self) -> dict[str, Digest]:
        """The digests of the peers heard of lately, by name."""
        now = trio.current_time()
        states = self._states.values()
        return {state.digest.name: state.digest for state in states if state.deadline >= now}

    def live_entries(self) -> tuple[str, ...]:
        """Return the names of the live peers that are entries."""
        return tuple(
            name
            for name, digest in self.live.items()
            if digest.role == ENTRY_ROLE and not digest.stopping
        )

    def known_entries(self) -> dict[str, PeerState]:
        """Return the other entries: live ones, and those out of reach that are still listed."""
        now = trio.current_time()
        return {
            state.digest.name: state
            for state in self._states.values()
            if state.digest.role == ENTRY_ROLE
            and not state.digest.stopping
            and (state.deadline >= now or state.digest.address in self._peers)
        }

    def is_live(self, incarnation: str) -> bool:
        """Return whether the process incarnation was heard of lately."""
        return any(digest.incarnation == incarnation for digest in self.live.values())

    def set_peers(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the peers that there are."""
        self._peers = frozenset(addresses)

    async def run(self) -> None:
        """Exchange digests until cancelled: one task for each peer, woken by the rounds."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wake_on_change)
            while True:
                self._match_tasks(nursery)
                self._wake_some()
                await trio.sleep(ROUND_SECONDS)

    def _match_tasks(self, nursery: trio.Nursery) -> None:
        for address in self._scopes.keys() - self._peers:
            self._scopes.pop(address).cancel()
            self._wakes.pop(address)
        for address in sorted(self._peers - self._scopes.keys()):
            self._scopes[address] = trio.CancelScope()
            self._wakes[address] = trio.Event()
            nursery.start_soon(self._peer_task, address, self._scopes[address])

    def _wake_some(self) -> None:
        """Wake the next few peers; each has its turn once before any has it again."""
        for _ in range(min(PEERS_PER_ROUND, len(self._wakes))):
            self._next_peer().set()

    def _next_peer(self) -> trio.Event:
        while True:
            if not self._turns:
                self._turns = sorted(self._wakes)
                self._random.shuffle(self._turns)
            wake = self._wakes.get(self._turns.pop())
            if wake is not None:
                return wake

    async def _wake_on_change(self) -> None:
        while True:
            await self._holder.changed.wait()
            self._wake_some()

    async def _peer_task(self, address: str, scope: trio.CancelScope) -> None:
        link = self._link(address)
        with scope:
            while True:
                await self._wakes[address].wait()
                self._wakes[address] = trio.Event()
                await self._exchange_until_even(address, link)

    async def _exchange_until_even(self, address: str, link: PeerLink) -> None:
        """Exchange, and once more where the reply shows that the peer is behind."""
        for _ in range(2):
            reply = await link.exchange(self._message_to(address))
            if reply is None:
                self._counters.count("gossip.lost")
                return
            self._take(reply)
            if reply.digest.version >= self._holder.version:
                return

    async def answer(self, message: Exchange) -> Exchange:
        """Answer a peer's message."""
        self._take(message)
        return self._message_to(message.digest.address)

    def _message_to(self, address: str) -> Exchange:
        state = self._states.get(address)
        digest = self._own()
        if state is None or state.digest.version >= self._holder.version:
            return Exchange(digest)
        changes = self._holder.changes_after(state.digest.version)
        if changes is None:
            return Exchange(digest, snapshot=self._holder.configuration)
        return Exchange(digest, changes)

    def _take(self, message: Exchange) -> None:
        now = trio.current_time()
        digest = message.digest
        self._states[digest.address] = PeerState(digest, now + PEER_LIFETIME_SECONDS)
        if message.snapshot is not None:
            self._holder.replace(message.snapshot)
        for change in message.changes:
            self._holder.apply(change)
        self._membership.see_leaving(digest.leaving)
        for row in digest.loads:
            self._membership.see_load(load_of(row), now)
