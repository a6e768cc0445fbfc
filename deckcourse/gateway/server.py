"""The gateway's listeners and its orderly shutdown."""

from collections.abc import Awaitable, Callable
from contextlib import nullcontext, suppress
from dataclasses import dataclass, replace
from functools import partial
from socket import socket

import trio

from deckcourse.gateway.desired import CallerBounds
from deckcourse.gateway.held_bytes import HeldBytes
from deckcourse.gateway.node import GatewayNode
from deckcourse.gateway.unread_closes import UnreadCloses
from deckcourse.gateway.unread_refusals import UnreadRefusals
from deckcourse.http1.idle_connections import CloseReason, IdleConnections
from deckcourse.http1.message import IncomingRequest
from deckcourse.http1.pieces import PieceLane
from deckcourse.http1.server import Exchange, Handler, serve_connection
from deckcourse.listener import Listener, enlarge_send_buffer, reset, seconds_since_received
from deckcourse.peers.handover_message import MAX_ENVELOPE_BYTES
from deckcourse.settings import Address, GatewaySettings

__all__ = ["GatewayServer", "ListenAddresses"]

# Length of each listener's accept queue.
ACCEPT_BACKLOG = 512
# How long new callers still come after SIGTERM: the balancer checks readiness once a second and
# needs two failed checks.
BALANCER_GRACE_SECONDS = 2.6
# A stop may cut off answers in the last sixth of the grace period only. Half of that, or this long
# if that is shorter, is reserved for the exit of the process, and as much before it for the
# outcomes of requests without an answer.
EXIT_RESERVE_SECONDS = 0.7
EXIT_RESERVE_SHARE = 1 / 12
# How long the requests that arrived last may take to be read and refused as the process ends, and
# the part of it in which fresh connections are read.
LAST_REFUSALS_SECONDS = 0.2
LAST_READS_SECONDS = 0.01
# The least turns of the event loop for these refusals: each takes some five from the accept to the
# close, which may last longer than that time in a late process.
MIN_LAST_TURNS = 10
# Turns after the last one in which bytes of a request came, in which it is parsed and answered, and
# the most turns that such bytes may lead to: a caller may send without an end.
TURNS_AFTER_ARRIVAL = 5
MAX_LAST_TURNS = 40
# Interval between two checks whether all requests have ended.
DRAIN_CHECK_INTERVAL_SECONDS = 0.05
# A connection is closed unread only within this share of the time after which its request counts as
# read: the rest is for the way of the close, and for a process that loses its processor meanwhile.
UNREAD_SHARE = 0.5
# Pause after a failure to accept a connection, such as for a lack of file descriptors.
ACCEPT_BACKOFF_SECONDS = 0.1


@dataclass(frozen=True)
class ListenAddresses:
    """The addresses that the gateway listens on."""

    callers: Address
    ready: Address
    metrics: Address
    peers: Address


@dataclass(frozen=True)
class _Port:
    """A listener and what is done with its connections."""

    listener: Listener
    admit: Callable[[], bool]
    serve: Callable[[trio.SocketStream], Awaitable[None]]


