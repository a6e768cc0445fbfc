"""Enforces the rate limits of upstreams across all processes.

Every message to a rate limited upstream needs a token, which the current issuer grants. Without a
reachable issuer nothing is sent.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator

import trio
from returns.result import Success

from deckcourse.gateway.issuer_client import IssuerClient
from deckcourse.gateway.issuer_role import IDLE_POLL_INTERVAL_SECONDS, IssuerRole
from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.token_issuer import TOKEN_LIFETIME_SECONDS, Grant, TokenIssuer
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.issuer_messages import (
    MAX_LIMITS_PER_MESSAGE,
    LimitUpdate,
    TokenReply,
    TokenRequest,
    TokenReturn,
    encode_message,
)
from deckcourse.peers.member import Member
from deckcourse.peers.purpose import Purpose
from deckcourse.peers.rate_limit import RateLimit
from deckcourse.peers.roster import Roster

__all__ = ["RateGate", "SendingToken"]

# Minimum interval between broadcasts of changed limits, seconds.
MIN_BROADCAST_INTERVAL_SECONDS = 0.2
# Interval at which the issuer rebroadcasts all limits, since datagrams get lost, seconds.
REFRESH_INTERVAL_SECONDS = 2.0
# Retention of limits of unknown upstreams, seconds.
UNKNOWN_LIMIT_RETENTION_SECONDS = 30.0
# Backoff while there is no issuer, seconds.
NO_ISSUER_BACKOFF_SECONDS = 0.1
# Retry-After for rejected callers while there is no issuer, seconds.
NO_ISSUER_RETRY_AFTER_SECONDS = 0.5

NO_ISSUER = Grant(False, NO_ISSUER_BACKOFF_SECONDS, NO_ISSUER_RETRY_AFTER_SECONDS)


class SendingToken:
    """Permission to send one request to an upstream.

    Args:
      instance: the upstream.
      expires_at: its deadline on trio's clock; infinity if the upstream had no limit.
    """

    def __init__(self, instance: str, expires_at: float) -> None:
        self._instance = instance
        self._expires_at = expires_at
        self._spent = False

    @property
    def instance(self) -> str:
        """The upstream."""
        return self._instance

    @property
    def is_valid(self) -> bool:
        """Whether it is a rate limit token that is neither spent nor expired."""
        now = trio.current_time()
        return not self._spent and self._expires_at < float("inf") and now <= self._expires_at

    def spend(self) -> None:
        """Mark the token as used."""
        self._spent = True


class RateGate:
    """Acquires, checks and issues tokens for one process.

    Args:
      limits: the limits in force.
      upstreams: the upstream table, which records throttled upstreams.
      role: whether this process is the issuer.
      client: sends requests to the issuer.
      roster: the membership view.
      gossip: sends datagrams.
      count: increments a counter by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        limits: RateLimitBook,
        upstreams: UpstreamTable,
        role: IssuerRole,
        client: IssuerClient,
        roster: Roster,
        gossip: PeerGossip,
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._limits = limits
        self._upstreams = upstreams
        self._roster = roster
        self._gossip = gossip
        self._count = count
        self._log = log
        self._role = role
        self._client = client
        self._issuer = TokenIssuer()
        self._epoch = 0
        self._refresh_at = float("-inf")
        self._locks: dict[str, trio.Lock] = defaultdict(trio.Lock)
        # Until when queries and orders are denied.
        self._denied_until: dict[tuple[str, Purpose], float] = {}
        self._changed_sources: dict[str, str] = {}
        self._limits_changed = trio.Event()

    def on_limit_change(self, limit: RateLimit, source: str) -> None:
        """Schedule a changed limit for logging and, if learned from a response, for broadcast.

        Args:
          limit: the limit.
          source: "answer", "peer" or "gone".
        """
        previous = self._changed_sources.get(limit.instance)
        self._changed_sources[limit.instance] = "answer" if previous == "answer" else source
        self._limits_changed.set()

    async def acquire(self, instance: str) -> SendingToken | None:
        """Return a token for a caller's request, None if denied.

        A denial throttles the upstream in the upstream table.
        """
        if self._limits.rate_of(instance) is None:
            # No checkpoint: concurrent requests must see each other in flight.
            return SendingToken(instance, float("inf"))
        async with self._locks[instance]:
            limit = self._limits.limit_of(instance)
            if limit is None or limit.rate is None:
                return SendingToken(instance, float("inf"))
            if self._upstreams.throttles.is_throttled(instance):
                return None
            requested_at = trio.current_time()
            grant = await self._grant(limit, Purpose.REQUEST)
        if grant.granted:
            self._count("token.granted")
            return SendingToken(instance, requested_at + TOKEN_LIFETIME_SECONDS)
        self._count("token.denied")
        if self._limits.rate_of(instance) is not None:
            self._upstreams.throttles.throttle(instance, grant.wait, grant.retry_after)
        return None

    def may_send(self, token: SendingToken) -> bool:
        """Spend a token; return whether the request may be sent."""
        if self._limits.rate_of(token.instance) is not None and not token.is_valid:
            return False
        token.spend()
        return True

    async def return_token(self, token: SendingToken) -> None:
        """Return a token that was not spent, if it is still valid."""
        if not token.is_valid:
            return
        token.spend()
        self._count("token.returned")
        if self._role.is_held:
            self._issuer.give_back(token.instance)
        else:
            await self._client.send(TokenReturn(token.instance))

    async def admit(self, instance: str, purpose: Purpose) -> bool:
        """Return whether a query or an order may be sent now; spends a token."""
        limit = self._limits.limit_of(instance)
        if limit is None or limit.rate is None:
            return True
        now = trio.current_time()
        key = instance, purpose
        if now < self._denied_until.get(key, now):
            return False
        grant = await self._grant(limit, purpose)
        if grant.granted:
            return trio.current_time() <= now + TOKEN_LIFETIME_SECONDS
        self._denied_until[key] = now + grant.wait
        return False

    async def _grant(self, limit: RateLimit, purpose: Purpose) -> Grant:
        if self._role.is_held:
            await trio.lowlevel.checkpoint()
            return self._issue(limit, purpose)
        if self._client.should_issue:
            self._role.seek()
        reply = await self._client.request(
            lambda number, sender: TokenRequest(number, sender, limit, purpose)
        )
        if not isinstance(reply, TokenReply):
            return NO_ISSUER
        return Grant(reply.granted, reply.wait, reply.retry_after)

    def _issue(self, limit: RateLimit, purpose: Purpose) -> Grant:
        if self._role.epoch != self._epoch:
            self._epoch = self._role.epoch
            self._issuer.start_term()
        self._limits.merge(limit)
        rate = self._limits.rate_of(limit.instance)
        if rate is None:
            return Grant(True)
        return self._issuer.issue(limit.instance, rate, trio.current_time(), purpose)

    async def on_message(
        self, message: TokenRequest | TokenReply | TokenReturn | LimitUpdate
    ) -> None:
        """Handle a message from a peer."""
        match message:
            case LimitUpdate(limits, issuer):
                await self._merge_peer_limits(limits, issuer)
            case TokenReply():
                self._limits.merge(message.limit)
                self._client.on_reply(message)
            case TokenReturn(instance):
                self._issuer.give_back(instance)
            case TokenRequest():
                await self._reply_to(message)

    async def send_limits_to(self, address: str) -> None:
        """Send the limits in force to a peer that has just started."""
        for message in _limit_datagrams(
            self._limits.limits(), self._roster.own if self._role.is_issuer else None
        ):
            await self._gossip.send(address, message)

    async def _merge_peer_limits(
        self, limits: tuple[RateLimit, ...], issuer: Member | None
    ) -> None:
        """Merge limits from a peer; send newer ones back to the issuer."""
        for each in limits:
            self._limits.merge(each)
        if issuer is None:
            return
        self._client.note_issuer(issuer)
        known = [self._limits.limit_of(each.instance) for each in limits]
        newer = tuple(
            own
            for own, received in zip(known, limits, strict=True)
            if own is not None and own != received and own.supersedes(received)
        )
        if newer:
            await self._gossip.send(issuer.address, encode_message(LimitUpdate(newer)))

    async def _reply_to(self, request: TokenRequest) -> None:
        issuer = self._client.issuer
        if self._role.is_issuer:
            grant = self._issue(request.limit, request.purpose)
            issuer = self._roster.own
        else:
            self._limits.merge(request.limit)
            grant = NO_ISSUER
            self._role.seek()
        limit = self._limits.limit_of(request.limit.instance) or request.limit
        reply = TokenReply(
            request.number, grant.granted, grant.wait, grant.retry_after, limit, issuer
        )
        await self._gossip.send(request.sender, encode_message(reply))

    async def run(self) -> None:
        """Read the stored limits, and broadcast changed ones."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_stored)
            nursery.start_soon(self._broadcast_changes)

    async def _read_stored(self) -> None:
        """Merge the limits in the lease row, as soon as the store is available."""
        while True:
            match await self._role.read_limits():
                case Success(limits):
                    self._merge_stored(limits)
                    return
            await trio.sleep(IDLE_POLL_INTERVAL_SECONDS)

    async def on_lease_round(self) -> None:
        """Drop old state, and broadcast all limits at intervals while this process issues."""
        self._prune()
        if self._role.is_held and trio.current_time() >= self._refresh_at:
            self._refresh_at = trio.current_time() + REFRESH_INTERVAL_SECONDS
            await self._broadcast(self._limits.limits())

    def _prune(self) -> None:
        """Drop the state of upstreams that are gone."""
        self._limits.forget_unknown(
            lambda instance: self._upstreams.last_known(instance) is not None,
            UNKNOWN_LIMIT_RETENTION_SECONDS,
        )
        now = trio.current_time()
        self._denied_until = {key: at for key, at in self._denied_until.items() if at > now}
        for instance in [each for each in self._locks if self._limits.limit_of(each) is None]:
            if not self._locks[instance].locked():
                del self._locks[instance]

    async def _broadcast_changes(self) -> None:
        while True:
            await self._limits_changed.wait()
            self._limits_changed = trio.Event()
            changed, self._changed_sources = self._changed_sources, {}
            known = [self._limits.limit_of(instance) for instance in changed]
            for limit in known:
                if limit is not None:
                    self._log_limit(limit, changed[limit.instance])
            await self._broadcast(
                [each for each in known if each and changed[each.instance] == "answer"]
            )
            await trio.sleep(MIN_BROADCAST_INTERVAL_SECONDS)

    def _log_limit(self, limit: RateLimit, source: str) -> None:
        self._count("upstream.limit")
        self._log(
            "upstream-limit",
            instance=limit.instance,
            rate=limit.rate,
            version=limit.version,
            source=source,
        )

    async def _broadcast(self, limits: list[RateLimit]) -> None:
        for message in _limit_datagrams(limits, self._roster.own if self._role.is_issuer else None):
            await self._gossip.broadcast(message)

    def _merge_stored(self, limits: tuple[RateLimit, ...]) -> None:
        for each in limits:
            self._limits.merge(each)


def _limit_datagrams(limits: list[RateLimit], issuer: Member | None) -> Iterator[bytes]:
    """Yield the datagrams that carry some limits."""
    for first in range(0, len(limits), MAX_LIMITS_PER_MESSAGE):
        batch = tuple(limits[first : first + MAX_LIMITS_PER_MESSAGE])
        yield encode_message(LimitUpdate(batch, issuer))
