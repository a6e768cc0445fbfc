"""What one process issues for all, or requests from the issuer, assembled."""

from collections.abc import Callable

import trio

from deckcourse.gateway.issuer_client import IssuerClient
from deckcourse.gateway.issuer_role import IssuerRole
from deckcourse.gateway.rate_gate import RateGate
from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.retry_gate import RetryGate
from deckcourse.gateway.retry_limits import RetryLimits
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.peers.gossip import PeerGossip
from deckcourse.peers.issuer_messages import RetryReply, RetryRequest, decode_message
from deckcourse.peers.roster import Roster
from deckcourse.table import TableService

__all__ = ["Issuing"]


class Issuing:
    """The tokens of rate limited upstreams and the shared retries of one process.

    Args:
      limits: the rate limits in force.
      upstreams: the upstream table, which records throttled upstreams.
      table: the platform's store.
      author: the name of this incarnation of the process.
      roster: the membership view.
      gossip: sends and receives datagrams.
      may_issue: returns whether this process may be the issuer; false during shutdown.
      retry_limits: returns the limits on the retries of all processes together.
      count: adds to a counter by name.
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
        retry_limits: Callable[[], RetryLimits],
        count: Callable[..., None],
        log: Callable[..., None],
    ) -> None:
        client = IssuerClient(roster, gossip, count)
        self._count = count
        self._role = IssuerRole(table, author, roster, client, may_issue, limits.limits, count)
        self._rates = RateGate(limits, upstreams, self._role, client, roster, gossip, count, log)
        self._retries = RetryGate(retry_limits, self._role, client, roster, gossip, count, log)
        gossip.register_issuer_handlers(self._on_message, self._rates.send_limits_to)

    @property
    def is_issuer(self) -> bool:
        """Whether this process is the issuer."""
        return self._role.is_issuer

    @property
    def rates(self) -> RateGate:
        """The tokens of rate limited upstreams."""
        return self._rates

    @property
    def retries(self) -> RetryGate:
        """The retries that all processes share."""
        return self._retries

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._rates.run)
            nursery.start_soon(self._retries.run)
            nursery.start_soon(self._role.run, self._on_lease_round)

    async def _on_lease_round(self) -> None:
        self._retries.note_term()
        await self._rates.on_lease_round()

    async def _on_message(self, data: bytes) -> None:
        message = decode_message(data)
        if message is None:
            self._count("malformed.token-message")
        elif isinstance(message, RetryRequest | RetryReply):
            await self._retries.on_message(message)
        else:
            await self._rates.on_message(message)
