"""The gateway: serves callers' requests, from the request head to the outcome."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import msgspec
import trio

from deckcourse.gateway.admitted import Admitted, EarlierExecutions
from deckcourse.gateway.calls import STOPPING_RETRY_AFTER_SECONDS, schedule_retry_after
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.desired import CallerBounds, DesiredState, RouteSpec
from deckcourse.gateway.dialect import CallerRequest
from deckcourse.gateway.handover import HandedExchange
from deckcourse.gateway.lookup import ServiceCall
from deckcourse.gateway.stop_bounds import StopBounds
from deckcourse.gateway.stream import StreamCall
from deckcourse.http1.message import Headers, IncomingRequest
from deckcourse.http1.server import Exchange
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown, response_head
from deckcourse.peers.handover_message import HandedRequest
from deckcourse.reasons import NotRunReason, UnknownReason

__all__ = ["Gateway"]

# Retry-after value of an entry that has no configuration yet: another entry may have one.
NOT_READY_RETRY_AFTER_SECONDS = 0.1
# Retry-after value of a process without room for a body: those that have it may be as slow.
NO_ROOM_RETRY_AFTER_SECONDS = 0.5
# Requests of peers that a process serves at the same time.
MAX_HANDED_REQUESTS = 256


class Gateway:
    """Serves callers' requests according to the current desired state.

    Args:
      context: the objects that requests share.
      desired: returns the current desired state, None before one is known.
      domain: the failure domain of this process.
      wait_for_start: waits for a limited time until the desired state is known.
    """

    def __init__(
        self,
        context: GatewayContext,
        desired: Callable[[], DesiredState | None],
        domain: str,
        wait_for_start: Callable[[], Awaitable[None]],
    ) -> None:
        self._context = context
        self._desired = desired
        self._domain = domain
        self._wait_for_start = wait_for_start
        self._requests = 0
        self._handed_requests = 0
        self._refuses_new = False
        self._stop_bounds = StopBounds()

    @property
    def context(self) -> GatewayContext:
        """The objects that requests share."""
        return self._context

    @property
    def accepts_handovers(self) -> bool:
        """Whether peers may hand requests over to this process."""
        return not self._refuses_new and self._handed_requests < MAX_HANDED_REQUESTS

    @property
    def requests(self) -> int:
        """The number of requests in flight."""
        return self._requests

    @property
    def stop_bounds(self) -> StopBounds:
        """The bounds that a stop sets for requests."""
        return self._stop_bounds

    def refuse_new(self) -> None:
        """Refuse all new requests from now on; those in flight continue."""
        self._refuses_new = True

    def request_seconds(self, head: IncomingRequest) -> float:
        """Return the time that a request has, from its head, seconds."""
        caller = self._context.dialect.read(head)
        desired = self._desired()
        route = desired.route_of(caller.host, caller.path) if desired is not None else None
        if route is not None:
            return _timeout_seconds(caller, route)
        bounds = desired.bounds if desired is not None else CallerBounds()
        return bounds.idle_seconds

    async def handle(self, message: IncomingRequest, exchange: Exchange) -> None:
        """Serve one request; an unfinished response on return means that it must be cut off."""
        caller = self._context.dialect.read(message)
        await self._handle(caller, exchange, exchange.respond)

    async def handle_handed_over(self, handed: HandedRequest, exchange: HandedExchange) -> None:
        """Serve a request that a peer handed over, unless this process can't take it."""
        desired = self._desired()
        if desired is None or desired.version < handed.version or not self.accepts_handovers:
            await exchange.decline()
            return
        message = IncomingRequest(handed.method, handed.target, handed.headers, handed.body)
        caller = replace(
            self._context.dialect.read(message),
            timeout_seconds=handed.remaining_seconds,
            last_event=handed.last_event,
        )
        self._context.count("handover.received")
        self._handed_requests += 1
        try:
            earlier = EarlierExecutions(
                handed.executed_by,
                handed.executions,
                handed.allowance,
                exchange.note_execution,
                exchange.note_not_executed,
            )
            await self._handle(caller, exchange, exchange.respond_outcome, earlier)
        finally:
            self._handed_requests -= 1

    async def _handle(
        self,
        caller: CallerRequest,
        exchange: Exchange | HandedExchange,
        respond: Callable[[int, Headers, bytes], Awaitable[None]],
        earlier: EarlierExecutions | None = None,
    ) -> None:
        self._requests += 1
        arrived_at = trio.current_time()
        exchange.meter.note_request(caller.request_id)
        outcome: Outcome | None = None
        is_told = False
        try:
            outcome = await self._serve(caller, exchange, earlier)
            if not isinstance(outcome, Answered) and not exchange.started:
                await _send_outcome(respond, outcome)
                is_told = True
        except Exception as error:
            outcome = outcome or _failed(error, exchange)
            if exchange.client_gone or exchange.started:
                raise
            await _send_outcome(respond, outcome)
            is_told = True
        finally:
            self._requests -= 1
            outcome = outcome or _cut_off(exchange)
            if exchange.meter.end_reason is not None and not isinstance(outcome, Answered):
                outcome = _ended(exchange.meter.end_reason)
            is_cut = exchange.started and not is_told and not exchange.client_gone
            self._record_outcome(caller, outcome, trio.current_time() - arrived_at, is_cut)
            if exchange.torn:
                self._context.count("answer.torn")

    async def _serve(
        self,
        caller: CallerRequest,
        exchange: Exchange | HandedExchange,
        earlier: EarlierExecutions | None,
    ) -> Outcome:
        if self._desired() is None and not self._refuses_new:
            with self._stop_bounds.until(float("inf"), exchange):
                await self._wait_for_start()
        admitted = self._admit(caller, exchange, earlier)
        if isinstance(admitted, NotRun):
            return admitted
        if caller.message.is_body_dropped:
            retry_after = schedule_retry_after(self._context, admitted, NO_ROOM_RETRY_AFTER_SECONDS)
            return NotRun(NotRunReason.NO_ROOM, "no room for the body in time", retry_after)
        if admitted.service.model is not None:
            return await StreamCall(self._context, admitted).run()
        return await ServiceCall(self._context, admitted, self._domain).run()

    def _admit(
        self,
        caller: CallerRequest,
        exchange: Exchange | HandedExchange,
        earlier: EarlierExecutions | None,
    ) -> Admitted | NotRun:
        if self._refuses_new:
            return NotRun(
                NotRunReason.STOPPING, "this entry is stopping", STOPPING_RETRY_AFTER_SECONDS
            )
        desired = self._desired()
        if desired is None:
            return _not_ready("this entry does not know its configuration yet")
        route = desired.route_of(caller.host, caller.path)
        needs_key = route is not None and desired.needs_key(route)
        # Routes and keys of an outdated configuration may no longer be valid.
        if (route is None or needs_key) and not self._context.may_send():
            return _not_ready("this entry's configuration may be out of date")
        if route is None:
            return NotRun(NotRunReason.NOT_FOUND, "no route for this host and path")
        account = None
        if needs_key:
            account = desired.account_of(caller.key)
            if account is None:
                return NotRun(NotRunReason.UNAUTHORIZED, "no client account has this key")
        service = desired.services.get(route.service_for(caller.request_id))
        if service is None:
            return NotRun(NotRunReason.NO_ROUTE, f"route {route.name} has no service")
        seconds = _timeout_seconds(caller, route) - caller.message.body_waited
        deadline = trio.current_time() + seconds
        return Admitted(
            caller, route, service, account, deadline, exchange, self._stop_bounds, earlier
        )

    def _record_outcome(
        self, caller: CallerRequest, outcome: Outcome, seconds: float, is_cut: bool
    ) -> None:
        """Count and log an outcome.

        Args:
          caller: the request.
          outcome: what became of it.
          seconds: how long this process had it.
          is_cut: whether this process closes the caller's connection in the middle of the answer,
            unless the request was answered.
        """
        context = self._context
        context.timing("hold", seconds)
        match outcome:
            case Answered():
                context.count("answered")
            case NotRun(reason, message) | Unknown(reason, message):
                kind = "refused" if isinstance(outcome, NotRun) else "unknown"
                context.count(f"{kind}.{reason}")
                context.log(
                    kind,
                    request=caller.request_id,
                    reason=str(reason),
                    what=message,
                    cut=is_cut,
                    held_ms=round(seconds * 1000),
                )


