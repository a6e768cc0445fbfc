"""Requests rate limit tokens from the current issuer over UDP."""

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

# Key of the rendezvous hash; the member that ranks first seeks the issuer lease.
ISSUER_KEY = "rate-limits"
# Timeout of one token request, seconds, and the number of attempts.
REPLY_TIMEOUT_SECONDS = 0.1
MAX_ATTEMPTS = 2
# Bound on the members asked for one token: a candidate, and the issuer that it names.
MAX_TARGETS = 2
# Time for which a member that timed out isn't asked, seconds.
UNREACHABLE_COOLDOWN_SECONDS = 1.0
# Backoff while there is no issuer, seconds.
NO_ISSUER_BACKOFF_SECONDS = 0.1
# Retry-After for rejected callers while there is no issuer, seconds.
NO_ISSUER_RETRY_AFTER_SECONDS = 0.5

NO_ISSUER = Grant(False, NO_ISSUER_BACKOFF_SECONDS, NO_ISSUER_RETRY_AFTER_SECONDS)


class TokenClient:
    """Token requests of one process.

    Args:
      roster: the membership view.
      gossip: sends datagrams.
      merge: merges a limit received from a peer.
      count: increments a counter by name.
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
        """Whether no other issuer is known and this process ranks first."""
        issuer = self.issuer
        if issuer is not None and issuer.name != self._roster.own.name:
            return False
        return self._ranked()[:1] == [self._roster.own]

    @property
    def issuer(self) -> Member | None:
        """The current issuer, None if unknown."""
        return next((each for each in self._roster.live() if each.name == self._issuer), None)

    def note_issuer(self, member: Member) -> None:
        """Record the issuer, and add it to the roster if it is missing there."""
        self._issuer = member.name
        self._roster.merge((member,))

    def note_holder(self, name: str) -> None:
        """Record the issuer by name."""
        self._issuer = name

    async def request(self, limit: RateLimit, purpose: Purpose) -> Grant:
        """Request a token; unanswered requests count as denied."""
        requested: set[str] = set()
        grant = NO_ISSUER
        for _ in range(MAX_TARGETS):
            target = self._target()
            if target is None or target.name in {self._roster.own.name, *requested}:
                break
            requested.add(target.name)
            grant = await self._request_from(target, limit, purpose)
            if grant.granted:
                break
        else:
            return grant
        await trio.lowlevel.checkpoint()
        return grant

    async def _request_from(self, target: Member, limit: RateLimit, purpose: Purpose) -> Grant:
        for _ in range(MAX_ATTEMPTS):
            reply = await self._send_request(target, limit, purpose)
            if reply is not None:
                return self._on_reply(reply, target)
        self._count("token.unanswered")
        self._prune_unreachable()
        self._unreachable_until[target.name] = trio.current_time() + UNREACHABLE_COOLDOWN_SECONDS
        if self._issuer == target.name:
            self._issuer = ""
        return NO_ISSUER

    async def give_back(self, instance: str) -> None:
        """Return an unused token to the issuer."""
        target = self._target()
        if target is not None:
            await self._gossip.send(target.address, encode_message(TokenReturn(instance)))

    def on_reply(self, reply: TokenReply) -> None:
        """Deliver a reply to the pending request, if any."""
        pending = self._replies.get(reply.number)
        if pending is not None:
            try:
                pending.send_nowait(reply)
            except trio.WouldBlock:
                return  # Duplicate datagram.

    async def _send_request(
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
            with trio.move_on_after(REPLY_TIMEOUT_SECONDS):
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

    def _prune_unreachable(self) -> None:
        now = trio.current_time()
        self._unreachable_until = {
            name: at for name, at in self._unreachable_until.items() if at > now
        }

    def _is_reachable(self, member: Member) -> bool:
        return self._unreachable_until.get(member.name, float("-inf")) <= trio.current_time()

    def _ranked(self) -> list[Member]:
        """Return the candidates for issuer, best first."""
        able = {
            each.name: each
            for each in self._roster.live()
            if not each.leaving and self._is_reachable(each)
        }
        names = ranked(ISSUER_KEY, {name: max(each.weight, 1e-3) for name, each in able.items()})
        return [able[name] for name in names]