class GatewayServer:
    """Serves callers, the balancer's readiness check, metrics and the peers of one node.

    Args:
      node: serves callers and peers and knows whether it is ready.
      addresses: the addresses to listen on.
      stop_grace: returns how long the shutdown may take, seconds.
      metrics: returns the metrics as text.
      ready_path: the path of the balancer's readiness check.
      log: writes an entry to the decision log.
      count: increments a counter by name.
      read_slack: returns the time after which a request that was sent whole counts as read,
        seconds.
    """

    def __init__(
        self,
        node: GatewayNode,
        addresses: ListenAddresses,
        stop_grace: Callable[[], float],
        metrics: Callable[[], bytes],
        ready_path: bytes,
        log: Callable[..., None],
        count: Callable[[str], None] = lambda name: None,
        read_slack: Callable[[], float] = lambda: GatewaySettings.read_slack,
    ) -> None:
        self._node = node
        self._addresses = addresses
        self._stop_grace = stop_grace
        self._metrics = metrics
        self._ready_path = ready_path
        self._log = log
        self._stop = trio.Event()
        self._read_slack = read_slack
        self._unread_closes = UnreadCloses(count, log)
        self._idle_connections = IdleConnections(self._unread_closes.note_stream)
        self._refusals = UnreadRefusals(
            self._idle_connections, lambda: self._node.bounds.idle_seconds
        )
        self._ports: list[_Port] = []
        self._streams: set[trio.SocketStream] = set()

    def stop(self) -> None:
        """Begin the orderly shutdown."""
        self._node.stop()
        self._stop.set()

    async def run(self) -> None:
        """Serve until `stop`, then until no request is in flight or the grace period ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._node.run)
            nursery.start_soon(self._node.watch_readers)
            nursery.start_soon(self._node.watch_load)
            nursery.start_soon(self._unread_closes.run)
            self._listen(nursery, self._addresses.ready, self._answer_ready)
            self._listen(nursery, self._addresses.metrics, self._answer_metrics)
            peers = self._addresses.peers
            self._listen(nursery, peers, self._node.handle_peer, bounds=self._peer_bounds)
            callers = self._addresses.callers
            admit = self._node.overload.admit_connection
            self._listen(nursery, callers, self._node.gateway.handle, self._node.held, admit=admit)
            await self._stop.wait()
            await self._node.peers.leave()
            await self._drain(nursery)
            nursery.cancel_scope.cancel()

    async def _drain(self, nursery: trio.Nursery) -> None:
        grace = self._stop_grace()
        started = trio.current_time()
        gateway = self._node.gateway
        reserve = min(EXIT_RESERVE_SECONDS, grace * EXIT_RESERVE_SHARE)
        end_by = started + grace - reserve
        answer_by = end_by - reserve
        gateway.stop_bounds.begin(answer_by, end_by)
        self._log("stopping", requests=gateway.requests, grace=grace)
        await trio.sleep(min(BALANCER_GRACE_SECONDS, grace / 2))
        self._node.refuse_new()
        self._idle_connections.close_served()
        while gateway.requests and trio.current_time() < answer_by:
            await trio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
        gateway.stop_bounds.end_unanswered()
        self._enlarge_send_buffers()
        with trio.move_on_at(end_by):
            await self._refuse_last(nursery)
        self._idle_connections.close_reading()
        self._unread_closes.report()
        self._log("stopped", unfinished=gateway.requests)

    def _enlarge_send_buffers(self) -> None:
        """Let the kernel take the rest of answers that are whole here and read slowly."""
        for stream in self._streams:
            enlarge_send_buffer(stream)

    async def _refuse_last(self, nursery: trio.Nursery) -> None:
        """Close the listeners, refuse the requests that arrived before, and wait for all others."""
        for port in self._ports:
            self._accept_last(port, nursery)
        ends_at = trio.current_time() + LAST_REFUSALS_SECONDS
        await trio.sleep(LAST_READS_SECONDS)
        # The tasks of connections accepted in the turn before may run after this one.
        await trio.lowlevel.checkpoint()
        self._idle_connections.close_all()
        turns, min_turns, received = 0, MIN_LAST_TURNS, self._idle_connections.received
        while True:
            if self._idle_connections.received > received or self._has_unread_bytes():
                received = self._idle_connections.received
                min_turns = min(max(min_turns, turns + TURNS_AFTER_ARRIVAL), MAX_LAST_TURNS)
            has_time = turns < min_turns or trio.current_time() < ends_at
            is_busy = self._node.held.connections or self._refusals.pending
            if not self._node.gateway.requests and not (is_busy and has_time):
                return
            await trio.sleep(LAST_READS_SECONDS)
            turns += 1

    def _has_unread_bytes(self) -> bool:
        """Return whether something lies in a connection; it may be the rest of a request."""
        return any(
            isinstance(stream, trio.SocketStream)
            and stream.socket.fileno() >= 0
            and stream.socket.is_readable()
            for stream in self._streams
        )

    def _accept_last(self, port: _Port, nursery: trio.Nursery) -> None:
        count = 0
        try:
            while count < ACCEPT_BACKLOG and (accepted := port.listener.accept_waiting()):
                self._start(port, accepted, nursery)
                count += len(accepted)
        except OSError as error:
            self._log("accept-failed", what=str(error))
        port.listener.close()

    def _listen(
        self,
        nursery: trio.Nursery,
        address: Address,
        handler: Handler,
        held: HeldBytes | None = None,
        bounds: Callable[[], CallerBounds] | None = None,
        admit: Callable[[], bool] = lambda: True,
    ) -> None:
        serve = partial(self._serve, handler, held, bounds or self._bounds, PieceLane())
        port = _Port(Listener(address, ACCEPT_BACKLOG), admit, serve)
        self._ports.append(port)
        nursery.start_soon(self._accept, port, nursery)

    async def _accept(self, port: _Port, nursery: trio.Nursery) -> None:
        with port.listener, suppress(trio.ClosedResourceError):
            while True:
                try:
                    accepted = await port.listener.accept()
                except OSError as error:
                    self._log("accept-failed", what=str(error))
                    await trio.sleep(ACCEPT_BACKOFF_SECONDS)
                    continue
                self._start(port, accepted, nursery)

    def _start(self, port: _Port, accepted: list[socket], nursery: trio.Nursery) -> None:
        for connection in accepted:
            if port.admit():
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(connection))
                nursery.start_soon(port.serve, stream)
            else:
                self._turn_away(connection, port.listener.longest_wait, nursery)

    def _turn_away(self, connection: socket, waited: float, nursery: trio.Nursery) -> None:
        """Refuse a connection whose request may count as read, reset another one."""
        since_received = seconds_since_received(connection)
        if since_received is not None:
            waited = min(waited, since_received)
        may_count_as_read = waited >= UNREAD_SHARE * self._read_slack()
        reason = CloseReason.REFUSED if may_count_as_read else CloseReason.LOAD
        self._unread_closes.note(reason, trio.socket.from_stdlib_socket(connection), waited)
        if not may_count_as_read or not self._refusals.start(connection, nursery):
            reset(connection)

    async def _serve(
        self,
        handler: Handler,
        held: HeldBytes | None,
        bounds: Callable[[], CallerBounds],
        lane: PieceLane,
        stream: trio.SocketStream,
    ) -> None:
        self._streams.add(stream)
        try:
            with held.connection() if held is not None else nullcontext() as meter:
                await serve_connection(
                    stream,
                    handler,
                    bounds,
                    lambda: self._node.stopping,
                    self._idle_connections,
                    meter,
                    lane,
                )
        except Exception as error:  # A fault in one connection must not end the process.
            self._log("connection-failed", what=repr(error))
        finally:
            self._streams.discard(stream)

    def _bounds(self) -> CallerBounds:
        return self._node.bounds

    def _peer_bounds(self) -> CallerBounds:
        """Return the bounds for peers, which send callers' requests whole inside of their own."""
        bounds = self._node.bounds
        size = bounds.header_bytes + bounds.body_bytes + MAX_ENVELOPE_BYTES
        return replace(bounds, body_bytes=size)

    async def _answer_ready(self, request: IncomingRequest, exchange: Exchange) -> None:
        is_ready_path = request.target.partition(b"?")[0] == self._ready_path
        status = 404 if not is_ready_path else 200 if self._node.ready else 503
        await exchange.respond(status, (), b"")

    async def _answer_metrics(self, request: IncomingRequest, exchange: Exchange) -> None:
        kind = (b"content-type", b"text/plain; version=0.0.4")
        await exchange.respond(200, (kind,), self._metrics())
