"""Asks the process that issues tokens, whichever that is, by datagram."""

from collections.abc import Callable

import trio

from deckcourse.gateway.token_issuer import Grant
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.member import Member
from deckcourse.peers.purpose import Purpose
from deckcourse.peers.rate_limit import RateLimit
from deckcourse.peers.roster import Roster
from deckcourse.peers.token_messages import (
    TokenReply,
    TokenRequest,
    TokenReturn,
    encode_message,
)
from deckcourse.rendezvous import ranked

__all__ = ["NO_ISSUER", "TokenClient"]

# What members are ranked by: the first one seeks to become the issuer.
ISSUER_KEY = "rate-limits"
# Until a reply counts as lost, seconds, and how often a request is sent.
REPLY_SECONDS = 0.1
TRIES = 2
# Members that one request asks at the most: the second is the one that the first named.
REDIRECTS = 2
# A member that did not reply is passed over for so long, seconds.
UNREACHABLE_SECONDS = 1.0
# Until the next request where no issuer is known, seconds.
NO_ISSUER_SECONDS = 0.1
# When callers may come back then, seconds: there may be one by then.
NO_ISSUER_RETRY_SECONDS = 0.5

NO_ISSUER = Grant(False, NO_ISSUER_SECONDS, NO_ISSUER_RETRY_SECONDS)


class TokenClient:
    """One process's requests to the issuer.

    Args:
      roster: who is there.
      gossip: sends datagrams.
      merge: takes in what others know of a limit.
      count: counts by name.
    """

    def __init__(
        self,
        roster: Roster,
        gossip: PeerGossip,
        merge: Callable[[RateLimit], None],
        count: Callable[[str], None],
    ) -> None:
        self._roster = roster
        self._gossip = gossip
        self._merge = merge
        self._count = count
        self._issuer = ""
        self._number = 0
        self._replies: dict[int, trio.MemorySendChannel[TokenReply]] = {}
        self._unreachable_until: dict[str, float] = {}

    @property
    def should_issue(self) -> bool:
        """Whether no other process is known to issue, and this one comes first of those there."""
        issuer = self.issuer
        if issuer is not None and issuer.name != self._roster.own.name:
            return False
        return self._ranked()[:1] == [self._roster.own]

    @property
    def issuer(self) -> Member | None:
        """The process that issues tokens, None where it isn't known."""
        return next((each for each in self._roster.live() if each.name == self._issuer), None)

    def note_issuer(self, member: Member) -> None:
        """Take in who issues tokens; this process may not know of it otherwise."""
        self._issuer = member.name
        self._roster.take((member,))

    def note_holder(self, name: str) -> None:
        """Take in the name of the process that issues tokens."""
        self._issuer = name

    async def ask(self, limit: RateLimit, purpose: Purpose) -> Grant:
        """Return the issuer's answer; a denial where nobody answers."""
        asked: set[str] = set()
        grant = NO_ISSUER
        for _ in range(REDIRECTS):
            target = self._target()
            if target is None or target.name in {self._roster.own.name, *asked}:
                break
            asked.add(target.name)
            grant = await self._ask_member(target, limit, purpose)
            if grant.granted:
                break
        else:
            return grant
        await trio.lowlevel.checkpoint()
        return grant

    async def _ask_member(self, target: Member, limit: RateLimit, purpose: Purpose) -> Grant:
        for _ in range(TRIES):
            reply = await self._ask_once(target, limit, purpose)
            if reply is not None:
                return self._on_reply(reply, target)
        self._count("token.unanswered")
        self._forget_unreachable()
        self._unreachable_until[target.name] = trio.current_time() + UNREACHABLE_SECONDS
        if self._issuer == target.name:
            self._issuer = ""
        return NO_ISSUER

    async def give_back(self, instance: str) -> None:
        """Return a token that will not be used."""
        target = self._target()
        if target is not None:
            await self._gossip.send(target.address, encode_message(TokenReturn(instance)))

    def on_reply(self, reply: TokenReply) -> None:
        """Take in a reply, if anybody waits for it."""
        waiting = self._replies.get(reply.number)
        if waiting is not None:
            try:
                waiting.send_nowait(reply)
            except trio.WouldBlock:
                return  # It came twice.

    async def _ask_once(
        self, target: Member, limit: RateLimit, purpose: Purpose
    ) -> TokenReply | None:
        self._number += 1
        number = self._number
        send, receive = trio.open_memory_channel[TokenReply](1)
        self._replies[number] = send
        own = self._roster.own.address
        request = TokenRequest(number, own, limit, purpose)
        try:
            await self._gossip.send(target.address, encode_message(request))
            with trio.move_on_after(REPLY_SECONDS):
                return await receive.receive()
        finally:
            del self._replies[number]
        return None

    def _on_reply(self, reply: TokenReply, target: Member) -> Grant:
        self._merge(reply.limit)
        if reply.issuer is not None:
            self.note_issuer(reply.issuer)
        elif self._issuer == target.name:
            self._issuer = ""
        return Grant(reply.granted, reply.wait, reply.retry_after)

    def _target(self) -> Member | None:
        issuer = self.issuer
        if issuer is not None and not issuer.leaving and self._is_reachable(issuer):
            return issuer
        return next(iter(self._ranked()), None)

    def _forget_unreachable(self) -> None:
        now = trio.current_time()
        self._unreachable_until = {
            name: at for name, at in self._unreachable_until.items() if at > now
        }

    def _is_reachable(self, member: Member) -> bool:
        return self._unreachable_until.get(member.name, float("-inf")) <= trio.current_time()

    def _ranked(self) -> list[Member]:
        """Return the members that may issue, the one that should first."""
        able = {
            each.name: each
            for each in self._roster.live()
            if not each.leaving and self._is_reachable(each)
        }
        names = ranked(ISSUER_KEY, {name: max(each.weight, 1e-3) for name, each in able.items()})
        return [able[name] for name in names]