def _timeout_seconds(caller: CallerRequest, route: RouteSpec) -> float:
    return min(
        route.timeout,
        caller.timeout_seconds if caller.timeout_seconds is not None else route.timeout,
    )


def _cut_off(exchange: Exchange | HandedExchange) -> Unknown:
    """Return the outcome of a request that was cancelled: by its caller's leaving, or by a stop."""
    if exchange.client_gone:
        return Unknown(UnknownReason.CALLER_GONE, "the caller disconnected")
    return Unknown(UnknownReason.STOPPING, "this process ended before the answer was whole")


def _failed(error: Exception, exchange: Exchange | HandedExchange) -> Unknown:
    """Return the outcome of a request whose handling raised an error."""
    if exchange.client_gone:
        return _cut_off(exchange)
    return Unknown(UnknownReason.INTERNAL_ERROR, repr(error))


def _ended(reason: str) -> Unknown:
    """Return the outcome of a request whose connection this process ended."""
    return Unknown(UnknownReason(reason), "the connection of the caller was ended")


def _not_ready(message: str) -> NotRun:
    return NotRun(NotRunReason.NOT_READY, message, NOT_READY_RETRY_AFTER_SECONDS)


async def _send_outcome(
    respond: Callable[[int, Headers, bytes], Awaitable[None]], outcome: NotRun | Unknown
) -> None:
    head = response_head(outcome, fractions=True)
    body = msgspec.json.encode({"error": outcome.message, "reason": str(outcome.reason)})
    headers = (*head.headers, (b"content-type", b"application/json"))
    await respond(head.status, headers, body)
