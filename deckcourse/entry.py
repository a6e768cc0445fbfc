"""The entry: a caller's request from admission to its outcome."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from hashlib import sha256
from hmac import compare_digest
from uuid import uuid4

import trio

from deckcourse.admission import Admission, AdmissionRequest, Capacity
from deckcourse.background import Background
from deckcourse.claims import (
    ClaimBusy,
    ClaimGranted,
    ClaimMismatch,
    ClaimRecorded,
    Claims,
    RecordedReply,
    request_digest,
)
from deckcourse.configuration import Account, ServiceSpec
from deckcourse.engine import Lost, Refused, Unreachable
from deckcourse.gateway.stop_bounds import StopBounds
from deckcourse.instance_list import ListedInstance
from deckcourse.node import Node
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown
from deckcourse.pipeline import Completion, Pipeline, TokenSink
from deckcourse.plain_service import ServiceCall, ServiceReply
from deckcourse.quota import Quota
from deckcourse.reasons import NotRunReason, RetryReason, UnknownReason
from deckcourse.retry_budget import RetryBudget
from deckcourse.router import RouteChooser, Router

__all__ = ["Entry", "ServiceRequest", "stopped"]

# What a plain call counts against its account's limit, in tokens.
SERVICE_CALL_TOKENS = 1.0
SERVICE_TRIES = 3
STOPPING_RETRY_SECONDS = 1.0
# For how long the demand of a peer that is out of reach is kept as it was.
FREEZE_SECONDS = 30.0
# A capacity is worked out anew when the configuration changes, and after this long.
CAPACITY_SECONDS = 1.0


@dataclass(frozen=True)
class ServiceRequest:
    """A caller's call to a plain service; `key` is its idempotency key, empty for none."""

    service: str
    account: str
    method: str
    path: str
    body: bytes
    content_type: str
    deadline: float
    key: str = ""
    repeatable: bool | None = None
    action: str = ""


