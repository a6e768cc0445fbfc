"""An admitted request with its route, service and client account."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from deckcourse.gateway.desired import AccountSpec, RouteSpec, UpstreamService
from deckcourse.gateway.dialect import CallerRequest
from deckcourse.gateway.request_identity import identity_of, part_identities
from deckcourse.gateway.stop_bounds import StopBounds
from deckcourse.http1.server import Exchange

__all__ = ["Admitted", "EarlierExecutions"]


@dataclass(frozen=True)
class EarlierExecutions:
    """The executions of a request before a peer handed it over.

    `instances` are the upstreams that may execute it still, `count` is the number of executions,
    `allowance` the number of further upstreams that may execute it. `on_sent` is called with each
    upstream to which the request is sent from now on, `on_not_executed` with each that did not
    execute what was sent to it.
    """

    instances: tuple[str, ...] = ()
    count: int = 0
    allowance: int = 0
    on_sent: Callable[[str], None] = lambda instance: None
    on_not_executed: Callable[[str], None] = lambda instance: None


@dataclass(frozen=True)
class Admitted:
    """A request that passed routing and authorization.

    `limit` is its own deadline, on trio's clock; `stop` may set an earlier one. `earlier` is set if
    a peer handed it over.
    """

    caller: CallerRequest
    route: RouteSpec
    service: UpstreamService
    account: AccountSpec | None
    limit: float
    exchange: Exchange
    stop: StopBounds
    earlier: EarlierExecutions | None = None

    @property
    def deadline(self) -> float:
        """When it gets its outcome if its response has not started, else when that ends."""
        return self.stop.bound(self.limit, self.exchange.started)

    @property
    def work_deadline(self) -> float:
        """Until when an upstream may work on it: the response of a stream starts meanwhile."""
        has_started = self.exchange.started or self.service.model is not None
        return self.stop.bound(self.limit, has_started)

    @property
    def is_limited_by_route(self) -> bool:
        """Whether its route's timeout ends it no later than the caller's own deadline."""
        own = self.caller.timeout_seconds
        return own is None or own >= self.route.timeout

    @property
    def timeout_seconds(self) -> float:
        """The time that it has from its arrival: the smaller one of these two limits."""
        return self.route.timeout if self.is_limited_by_route else self.caller.timeout_seconds

    @cached_property
    def identity(self) -> str:
        """The identity that equal requests share whatever their ids; computed on first use."""
        return identity_of(self.caller, self.account_name)

    @cached_property
    def parts(self) -> tuple[str, ...]:
        """The identities of the parts of its prompt that other requests may share."""
        return part_identities(self.caller, self.service.name)

    @property
    def account_name(self) -> str:
        """The client account's name, empty for a public route."""
        return self.account.name if self.account is not None else ""

    @property
    def priority(self) -> int:
        """The client account's priority, or the route's if it has none; 0 is the highest."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
