"""What peers and operators may ask of one process, over the address for peers and by datagrams."""

from collections.abc import Callable

import trio

from deckcourse.gateway.crash_watch import CrashWatch
from deckcourse.gateway.desired import DesiredState
from deckcourse.gateway.gateway import Gateway
from deckcourse.gateway.handover import HandedExchange
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.quarantine_view import QUARANTINE_PATH, encode_quarantine
from deckcourse.gateway.reachability import Reachability
from deckcourse.gateway.reaching_peers import PeerReach
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.message import IncomingRequest
from deckcourse.http1.server import Exchange
from deckcourse.peers.handover_message import HANDOVER_PATH, decode_handed_request
from deckcourse.peers.peers import Peers

__all__ = ["PeerEndpoint"]

# The largest age of a contact that peers are told, seconds.
MAX_CONTACT_AGE_SECONDS = 3600.0


class PeerEndpoint:
    """Serves the peers of one process and its operators.

    Args:
      peers: serves subscribers and the membership view.
      crashes: holds the quarantine.
      gateway: returns the handler of requests.
      reachability: tells which services this process reaches.
      upstreams: the upstreams that this process knows.
      path_choice: returns the path choice of a service.
      desired: returns the current desired state, None before one is known.
      is_serving: returns whether requests may be sent on: the configuration is recent, and the
        process isn't stopping.
      has_room: returns whether the process has processor time for more requests.
      count: increments the counter of a name.
    """

    def __init__(
        self,
        peers: Peers,
        crashes: CrashWatch,
        gateway: Callable[[], Gateway],
        reachability: Reachability,
        upstreams: UpstreamTable,
        path_choice: Callable[[str], PathChoice],
        desired: Callable[[], DesiredState | None],
        is_serving: Callable[[], bool],
        has_room: Callable[[], bool],
        count: Callable[[str], None],
    ) -> None:
        self._peers = peers
        self._crashes = crashes
        self._gateway = gateway
        self._reachability = reachability
        self._upstreams = upstreams
        self._path_choice = path_choice
        self._desired = desired
        self._is_serving = is_serving
        self._has_room = has_room
        self._count = count

    async def handle(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Handle a request from a peer or an operator."""
        path, _, identity = request.target.partition(b"?")
        if path == HANDOVER_PATH:
            await self._handle_handed_over(request, HandedExchange(exchange))
            return
        if path != QUARANTINE_PATH:
            await self._peers.handle(request, exchange)
            return
        if request.method == b"DELETE":
            was_suspect = self._crashes.release(identity.decode("latin-1"))
            await exchange.respond(200 if was_suspect else 404, (), b"")
            return
        kind = (b"content-type", b"application/json")
        await exchange.respond(200, (kind,), encode_quarantine(self._crashes.view()))

    async def _handle_handed_over(self, request: IncomingRequest, exchange: HandedExchange) -> None:
        handed = decode_handed_request(request.body)
        if handed is None:
            self._count("malformed.handover")
        if handed is None or not self._is_serving():
            await exchange.decline()
            return
        await self._gateway().handle_handed_over(handed, exchange)

    def describe_reach(self, service: str, version: int) -> PeerReach:
        """Return whether this process takes requests of a service from a peer.

        Args:
          service: the service.
          version: the version of the peer's desired state, which the own one must not precede.
        """
        desired = self._desired()
        accepts = (
            self._is_serving()
            and desired is not None
            and desired.version >= version
            and self._gateway().accepts_handovers
            and self._has_room()
            and self._has_usable(desired, service)
        )
        contact_age = trio.current_time() - self._reachability.contact_at(service)
        requests = self._gateway().requests
        return PeerReach(accepts, min(contact_age, MAX_CONTACT_AGE_SECONDS), requests)

    def _has_usable(self, desired: DesiredState, service: str) -> bool:
        """Return whether this process could send a request of a service now."""
        spec = desired.services.get(service)
        if spec is None or self._reachability.is_partitioned(service):
            return False
        if spec.model is not None:
            return self._path_choice(service).choose(spec.model) is not None
        return bool(self._upstreams.usable(service))
