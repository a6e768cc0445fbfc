"""Enforces the rate limits of upstreams across all processes.

Every message to a rate limited upstream needs a token. The process that holds the issuer lease in
the platform's store issues all tokens; a successor waits until the lease has expired on every
clock, so that the total rate holds under partitions, crashes and suspensions. Without a reachable
issuer nothing is sent.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator

import msgspec
import trio
from returns.result import Success

from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.token_client import NO_ISSUER, TokenClient
from deckcourse.gateway.token_issuer import TOKEN_LIFETIME_SECONDS, Grant, TokenIssuer
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.lease import Lease, LeaseTerms
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.member import Member
from deckcourse.peers.purpose import Purpose
from deckcourse.peers.rate_limit import RateLimit
from deckcourse.peers.roster import Roster
from deckcourse.peers.token_messages import (
    MAX_LIMITS_PER_MESSAGE,
    LimitUpdate,
    TokenReply,
    TokenRequest,
    TokenReturn,
    decode_message,
    encode_message,
)
from deckcourse.table import TableService

__all__ = ["RateGate", "SendingToken"]

# Terms in seconds; the margin exceeds the lifetime of a token.
ISSUER_LEASE = LeaseTerms("rate-limits/issuer", term=2.5, margin=0.3)
# Bound on the limits stored in the lease row, which processes read at startup.
MAX_STORED_LIMITS = 256
# Minimum interval between broadcasts of changed limits, seconds.
MIN_BROADCAST_INTERVAL_SECONDS = 0.2
# Interval at which the issuer rebroadcasts all limits, since datagrams get lost, seconds.
REFRESH_INTERVAL_SECONDS = 2.0
# Time for which a process seeks the lease after a token request, seconds.
SEEK_DURATION_SECONDS = 3.0
# Polling interval while the lease isn't held, seconds.
IDLE_POLL_INTERVAL_SECONDS = 0.5
# Retention of limits of unknown upstreams, seconds.
UNKNOWN_LIMIT_RETENTION_SECONDS = 30.0

_limits_decoder = msgspec.json.Decoder(tuple[RateLimit, ...])


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
      table: the platform's store.
      author: the name of this incarnation of the process.
      roster: the membership view.
      gossip: sends and receives datagrams.
      may_issue: returns whether this process may hold the lease; false during shutdown.
      count: increments a counter by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        limits: RateLimitBook,
        upstreams: UpstreamTable,
        table: TableService,
        author: str,
        roster: Roster,
        gossip: PeerGossip,
        may_issue: Callable[[], bool],
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._limits = limits
        self._upstreams = upstreams
        self._roster = roster
        self._gossip = gossip
        self._may_issue = may_issue
        self._count = count
        self._log = log
        self._lease = Lease(table, author, ISSUER_LEASE, self._encoded_limits)
        self._issuer = TokenIssuer()
        self._epoch = 0
        self._client = TokenClient(roster, gossip, limits.merge, count)
        self._locks: dict[str, trio.Lock] = defaultdict(trio.Lock)
        # Until when queries and orders are denied.
        self._denied_until: dict[tuple[str, Purpose], float] = {}
        self._seek_until = float("-inf")
        self._changed_sources: dict[str, str] = {}
        self._limits_changed = trio.Event()
        self._seek_started = trio.Event()
        gossip.register_token_handlers(self._on_message, self._send_limits_to)

    @property
    def is_issuer(self) -> bool:
        """Whether this process is the issuer."""
        return self._lease.held() and self._may_issue()

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
        if self._lease.held():
            self._issuer.give_back(token.instance)
        else:
            await self._client.give_back(token.instance)

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
        if self._lease.held():
            await trio.lowlevel.checkpoint()
            return self._issue(limit, purpose)
        if self._client.should_issue:
            self._seek()
        return await self._client.request(limit, purpose)

    def _issue(self, limit: RateLimit, purpose: Purpose) -> Grant:
        if self._lease.epoch != self._epoch:
            self._epoch = self._lease.epoch
            self._issuer.start_term()
        self._limits.merge(limit)
        rate = self._limits.rate_of(limit.instance)
        if rate is None:
            return Grant(True)
        return self._issuer.issue(limit.instance, rate, trio.current_time(), purpose)

    def _seek(self) -> None:
        """Seek the lease from now on for some time."""
        if trio.current_time() >= self._seek_until:
            self._seek_started.set()
        self._seek_until = trio.current_time() + SEEK_DURATION_SECONDS

    async def _on_message(self, data: bytes) -> None:
        message = decode_message(data)
        match message:
            case None:
                self._count("malformed.token-message")
            case LimitUpdate(limits, issuer):
                await self._merge_peer_limits(limits, issuer)
            case TokenReply():
                self._client.on_reply(message)
            case TokenReturn(instance):
                self._issuer.give_back(instance)
            case TokenRequest():
                await self._reply_to(message)

    async def _send_limits_to(self, address: str) -> None:
        """Send the limits in force to a peer that has just started."""
        for message in _limit_datagrams(
            self._limits.limits(), self._roster.own if self.is_issuer else None
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
        if self.is_issuer:
            grant = self._issue(request.limit, request.purpose)
            issuer = self._roster.own
        else:
            self._limits.merge(request.limit)
            grant = NO_ISSUER
            if self._may_issue():
                self._seek()
        limit = self._limits.limit_of(request.limit.instance) or request.limit
        reply = TokenReply(
            request.number, grant.granted, grant.wait, grant.retry_after, limit, issuer
        )
        await self._gossip.send(request.sender, encode_message(reply))

    async def run(self) -> None:
        """Maintain the lease while limits are in force, and broadcast the limits."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_stored)
            nursery.start_soon(self._broadcast_changes)
            nursery.start_soon(self._keep_lease)

    async def _read_stored(self) -> None:
        """Merge the limits in the lease row, as soon as the store is available."""
        while True:
            match await self._lease.look():
                case Success(record):
                    self._merge_stored(record.attachment if record is not None else b"")
                    return
            await trio.sleep(IDLE_POLL_INTERVAL_SECONDS)

    async def _keep_lease(self) -> None:
        refresh_at = float("-inf")
        while True:
            self._prune()
            if not self._may_issue():
                await self._lease.release()
            elif self._is_seeking():
                await self._lease.seek()
                self._note_holder()
            if self._lease.held() and trio.current_time() >= refresh_at:
                refresh_at = trio.current_time() + REFRESH_INTERVAL_SECONDS
                await self._broadcast(self._limits.limits())
            await self._wait_for_next_round()

    def _is_seeking(self) -> bool:
        if not self._limits.limited:
            return False
        wanted = trio.current_time() < self._seek_until
        return self._lease.held() or wanted or self._client.should_issue

    def _note_holder(self) -> None:
        """Record the lease holder as the issuer."""
        if self._lease.held():
            self._client.note_holder(self._roster.own.name)
            return
        record = self._lease.seen
        holder = record.holder.partition("/")[0] if record is not None else ""
        if holder and holder != self._roster.own.name:
            self._client.note_holder(holder)

    async def _wait_for_next_round(self) -> None:
        """Wait for the next renewal or the next attempt to get the lease."""
        if self._lease.held():
            await trio.sleep(self._lease.renewal_pause)
            return
        with trio.move_on_after(IDLE_POLL_INTERVAL_SECONDS):
            if trio.current_time() < self._seek_until:
                await trio.sleep_forever()
            self._seek_started = trio.Event()
            await self._seek_started.wait()

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
        for message in _limit_datagrams(limits, self._roster.own if self.is_issuer else None):
            await self._gossip.broadcast(message)

    def _encoded_limits(self) -> bytes:
        return msgspec.json.encode(self._limits.limits()[:MAX_STORED_LIMITS])

    def _merge_stored(self, data: bytes) -> None:
        """Merge the limits of the lease row, unless it is malformed."""
        try:
            limits = _limits_decoder.decode(data) if data else ()
        except (msgspec.MsgspecError, RecursionError):
            self._count("malformed.stored-limits")
            return
        for each in limits:
            self._limits.merge(each)


def _limit_datagrams(limits: list[RateLimit], issuer: Member | None) -> Iterator[bytes]:
    """Yield the datagrams that carry some limits."""
    for first in range(0, len(limits), MAX_LIMITS_PER_MESSAGE):
        batch = tuple(limits[first : first + MAX_LIMITS_PER_MESSAGE])
        yield encode_message(LimitUpdate(batch, issuer))
