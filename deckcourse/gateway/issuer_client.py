"""Sends requests to the process that issues tokens and retries for all, over UDP."""

from collections.abc import Callable

import trio

from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.issuer_messages import (
    IssuerMessage,
    RetryReply,
    TokenReply,
    encode_message,
)
from deckcourse.peers.member import Member
from deckcourse.peers.roster import Roster
from deckcourse.rendezvous import ranked

__all__ = ["IssuerClient"]

# Key of the rendezvous hash; the member that ranks first seeks the issuer lease.
ISSUER_KEY = "rate-limits"
# Timeout of one attempt, seconds, and the number of attempts.
REPLY_TIMEOUT_SECONDS = 0.1
MAX_ATTEMPTS = 2
# Bound on the members that get one request: a candidate, and the issuer that it names.
MAX_TARGETS = 2
# Time for which a member that timed out isn't asked, seconds.
UNREACHABLE_COOLDOWN_SECONDS = 1.0

IssuerReply = TokenReply | RetryReply


class IssuerClient:
    """Requests of one process to the current issuer.

    Args:
      roster: the membership view.
      gossip: sends datagrams.
      count: increments a counter by name.
    """

    def __init__(self, roster: Roster, gossip: PeerGossip, count: Callable[[str], None]) -> None:
        self._roster = roster
        self._gossip = gossip
        self._count = count
        self._issuer = ""
        self._number = 0
        self._replies: dict[int, trio.MemorySendChannel[IssuerReply]] = {}
        self._unreachable_until: dict[str, float] = {}

    @property
    def should_issue(self) -> bool:
        """Whether no other issuer is known and this process ranks first."""
        issuer = self.issuer
        if issuer is not None and not issuer.leaving and issuer.name != self._roster.own.name:
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

    async def request(
        self,
        message: Callable[[int, str], IssuerMessage],
        max_attempts: int = MAX_ATTEMPTS,
        timeout: float = REPLY_TIMEOUT_SECONDS,
    ) -> IssuerReply | None:
        """Send a request to the issuer, or to a candidate and the issuer that it names.

        Args:
          message: returns the request, given its number and the address for the reply.
          max_attempts: how often it is sent to a member that doesn't reply.
          timeout: how long each attempt waits for the reply, seconds.

        Returns:
          The last reply, None if there was none.
        """
        requested: set[str] = set()
        reply = None
        for _ in range(MAX_TARGETS):
            target = self._target()
            if target is None or target.name in {self._roster.own.name, *requested}:
                break
            requested.add(target.name)
            reply = await self._request_from(target, message, max_attempts, timeout)
            if reply is not None and reply.granted:
                break
        else:
            return reply
        await trio.lowlevel.checkpoint()
        return reply

    async def _request_from(
        self,
        target: Member,
        message: Callable[[int, str], IssuerMessage],
        max_attempts: int,
        timeout: float,
    ) -> IssuerReply | None:
        for _ in range(max_attempts):
            reply = await self._send_request(target, message, timeout)
            if reply is not None:
                self._note_reply(reply, target)
                return reply
        self._count("token.unanswered")
        self._prune_unreachable()
        self._unreachable_until[target.name] = trio.current_time() + UNREACHABLE_COOLDOWN_SECONDS
        if self._issuer == target.name:
            self._issuer = ""
        return None

    async def send(self, message: IssuerMessage) -> None:
        """Send a message that gets no reply to the issuer or a candidate."""
        target = self._target()
        if target is not None:
            await self._gossip.send(target.address, encode_message(message))

    def on_reply(self, reply: IssuerReply) -> None:
        """Deliver a reply to the pending request, if any."""
        pending = self._replies.get(reply.number)
        if pending is not None:
            try:
                pending.send_nowait(reply)
            except trio.WouldBlock:
                return  # Duplicate datagram.

    async def _send_request(
        self, target: Member, message: Callable[[int, str], IssuerMessage], timeout: float
    ) -> IssuerReply | None:
        self._number += 1
        number = self._number
        send, receive = trio.open_memory_channel[IssuerReply](1)
        self._replies[number] = send
        request = message(number, self._roster.own.address)
        try:
            await self._gossip.send(target.address, encode_message(request))
            with trio.move_on_after(timeout):
                return await receive.receive()
        finally:
            del self._replies[number]
        return None

    def _note_reply(self, reply: IssuerReply, target: Member) -> None:
        if reply.issuer is not None:
            self.note_issuer(reply.issuer)
        elif self._issuer == target.name:
            self._issuer = ""

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
