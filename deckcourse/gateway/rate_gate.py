"""Lets a sending to an upstream that names a rate limit go only with a token.

The limit is one rate over all processes. One of them, which holds a lease in the platform's store,
issues its tokens; nobody else does until that lease has ended on every clock, so that the sum
holds whoever is cut off, killed or suspended. Where no issuer can be reached nothing is sent.
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
    LimitNews,
    TokenReply,
    TokenRequest,
    TokenReturn,
    decode_message,
    encode_message,
)
from deckcourse.table import TableService

__all__ = ["RateGate", "SendingToken"]

# The lease to issue tokens. Its margin is longer than a token is of use, seconds.
ISSUER_LEASE = LeaseTerms("rate-limits/issuer", term=2.5, margin=0.3)
# Limits that the lease's row keeps for processes that start.
MAX_KEPT_LIMITS = 256
# Between two messages of limits that changed, seconds, however often they do.
NEWS_SECONDS = 0.2
# The issuer tells all members of all limits so often, seconds: datagrams are lost, and some start.
REFRESH_SECONDS = 2.0
# A process that was asked for tokens and issues none seeks the lease for so long, seconds.
SEEKING_SECONDS = 3.0
# Between two looks for something to do, seconds.
IDLE_SECONDS = 0.5
# A limit of an upstream whose row is unknown is kept for so long, seconds.
UNKNOWN_SECONDS = 30.0

_limits_decoder = msgspec.json.Decoder(tuple[RateLimit, ...])


class SendingToken:
    """The right to send one request to an upstream.

    Args:
      instance: the upstream.
      until: when it ends, on trio's clock; infinity where the upstream named no limit.
    """

    def __init__(self, instance: str, until: float) -> None:
        self._instance = instance
        self._until = until
        self._spent = False

    @property
    def instance(self) -> str:
        """The upstream."""
        return self._instance

    @property
    def is_of_use(self) -> bool:
        """Whether it was issued by a limit, and may still be used."""
        now = trio.current_time()
        return not self._spent and self._until < float("inf") and now <= self._until

    def spend(self) -> None:
        """Note that the request is sent."""
        self._spent = True


class RateGate:
    """One process's part in keeping the limits.

    Args:
      limits: the limits in force.
      upstreams: where it is noted until when an upstream takes nothing more.
      table: the platform's store.
      author: the name of this start of the process.
      roster: the members.
      gossip: sends and receives datagrams.
      may_issue: returns whether this process may issue tokens, which one that stops doesn't.
      count: counts by name.
      log: writes decisions.
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
        self._lease = Lease(table, author, ISSUER_LEASE, self._kept_limits)
        self._issuer = TokenIssuer()
        self._epoch = 0
        self._client = TokenClient(roster, gossip, limits.merge, count)
        self._locks: dict[str, trio.Lock] = defaultdict(trio.Lock)
        # Until when questions and orders to an upstream have no token.
        self._not_admitted_until: dict[tuple[str, Purpose], float] = {}
        self._seek_until = float("-inf")
        self._changed: dict[str, str] = {}
        self._wake = trio.Event()
        self._seeking = trio.Event()
        gossip.take_token_messages(self._on_message, self._greet)

    @property
    def issues(self) -> bool:
        """Whether this process issues the tokens now."""
        return self._lease.held() and self._may_issue()

    def note_change(self, limit: RateLimit, source: str) -> None:
        """Have a limit that began, changed or ended logged, and told to others where it is news.

        Args:
          limit: the limit.
          source: whether an answer or a peer told of it.
        """
        known = self._changed.get(limit.instance)
        self._changed[limit.instance] = "answer" if known == "answer" else source
        self._wake.set()

    async def acquire(self, instance: str) -> SendingToken | None:
        """Return a token for a caller's request, None where there is none now.

        Until when the upstream then takes nothing more stands in the table of upstreams.
        """
        if self._limits.rate_of(instance) is None:
            # At once: until the request counts as in flight, others choose the same upstream.
            return SendingToken(instance, float("inf"))
        async with self._locks[instance]:
            limit = self._limits.limit_of(instance)
            if limit is None or limit.rate is None:
                return SendingToken(instance, float("inf"))
            if self._upstreams.throttles.is_closed(instance):
                return None
            asked_at = trio.current_time()
            grant = await self._grant(limit, Purpose.REQUEST)
        if grant.granted:
            self._count("token.granted")
            return SendingToken(instance, asked_at + TOKEN_LIFETIME_SECONDS)
        self._count("token.denied")
        if self._limits.rate_of(instance) is not None:
            self._upstreams.throttles.close(instance, grant.wait, grant.retry_after)
        return None

    def may_send(self, token: SendingToken) -> bool:
        """Return whether a request may be sent with a token now, and count it as sent."""
        if self._limits.rate_of(token.instance) is not None and not token.is_of_use:
            return False
        token.spend()
        return True

    async def give_back(self, token: SendingToken) -> None:
        """Return a token, if it is still of use: its request was not sent."""
        if not token.is_of_use:
            return
        token.spend()
        self._count("token.returned")
        if self._lease.held():
            self._issuer.give_back(token.instance)
        else:
            await self._client.give_back(token.instance)

    async def admit(self, instance: str, purpose: Purpose) -> bool:
        """Return whether a question or an order may be sent to an upstream now."""
        limit = self._limits.limit_of(instance)
        if limit is None or limit.rate is None:
            return True
        now = trio.current_time()
        key = instance, purpose
        if now < self._not_admitted_until.get(key, now):
            return False
        grant = await self._grant(limit, purpose)
        if grant.granted:
            return trio.current_time() <= now + TOKEN_LIFETIME_SECONDS
        self._not_admitted_until[key] = now + grant.wait
        return False

    async def _grant(self, limit: RateLimit, purpose: Purpose) -> Grant:
        if self._lease.held():
            await trio.lowlevel.checkpoint()
            return self._issue(limit, purpose)
        if self._client.should_issue:
            self._seek()
        return await self._client.ask(limit, purpose)

    def _issue(self, limit: RateLimit, purpose: Purpose) -> Grant:
        if self._lease.epoch != self._epoch:
            self._epoch = self._lease.epoch
            self._issuer.begin()
        self._limits.merge(limit)
        rate = self._limits.rate_of(limit.instance)
        if rate is None:
            return Grant(True)
        return self._issuer.issue(limit.instance, rate, trio.current_time(), purpose)

    def _seek(self) -> None:
        """Seek the lease for a while."""
        if trio.current_time() >= self._seek_until:
            self._seeking.set()
        self._seek_until = trio.current_time() + SEEKING_SECONDS

    async def _on_message(self, data: bytes) -> None:
        message = decode_message(data)
        match message:
            case None:
                self._count("malformed.token-message")
            case LimitNews(limits, issuer):
                await self._take_news(limits, issuer)
            case TokenReply():
                self._client.on_reply(message)
            case TokenReturn(instance):
                self._issuer.give_back(instance)
            case TokenRequest():
                await self._answer(message)

    async def _greet(self, address: str) -> None:
        """Tell a process that has just started, or knew nobody, of the limits in force."""
        for message in _news_of(self._limits.limits(), self._roster.own if self.issues else None):
            await self._gossip.send(address, message)

    async def _take_news(self, limits: tuple[RateLimit, ...], issuer: Member | None) -> None:
        """Take in what others know; tell the issuer what it has missed."""
        for each in limits:
            self._limits.merge(each)
        if issuer is None:
            return
        self._client.note_issuer(issuer)
        known = [self._limits.limit_of(each.instance) for each in limits]
        newer = tuple(
            mine
            for mine, told in zip(known, limits, strict=True)
            if mine is not None and mine != told and mine.supersedes(told)
        )
        if newer:
            await self._gossip.send(issuer.address, encode_message(LimitNews(newer)))

    async def _answer(self, request: TokenRequest) -> None:
        issuer = self._client.issuer
        if self.issues:
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
        """Seek and renew the lease while there are limits, and tell others of them."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_kept)
            nursery.start_soon(self._tell_changes)
            nursery.start_soon(self._keep_lease)

    async def _read_kept(self) -> None:
        """Read the limits that an issuer kept, as soon as the store answers."""
        while True:
            match await self._lease.look():
                case Success(record):
                    self._merge_kept(record.attachment if record is not None else b"")
                    return
            await trio.sleep(IDLE_SECONDS)

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
                refresh_at = trio.current_time() + REFRESH_SECONDS
                await self._tell(self._limits.limits())
            await self._rest()

    def _is_seeking(self) -> bool:
        if not self._limits.limited:
            return False
        wanted = trio.current_time() < self._seek_until
        return self._lease.held() or wanted or self._client.should_issue

    def _note_holder(self) -> None:
        """Take in who holds the lease."""
        if self._lease.held():
            self._client.note_holder(self._roster.own.name)
            return
        record = self._lease.seen
        holder = record.holder.partition("/")[0] if record is not None else ""
        if holder and holder != self._roster.own.name:
            self._client.note_holder(holder)

    async def _rest(self) -> None:
        """Wait until the lease is to be renewed, or may be free, or is first sought."""
        if self._lease.held():
            await trio.sleep(self._lease.renewal_pause)
            return
        with trio.move_on_after(IDLE_SECONDS):
            if trio.current_time() < self._seek_until:
                await trio.sleep_forever()
            self._seeking = trio.Event()
            await self._seeking.wait()

    def _prune(self) -> None:
        """Forget the limits of upstreams that are gone."""
        self._limits.forget_unknown(
            lambda instance: self._upstreams.last_known(instance) is not None, UNKNOWN_SECONDS
        )
        now = trio.current_time()
        self._not_admitted_until = {
            key: at for key, at in self._not_admitted_until.items() if at > now
        }
        for instance in [each for each in self._locks if self._limits.limit_of(each) is None]:
            if not self._locks[instance].locked():
                del self._locks[instance]

    async def _tell_changes(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            changed, self._changed = self._changed, {}
            known = [self._limits.limit_of(instance) for instance in changed]
            for limit in known:
                if limit is not None:
                    self._log_limit(limit, changed[limit.instance])
            await self._tell(
                [each for each in known if each and changed[each.instance] == "answer"]
            )
            await trio.sleep(NEWS_SECONDS)

    def _log_limit(self, limit: RateLimit, source: str) -> None:
        self._count("upstream.limit")
        self._log(
            "upstream-limit",
            instance=limit.instance,
            rate=limit.rate,
            version=limit.version,
            source=source,
        )

    async def _tell(self, limits: list[RateLimit]) -> None:
        for message in _news_of(limits, self._roster.own if self.issues else None):
            await self._gossip.broadcast(message)

    def _kept_limits(self) -> bytes:
        return msgspec.json.encode(self._limits.limits()[:MAX_KEPT_LIMITS])

    def _merge_kept(self, data: bytes) -> None:
        """Take in the limits that an issuer kept, if they can be read."""
        try:
            limits = _limits_decoder.decode(data) if data else ()
        except (msgspec.MsgspecError, RecursionError):
            self._count("malformed.kept-limits")
            return
        for each in limits:
            self._limits.merge(each)


def _news_of(limits: list[RateLimit], issuer: Member | None) -> Iterator[bytes]:
    """Yield the datagrams that tell of limits."""
    for first in range(0, len(limits), MAX_LIMITS_PER_MESSAGE):
        some = tuple(limits[first : first + MAX_LIMITS_PER_MESSAGE])
        yield encode_message(LimitNews(some, issuer))
