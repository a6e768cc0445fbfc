"""What every request of a gateway works with."""

from collections.abc import Callable
from dataclasses import dataclass, field

from deckcourse.gateway.desired import AccountSpec, RouteSpec, UpstreamService
from deckcourse.gateway.dialect import CallerRequest, Dialect
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.stalls import StallMonitor
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.client import ConnectionPool
from deckcourse.http1.server import Exchange
from deckcourse.retry_budget import RetryBudget

__all__ = ["Admitted", "GatewayContext"]

# Of all retries that the nodes together may make, the share a request earns, and what one node
# may make beyond: the sites state 0.2 of the requests and about 200 in 10 s for all nodes.
EARNED_PER_REQUEST = 0.15
BUDGET_AT_ONCE = 18.0


@dataclass(frozen=True)
class Admitted:
    """A request that may be served; `deadline` is on trio's clock."""

    caller: CallerRequest
    route: RouteSpec
    service: UpstreamService
    account: AccountSpec | None
    deadline: float
    exchange: Exchange

    @property
    def account_name(self) -> str:
        """The client account's name, empty for a public route."""
        return self.account.name if self.account is not None else ""

    @property
    def priority(self) -> int:
        """The client account's priority, else the route's; 0 goes first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


@dataclass(frozen=True)
class GatewayContext:
    """The parts that requests share."""

    upstreams: UpstreamTable
    dialect: Dialect
    pool: ConnectionPool
    monitor: StallMonitor
    choices: Callable[[str], PathChoice]
    may_send: Callable[[], bool]
    count: Callable[[str], None]
    timing: Callable[[str, float], None]
    log: Callable[..., None]
    budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(EARNED_PER_REQUEST, BUDGET_AT_ONCE)
        return self.budgets[service]
