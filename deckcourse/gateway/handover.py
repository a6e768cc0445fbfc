"""Hands a request over to a peer that reaches its service, and relays the peer's response.

The first header of the peer's response tells what it is: an upstream's response, to be relayed
unchanged, the peer's own final outcome, or that the peer did not take the request. The second one
names the upstreams to which the peer has sent the request so far. Both are read by their position,
so that no header of an upstream is taken for them.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

import msgspec
import trio

from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.events import Event
from deckcourse.gateway.executions import Executions
from deckcourse.gateway.metered_events import MeteredEvents
from deckcourse.gateway.reaching_peers import ReachingPeers
from deckcourse.gateway.whole_messages import read_whole
from deckcourse.http1.client import UpstreamConnection, UpstreamReply
from deckcourse.http1.connection_meter import ConnectionMeter
from deckcourse.http1.message import ConnectionLostError, FailureKind, Headers, header_value
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http1.server import Exchange
from deckcourse.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    Answered,
    NotRun,
    Outcome,
    Unknown,
)
from deckcourse.peers.handover_message import (
    HANDOVER_PATH,
    MAX_UPSTREAMS,
    HandedRequest,
    encode_handed_request,
)
from deckcourse.peers.member import Member
from deckcourse.reasons import NotRunReason, UnknownReason

__all__ = ["HandedExchange", "HandedOver", "Handover", "HandoverFailure", "ReplyKind"]

KIND_HEADER = b"deckcourse-reply"
EXECUTED_BY_HEADER = b"deckcourse-executed-by"
# Peers that one request is handed over to at most.
MAX_PEERS = 2
# A peer that sends nothing for this time is asked whether it is alive, seconds.
SILENCE_SECONDS = 0.4
# Longest idle time of a connection to a peer: it may have gone silent, while the peer replies to
# queries, which are datagrams.
MAX_IDLE_SECONDS = 1.0
OK = 200
# Refusals that another peer may not have to make: this one lost its upstreams or is stopping.
RETRIED_REASONS = frozenset(
    {
        NotRunReason.NO_ROUTE,
        NotRunReason.NOT_READY,
        NotRunReason.STOPPING,
        NotRunReason.UPSTREAM_REFUSED,
    }
)

_decoder = msgspec.json.Decoder(frozenset[str])


class ReplyKind(StrEnum):
    """What a peer's response is; see the module."""

    UPSTREAM = "upstream"
    OUTCOME = "outcome"
    DECLINED = "declined"


@dataclass(frozen=True)
class HandedOver:
    """A peer determined the outcome; after an `Answered` one the caller has the response."""

    outcome: Outcome


@dataclass(frozen=True)
class HandoverFailure:
    """No peer served the request; `may_have_run` tells whether one of them may have.

    `is_final` is set if the peer itself gave up, and named all upstreams that it used.
    """

    message: str
    may_have_run: bool = False
    is_final: bool = False