class Entry:
    """Serves callers by way of one node's view of the system."""

    def __init__(
        self,
        node: Node,
        router: RouteChooser | None = None,
        new_admission: Callable[[Capacity], Admission] = Admission,
    ) -> None:
        self._node = node
        self._router = router or Router(node.membership, node.random)
        self._new_admission = new_admission
        self._budget = RetryBudget()
        self._stop_bounds = StopBounds()
        self._pipeline = Pipeline(
            self._router,
            node.membership,
            lambda: node.holder.configuration,
            node.ports.engine,
            self._budget,
            node.counters,
            self._stop_bounds,
        )
        self._background = Background()
        self._claims = Claims(
            node.ports.table, node.identity.incarnation, node.counters, self._background
        )
        self._quota = Quota()
        self._admissions: dict[str, Admission] = {}
        self._capacity_deadlines: dict[str, float] = {}
        self._requests = 0
        self._turned_away = False
        node.demand = lambda: self._quota.demand(trio.current_time())

    @property
    def node(self) -> Node:
        """The node behind the entry."""
        return self._node

    @property
    def stop_bounds(self) -> StopBounds:
        """The bounds that the stop of this process sets for requests."""
        return self._stop_bounds

    @property
    def requests(self) -> int:
        """How many requests are in flight."""
        return self._requests

    @property
    def unfinished(self) -> int:
        """How many requests, and recordings of results, are in flight."""
        return self._requests + self._background.unfinished

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return self._node.holder.confirmed and not self._turned_away

    def turn_away(self) -> None:
        """Tell the balancer to send nobody more; who comes all the same is still served."""
        self._turned_away = True

    async def run(self) -> None:
        """Do the entry's background work until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._node.run)
            nursery.start_soon(self._claims.run)
            nursery.start_soon(self._background.run)

    def account_of(self, key: str) -> Account | None:
        """Return the client account of an API key, None where it's nobody's."""
        digest = sha256(key.encode()).hexdigest()
        found = None
        for account in self._node.holder.configuration.accounts.values():
            # All are compared, so that the time taken tells nothing of which one it was.
            if compare_digest(account.key_hash, digest):
                found = account
        return found

    async def complete(self, completion: Completion, sink: TokenSink) -> Outcome:
        """Serve a completion; see `Pipeline.run`."""
        self._requests += 1
        try:
            return self._counted(await self._complete(completion, sink))
        finally:
            self._requests -= 1

    async def _complete(self, completion: Completion, sink: TokenSink) -> Outcome:
        refusal = self.refuse(completion.account, completion.max_tokens)
        if refusal is not None:
            return refusal
        if completion.model not in self._node.holder.configuration.models:
            message = f"model {completion.model} is not served here; GET /v1/models lists them"
            return NotRun(NotRunReason.NOT_FOUND, message)
        admission = self._admission(completion.model)
        account = self._node.holder.configuration.accounts[completion.account]
        request = AdmissionRequest(
            completion.account,
            completion.model,
            completion.max_tokens,
            account.worth,
            completion.deadline,
        )
        refusal: NotRun | None = stopped()
        with self._stop_bounds.until(float("inf")):
            refusal = await admission.enter(request)
        if refusal is not None:
            return refusal
        try:
            return await self._pipeline.run(completion, sink)
        finally:
            admission.leave()

    def refuse(self, account: str, tokens: float) -> NotRun | None:
        """Return why an account's request for tokens isn't let in, None where it is.

        What is let in counts against the account's limit.
        """
        if not self._node.holder.confirmed:
            return NotRun(NotRunReason.NOT_READY, "this entry does not know its configuration yet")
        if self._node.stopping:
            return stopped()
        spec = self._node.holder.configuration.accounts.get(account)
        if spec is None:
            return NotRun(NotRunReason.UNAUTHORIZED, "the client account is not known")
        now = trio.current_time()
        others = self._others_demand(now)
        wait = self._quota.admit(account, tokens, spec.tokens_per_second, others, now)
        if wait > 0:
            message = f"client account {account} is over {spec.tokens_per_second:g} tokens a second"
            return NotRun(NotRunReason.ACCOUNT_LIMIT, message, wait)
        return None

    def _others_demand(self, now: float) -> Mapping[str, Mapping[str, float]]:
        """Return the other entries' demand; of those out of reach it's assumed, not left out.

        A peer that the list still names may well serve callers where this one can't see it: its
        demand is kept as it was for a while, then taken to be like the own, so that this entry's
        share falls to an equal part.
        """
        live = set(self._node.gossip.live_entries())
        others: dict[str, Mapping[str, float]] = {}
        for name, state in self._node.gossip.known_entries().items():
            if name in live or now < state.deadline + FREEZE_SECONDS:
                others[name] = state.digest.demand
            else:
                others[name] = self._quota.demand(now)
        return others

    def _admission(self, model: str) -> Admission:
        now = trio.current_time()
        admission = self._admissions.get(model)
        if admission is None or self._capacity_deadlines[model] <= now:
            capacity = self._capacity(model)
            self._capacity_deadlines[model] = now + CAPACITY_SECONDS
            if admission is None:
                self._admissions[model] = admission = self._new_admission(capacity)
            admission.set_capacity(capacity)
        return admission

    def _capacity(self, model: str) -> Capacity:
        """Return this entry's part of a model's flow, and the gap of an unloaded pipeline."""
        configuration = self._node.holder.configuration
        now = trio.current_time()
        usable = self._node.membership.usable(configuration, model, now)
        rates: dict[tuple[int, int], list[float]] = {}
        steps: dict[tuple[int, int], list[float]] = {}
        for place in usable:
            load = self._node.membership.report_of(place.instance).load
            layers = (place.first, place.end)
            rates.setdefault(layers, []).append(load.layer_rate / (place.end - place.first))
            steps.setdefault(layers, []).append(load.step_seconds)
        entries = 1 + len(self._node.gossip.live_entries())
        flow = min((sum(each) for each in rates.values()), default=0.0)
        gap = sum(sum(each) / len(each) for each in steps.values())
        return Capacity(flow / entries, gap)

    async def call(self, request: ServiceRequest) -> Outcome:
        """Serve a call to a plain service."""
        self._requests += 1
        try:
            return self._counted(await self._call(request))
        finally:
            self._requests -= 1

    async def _call(self, request: ServiceRequest) -> Outcome:
        spec = self._node.holder.configuration.services.get(request.service)
        if spec is None:
            message = f"service {request.service} is not routed to"
            return NotRun(NotRunReason.NOT_FOUND, message)
        refusal = self.refuse(request.account, SERVICE_CALL_TOKENS)
        if refusal is not None:
            return refusal
        if self._is_repeatable(spec, request):
            return await self._call_repeatable(request)
        if not request.key:
            return await self._call_once(request, request.account + "/" + uuid4().hex)
        return await self._call_claimed(request)

    def _is_repeatable(self, spec: ServiceSpec, request: ServiceRequest) -> bool:
        if request.repeatable is None:
            return spec.repeatable
        return spec.repeatable and request.repeatable

    async def _call_repeatable(self, request: ServiceRequest) -> Outcome:
        """Try upstreams in turn; a lost call may be made again."""
        self._budget.earn()
        name = uuid4().hex
        tried: set[str] = set()
        ran = False
        for _ in range(SERVICE_TRIES):
            upstream = self._upstream(request.service, tried)
            if upstream is None:
                break
            tried.add(upstream.name)
            reply = await self._send(upstream, request, name, fresh=False)
            if isinstance(reply, ServiceReply):
                return _answered(reply)
            ran = ran or isinstance(reply, Lost)
            if self._stop_bounds.ended:
                break
            self._node.counters.count(f"retry.{_retry_reason(reply)}")
            if not self._budget.spend():
                break
        if ran:
            return Unknown(self._lost_reason(), "the upstream's reply was lost")
        return self._no_upstream(request, tried)

    def _lost_reason(self) -> UnknownReason:
        """Return why the reply of an upstream is lost."""
        return UnknownReason.STOPPING if self._stop_bounds.ended else UnknownReason.UPSTREAM_LOST

    async def _call_once(self, request: ServiceRequest, name: str) -> Outcome:
        """Dispatch once; another upstream is tried only where no byte was sent to the first."""
        self._budget.earn()
        tried: set[str] = set()
        while len(tried) < SERVICE_TRIES:
            upstream = self._upstream(request.service, tried)
            if upstream is None:
                break
            if trio.current_time() >= request.deadline:
                return NotRun(NotRunReason.DEADLINE, "the deadline passed before the call")
            tried.add(upstream.name)
            reply = await self._send(upstream, request, name, fresh=True)
            if isinstance(reply, ServiceReply):
                return _answered(reply)
            if isinstance(reply, Lost):
                return Unknown(self._lost_reason(), reply.message, repeatable=False)
            self._node.counters.count(f"retry.{_retry_reason(reply)}")
            if not self._budget.spend():
                break
        return self._no_upstream(request, tried)

    def _no_upstream(self, request: ServiceRequest, tried: set[str]) -> NotRun:
        if self._stop_bounds.ended:
            return stopped()
        if tried:
            message = f"no upstream of {request.service} could be reached"
            return NotRun(NotRunReason.UPSTREAM_UNREACHABLE, message)
        return NotRun(NotRunReason.NO_ROUTE, f"service {request.service} has no live upstream")

    def _upstream(self, service: str, tried: set[str]) -> ListedInstance | None:
        options = [
            each for each in self._node.membership.services(service) if each.name not in tried
        ]
        return self._node.random.choice(options) if options else None

    async def _send(
        self, upstream: ListedInstance, request: ServiceRequest, name: str, fresh: bool
    ) -> ServiceReply | Unreachable | Refused | Lost:
        service = self._node.ports.service(upstream, fresh)
        call = ServiceCall(
            name, request.method, request.path, request.body, request.content_type, request.action
        )
        with self._stop_bounds.until(request.deadline):
            return await service.call(call)
        if self._stop_bounds.ended:
            return Lost(upstream.name, "this entry stopped before the reply")
        return Lost(upstream.name, "the deadline passed before the reply")

    async def _call_claimed(self, request: ServiceRequest) -> Outcome:
        """Claim the caller's key, dispatch, and put the result where a repeat finds it."""
        digest = request_digest(
            request.service.encode(), request.method.encode(), request.path.encode(), request.body
        )
        attempt = uuid4().hex
        result = None
        with self._stop_bounds.until(request.deadline):
            result = await self._claims.claim(request.account, request.key, attempt, digest)
        match result:
            case None if self._stop_bounds.ended:
                return stopped()
            case None:
                return NotRun(NotRunReason.DEADLINE, "the deadline passed before the claim")
            case ClaimGranted():
                return await self._call_granted(request, result)
            case ClaimRecorded(reply):
                return Answered(0, reply.status, reply.content, reply.content_type)
            case ClaimMismatch():
                message = "the idempotency key was used for another request; use a new one"
                return NotRun(NotRunReason.KEY_REUSED, message)
            case ClaimBusy(holder):
                return self._busy(holder)
        message = "the platform can't record the request now, so it was not run"
        return NotRun(NotRunReason.PLATFORM_UNAVAILABLE, message)

    def _busy(self, holder: str) -> Unknown:
        own = holder == self._node.identity.incarnation
        if own or self._node.gossip.is_live(holder):
            return Unknown(UnknownReason.IN_PROGRESS, "the request is running; ask again")
        message = "the instance that ran the request is gone; nobody knows how far it came"
        return Unknown(UnknownReason.HOLDER_GONE, message, repeatable=False)

    async def _call_granted(self, request: ServiceRequest, granted: ClaimGranted) -> Outcome:
        outcome = await self._call_once(request, granted.claim.attempt)
        if isinstance(outcome, Answered):
            reply = RecordedReply.of(outcome.status, outcome.content_type, outcome.body)
            self._background.start(self._claims.record, granted, reply)
        elif isinstance(outcome, NotRun):
            self._background.start(self._claims.release, granted.key, granted.claim)
        return outcome

    def _counted(self, outcome: Outcome) -> Outcome:
        match outcome:
            case Answered():
                self._node.counters.count("answered")
            case NotRun(reason):
                self._node.counters.count(f"refused.{reason}")
            case Unknown(reason):
                self._node.counters.count(f"unknown.{reason}")
        return outcome


def stopped() -> NotRun:
    """Return the refusal of a request that was not run since this process stops."""
    return NotRun(NotRunReason.STOPPING, "this entry is stopping", STOPPING_RETRY_SECONDS)


def _answered(reply: ServiceReply) -> Answered:
    return Answered(0, reply.status, reply.body, reply.content_type)


def _retry_reason(failure: Unreachable | Refused | Lost) -> RetryReason:
    match failure:
        case Unreachable():
            return RetryReason.UNREACHABLE
        case Refused():
            return RetryReason.REFUSED
    return RetryReason.REPLY_LOST
