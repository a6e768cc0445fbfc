"""Requests and issues the retries of the slack that all processes share.

At any time at most one process issues them (see `issuer_role`), so that all processes together keep
to the slack, however many there are, start again, or can't reach each other. Without a reachable
issuer a process has the retries that its own requests earned.
"""

from collections.abc import Callable

import trio

from deckcourse.gateway.issuer_client import IssuerClient
from deckcourse.gateway.issuer_role import IssuerRole
from deckcourse.gateway.retry_issuer import RetryGrant, RetryIssuer
from deckcourse.gateway.retry_limits import RetryLimits
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.issuer_messages import RetryNeed, RetryReply, RetryRequest, encode_message
from deckcourse.peers.roster import Roster

__all__ = ["RetryGate"]

# Timeout of a request, seconds, which is sent once: a refused caller waits meanwhile.
REPLY_TIMEOUT_SECONDS = 0.05
# Time that a request waits for a process to take the lease: a few calls to the store.
LEASE_WAIT_SECONDS = 0.04
# Backoff while there is no issuer, doubled with each request up to the maximum, seconds.
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# First epoch of the lease: nobody issued before.
FIRST_EPOCH = 1
# Bound on the requests that wait for the lease at the same time.
MAX_PENDING_REQUESTS = 256


class RetryGate:
    """The shared retries of one process.

    Args:
      limits: returns the limits of all processes together.
      role: whether this process is the issuer.
      client: sends requests to the issuer.
      roster: the membership view.
      gossip: sends datagrams.
      count: adds to a counter by name.
      log: writes the decision log.
    """

    def __init__(
        self,
        limits: Callable[[], RetryLimits],
        role: IssuerRole,
        client: IssuerClient,
        roster: Roster,
        gossip: PeerGossip,
        count: Callable[..., None],
        log: Callable[..., None],
    ) -> None:
        self._role = role
        self._client = client
        self._roster = roster
        self._gossip = gossip
        self._count = count
        self._log = log
        self._issuer = RetryIssuer(limits)
        self._epoch = 0
        self._backoff = MIN_BACKOFF_SECONDS
        self._requests, self._pending = trio.open_memory_channel[RetryRequest](MAX_PENDING_REQUESTS)

    async def request(self, need: RetryNeed) -> RetryGrant:
        """Request retries from the issuer, which may be this process."""
        grant = None
        if self._role.is_issuer or self._client.should_issue:
            grant = await self._issue(need)
        if grant is None and not self._role.is_issuer:
            grant = await self._request_from_issuer(need)
        if grant is None:
            self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)
            return RetryGrant(0, self._backoff)
        self._backoff = MIN_BACKOFF_SECONDS
        return grant

    async def _request_from_issuer(self, need: RetryNeed) -> RetryGrant | None:
        reply = await self._client.request(
            lambda number, sender: RetryRequest(number, sender, need),
            max_attempts=1,
            timeout=REPLY_TIMEOUT_SECONDS,
        )
        if not isinstance(reply, RetryReply) or reply.issuer is None:
            return None
        return RetryGrant(min(need.count, reply.granted), reply.wait)

    async def run(self) -> None:
        """Reply to requests of other processes until cancelled."""
        async with trio.open_nursery() as nursery:
            async for request in self._pending:
                nursery.start_soon(self._reply_to, request)

    async def on_message(self, message: RetryRequest | RetryReply) -> None:
        """Handle a message from a peer."""
        if isinstance(message, RetryReply):
            self._client.on_reply(message)
            return
        try:
            self._requests.send_nowait(message)
        except trio.WouldBlock:
            self._count("retry.overflow")

    def note_term(self) -> None:
        """Start a term if this process has become the issuer."""
        if self._role.is_held and self._role.epoch != self._epoch:
            self._epoch = self._role.epoch
            self._issuer.start_term(trio.current_time(), self._epoch == FIRST_EPOCH)
            self._log("issuer", epoch=self._epoch)

    async def _reply_to(self, request: RetryRequest) -> None:
        grant = await self._issue(request.need)
        issuer = self._roster.own if grant is not None else self._client.issuer
        grant = grant or RetryGrant(0, MIN_BACKOFF_SECONDS)
        reply = RetryReply(request.number, grant.count, grant.wait, issuer)
        await self._gossip.send(request.sender, encode_message(reply))

    async def _issue(self, need: RetryNeed) -> RetryGrant | None:
        """Issue retries if this process is the issuer or can become it now, else return None."""
        if self._role.knows_other and not self._role.is_issuer:
            # The other one may have ended: its lease is taken as soon as it has expired.
            self._role.seek()
            await trio.lowlevel.checkpoint()
            return None
        if not await self._role.wait_until_held(LEASE_WAIT_SECONDS):
            return None
        self.note_term()
        return self._issuer.issue(need, trio.current_time())