class HandedExchange:
    """The exchange of a request that a peer handed over: marks the response by its kind."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._executed_by: dict[str, None] = {}

    @property
    def started(self) -> bool:
        """See `Exchange`."""
        return self._exchange.started

    @property
    def torn(self) -> bool:
        """See `Exchange`."""
        return self._exchange.torn

    @property
    def client_gone(self) -> bool:
        """See `Exchange`."""
        return self._exchange.client_gone

    @property
    def meter(self) -> ConnectionMeter:
        """See `Exchange`."""
        return self._exchange.meter

    def note_execution(self, instance: str) -> None:
        """Record that the request is sent to an upstream, which the response will name."""
        self._executed_by[instance] = None

    def note_not_executed(self, instance: str) -> None:
        """Record that an upstream did not execute the request that was sent to it."""
        self._executed_by.pop(instance, None)

    async def start(self, status: int, headers: Headers) -> None:
        """Start an upstream's response; see `Exchange`."""
        await self._exchange.start(status, self._marked(ReplyKind.UPSTREAM, headers))

    async def send(self, data: bytes) -> None:
        """See `Exchange`."""
        await self._exchange.send(data)

    async def finish(self) -> None:
        """See `Exchange`."""
        await self._exchange.finish()

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an upstream's complete response; see `Exchange`."""
        await self._exchange.respond(status, self._marked(ReplyKind.UPSTREAM, headers), body)

    async def respond_outcome(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the own outcome, which is no upstream's response."""
        await self._exchange.respond(status, self._marked(ReplyKind.OUTCOME, headers), body)

    async def decline(self) -> None:
        """Tell that the request was not taken."""
        await self._exchange.respond(503, self._marked(ReplyKind.DECLINED, ()), b"")

    def _marked(self, kind: ReplyKind, headers: Headers) -> Headers:
        executed_by = msgspec.json.encode(list(self._executed_by))
        return ((KIND_HEADER, kind.encode()), (EXECUTED_BY_HEADER, executed_by), *headers)


class Handover:
    """Hands one request over to peers, one after the other.

    Args:
      peers: finds peers that reach the service.
      pool: opens connections to them.
      version: returns the version of the own desired state.
      admitted: the request.
      count: increments the counter of a name.
      log: writes an entry to the decision log.
    """

    def __init__(
        self,
        peers: ReachingPeers,
        pool: ConnectionPool,
        version: Callable[[], int],
        admitted: Admitted,
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        self._peers = peers
        self._pool = pool
        self._version = version
        self._admitted = admitted
        self._count = count
        self._log = log
        self._excluded: frozenset[str] = frozenset()
        self._last_event = admitted.caller.last_event
        self._may_run = False
        self._on_response: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
        # The outcome of the current peer if its upstreams refused the request.
        self._refusal: NotRun | None = None
        # The upstreams that the current peer has named.
        self._named: frozenset[str] = frozenset()

    @property
    def may_run(self) -> bool:
        """Whether a peer has the request now, so that an upstream may run it."""
        return self._may_run

    @property
    def is_allowed(self) -> bool:
        """Whether the request may be handed over: once only, and to few peers."""
        return self._admitted.earlier is None and len(self._excluded) < MAX_PEERS

    @property
    def last_event(self) -> int | None:
        """The last event of a stream that the caller has."""
        return self._last_event

    async def serve(
        self,
        last_event: int | None,
        executions: Executions,
        on_response: Callable[[], Awaitable[None]],
        acquire_retry: Callable[[], Awaitable[bool]],
    ) -> HandedOver | HandoverFailure | None:
        """Hand the request over; return None if no peer takes it.

        A peer that is lost can't tell what it did since the head of its response: as many upstreams
        as it was allowed to use count as used.

        Args:
          last_event: the last event of a stream that the caller has.
          executions: the upstreams that may have executed it, to which those of peers are added.
          on_response: called before each write of a peer's response to the caller.
          acquire_retry: spends a retry for another peer once upstreams have refused the request;
            returns whether there was one.
        """
        self._last_event = last_event
        self._on_response = on_response
        while self.is_allowed:
            granted = executions.allowance
            if not granted and not executions.instances:
                return None
            peer = await self._peers.choose(self._admitted.service.name, self._excluded)
            if peer is None:
                return None
            self._excluded |= {peer.name}
            with self._peers.handing_over(peer):
                result = await self._serve_at(peer, executions, granted)
            # Not after a cancellation: the request may run then.
            self._may_run = False
            if isinstance(result, HandoverFailure) and result.may_have_run:
                if result.is_final:
                    executions.note_ended_handover(self._named)
                else:
                    executions.note_lost_handover(granted, self._named)
            if result is not None:
                return result
            self._peers.note_failed(peer)
            self._count("handover.declined")
            refusal, self._refusal = self._refusal, None
            if refusal is not None and self.is_allowed and not await acquire_retry():
                return None if self._admitted.exchange.started else HandedOver(refusal)
        return None

    async def _serve_at(
        self, peer: Member, executions: Executions, granted: int
    ) -> HandedOver | HandoverFailure | None:
        """Hand the request over to one peer; return None if it didn't take it."""
        self._named = frozenset()
        body = encode_handed_request(self._message(executions, granted))
        headers = ((b"host", peer.address.encode()), (b"content-length", str(len(body)).encode()))
        self._count("handover.sent")
        try:
            async with self._pool.borrow(peer.address, MAX_IDLE_SECONDS) as connection:
                reply = await self._call(peer, connection, headers, body)
                kind, self._named, reply_headers = _read_marks(reply)
                data = _PeerData(self._peers, peer, reply)
                if kind is ReplyKind.DECLINED:
                    await data.read_all()
                    return None
                if kind is ReplyKind.OUTCOME:
                    return await self._read_outcome(data, reply_headers)
                return await self._relay(reply.status, data, reply_headers)
        except ConnectionLostError as failure:
            self._peers.note_failed(peer)
            self._log(
                "handover-failed",
                request=self._admitted.caller.request_id,
                peer=peer.name,
                what=failure.message,
            )
            if failure.kind is FailureKind.UNSENT:
                return None
            return HandoverFailure(f"{peer.name}: {failure.message}", may_have_run=True)

    async def _call(
        self, peer: Member, connection: UpstreamConnection, headers: Headers, body: bytes
    ) -> UpstreamReply:
        """Send the request to a peer and return the head of its response.

        Raises:
          ConnectionLostError: the connection failed, or the peer is silent.
        """
        reply: UpstreamReply | None = None
        failure: ConnectionLostError | None = None
        self._may_run = True
        self._admitted.exchange.meter.note_handed_on()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_if_silent, peer, nursery.cancel_scope)
            try:
                reply = await connection.call(
                    b"POST",
                    HANDOVER_PATH,
                    headers,
                    body,
                    self._admitted.exchange.meter.note_body_sent,
                )
            except ConnectionLostError as error:
                failure = error
            nursery.cancel_scope.cancel()
        if reply is None:
            raise failure or ConnectionLostError(FailureKind.LOST, "the peer is silent")
        return reply

    async def _cancel_if_silent(self, peer: Member, scope: trio.CancelScope) -> None:
        await trio.sleep(SILENCE_SECONDS)
        while await self._peers.is_alive(peer):
            await trio.sleep(SILENCE_SECONDS)
        scope.cancel()

    def _message(self, executions: Executions, granted: int) -> HandedRequest:
        message = self._admitted.caller.message
        return HandedRequest(
            self._version(),
            message.method,
            message.target,
            message.headers,
            message.body,
            max(0.0, self._admitted.work_deadline - trio.current_time()),
            self._last_event,
            executions.instances[:MAX_UPSTREAMS],
            executions.runs,
            granted,
        )

    async def _read_outcome(
        self, data: "_PeerData", headers: Headers
    ) -> HandedOver | HandoverFailure | None:
        outcome = _outcome_of(headers, await data.read_all())
        has_started = self._admitted.exchange.started
        if isinstance(outcome, NotRun) and outcome.reason in RETRIED_REASONS:
            if outcome.reason is NotRunReason.UPSTREAM_REFUSED:
                self._refusal = outcome
            return None if self.is_allowed or has_started else HandedOver(outcome)
        is_unknown = isinstance(outcome, Unknown)
        # The peer's time is over, not that of the request.
        has_stopped = is_unknown and outcome.reason is UnknownReason.STOPPING
        if has_started or (has_stopped and self._admitted.route.repeatable):
            return HandoverFailure(outcome.message, is_unknown, is_final=True)
        return HandedOver(outcome)

    async def _relay(
        self, status: int, data: "_PeerData", headers: Headers
    ) -> HandedOver | HandoverFailure:
        exchange = self._admitted.exchange
        if status == OK and self._admitted.service.model is not None:
            await self._relay_events(data, headers)
            return HandedOver(Answered(0, OK))
        body = await read_whole(data.receive, headers, exchange.meter)
        if exchange.started:
            return HandoverFailure(f"an upstream answered {status}", may_have_run=True)
        await self._on_response()
        await exchange.respond(status, headers, body)
        return HandedOver(Answered(0, status))

    async def _relay_events(self, data: "_PeerData", headers: Headers) -> None:
        source = MeteredEvents(self._last_event, data.reply, data.receive)
        reader = source.reader
        while (events := await source.next_events()) is not None:
            await self._forward(events, headers)
            if reader.fault:
                raise ConnectionLostError(FailureKind.MALFORMED, reader.fault)
        if reader.incomplete:
            raise ConnectionLostError(FailureKind.LOST, "the stream ended inside an event")
        await self._on_response()
        await self._start(headers)
        if reader.trailing:
            await self._admitted.exchange.send(reader.trailing)
        await self._admitted.exchange.finish()

    async def _forward(self, events: list[Event], headers: Headers) -> None:
        if events:
            await self._on_response()
            await self._start(headers)
            await self._admitted.exchange.send(b"".join(each.data for each in events))
            self._last_event = events[-1].id

    async def _start(self, headers: Headers) -> None:
        if not self._admitted.exchange.started:
            headers = tuple(each for each in headers if each[0] != b"content-length")
            await self._admitted.exchange.start(OK, headers)


class _PeerData:
    """The body of a peer's response, whose sender is asked for a sign of life if it is silent."""

    def __init__(self, peers: ReachingPeers, peer: Member, reply: UpstreamReply) -> None:
        self._peers = peers
        self._peer = peer
        self._reply = reply

    @property
    def reply(self) -> UpstreamReply:
        """The peer's response."""
        return self._reply

    async def receive(self) -> bytes | None:
        """Return the next bytes, None after the proper end.

        Raises:
          ConnectionLostError: the body was cut off, or the peer is silent.
        """
        while True:
            with trio.move_on_after(SILENCE_SECONDS):
                return await self._reply.next_data()
            if not await self._peers.is_alive(self._peer):
                raise ConnectionLostError(FailureKind.LOST, "the peer is silent")

    async def read_all(self) -> bytes:
        """Return the whole body.

        Raises:
          ConnectionLostError: as `receive`.
        """
        body = bytearray()
        while (received := await self.receive()) is not None:
            body += received
        return bytes(body)


def _read_marks(reply: UpstreamReply) -> tuple[ReplyKind, frozenset[str], Headers]:
    """Return what a peer's response is, the upstreams that it names, and its other headers.

    A peer of an earlier release names none.

    Raises:
      ConnectionLostError: it isn't marked.
    """
    (name, kind), *headers = reply.headers or ((b"", b""),)
    named: frozenset[str] = frozenset()
    try:
        if name != KIND_HEADER:
            raise ValueError(name)
        reply_kind = ReplyKind(kind.decode("latin-1"))
        if headers and headers[0][0] == EXECUTED_BY_HEADER:
            named = _decoder.decode(headers.pop(0)[1])
    except (ValueError, msgspec.MsgspecError) as error:
        raise ConnectionLostError(FailureKind.MALFORMED, "not a response of a peer") from error
    framing = (b"transfer-encoding", b"connection")
    return reply_kind, named, tuple(each for each in headers if each[0] not in framing)


def _outcome_of(headers: Headers, body: bytes) -> NotRun | Unknown:
    """Return the outcome in a peer's response.

    Raises:
      ConnectionLostError: it is malformed.
    """
    try:
        message = str(msgspec.json.decode(body, type=dict[str, str]).get("error", ""))
        reason = header_value(headers, REASON_HEADER).decode("latin-1")
        seconds = float(header_value(headers, RETRY_AFTER_HEADER) or 0)
        if header_value(headers, OUTCOME_HEADER) == b"not-run":
            return NotRun(NotRunReason(reason), message, seconds)
        return Unknown(UnknownReason(reason), message, retry_after=seconds)
    except (ValueError, msgspec.MsgspecError) as error:
        raise ConnectionLostError(FailureKind.MALFORMED, "not an outcome of a peer") from error
